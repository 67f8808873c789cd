"""Clients that close their connection while their request is read, queued or served."""

import socket

import anyio
import pytest

from samphirehall.core.network import raw_socket
from samphirehall.forwarding.caller_input import MAX_UNPARSED_BYTES
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.gateway.test_generation import gateway_with
from tests.gateway.test_ingress import GET, Ingress
from tests.support.resets import LINGER_RESET_ON_CLOSE

pytestmark = pytest.mark.anyio

NOTICED_SECONDS = 0.5  # after a close, no work may go on for its client
HIGH_WATER_BYTES = 65_536
READ_BYTES = 262_144  # of the transport, at once


def post(length, *, path=b"/a", headers=b""):
    return (
        b"POST %b HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n%b"
        b"Content-Length: %d\r\n\r\n" % (path, headers, length)
    )


def chunked(length):
    head = post(0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head, b"%x\r\n%b\r\n0\r\n\r\n" % (length, b"x" * length)


# Head, and what follows it in one piece while the request waits for its body or is served.
REQUESTS = {
    "long body": (post(70_000), b"x" * 70_000),
    "body at the limit": (post(HIGH_WATER_BYTES), b"x" * HIGH_WATER_BYTES),
    "body over the limit": (post(HIGH_WATER_BYTES + 1), b"x" * (HIGH_WATER_BYTES + 1)),
    "very long body": (post(1_000_000), b"x" * 1_000_000),
    "body in chunks": chunked(70_000),
    "another request behind": (GET, GET),
    "many requests behind": (GET, GET * 2000),
    "part of a request behind": (GET, GET[:20]),
    "a long body behind": (GET, post(100_000) + b"x" * 100_000),
}
# The end of a connection does not arrive before its bytes, and a reset does.
RESET_REQUESTS = REQUESTS | {
    "a very long body behind": (GET, post(1_000_000) + b"x" * 1_000_000),
}


class Service:
    """Serves each request until it is cancelled."""

    def __init__(self):
        self.began = anyio.Event()
        self.ended = anyio.Event()
        self.requests = 0

    async def serve(self, request, caller):
        self.requests += 1
        self.began.set()
        try:
            await anyio.sleep(30)
        finally:
            self.ended.set()


class TestClose:
    # Guards against GONE: work that goes on for a client that has closed its connection.
    @pytest.mark.parametrize(
        ("kind", "is_reset"),
        [(kind, False) for kind in REQUESTS] + [(kind, True) for kind in RESET_REQUESTS],
    )
    async def test_close_is_noticed_however_much_was_sent(self, kind, is_reset):
        head, rest = RESET_REQUESTS[kind]
        service = Service()
        ingress = Ingress(service.serve)
        async with ingress.serving:
            stream = await ingress.connect()
            await stream.send(head)
            await anyio.sleep(0.02)
            with anyio.move_on_after(0.2):
                await stream.send(rest)
            with anyio.fail_after(2):
                await service.began.wait()
            if is_reset:
                option = (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
                raw_socket(stream).setsockopt(*option)
            await stream.aclose()
            with anyio.fail_after(NOTICED_SECONDS):
                await service.ended.wait()
            await anyio.sleep(0.05)
        assert service.requests == 1

    async def test_client_that_goes_on_sending_fills_no_memory(self):
        service = Service()
        ingress = Ingress(service.serve)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            with anyio.move_on_after(0.3):
                while True:
                    await stream.send(GET * 1000)
            (connection,) = ingress.state.connections
            assert len(connection._unparsed) <= MAX_UNPARSED_BYTES + READ_BYTES
            assert len(connection.pipeline) < 200

    async def test_requests_behind_another_are_all_answered_in_order(self):
        count, served = 3000, []

        async def serve(request, caller):
            served.append(request.request_id)
            await caller.start(200, [(b"content-length", b"0")])
            await caller.finish()

        async def send_all(stream):
            for number in range(count):
                await stream.send(GET.replace(b": r1", b": r%d" % number))

        ingress = Ingress(serve)
        received = b""
        async with (
            ingress.serving,
            await ingress.connect() as stream,
            anyio.create_task_group() as group,
        ):
            group.start_soon(send_all, stream)
            with anyio.fail_after(20):
                while received.count(b"200 OK") < count:
                    received += await stream.receive()
        assert served == [f"r{number}" for number in range(count)]

    async def test_shutdown_answers_all_requests_that_have_arrived(self):
        async def serve(request, caller):
            await anyio.sleep(0.1)
            await caller.start(200, [(b"content-length", b"2")])
            await caller.write(b"ok")
            await caller.finish()

        ingress = Ingress(serve)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET * 4)
            await anyio.sleep(0.05)
            ingress.state.stopping = True
            ingress.state.close_idle_connections()
            received = b""
            with anyio.fail_after(3), pytest.raises(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
        assert received.count(b"200 OK") == 4


CHAT_HEADERS = (
    b"X-Model: m\r\nX-Token-Counts: 1000,20\r\nX-Prompt-Prefix: 5c:500,e4:500\r\n"
    b"X-Deadline-Ms: 4000\r\n"
)


class TestEndpoints:
    @pytest.mark.parametrize("path", [b"/chat/x", b"/once/x"])
    async def test_no_second_engine_gets_the_request_of_a_client_that_has_left(self, path):
        async def refuse_later(received, writer):
            await anyio.sleep(0.3)
            writer.write(response_bytes(received, b"", status=503, extra=("X-Not-Executed: 1",)))

        async with scripted_endpoint(refuse_later) as first, scripted_endpoint(refuse_later) as two:
            gateway, _ = gateway_with(d1=first, d2=two)
            ingress = Ingress(gateway.serve)
            async with ingress.serving:
                stream = await ingress.connect()
                await stream.send(post(70_000, path=path, headers=CHAT_HEADERS))
                await anyio.sleep(0.02)
                await stream.send(b"x" * 70_000)
                with anyio.fail_after(2):
                    while not first.received and not two.received:
                        await anyio.sleep(0.01)
                await stream.aclose()
                await anyio.sleep(0.6)
        assert len(first.received) + len(two.received) == 1
