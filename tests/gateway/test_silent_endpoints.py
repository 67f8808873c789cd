"""Endpoints that fall silent and go on: a run is ended only if another endpoint can take over."""

import asyncio
import contextlib
import socket
import threading
import time
from types import SimpleNamespace

import anyio
import pytest

from samphirehall.gateway import generation_choice
from samphirehall.gateway.context import RepeatLimits
from samphirehall.gateway.generation_plan import plan_generation
from samphirehall.gateway.relay import inter_event_gap_limit
from samphirehall.gateway.silence import silence_limit
from samphirehall.gateway.types import Stage
from tests.gateway import test_generation, test_plain
from tests.gateway.helpers import MODEL, RecordingCaller, engine, request, scripted_endpoint
from tests.gateway.test_generation import (
    EVENTS,
    UNREACHABLE,
    WHOLE,
    chunk,
    generate,
    read_prompt,
    refuse,
    remaining_events,
    serve,
    stream_head,
)

pytestmark = pytest.mark.anyio

NO_REPEATS = RepeatLimits(0.0, 0.0, 10.0)
GAP_SECONDS = 2.0  # the limit of the route is 1.6 s
SHORT_GAP_SECONDS = 1.4  # of a sound engine


def pausing_after(count, seconds=GAP_SECONDS):
    """Return a script that is silent for a while before the event after the first `count`."""

    async def script(received, writer):
        events = remaining_events(received)
        writer.write(stream_head(received) + b"".join(chunk(event) for event in events[:count]))
        await asyncio.sleep(seconds)
        writer.write(b"".join(chunk(event) for event in events[count:]) + b"0\r\n\r\n")

    return script


