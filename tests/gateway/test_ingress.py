"""Client connections: limits, interrupted responses, disconnects and shutdown."""

import anyio
import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OVERLOADED, SHUTTING_DOWN, STREAM_CUT
from samphirehall.core.serving import serving
from samphirehall.gateway.ingress import IngressState, ingress_app, ingress_protocol
from samphirehall.gateway.types import CallerLimits
from samphirehall.platform.wire import decode_request
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

GET = b"GET /a?b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"


class Ingress:
    """A ingress whose requests are served by a function of request and caller."""

    def __init__(self, serve, limits=None):
        self.limits = limits or CallerLimits()
        self.state = IngressState(lambda: self.limits)
        self.address = free_address()
        app = ingress_app(self.state, decode_request, serve)
        self.serving = serving(
            app, self.address, protocol=ingress_protocol(self.state), shutdown_timeout=0.1
        )

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))


async def read_all(stream):
    received = b""
    try:
        with anyio.fail_after(3):
            while True:
                received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def answer(request, caller):
    await caller.start(200, [(b"content-length", b"2"), (b"x-target", request.target)])
    await caller.write(b"ok")
    await caller.finish()


async def read_answer(stream):
    received = b""
    with anyio.fail_after(2):
        while not received.endswith(b"ok"):
            received += await stream.receive()
    return received


class TestResponses:
    async def test_request_target_is_not_normalized(self):
        ingress = Ingress(answer)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            assert b"x-target: /a?b\r\n" in await read_answer(stream)

    async def test_retry_after_holds_fractions_of_a_second(self):
        async def refuse(request, caller):
            raise SamphireError(OVERLOADED, "full", retry_after=0.25)

        ingress = Ingress(refuse)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
            received = await read_all(stream)
        assert received.startswith(b"HTTP/1.1 503") and b"retry-after: 0.250\r\n" in received

    async def test_broken_stream_does_not_look_complete(self):
        async def cut(request, caller):
            await caller.start(200, [])
            await caller.write(b"half")
            raise SamphireError(STREAM_CUT, "cut")

        ingress = Ingress(cut)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            received = await read_all(stream)
        assert b"half" in received and b"0\r\n\r\n" not in received

    async def test_connection_that_is_closed_inside_an_answer_is_logged(self, caplog):
        async def cut(request, caller):
            await caller.start(200, [])
            raise SamphireError(STREAM_CUT, "cut")

        caplog.set_level("INFO")
        ingress = Ingress(cut)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            await read_all(stream)
        (line,) = [record for record in caplog.records if record.message == "connection-closed"]
        assert line.request == "r1" and line.reason

    async def test_unreadable_request_is_refused(self):
        ingress = Ingress(answer)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET.replace(b"X-Request-Id: r1", b"X: y"))
            with anyio.fail_after(2):
                assert (await stream.receive()).startswith(b"HTTP/1.1 400")


class TestClients:
    async def test_request_is_cancelled_when_its_client_disconnects(self):
        ended = anyio.Event()

        async def slow(request, caller):
            try:
                await anyio.sleep(10)
            finally:
                ended.set()

        ingress = Ingress(slow)
        async with ingress.serving:
            stream = await ingress.connect()
            await stream.send(GET)
            await anyio.sleep(0.05)
            await stream.aclose()
            with anyio.fail_after(0.5):
                await ended.wait()
            assert ingress.state.open_requests == 0

    async def test_body_over_the_limit_is_refused(self):
        ingress = Ingress(answer, CallerLimits(max_body_bytes=10))
        async with ingress.serving, await ingress.connect() as stream:
            post = b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 20\r\n\r\n"
            await stream.send(post + b"x" * 20)
            with anyio.fail_after(2):
                assert (await stream.receive()).startswith(b"HTTP/1.1 413")

    async def test_slow_head_is_refused(self):
        ingress = Ingress(answer, CallerLimits(head_timeout=0.1))
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET[:20])
            assert (await read_all(stream)).startswith(b"HTTP/1.1 408")

    async def test_new_connection_may_stay_idle_longer_than_the_head_timeout(self):
        ingress = Ingress(answer, CallerLimits(head_timeout=0.05, idle_timeout=5.0))
        async with ingress.serving, await ingress.connect() as stream:
            await anyio.sleep(0.2)
            await stream.send(GET)
            assert b"200 OK" in await read_answer(stream)

    async def test_raised_idle_timeout_applies_to_open_connections(self):
        ingress = Ingress(answer, CallerLimits(idle_timeout=0.15))
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            await read_answer(stream)
            ingress.limits = CallerLimits(idle_timeout=5.0)
            await anyio.sleep(0.3)
            await stream.send(GET)
            assert b"200 OK" in await read_answer(stream)


class TestShutdown:
    async def test_responses_close_their_connections(self):
        ingress = Ingress(answer)
        async with ingress.serving, await ingress.connect() as stream:
            ingress.state.stopping = True
            await stream.send(GET)
            assert b"connection: close" in await read_all(stream)

    async def test_idle_connections_are_closed_and_running_requests_finish(self):
        async def slow(request, caller):
            await anyio.sleep(0.1)
            await answer(request, caller)

        ingress = Ingress(slow)
        async with (
            ingress.serving,
            await ingress.connect() as busy,
            await ingress.connect() as idle,
        ):
            await busy.send(GET)
            await anyio.sleep(0.03)
            ingress.state.close_idle_connections()
            assert await read_all(idle) == b""
            assert b"200 OK" in await read_all(busy)

    async def test_request_that_waits_behind_another_is_answered(self):
        async def slow(request, caller):
            await anyio.sleep(0.1)
            await answer(request, caller)

        ingress = Ingress(slow)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET + GET.replace(b"r1", b"r2"))
            await anyio.sleep(0.03)
            ingress.state.stopping = True
            ingress.state.close_idle_connections()
            received = await read_all(stream)
        assert received.count(b"200 OK") == 2 and received.count(b"connection: close") == 1

    async def test_requests_during_shutdown_are_refused_as_not_run(self, caplog):
        ingress = Ingress(answer)
        async with ingress.serving, await ingress.connect() as stream:
            ingress.state.stopping = ingress.state.refusing = True
            await stream.send(GET)
            received = await read_all(stream)
        assert received.startswith(b"HTTP/1.1 503") and b"samphire-run: not-run" in received
        (line,) = [record for record in caplog.records if record.message == "request"]
        assert (line.request, line.result) == ("r1", SHUTTING_DOWN.code)
