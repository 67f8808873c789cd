"""The protocol class of callers under arbitrary and mutated bytes.

Guards against requests of clients that end in an exception, run a request which was not
sent, or leave counts behind. By hand, longer: HYPOTHESIS_EXAMPLES=20000 pytest <this file>
"""

import asyncio
import logging
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn.config import Config
from uvicorn.server import ServerState

from samphirehall.forwarding.answers import send_response
from samphirehall.forwarding.caller_protocol import MAX_HEAD_BYTES, caller_protocol
from samphirehall.forwarding.connection_limits import ConnectionLimits

EXAMPLES = int(os.environ.get("HYPOTHESIS_EXAMPLES", "150"))
HIGH_WATER_BYTES = 2000
MAX_TURNS = 3000

REQUESTS = [
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n",
    b"GET /d HTTP/1.0\r\n\r\n",
    b"GET /e HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    b"POST /f HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
    b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"\r\n",
]
PARTS = st.sampled_from(
    [*REQUESTS, b"\x00", b":", b"Content-Length: 9\r\n", b"f" * 17 + b"\r\n", b"a:b\r\n" * 4000]
)
STREAMS = st.lists(st.one_of(PARTS, st.binary(max_size=40)), max_size=12).map(b"".join)


class FakeTransport(asyncio.Transport):
    """Transport whose peer reads only when `drain` is called."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol, self.written, self.unread = protocol, bytearray(), 0
        self.closing, self.paused = False, False

    def write(self, data):
        assert not self.closing or not data
        self.written += data
        self.unread += len(data)
        if self.unread > HIGH_WATER_BYTES and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def drain(self):
        self.unread = 0
        if self.paused:
            self.paused = False
            self.protocol.resume_writing()

    def get_write_buffer_size(self):
        return self.unread

    def is_closing(self):
        return self.closing

    def close(self):
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def pause_reading(self):
        pass

    resume_reading = pause_reading


async def feed(data, sizes, limit):
    """Feed the bytes in pieces of these sizes; return paths served, transport and limits."""
    served, errors = [], []

    async def app(scope, receive, send):
        while (message := await receive()).get("more_body"):
            pass
        if message["type"] == "http.request":
            served.append(scope["path"])
            await asyncio.sleep(0)
            await send_response(send, 200, [], b"ok" * 200)

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    limits = ConnectionLimits(1, lambda: limit)
    protocol_class = caller_protocol(head_timeout=1000.0, limits=limits)
    config = Config(app, http=protocol_class, ws="none", lifespan="off", log_config=None)
    protocol = protocol_class(config, ServerState(), {})
    transport = FakeTransport(protocol)
    protocol.connection_made(transport)
    begin = 0
    while begin < len(data) and not transport.closing:
        size = sizes[begin % len(sizes)]
        protocol.data_received(data[begin : begin + size])
        begin += size
        await asyncio.sleep(0)
        assert len(protocol.pipeline) <= 1
        assert protocol.headers is None or len(protocol.headers) <= MAX_HEAD_BYTES
    for _ in range(MAX_TURNS):
        transport.drain()
        await asyncio.sleep(0)
    if not transport.closing:
        assert not protocol._unparsed
        transport.close()
        await asyncio.sleep(0.001)
    assert not errors
    return served, transport, limits


def check(data, sizes, limit):
    served, transport, limits = asyncio.run(feed(data, sizes, limit))
    assert (limits.connections, limits.buffered_bytes) == (0, 0)
    assert transport.written.count(b"HTTP/1.1 200 OK") <= len(served)
    return served


@pytest.fixture(autouse=True)
def _quiet():
    logging.disable(logging.WARNING)
    yield
    logging.disable(logging.NOTSET)


SIZES = st.lists(st.integers(1, 5000), min_size=1, max_size=3)


@settings(max_examples=EXAMPLES)
@given(STREAMS, SIZES, st.sampled_from([1000, 10**6]))
def test_any_bytes_end_without_an_exception_and_leave_no_counts(data, sizes, limit):
    check(data, sizes, limit)


@settings(max_examples=EXAMPLES)
@given(st.lists(st.sampled_from(REQUESTS[:3]), max_size=8), SIZES)
def test_requests_are_served_as_sent_however_they_are_cut(requests, sizes):
    served = check(b"".join(requests), sizes, 10**6)
    assert served == [request.split()[1].decode() for request in requests]


@settings(max_examples=EXAMPLES)
@given(
    st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=4).map(b"".join),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4),
    SIZES,
)
def test_mutated_requests_end_without_an_exception(data, mutations, sizes):
    mutated = bytearray(data)
    for position, byte in mutations:
        mutated[position % len(mutated)] = byte
    check(bytes(mutated), sizes, 10**6)
