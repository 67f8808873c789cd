"""Streams on engines: separate prefill, failures, resumption and client disconnects."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OUTCOME_UNKNOWN, OVERLOADED, STREAM_CUT
from samphirehall.gateway.context import RepeatLimits
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.types import Stage
from tests.gateway.helpers import (
    MODEL,
    RecordingCaller,
    configuration,
    context,
    engine,
    prompt,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.support.resets import reset_on_close

pytestmark = pytest.mark.anyio

UNREACHABLE = SimpleNamespace(address="127.0.0.1:1")
EVENTS = [f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 6)]
WHOLE = b"".join(EVENTS)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(received):
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "X-Response-Stamp: s"]
    lines.append(f"X-Request-Id: {received['x-request-id']}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def remaining_events(received):
    return EVENTS[int(received.get("last-event-id", 0)) :]


async def generate(received, writer):
    writer.write(stream_head(received))
    for event in remaining_events(received):
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


def breaking_after(count, tail=b""):
    async def script(received, writer):
        writer.write(stream_head(received))
        for event in remaining_events(received)[:count]:
            writer.write(chunk(event))
        if tail:
            writer.write(chunk(tail))
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_on_close(writer)

    return script


async def read_prompt(received, writer):
    if received.get("x-stage") != "prefill":
        writer.write(response_bytes(received, status=421))
        return
    writer.write(response_bytes(received, b'{"kv_handle":"c0ffee","tokens":1000,"version":1}'))


async def refuse(received, writer):
    writer.write(response_bytes(received, b"", status=503, extra=["X-Not-Executed: 1"]))


def gateway_with(**endpoints):
    """Return a gateway over engines; names with a leading p prefill, the others decode."""
    shared, started = context()
    for name, endpoint in endpoints.items():
        stage = Stage.PREFILL if name.startswith("p") else Stage.DECODE
        shared.fleet.update(engine(name, stage, address=endpoint.address), MODEL)
    gateway = Gateway(shared)
    gateway.apply_configuration(configuration(), source="test")
    return gateway, started


async def serve(gateway, path="/chat/x", **changes):
    caller = RecordingCaller()
    await gateway.serve(request(path, prompt=changes.pop("of", prompt()), **changes), caller)
    return caller


class TestStream:
    async def test_whole_stream_arrives_and_is_counted_once(self):
        async with scripted_endpoint(generate) as decode:
            gateway, started = gateway_with(d1=decode)
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert started == ["acme"]

    async def test_separate_prefill_passes_its_kv_handle_to_the_decode_engine(self):
        async with scripted_endpoint(read_prompt) as prefill, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE
        assert decode.received[0]["x-kv-source"] == f"{prefill.address}/c0ffee"
        assert "x-stage" not in decode.received[0]

    async def test_decode_engine_that_leaves_during_the_prefill_gets_no_request(self):
        gateways = []

        async def read_while_the_engine_leaves(received, writer):
            fleet = gateways[0].context.fleet
            leaving = fleet.endpoint("d1").listed
            fleet.update(replace(leaving, ready=False), MODEL)
            await read_prompt(received, writer)

        async with (
            scripted_endpoint(read_while_the_engine_leaves) as prefill,
            scripted_endpoint(generate) as leaving,
            scripted_endpoint(generate) as other,
        ):
            gateway, _ = gateway_with(p1=prefill, d1=leaving, d2=other)
            gateways.append(gateway)
            gateway.context.loads._local["d1"].requests = 1
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway, of=prompt(20_000))
        assert caller.body == WHOLE and caller.complete
        assert not leaving.received and other.received[0]["x-kv-source"].endswith("/c0ffee")

    async def test_decode_engine_prefills_after_a_failed_separate_prefill(self):
        async with scripted_endpoint(refuse) as prefill, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE

    async def test_kv_handle_that_no_engine_fetches_is_released(self):
        async with scripted_endpoint(read_prompt) as prefill, scripted_endpoint(refuse) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            with pytest.raises(SamphireError):
                await serve(gateway, "/once/x", of=prompt(8000))
        assert prefill.received[-1][":method"] == "DELETE"
        assert prefill.received[-1][":target"].endswith("/c0ffee")

    async def test_repeated_answer_to_the_first_prefill_is_not_that_to_the_second(self):
        stale = {}
        handles = [b"h1", b"h2"]

        async def prefill_and_repeat(received, writer):
            if received[":method"] == "DELETE":
                writer.write(response_bytes(received))
                return
            answer = response_bytes(received, b'{"kv_handle":"%s"}' % handles.pop(0))
            writer.write(stale.pop(writer, b"") + answer)
            stale[writer] = answer

        async with (
            scripted_endpoint(prefill_and_repeat) as prefill,
            scripted_endpoint(refuse) as refusing,
            scripted_endpoint(generate) as decode,
        ):
            gateway, _ = gateway_with(p1=prefill, d1=refusing, d2=decode)
            gateway.context.loads._local["d1"].requests = 3
            gateway.context.loads._local["d2"].requests = 5
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE and not handles
        assert decode.received[0]["x-kv-source"].endswith("/h2")


class TestBrokenStreams:
    @pytest.mark.parametrize("tail", [b"", b"id: 3\nda"])
    async def test_resumable_stream_continues_after_the_last_whole_event(self, tail):
        async with (
            scripted_endpoint(breaking_after(2, tail)) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert sound.received[0]["last-event-id"] == "2"

    async def test_stream_that_is_not_resumable_ends_incomplete_and_runs_once(self):
        async with (
            scripted_endpoint(breaking_after(2)) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = RecordingCaller()
            with pytest.raises(SamphireError) as caught:
                await gateway.serve(request("/once/x", prompt=prompt()), caller)
        assert caught.value.result is STREAM_CUT
        assert not caller.complete and not sound.received

    async def test_stream_that_broke_before_its_first_event_may_have_run(self):
        async with (
            scripted_endpoint(breaking_after(0)) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            with pytest.raises(SamphireError) as caught:
                await serve(gateway, "/once/x")
        assert caught.value.result in (OUTCOME_UNKNOWN, STREAM_CUT) and not sound.received

    async def test_stream_runs_on_no_more_endpoints_than_allowed(self):
        async with (
            scripted_endpoint(breaking_after(1)) as one,
            scripted_endpoint(breaking_after(1)) as two,
            scripted_endpoint(breaking_after(1)) as three,
        ):
            gateway, _ = gateway_with(d1=one, d2=two, d3=three)
            with pytest.raises(SamphireError):
                await serve(gateway)
            assert sum(len(item.received) for item in (one, two, three)) == 2


def until_closed(count, tail=b""):
    """Return a script whose stream has neither a length nor chunks."""

    async def script(received, writer):
        lines = ["HTTP/1.1 200 OK", "X-Response-Stamp: s", "Connection: close"]
        lines.append(f"X-Request-Id: {received['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        writer.write(b"".join(remaining_events(received)[:count]) + tail)
        await writer.drain()
        writer.close()

    return script


class TestStreamsThatEndWithTheirConnection:
    async def test_whole_stream_arrives(self):
        async with scripted_endpoint(until_closed(5)) as decode:
            gateway, _ = gateway_with(d1=decode)
            caller = await serve(gateway)
            assert caller.body == WHOLE and caller.complete
            assert not gateway.context.fleet.endpoint("d1").connections._idle

    @pytest.mark.parametrize("count", [0, 2])
    async def test_stream_that_ends_inside_an_event_continues_on_another_engine(self, count):
        async with (
            scripted_endpoint(until_closed(count, b"id: 3\nda")) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert int(sound.received[0].get("last-event-id", 0)) == count

    async def test_stream_that_ends_inside_an_event_and_may_run_once_is_incomplete(self):
        async with scripted_endpoint(until_closed(2, b"id: 3\nda")) as broken:
            gateway, _ = gateway_with(d1=broken)
            caller = RecordingCaller()
            with pytest.raises(SamphireError) as caught:
                await gateway.serve(request("/once/x", prompt=prompt()), caller)
        assert caught.value.result is STREAM_CUT
        assert not caller.complete and caller.body == b"".join(EVENTS[:2])

    async def test_stream_that_is_reset_between_events_continues_on_another_engine(self):
        async def reset(received, writer):
            writer.write(stream_head(received).replace(b"Transfer-Encoding: chunked\r\n", b""))
            writer.write(b"".join(EVENTS[:2]))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset_on_close(writer)

        async with (
            scripted_endpoint(reset) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete


class TestUnreachableEngines:
    """A send without a connection repeats nothing and is not charged to the repeat budget."""

    NO_REPEATS = RepeatLimits(0.0, 0.0, 10.0)

    async def test_other_engine_answers_without_a_repeat(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=UNREACHABLE, d2=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway, "/once/x")
        assert caller.body == WHOLE

    async def test_decode_engine_prefills_without_a_repeat(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=UNREACHABLE, d1=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE

    async def test_only_prefill_engine_gets_no_sends_after_a_failure(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=UNREACHABLE, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            await serve(gateway, of=prompt(8000))
            p1 = gateway.context.fleet.endpoint("p1")
            await serve(gateway, of=prompt(8000))
        assert p1.consecutive_failures == 1

    async def test_repeated_request_needs_repeat_budget(self):
        async with scripted_endpoint(refuse) as full, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=full, d2=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            with pytest.raises(SamphireError):
                await serve(gateway)
        assert not decode.received

    async def test_request_is_refused_if_only_a_long_queue_remains(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=UNREACHABLE, d2=decode)
            gateway.context.loads._local["d2"].pending_prefill_tokens[0] = 100_000
            with pytest.raises(SamphireError) as caught:
                await serve(gateway)
        assert caught.value.result is OVERLOADED and caught.value.retry_after > 0
        assert not decode.received


RUN_ENDS_WITHIN_SECONDS = 0.5  # after its client has left


class TestClientsAndLoad:
    async def test_client_disconnect_ends_the_run(self):
        started = anyio.Event()

        async def slow(received, writer):
            writer.write(stream_head(received) + chunk(EVENTS[0]))
            started.set()
            await asyncio.sleep(5)

        async with scripted_endpoint(slow) as decode:
            gateway, _ = gateway_with(d1=decode)
            async with anyio.create_task_group() as group:
                group.start_soon(serve, gateway)
                await started.wait()
                group.cancel_scope.cancel()
            with anyio.fail_after(RUN_ENDS_WITHIN_SECONDS):
                while not decode.aborted_requests:
                    await asyncio.sleep(0.005)
            assert decode.aborted_requests == 1
            assert not gateway.context.loads.local_loads()

    async def test_request_at_a_long_queue_is_refused_at_once_with_retry_after(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=decode)
            gateway.context.loads._local["d1"].pending_prefill_tokens[0] = 100_000
            with pytest.raises(SamphireError) as caught, anyio.fail_after(0.2):
                await serve(gateway)
        assert caught.value.result is OVERLOADED
        assert caught.value.retry_after > 0
        assert not decode.received
