"""Clients that read nothing for longer than the limit on silence of an engine."""

import re

import anyio
import pytest

from tests.gateway.helpers import prompt, request, response_bytes, scripted_endpoint
from tests.gateway.test_generation import chunk, gateway_with, stream_head
from tests.gateway.test_ingress import Ingress, read_all

pytestmark = pytest.mark.anyio

EVENT_COUNT = 60
EVENT_BYTES = 100_000  # all events together fill the buffers of the sockets
PAUSE_SECONDS = 2.0
GET = (
    b"GET /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n"
    b"X-Model: m\r\nX-Token-Counts: 1000,20\r\nX-Prompt-Prefix: 5c:500,e4:500\r\n"
    b"Connection: close\r\n\r\n"
)


async def generate_long_events(received, writer):
    writer.write(stream_head(received))
    for number in range(int(received.get("last-event-id", 0)) + 1, EVENT_COUNT + 1):
        writer.write(chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def test_pause_of_a_reader_loses_no_event_of_a_stream_that_ends_as_complete():
    async with (
        scripted_endpoint(generate_long_events) as engine,
        scripted_endpoint(generate_long_events) as other,
    ):
        gateway, _ = gateway_with(d1=engine, d2=other)
        gateway.context.loads._local["d2"].requests = 40
        ingress = Ingress(gateway.serve)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            await anyio.sleep(PAUSE_SECONDS)
            received = await read_all(stream)
    numbers = [int(number) for number in re.findall(rb"id: (\d+)\n", received)]
    assert numbers == list(range(1, EVENT_COUNT + 1)) and received.endswith(b"0\r\n\r\n")
    assert not other.received


class PausingCaller:
    """Caller whose first write waits until it is cancelled or the pause is over."""

    def __init__(self):
        self.started = False
        self.writes = []
        self.complete = False

    async def start(self, status, headers):
        self.started = True

    async def write(self, data):
        if not self.writes:
            self.writes.append(b"")
            await anyio.sleep(PAUSE_SECONDS)
        self.writes.append(data)

    async def finish(self):
        self.complete = True


async def test_pause_of_a_reader_sends_no_refused_request_to_another_engine():
    async def refuse(received, writer):
        writer.write(response_bytes(received, b"no", status=404))

    async with scripted_endpoint(refuse) as engine, scripted_endpoint(refuse) as other:
        gateway, _ = gateway_with(d1=engine, d2=other)
        gateway.context.loads._local["d2"].requests = 40
        caller = PausingCaller()
        await gateway.serve(request("/chat/x", prompt=prompt()), caller)
    assert caller.complete and caller.writes == [b"", b"no"] and not other.received