class TestStreams:
    async def test_stream_of_a_silent_engine_is_not_cut_without_repeat_budget(self):
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.set_repeat_limits(NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert not other.received and not silent.aborted_requests

    async def test_stream_of_a_silent_engine_is_not_cut_without_another_engine(self):
        async with scripted_endpoint(pausing_after(2)) as silent:
            gateway, _ = test_generation.gateway_with(d1=silent)
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete

    async def test_stream_of_a_silent_engine_is_not_ended_for_a_prompt_in_quarantine(self):
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.loads._local["d2"].requests = 40
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, stream_request(), caller)
                await anyio.sleep(0.2)
                now = gateway.context.clock()
                gateway.context.crashes.parts.block(frozenset(("common",)), now=now)
        assert caller.body == WHOLE and caller.complete

    async def test_stream_goes_on_elsewhere_as_soon_as_another_engine_is_listed(self):
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent)
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, stream_request(), caller)
                await anyio.sleep(GAP_SECONDS - 0.3)
                gateway.context.fleet.update(engine("d2", address=other.address), MODEL)
        assert caller.body == WHOLE and caller.complete
        assert other.received[0]["last-event-id"] == "2" and silent.aborted_requests == 1

    async def test_stream_of_an_engine_that_is_silent_for_a_second_or_so_is_not_ended(self):
        async with (
            scripted_endpoint(pausing_after(2, SHORT_GAP_SECONDS)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert not other.received and not silent.aborted_requests

    async def test_takeover_is_charged_once_to_the_repeat_budget(self):
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.set_repeat_limits(RepeatLimits(0.0, 1.5, 10.0))
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert other.received[0]["last-event-id"] == "2"

    async def test_stream_of_a_silent_engine_is_not_cut_when_the_other_engine_is_unreachable(self):
        async with scripted_endpoint(pausing_after(2)) as silent:
            gateway, _ = test_generation.gateway_with(d1=silent, d2=UNREACHABLE)
            back_off(gateway, "d2")
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert not silent.aborted_requests

    async def test_streams_that_fall_silent_together_do_not_all_count_on_one_send(self):
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.loads._local["d2"].requests = 40
            callers = [RecordingCaller() for _ in range(8)]
            async with anyio.create_task_group() as group:
                for number, caller in enumerate(callers):
                    group.start_soon(gateway.serve, stream_request(f"r{number}"), caller)
                await anyio.sleep(0.3)
                allow_one_send(gateway, "d2")
        assert all(caller.body == WHOLE and caller.complete for caller in callers)

    async def test_silent_stream_without_repeat_budget_makes_no_more_plans(self, monkeypatch):
        plans = []

        def counted(*arguments, **options):
            plans.append(arguments)
            return plan_generation(*arguments, **options)

        monkeypatch.setattr(generation_choice, "plan_generation", counted)
        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.set_repeat_limits(NO_REPEATS)
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, stream_request(), caller)
                await anyio.sleep(0.5)
                before_silence = len(plans)
        assert caller.complete and before_silence
        assert len(plans) == before_silence

    async def test_stream_is_not_ended_for_a_silence_of_its_own_host(self):
        async with scripted_endpoint(refuse) as other:
            sound = SimpleNamespace(address=serve_from_a_thread())
            gateway, _ = test_generation.gateway_with(d1=sound, d2=other)
            gateway.context.loads._local["d2"].requests = 40
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, stream_request(), caller)
                await anyio.sleep(0.2)
                time.sleep(1.9)
        assert caller.body == WHOLE and caller.complete
        assert not other.received

    async def test_silent_engine_whose_stream_goes_on_is_no_first_choice_for_new_streams(self):
        async with (
            scripted_endpoint(pausing_after(2, 2.6)) as silent,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.set_repeat_limits(NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            endpoint = gateway.context.fleet.endpoint("d1")
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                group.start_soon(gateway.serve, stream_request(), caller)
                await anyio.sleep(1.5)
                assert not endpoint.silent_sends
                await anyio.sleep(0.5)
                assert endpoint.silent_sends == 1
                assert (await serve(gateway, request_id="r2")).complete
                assert len(other.received) == 1 and len(silent.received) == 1
        assert caller.body == WHOLE and caller.complete and not silent.aborted_requests
        assert not endpoint.silent_sends

    async def test_stream_that_goes_on_elsewhere_is_not_cut_by_a_silent_prefill(self):
        async def read_late(received, writer):
            await asyncio.sleep(1.3)
            await read_prompt(received, writer)

        async with (
            scripted_endpoint(pausing_after(2)) as silent,
            scripted_endpoint(read_late) as prefill,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = test_generation.gateway_with(d1=silent)
            shared = gateway.context
            shared.set_repeat_limits(RepeatLimits(0.0, 1.5, 10.0))
            caller = RecordingCaller()
            async with anyio.create_task_group() as group:
                whole = request("/chat/x", prompt=test_generation.prompt(8000))
                group.start_soon(gateway.serve, whole, caller)
                await anyio.sleep(0.3)
                shared.fleet.update(engine("p1", Stage.PREFILL, address=prefill.address), MODEL)
                shared.fleet.update(engine("d2", address=other.address), MODEL)
                shared.loads._local["d2"].requests = 3
        assert caller.body == WHOLE and caller.complete
        assert len(prefill.received) == 1 and other.received[0]["last-event-id"] == "2"

    @pytest.mark.parametrize("after_head", [True, False])
    async def test_sound_engine_is_not_ended_for_a_silence_of_a_second_or_so_before_its_first_event(
        self, after_head
    ):
        async def late(received, writer):
            if after_head:
                await pausing_after(0, SHORT_GAP_SECONDS)(received, writer)
            else:
                await asyncio.sleep(SHORT_GAP_SECONDS)
                await generate(received, writer)

        async with scripted_endpoint(late) as silent, scripted_endpoint(refuse) as other:
            gateway, _ = test_generation.gateway_with(d1=silent, d2=other)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert not other.received and not silent.aborted_requests


def serve_from_a_thread():
    """Serve one stream with an event each half second beside the event loop; return the address."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run():
        with listener, listener.accept()[0] as connection:
            connection.recv(65_536)
            connection.sendall(stream_head({"x-request-id": "r1"}))
            with contextlib.suppress(OSError):
                for event in EVENTS:
                    connection.sendall(chunk(event))
                    time.sleep(0.5)
                connection.sendall(b"0\r\n\r\n")

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def back_off(gateway, endpoint_id):
    now = gateway.context.clock()
    for _ in range(4):
        gateway.context.fleet.endpoint(endpoint_id).record_failure(now=now, unreachable=True)


def allow_one_send(gateway, endpoint_id):
    shared = gateway.context
    now = shared.clock()
    incarnation = shared.fleet.endpoint(endpoint_id).listed.incarnation
    shared.limits.record(incarnation, 0.5, at=now, now=now)


def stream_request(request_id="r1"):
    return request("/chat/x", request_id=request_id, prompt=test_generation.prompt(shared=500))


class TestPlainRequests:
    async def test_answer_of_a_silent_endpoint_is_not_lost_without_repeat_budget(self):
        async def slow(received, writer):
            await asyncio.sleep(0.4)
            await test_plain.answered(received, writer)

        async with scripted_endpoint(slow) as one, scripted_endpoint(slow) as two:
            gateway, _ = test_plain.gateway_with(one.address, two.address)
            gateway.context.set_repeat_limits(NO_REPEATS)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body) == (200, b"body")
        assert len(one.received) + len(two.received) == 1

    async def test_answer_of_a_silent_endpoint_is_not_lost_when_the_other_is_unreachable(self):
        async def slow(received, writer):
            await asyncio.sleep(0.4)
            await test_plain.answered(received, writer)

        async with scripted_endpoint(slow) as one:
            gateway, _ = test_plain.gateway_with(one.address, UNREACHABLE.address)
            for state in gateway.context.fleet.states():
                if state.listed.address == UNREACHABLE.address:
                    back_off(gateway, state.listed.endpoint_id)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body) == (200, b"body")

    async def test_endpoint_whose_request_was_cut_in_its_silence_is_not_marked_for_ever(self):
        async def slow(received, writer):
            await asyncio.sleep(5)

        async with scripted_endpoint(slow) as endpoint:
            gateway, _ = test_plain.gateway_with(endpoint.address)
            (state,) = gateway.context.fleet.states()
            with anyio.move_on_after(0.6):
                async with anyio.create_task_group() as group:
                    group.start_soon(gateway.serve, request(), RecordingCaller())
                    await anyio.sleep(0.4)
                    assert state.silent_sends == 1
                    await anyio.sleep(1)
        assert not state.silent_sends

    async def test_requests_that_fall_silent_together_do_not_all_count_on_one_send(self):
        async def slow(received, writer):
            await asyncio.sleep(0.4)
            await test_plain.answered(received, writer)

        async with scripted_endpoint(slow) as one, scripted_endpoint(slow) as two:
            gateway, _ = test_plain.gateway_with(one.address, two.address)
            limited = next(
                state.listed.endpoint_id
                for state in gateway.context.fleet.states()
                if state.listed.address == two.address
            )
            gateway.context.loads._local[limited].requests = 80
            callers = [RecordingCaller() for _ in range(6)]
            async with anyio.create_task_group() as group:
                for number, caller in enumerate(callers):
                    group.start_soon(gateway.serve, request(request_id=f"r{number}"), caller)
                await anyio.sleep(0.1)
                allow_one_send(gateway, limited)
        assert [caller.status for caller in callers] == [200] * 6
        assert len(two.received) == 1


@pytest.mark.parametrize(
    ("latency_target", "gap_target", "limit"), [(0.4, 0.15, 1.6), (0.6, None, 2.0), (0.5, 0.5, 3.6)]
)
def test_gap_limit_leaves_time_to_resume_before_the_caller_abandons(
    latency_target, gap_target, limit
):
    assert inter_event_gap_limit(latency_target, gap_target) == pytest.approx(limit)


class TestSilenceLimit:
    async def test_send_ends_only_once_it_may(self):
        allowed = [False, False, True]
        with (
            pytest.raises(TimeoutError, match="silent"),
            silence_limit("r1", "e1", lambda: allowed.pop(0)) as limit,
        ):
            limit.restart(0.01)
            await anyio.sleep(5)
        assert limit.expired and not allowed

    async def test_endpoint_is_marked_as_silent_once_and_until_it_is_heard(self):
        marks = []
        with silence_limit("r1", "e1", lambda: False, marks.append) as limit:
            for _ in range(2):
                limit.restart(0.01)
                await anyio.sleep(0.4)
                assert marks == [True]
                limit.restart(1.0)
                assert marks == [True, False]
                marks.clear()
            limit.restart(0.01)
            await anyio.sleep(0.2)
        assert marks == [True, False]

    async def test_event_restarts_the_limit_and_the_end_stops_it(self):
        with contextlib.ExitStack() as stack:
            limit = stack.enter_context(silence_limit("r1", "e1", lambda: True))
            for _ in range(3):
                limit.restart(0.1)
                await anyio.sleep(0.05)
            limit.stop()
            await anyio.sleep(0.15)
        assert not limit.expired


class TestStalledHost:
    @pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
    def anyio_backend(self, request):
        return "asyncio", {"use_uvloop": request.param}

    @pytest.mark.parametrize("stall", [0.12, 0.6])
    async def test_bytes_that_arrived_during_a_stall_of_the_host_are_heard_first(self, stall):
        ours, theirs = socket.socketpair()

        def stall_while_a_byte_arrives():
            time.sleep(0.05)
            theirs.send(b"x")
            time.sleep(stall - 0.05)

        reader, writer = await asyncio.open_connection(sock=ours)
        with theirs, silence_limit("r1", "e1", lambda: True) as limit:
            limit.restart(0.1)
            asyncio.get_running_loop().call_soon(stall_while_a_byte_arrives)
            await reader.readexactly(1)
            limit.stop()
        writer.close()
        assert not limit.expired
