"""Streams over engines: prompts read apart, breaks, resumption and clients that leave."""

import asyncio
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
    KeptCaller,
    answer_bytes,
    configuration,
    context,
    engine,
    prompt,
    request,
    reset_on_close,
    scripted_endpoint,
)

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
        writer.write(answer_bytes(received, status=421))
        return
    writer.write(answer_bytes(received, b'{"kv_handle":"c0ffee","tokens":1000,"version":1}'))


async def refuse(received, writer):
    writer.write(answer_bytes(received, b"", status=503, extra=["X-Not-Executed: 1"]))


def gateway_with(**endpoints):
    """Return a gateway over engines; names that begin with p read, others generate."""
    shared, started = context()
    for name, endpoint in endpoints.items():
        stage = Stage.PREFILL if name.startswith("p") else Stage.DECODE
        shared.fleet.update(engine(name, stage, address=endpoint.address), MODEL)
    gateway = Gateway(shared)
    gateway.take_configuration(configuration(), source="test")
    return gateway, started


async def serve(gateway, path="/chat/x", **changes):
    caller = KeptCaller()
    await gateway.serve(request(path, of=changes.pop("of", prompt()), **changes), caller)
    return caller


class TestStream:
    async def test_whole_stream_arrives_and_counts_once(self):
        async with scripted_endpoint(generate) as decode:
            gateway, started = gateway_with(d1=decode)
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert started == ["acme"]

    async def test_prompt_is_read_apart_and_its_copy_named(self):
        async with scripted_endpoint(read_prompt) as prefill, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE
        assert decode.received[0]["x-kv-source"] == f"{prefill.address}/c0ffee"
        assert "x-stage" not in decode.received[0]

    async def test_prompt_that_could_not_be_read_apart_is_read_where_it_is_generated(self):
        async with scripted_endpoint(refuse) as prefill, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE

    async def test_copy_that_no_engine_takes_is_freed(self):
        async with scripted_endpoint(read_prompt) as prefill, scripted_endpoint(refuse) as decode:
            gateway, _ = gateway_with(p1=prefill, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            with pytest.raises(SamphireError):
                await serve(gateway, "/once/x", of=prompt(8000))
        assert prefill.received[-1][":method"] == "DELETE"
        assert prefill.received[-1][":target"].endswith("/c0ffee")


class TestBreaks:
    @pytest.mark.parametrize("tail", [b"", b"id: 3\nda"])
    async def test_resumable_stream_goes_on_after_the_last_whole_event(self, tail):
        async with (
            scripted_endpoint(breaking_after(2, tail)) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway)
        assert caller.body == WHOLE and caller.complete
        assert sound.received[0]["last-event-id"] == "2"

    async def test_other_stream_ends_incomplete_and_runs_once(self):
        async with (
            scripted_endpoint(breaking_after(2)) as broken,
            scripted_endpoint(generate) as sound,
        ):
            gateway, _ = gateway_with(d1=broken, d2=sound)
            gateway.context.loads._local["d2"].requests = 40
            caller = KeptCaller()
            with pytest.raises(SamphireError) as caught:
                await gateway.serve(request("/once/x", of=prompt()), caller)
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


class TestUnreachableEngines:
    """A send without a connection has repeated nothing, so that it costs no allowance."""

    NO_REPEATS = RepeatLimits(0.0, 0.0, 10.0)

    async def test_other_engine_answers_without_a_repeat(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=UNREACHABLE, d2=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            caller = await serve(gateway, "/once/x")
        assert caller.body == WHOLE

    async def test_prompt_is_read_where_it_is_generated_without_a_repeat(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=UNREACHABLE, d1=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d1"].requests = 3
            caller = await serve(gateway, of=prompt(8000))
        assert caller.body == WHOLE

    async def test_only_reading_engine_is_left_alone_after_a_failure(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(p1=UNREACHABLE, d1=decode)
            gateway.context.loads._local["d1"].requests = 3
            await serve(gateway, of=prompt(8000))
            p1 = gateway.context.fleet.endpoint("p1")
            await serve(gateway, of=prompt(8000))
        assert p1.consecutive_failures == 1

    async def test_request_that_repeats_needs_an_allowance(self):
        async with scripted_endpoint(refuse) as full, scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=full, d2=decode)
            gateway.context.set_repeat_limits(self.NO_REPEATS)
            gateway.context.loads._local["d2"].requests = 40
            with pytest.raises(SamphireError):
                await serve(gateway)
        assert not decode.received

    async def test_request_that_no_longer_meets_a_short_queue_is_refused(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=UNREACHABLE, d2=decode)
            gateway.context.loads._local["d2"].pending_prefill_tokens[0] = 100_000
            with pytest.raises(SamphireError) as caught:
                await serve(gateway)
        assert caught.value.result is OVERLOADED and caught.value.retry_after > 0
        assert not decode.received


class TestClientsAndLoad:
    async def test_client_that_leaves_ends_the_run(self):
        async def slow(received, writer):
            writer.write(stream_head(received) + chunk(EVENTS[0]))
            await asyncio.sleep(5)

        async with scripted_endpoint(slow) as decode:
            gateway, _ = gateway_with(d1=decode)
            with anyio.move_on_after(0.1):
                await serve(gateway)
            await asyncio.sleep(0.05)
            assert decode.broken_off == 1
            assert not gateway.context.loads.local_loads()

    async def test_long_queue_is_refused_at_once_with_a_time_to_return(self):
        async with scripted_endpoint(generate) as decode:
            gateway, _ = gateway_with(d1=decode)
            gateway.context.loads._local["d1"].pending_prefill_tokens[0] = 100_000
            with pytest.raises(SamphireError) as caught, anyio.fail_after(0.2):
                await serve(gateway)
        assert caught.value.result is OVERLOADED
        assert caught.value.retry_after > 0
        assert not decode.received
