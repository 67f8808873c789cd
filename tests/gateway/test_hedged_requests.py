"""Hedged requests: one answer wins, and both attempts are counted and cleaned up."""

import asyncio
import contextlib
from dataclasses import replace

import anyio
import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.gateway.context import RepeatLimits
from samphirehall.gateway.crashes import Crash, fingerprint
from tests.gateway import test_plain
from tests.gateway.helpers import (
    ROUTES,
    RecordingCaller,
    configuration,
    request,
    response_bytes,
    scripted_endpoint,
)

pytestmark = pytest.mark.anyio

USUAL_SECONDS = 0.05
HEDGE_DELAY = 0.075  # 1.5 medians
NEVER = 5.0


def answering(seconds=0.0, *, status=200, body=b"body"):
    async def script(received, writer):
        await asyncio.sleep(seconds)
        writer.write(response_bytes(received, body, status=status))

    return script


def resetting(seconds):
    async def script(received, writer):
        await asyncio.sleep(seconds)
        await test_plain.reset(received, writer)

    return script


def gateway_with(*addresses, max_share=0.5, max_attempts=None):
    """Return a gateway whose first choice is the first address, then the second."""
    gateway, started = test_plain.gateway_with(*addresses)
    if max_attempts is not None:
        routes = tuple(replace(route, max_attempts=max_attempts) for route in ROUTES)
        gateway.apply_configuration(configuration(2, routes=routes), source="test")
    shared = gateway.context
    shared.set_hedging_share(max_share)
    if shared.hedging is not None:
        for _ in range(200):
            shared.hedging.record_request("desk")
            now = shared.clock()
            shared.hedging.record_attempt("read", "desk", USUAL_SECONDS, now=now)
    for number in range(1, len(addresses)):
        shared.loads._local[f"e{number}"].requests = number
    return gateway, started


def open_requests(gateway):
    """Return the requests in flight by endpoint, without those of `gateway_with`."""
    loads = gateway.context.loads.local_loads()
    return {name: load.requests - int(name[1:]) for name, load in loads.items()}


@pytest.fixture
def entries(caplog):
    caplog.set_level("INFO")
    return lambda: [record for record in caplog.records if record.message == "request"]


async def serve(gateway, path="/read/x", request_id="r1"):
    caller = RecordingCaller()
    with anyio.fail_after(3):
        await gateway.serve(request(path, request_id=request_id), caller)
    return caller


