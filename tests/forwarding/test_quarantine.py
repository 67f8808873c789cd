"""Requests that crash endpoints, and other requests that run beside them."""

import asyncio
import contextlib

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.quarantine import INCIDENT_WINDOW_SECONDS, Quarantine, Suspicion
from samphirehall.node.facts import FactKind, FactStore
from samphirehall.routing.part_quarantine import TRIAL_INTERVAL_SECONDS
from tests.forwarding.test_completion import COMPLETE_TEXT, send_remaining_events, streamed_tokens
from tests.support.endpoint import HEAD, ScriptedEndpoint, chunk, event, stream_chunks
from tests.support.entry import complete, entry_context, running_app


def connected_quarantines(count):
    """Return the quarantines of hosts whose facts reach one another at once."""
    fact_stores = [FactStore(f"host-{number}", 1) for number in range(count)]
    for fact_store in fact_stores:
        for other in fact_stores:
            if other is not fact_store:
                fact_store.subscribe(lambda fact, other=other: _deliver(other, fact))
    return [Quarantine(fact_store) for fact_store in fact_stores]


def _deliver(fact_store, fact):
    if fact.owner != fact_store.owner:
        fact_store.merge(fact, now=boot_seconds())


class TestQuarantine:
    def test_second_crash_quarantines_on_every_host(self):
        first, second, third = connected_quarantines(3)
        now = boot_seconds()
        assert first.record_crash("f", "engine-1", now=now) is Suspicion.SUSPECT
        assert second.suspicion("f", now=now) is Suspicion.SUSPECT
        assert second.record_crash("f", "engine-2", now=now) is Suspicion.QUARANTINED
        assert third.suspicion("f", now=now) is Suspicion.QUARANTINED

    def test_crash_seen_by_two_hosts_counts_once(self):
        first, second = connected_quarantines(2)
        first.record_crash("f", "engine-1", now=boot_seconds())
        assert second.record_crash("f", "engine-1", now=boot_seconds()) is Suspicion.SUSPECT

    def test_record_expires(self):
        (quarantine,) = connected_quarantines(1)
        now = boot_seconds()
        quarantine.record_crash("f", "engine-1", now=now)
        assert quarantine.suspicion("f", now=now + 601) is Suspicion.NONE
        quarantine.prune(now=now + 601)
        assert quarantine.is_empty

    def test_completion_clears_a_suspect(self):
        first, second = connected_quarantines(2)
        now = boot_seconds()
        first.record_crash("f", "engine-1", now=now)
        second.record_completion("f", now=now)
        assert first.suspicion("f", now=now) is Suspicion.NONE

    def test_messages_that_crashed_several_endpoints_are_blocked_on_every_host(self, monkeypatch):
        first, second, third = connected_quarantines(3)
        now = boot_seconds()
        for number, quarantine in enumerate((first, second, first)):
            now += 1.0
            monkeypatch.setattr(
                "samphirehall.forwarding.quarantine.boot_seconds", lambda now=now: now
            )
            parts = ("common", "deadly")
            quarantine.record_crash(f"f{number}", f"e{number}", parts=parts, now=now)
        later = now + 1.0
        third.record_completed_parts(["common"], now=later)
        assert first.blocked_parts(["other", "deadly"], now=later) == {"deadly"}
        assert first.blocked_parts(["common", "sound"], now=later) is None

    def test_one_host_of_all_reviews_the_quarantine_of_a_message(self, monkeypatch):
        quarantines = connected_quarantines(3)
        now = boot_seconds()
        for quarantine in quarantines:
            quarantine._fact_store.publish(
                FactKind.HOST, quarantine._fact_store.owner, None, lifetime=100.0, now=now
            )
            for number in range(3):
                quarantine._parts.record_crash(f"e{number}", ["deadly"], at=now + number, now=now)
        groups = [quarantine.blocked_parts(["deadly"], now=now + 3.0) for quarantine in quarantines]
        later = now + 3.0 + TRIAL_INTERVAL_SECONDS
        trials = [
            quarantine.take_trial(group, now=later)
            for quarantine, group in zip(quarantines, groups, strict=True)
        ]
        assert sorted(trials) == [False, False, True]

    def test_cleared_message_is_not_suspected_again_by_a_later_record_of_its_request(self):
        first, second = connected_quarantines(2)
        now = boot_seconds()
        first.record_crash("f", "e1", parts=("sound",), now=now)
        second.record_completed_parts(["sound"], now=boot_seconds())
        first.begin_trial("f", "e2", now=now)
        assert not first._parts._crashes["e1"].parts and not second._parts._crashes["e1"].parts

    @given(crashes=st.lists(st.sets(st.sampled_from("abcd"), min_size=2), min_size=1, max_size=8))
    def test_suspects_that_share_a_crashed_endpoint_are_never_quarantined(self, crashes):
        (quarantine,) = connected_quarantines(1)
        now = boot_seconds()
        for number, running_requests in enumerate(crashes):
            now += 2 * INCIDENT_WINDOW_SECONDS
            endpoint = f"engine-{number}"
            suspects = [
                f
                for f in running_requests
                if quarantine.suspicion(f, now=now) is not Suspicion.NONE
            ]
            if len(suspects) == 1:
                continue
            for name in suspects:
                quarantine.begin_trial(name, endpoint, now=now)
            for name in running_requests:
                assert quarantine.record_crash(name, endpoint, now=now) is Suspicion.SUSPECT
            for name in suspects:
                quarantine.end_trial(name, endpoint, now=now)


