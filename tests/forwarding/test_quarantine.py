"""Requests that crash endpoints, and the innocent ones beside them."""

import asyncio
import contextlib

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.quarantine import INCIDENT_SECONDS, Quarantine, Suspicion
from samphirehall.node.facts import FactStore
from tests.forwarding.test_completion import COMPLETE_TEXT, send_remaining_events, streamed_tokens
from tests.support.endpoint import HEAD, ScriptedEndpoint, chunk, event, whole
from tests.support.entry import complete, entry_context, running


def hosts(count):
    """Return boards that tell each other everything, each with its quarantine."""
    boards = [FactStore(f"host-{number}", 1) for number in range(count)]
    for board in boards:
        for other in boards:
            if other is not board:
                board.subscribe(lambda fact, other=other: _tell(other, fact))
    return [Quarantine(board) for board in boards]


def _tell(board, fact):
    if fact.owner != board.owner:
        board.merge(fact, now=boot_seconds())


class TestQuarantine:
    def test_second_death_is_known_on_every_host(self):
        first, second, third = hosts(3)
        now = boot_seconds()
        assert first.note_death("f", "engine-1", now=now) is Suspicion.SUSPECT
        assert second.suspicion("f", now=now) is Suspicion.SUSPECT
        assert second.note_death("f", "engine-2", now=now) is Suspicion.QUARANTINED
        assert third.suspicion("f", now=now) is Suspicion.QUARANTINED

    def test_one_death_seen_by_two_hosts_counts_once(self):
        first, second = hosts(2)
        first.note_death("f", "engine-1", now=boot_seconds())
        assert second.note_death("f", "engine-1", now=boot_seconds()) is Suspicion.SUSPECT

    def test_expires(self):
        (host,) = hosts(1)
        now = boot_seconds()
        host.note_death("f", "engine-1", now=now)
        assert host.suspicion("f", now=now + 601) is Suspicion.NONE
        host.prune(now=now + 601)
        assert host.is_empty

    def test_completing_clears(self):
        first, second = hosts(2)
        now = boot_seconds()
        first.note_death("f", "engine-1", now=now)
        second.note_completed("f", now=now)
        assert first.suspicion("f", now=now) is Suspicion.NONE

    @given(deaths=st.lists(st.sets(st.sampled_from("abcd"), min_size=2), min_size=1, max_size=8))
    def test_suspects_that_die_together_are_never_quarantined(self, deaths):
        (host,) = hosts(1)
        now = boot_seconds()
        for number, together in enumerate(deaths):
            now += 2 * INCIDENT_SECONDS
            endpoint = f"engine-{number}"
            suspects = [f for f in together if host.suspicion(f, now=now) is not Suspicion.NONE]
            if len(suspects) == 1:
                continue
            for name in suspects:
                host.begin_trial(name, endpoint, now=now)
            for name in together:
                assert host.note_death(name, endpoint, now=now) is Suspicion.SUSPECT
            for name in suspects:
                host.end_trial(name, endpoint, now=now)


@pytest.mark.anyio
class TestPoison:
    @contextlib.asynccontextmanager
    async def fleet(self, count):
        """Run an entry on endpoints that die of a prompt with the word POISON."""
        async with contextlib.AsyncExitStack() as stack:
            endpoints = []

            def mortal(index):
                async def script(exchange, writer):
                    if b"POISON" in exchange.body:
                        endpoints[index].die()
                    elif b"slow" in exchange.body:
                        await _slow(exchange, writer)
                    else:
                        await send_remaining_events(exchange, writer)

                return script

            for index in range(count):
                endpoint = ScriptedEndpoint(mortal(index))
                endpoints.append(await stack.enter_async_context(endpoint.serving()))
            context = entry_context(endpoints)
            yield await stack.enter_async_context(running(context)), endpoints, context

    async def test_a_poison_request_kills_two_endpoints_and_no_more(self):
        async with self.fleet(5) as (app, endpoints, _):
            first = await complete(app, "POISON")
            again = [await complete(app, "POISON") for _ in range(3)]
            assert streamed_tokens(await complete(app)) == COMPLETE_TEXT
            assert sum(not endpoint.server.is_serving() for endpoint in endpoints) == 2
        assert (first.result, first.run) == (4003, "ran")
        assert {(reply.result, reply.run) for reply in again} == {(2010, "not-run")}

    async def test_innocent_requests_beside_it_get_their_whole_answers(self):
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
    writer.write(whole(exchange.request_id, 1, 4))