class TestWinner:
    async def test_hedge_answers_and_the_late_attempt_is_cancelled(self, entries):
        async with (
            scripted_endpoint(answering(NEVER)) as slow,
            scripted_endpoint(answering()) as fast,
        ):
            gateway, started = gateway_with(slow.address, fast.address)
            shared = gateway.context
            begun = shared.clock()
            caller = await serve(gateway)
            assert HEDGE_DELAY <= shared.clock() - begun < 0.5
            await anyio.sleep(0.05)
            assert slow.aborted_requests == 1
        assert (caller.status, caller.body, caller.complete) == (200, b"body", True)
        (entry,) = entries()
        assert entry.sends == [("e1", "run", "answered"), ("e0", "run", "cancelled")]
        assert entry.hedge["endpoint"] == "e1" and entry.hedge["won"] == "hedge"
        assert HEDGE_DELAY <= entry.hedge["after"] < 0.5
        assert started == ["acme"]
        assert not any(open_requests(gateway).values())

    async def test_first_attempt_answers_and_the_hedge_is_cancelled(self, entries):
        async with (
            scripted_endpoint(answering(0.15, body=b"first")) as first,
            scripted_endpoint(answering(NEVER)) as hedge,
        ):
            gateway, started = gateway_with(first.address, hedge.address)
            caller = await serve(gateway)
            await anyio.sleep(0.05)
            assert hedge.aborted_requests == 1
        assert caller.body == b"first" and started == ["acme"]
        assert entries()[0].hedge["won"] == "first"
        assert not gateway.context.fleet.endpoint("e1").failure_rate

    async def test_prompt_answer_is_not_hedged(self, entries):
        async with scripted_endpoint(answering()) as one, scripted_endpoint(answering()) as two:
            gateway, _ = gateway_with(one.address, two.address)
            await serve(gateway)
        assert not two.received and not hasattr(entries()[0], "hedge")

    @pytest.mark.parametrize("bad", [answering(0.1, status=500), resetting(0.1)])
    async def test_failure_of_the_first_attempt_does_not_beat_the_hedge(self, bad):
        async with (
            scripted_endpoint(bad) as first,
            scripted_endpoint(answering(0.1)) as hedge,
        ):
            gateway, _ = gateway_with(first.address, hedge.address)
            caller = await serve(gateway)
        assert (caller.status, caller.body) == (200, b"body")
        assert len(first.received) == len(hedge.received) == 1

    async def test_failure_of_the_hedge_does_not_beat_the_first_attempt(self):
        async with (
            scripted_endpoint(answering(0.18)) as first,
            scripted_endpoint(answering(status=500)) as hedge,
        ):
            gateway, _ = gateway_with(first.address, hedge.address)
            caller = await serve(gateway)
        assert (caller.status, caller.body) == (200, b"body")
        assert len(hedge.received) == 1

    async def test_client_error_of_the_endpoint_is_final(self):
        async with (
            scripted_endpoint(answering(NEVER)) as first,
            scripted_endpoint(answering(status=404)) as hedge,
        ):
            gateway, _ = gateway_with(first.address, hedge.address)
            assert (await serve(gateway)).status == 404

    @pytest.mark.parametrize("max_share", [0.0, 0.5])
    @pytest.mark.parametrize(
        ("script", "result"), [(answering(0.1, status=500), 500), (resetting(0.1), 502)]
    )
    async def test_two_failures_end_as_without_a_hedge(self, script, result, max_share):
        async with (
            scripted_endpoint(script) as one,
            scripted_endpoint(script) as two,
            scripted_endpoint(script) as three,
        ):
            addresses = (one.address, two.address, three.address)
            gateway, _ = gateway_with(*addresses, max_share=max_share)
            try:
                status = (await serve(gateway)).status
            except SamphireError as error:
                status = error.result.http_status
            # Guards against a loser or a hedge that does not count against `max_attempts`.
            assert [len(e.received) for e in (one, two, three)] == [1, 1, 0]
        assert status == result

    async def test_pair_that_both_finish_gives_one_answer_and_two_runs(self, entries):
        released = asyncio.Event()

        async def together(received, writer):
            await released.wait()
            writer.write(response_bytes(received, b"body"))

        async with scripted_endpoint(together) as one, scripted_endpoint(together) as two:
            gateway, started = gateway_with(one.address, two.address)
            for number in range(10):
                released.clear()
                caller = RecordingCaller()
                async with anyio.create_task_group() as group:
                    group.start_soon(gateway.serve, request(request_id=f"r{number}"), caller)
                    with anyio.fail_after(2):
                        while len(one.received) + len(two.received) < 2 * (number + 1):
                            await anyio.sleep(0.005)
                    gateway.context.hedging.record_request("desk")
                    gateway.context.hedging.record_request("desk")
                    released.set()
                assert (caller.status, caller.body, caller.complete) == (200, b"body", True)
        outcomes = [outcome for entry in entries() for _, _, outcome in entry.sends]
        assert len(outcomes) == 20 and set(outcomes) <= {"answered", "cancelled"}
        assert len(started) == outcomes.count("answered")
        assert not any(open_requests(gateway).values())


class TestLoser:
    async def test_cancelled_loser_is_no_crash_and_no_failure(self):
        async with (
            scripted_endpoint(answering(NEVER)) as slow,
            scripted_endpoint(answering()) as fast,
        ):
            gateway, _ = gateway_with(slow.address, fast.address)
            await serve(gateway)
            state = gateway.context.fleet.endpoint("e0")
            gateway.context.crashes.confirm("e0", now=gateway.context.clock())
        assert not gateway.context.crashes.unpublished
        assert not state.consecutive_failures and not state.is_lost
        assert state.is_preferred(now=gateway.context.clock())

    # Guards against an answer to a cancelled attempt that is taken for that of the next request.
    async def test_connection_of_the_loser_is_not_used_again(self):
        async def slow_once(received, writer):
            await asyncio.sleep(NEVER if received["x-request-id"] == "r1" else 0)
            writer.write(response_bytes(received, received["x-request-id"].encode()))

        async with (
            scripted_endpoint(slow_once) as slow,
            scripted_endpoint(answering()) as fast,
        ):
            gateway, _ = gateway_with(slow.address, fast.address)
            await serve(gateway)
            state = gateway.context.fleet.endpoint("e0")
            assert not state.connections._idle
            state.failure_rate = 0.0
            assert (await serve(gateway, request_id="r2")).body == b"r2"
            assert slow.connections == 2

    # Guards against an endpoint that hangs and looks idle, as its requests are hedged before
    # their timeout would mark it.
    async def test_endpoint_that_hangs_is_no_first_choice_after_lost_attempts(self):
        async with (
            scripted_endpoint(answering(NEVER)) as hung,
            scripted_endpoint(answering()) as sound,
        ):
            gateway, _ = gateway_with(hung.address, sound.address)
            for number in range(6):
                gateway.context.hedging.record_request("desk")
                await serve(gateway, request_id=f"r{number}")
        assert len(hung.received) < 3 and len(sound.received) == 6

    async def test_caller_that_leaves_ends_both_attempts(self, entries):
        async with (
            scripted_endpoint(answering(NEVER)) as one,
            scripted_endpoint(answering(NEVER)) as two,
        ):
            gateway, started = gateway_with(one.address, two.address)
            with anyio.move_on_after(0.15):
                await gateway.serve(request(), RecordingCaller())
            await anyio.sleep(0.05)
            assert one.aborted_requests == two.aborted_requests == 1
        assert not started and not any(open_requests(gateway).values())
        assert not entries()

    async def test_both_attempts_are_cut_at_the_deadline(self, entries):
        async with (
            scripted_endpoint(answering(NEVER)) as one,
            scripted_endpoint(answering(NEVER)) as two,
        ):
            gateway, _ = gateway_with(one.address, two.address)
            with pytest.raises(SamphireError) as caught:
                await serve(gateway)
        assert caught.value.result.http_status == 504
        (entry,) = entries()
        assert sorted(entry.sends) == [("e0", "run", "cut"), ("e1", "run", "cut")]
        assert entry.hedge["won"] == "none"

    async def test_load_of_both_attempts_is_counted_until_each_has_ended(self):
        async with (
            scripted_endpoint(answering(0.15, status=500)) as one,
            scripted_endpoint(answering(0.3)) as two,
        ):
            gateway, _ = gateway_with(one.address, two.address)
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, request(), RecordingCaller())
                await anyio.sleep(0.11)
                assert open_requests(gateway) == {"e0": 1, "e1": 1}
                await anyio.sleep(0.11)
                assert open_requests(gateway) == {"e1": 1}