@pytest.mark.anyio
class TestCrashingRequest:
    @contextlib.asynccontextmanager
    async def fleet(self, count):
        """Run an entry on endpoints that crash on a prompt with the word POISON."""
        async with contextlib.AsyncExitStack() as stack:
            endpoints = []

            def crashing_script(index):
                async def script(exchange, writer):
                    if b"POISON" in exchange.body:
                        endpoints[index].die()
                    elif b"slow" in exchange.body:
                        await _slow(exchange, writer)
                    else:
                        await send_remaining_events(exchange, writer)

                return script

            for index in range(count):
                endpoint = ScriptedEndpoint(crashing_script(index))
                endpoints.append(await stack.enter_async_context(endpoint.serving()))
            context = entry_context(endpoints)
            yield await stack.enter_async_context(running_app(context)), endpoints, context

    async def test_crashing_request_is_refused_after_two_endpoints(self):
        async with self.fleet(5) as (app, endpoints, _):
            first = await complete(app, "POISON")
            again = [await complete(app, "POISON") for _ in range(3)]
            assert streamed_tokens(await complete(app)) == COMPLETE_TEXT
            assert sum(not endpoint.server.is_serving() for endpoint in endpoints) == 2
        assert (first.result, first.run) == (4003, "ran")
        assert {(reply.result, reply.run) for reply in again} == {(2010, "not-run")}

    async def test_new_requests_with_a_deadly_message_do_not_crash_endpoint_after_endpoint(self):
        async with self.fleet(9) as (app, endpoints, _):
            replies = []
            for number in range(8):
                system = ("common", "POISON")
                replies.append(await complete(app, f"question {number}", system=system))
                sound = await complete(app, f"question {number}", system=("common",))
                assert streamed_tokens(sound) == COMPLETE_TEXT
                await anyio.sleep(0.3)
            assert sum(not endpoint.server.is_serving() for endpoint in endpoints) <= 5
        assert [(reply.result, reply.run) for reply in replies[-3:]] == [(2014, "not-run")] * 3

    async def test_requests_beside_a_crashing_one_get_complete_answers(self):
        async with self.fleet(5) as (app, _, _):
            replies = []

            async def ask(number):
                replies.append(await complete(app, f"slow {number}"))

            async with anyio.create_task_group() as group:
                for number in range(15):
                    group.start_soon(ask, number)
                await anyio.sleep(0.02)
                await complete(app, "POISON")
            assert [streamed_tokens(reply) for reply in replies] == [COMPLETE_TEXT] * 15
            again = [await complete(app, f"slow {number}") for number in range(15)]
        assert [streamed_tokens(reply) for reply in again] == [COMPLETE_TEXT] * 15


async def _slow(exchange, writer):
    writer.write(HEAD + chunk(event(exchange.request_id, 0)))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(stream_chunks(exchange.request_id, 1, 4))