async def refusal(entries, gateway, path="/read/x"):
    with contextlib.suppress(SamphireError):
        await serve(gateway, path)
    return getattr(entries()[-1], "hedge", {}).get("refused")


class TestRefusals:
    @pytest.fixture
    async def slow(self):
        async with scripted_endpoint(answering(0.15)) as endpoint:
            yield endpoint

    @pytest.fixture
    async def other(self):
        async with scripted_endpoint(answering()) as endpoint:
            yield endpoint

    async def test_request_that_may_run_only_once_is_never_hedged(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        for _ in range(200):
            now = gateway.context.clock()
            gateway.context.hedging.record_attempt("book", "desk", USUAL_SECONDS, now=now)
        assert await refusal(entries, gateway, "/book/x") is None
        assert not other.received

    async def test_request_with_a_single_attempt_is_not_hedged(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address, max_attempts=1)
        assert await refusal(entries, gateway) is None
        assert not other.received

    async def test_share_of_the_service_is_kept(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        while gateway.context.hedging.acquire("desk"):
            pass
        gateway.context.hedging.max_share = 0.0
        assert await refusal(entries, gateway) == "share"
        assert not other.received

    async def test_repeat_budget_is_kept_and_one_repeat_is_left(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        gateway.context.set_repeat_limits(RepeatLimits(0.0, 1.5, 10.0))
        assert await refusal(entries, gateway) == "repeat-budget"
        gateway.context.set_repeat_limits(RepeatLimits(0.0, 3.0, 10.0))
        assert await refusal(entries, gateway) is None
        assert len(other.received) == 1
        assert gateway.context.allows_repeats("desk", 1)
        assert not gateway.context.allows_repeats("desk", 2)

    async def test_no_hedge_to_an_endpoint_without_a_free_slot(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        gateway.context.loads._local["e1"].requests = 6
        assert await refusal(entries, gateway) == "overload"
        assert not other.received

    async def test_no_hedge_while_first_attempts_may_need_all_slots(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        gateway.context.loads._local["e0"].requests = 5
        gateway.context.loads._local["e1"].requests = 5
        assert await refusal(entries, gateway) == "overload"

    async def test_no_hedge_without_another_endpoint(self, entries, slow):
        gateway, _ = gateway_with(slow.address)
        assert await refusal(entries, gateway) == "no-endpoint"

    async def test_no_hedge_to_an_endpoint_whose_limit_is_used_up(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        shared = gateway.context
        now = shared.clock()
        endpoint = shared.fleet.endpoint("e1").listed
        shared.limits.record(endpoint.incarnation, 0.5, at=now, now=now)
        assert shared.limits.take(endpoint, now=now)
        assert await refusal(entries, gateway) == "no-endpoint"
        assert not other.received

    async def test_hedge_counts_against_the_limit_of_its_endpoint(self):
        async with (
            scripted_endpoint(answering(NEVER)) as one,
            scripted_endpoint(answering(NEVER)) as two,
        ):
            gateway, _ = gateway_with(one.address, two.address)
            shared = gateway.context
            now, endpoint = shared.clock(), shared.fleet.endpoint("e1").listed
            shared.limits.record(endpoint.incarnation, 0.5, at=now, now=now)
            with anyio.move_on_after(0.15):
                await gateway.serve(request(), RecordingCaller())
            assert len(two.received) == 1
            assert shared.limits.delay(endpoint, now=shared.clock()) > 0

    # Guards against a request that takes two endpoints down at once.
    async def test_request_that_crashed_an_endpoint_is_not_hedged(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address)
        now = gateway.context.clock()
        crash = Crash(fingerprint(request(), ROUTES[0]), "e9/0")
        gateway.context.crashes.record(crash, source="test", now=now)
        assert await refusal(entries, gateway) == "suspect"

    async def test_hedging_off_keeps_no_times(self, entries, slow, other):
        gateway, _ = gateway_with(slow.address, other.address, max_share=0.0)
        assert gateway.context.hedging is None
        assert await refusal(entries, gateway) is None
        assert not other.received and not hasattr(entries()[0], "hedge")


class TestSilence:
    async def test_silent_attempt_goes_on_while_its_hedge_runs(self):
        async with (
            scripted_endpoint(answering(0.5, body=b"first")) as first,
            scripted_endpoint(answering(0.35, status=500)) as hedge,
            scripted_endpoint(answering()) as third,
        ):
            addresses = (first.address, hedge.address, third.address)
            gateway, _ = gateway_with(*addresses, max_attempts=2)
            assert (await serve(gateway)).body == b"first"
            assert not first.aborted_requests and not third.received
        assert not gateway.context.fleet.endpoint("e0").silent_sends

    # Guards against a late answer that is lost although its hedge has just begun.
    async def test_silent_attempt_is_not_taken_over_before_its_hedge_is_silent(self):
        async with (
            scripted_endpoint(answering(0.29, body=b"first")) as first,
            scripted_endpoint(answering(NEVER)) as hedge,
            scripted_endpoint(answering()) as third,
        ):
            addresses = (first.address, hedge.address, third.address)
            gateway, _ = gateway_with(*addresses, max_attempts=3)
            assert (await serve(gateway)).body == b"first"
            assert not third.received

    async def test_pair_that_is_silent_is_taken_over_by_a_third_endpoint(self, entries):
        async with (
            scripted_endpoint(answering(NEVER)) as one,
            scripted_endpoint(answering(NEVER)) as two,
            scripted_endpoint(answering(body=b"third")) as third,
        ):
            addresses = (one.address, two.address, third.address)
            gateway, _ = gateway_with(*addresses, max_attempts=3)
            repeats = gateway.context.repeat_budget("desk")
            caller = await serve(gateway)
            assert caller.body == b"third" and len(third.received) == 1
        assert [send[2] for send in entries()[0].sends] == ["silent", "silent", "answered"]
        # Guards against a repeat that is counted for each attempt of the pair.
        assert repeats._repeats.count(10.0, now=gateway.context.clock()) == 2
        assert not any(s.silent_sends for s in gateway.context.fleet.states())

    async def test_remaining_attempt_is_taken_over_once_the_other_has_failed(self):
        async with (
            scripted_endpoint(answering(NEVER)) as one,
            scripted_endpoint(answering(0.05, status=500)) as two,
            scripted_endpoint(answering(body=b"third")) as third,
        ):
            addresses = (one.address, two.address, third.address)
            gateway, _ = gateway_with(*addresses, max_attempts=3)
            assert (await serve(gateway)).body == b"third"
            assert len(third.received) == 1


class TestChangesMeanwhile:
    @pytest.mark.parametrize("change", ["route", "hedging", "endpoint"])
    async def test_request_under_way_is_answered(self, change):
        async with (
            scripted_endpoint(answering(0.15)) as slow,
            scripted_endpoint(answering(0.1)) as other,
        ):
            gateway, _ = gateway_with(slow.address, other.address)
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, request(), caller)
                await anyio.sleep(0.03)
                if change == "route":
                    gateway.apply_configuration(configuration(9, routes=()), source="test")
                elif change == "hedging":
                    gateway.context.set_hedging_share(0.0)
                else:
                    gateway.context.fleet.remove("e0")
        assert (caller.status, caller.body) == (200, b"body")

    async def test_share_that_is_unchanged_keeps_the_times(self):
        gateway, _ = gateway_with()
        kept = gateway.context.hedging
        gateway.context.set_hedging_share(0.5)
        assert gateway.context.hedging is kept
        gateway.context.set_hedging_share(0.4)
        assert gateway.context.hedging is not kept
