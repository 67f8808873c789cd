"""Requests that have arrived when their connection is about to be closed as idle."""

import os
import time

import anyio
import pytest

from samphirehall.core.network import raw_socket
from samphirehall.gateway.types import CallerLimits
from tests.gateway.test_ingress import GET, Ingress, answer, read_answer

IDLE_SECONDS = 0.3


def send_now(stream, data):
    """Send without a turn of the event loop."""
    os.write(raw_socket(stream).fileno(), data)


def idle_ingress(seconds=IDLE_SECONDS):
    return Ingress(answer, CallerLimits(idle_timeout=seconds))


# Guards against LOST: a request that is closed with its idle connection, without an answer.
@pytest.mark.anyio
class TestIdleTimeout:
    async def test_request_that_has_arrived_is_answered(self):
        ingress = idle_ingress()
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            await read_answer(stream)
            (connection,) = ingress.state.connections
            send_now(stream, GET)
            connection.timeout_keep_alive_handler()
            assert b"200 OK" in await read_answer(stream)

    async def test_request_that_has_arrived_at_a_stop_is_answered(self):
        ingress = idle_ingress()
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            await read_answer(stream)
            send_now(stream, GET)
            ingress.state.stopping = True
            ingress.state.close_idle_connections()
            assert b"200 OK" in await read_answer(stream)
            with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_idle_connection_is_closed(self):
        ingress = idle_ingress()
        async with ingress.serving, await ingress.connect() as stream:
            with anyio.fail_after(3 * IDLE_SECONDS), pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_request_that_began_behind_another_is_not_idle(self):
        async def answer_late(request, caller):
            await anyio.sleep(IDLE_SECONDS / 2)
            await answer(request, caller)

        ingress = Ingress(answer_late, CallerLimits(idle_timeout=IDLE_SECONDS))
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET + GET[:10])
            assert b"200 OK" in await read_answer(stream)
            await anyio.sleep(0.8 * IDLE_SECONDS)
            await stream.send(GET[10:])
            assert b"200 OK" in await read_answer(stream)

    # Guards against connections that stay open for good, by bytes that belong to no request.
    @pytest.mark.parametrize("first", [b"", GET])
    async def test_empty_line_does_not_end_the_idle_timeout(self, first):
        ingress = idle_ingress()
        async with ingress.serving, await ingress.connect() as stream:
            if first:
                await stream.send(first)
                await read_answer(stream)
            await stream.send(b"\r\n")
            with anyio.fail_after(3 * IDLE_SECONDS), pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_rest_of_a_refused_body_is_not_read_for_good(self):
        ingress = Ingress(answer, CallerLimits(max_body_bytes=1000, idle_timeout=IDLE_SECONDS))
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(
                GET.replace(b"GET", b"POST")[:-2] + b"Content-Length: 99999999\r\n\r\n"
            )
            with anyio.fail_after(6 * IDLE_SECONDS), pytest.raises(anyio.BrokenResourceError):
                while True:
                    await stream.send(b"x" * 2000)
                    await anyio.sleep(0.001)

    async def test_raised_timeout_applies_to_a_connection_without_a_request(self):
        ingress = idle_ingress()
        async with ingress.serving, await ingress.connect() as stream:
            await anyio.sleep(0.05)
            ingress.limits = CallerLimits(idle_timeout=3 * IDLE_SECONDS)
            await anyio.sleep(1.5 * IDLE_SECONDS)
            await stream.send(GET)
            assert b"200 OK" in await read_answer(stream)


@pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": True})])
@pytest.mark.anyio
async def test_stall_of_the_process_closes_no_connection_with_a_request(anyio_backend):
    ingress = idle_ingress()
    async with ingress.serving, await ingress.connect() as stream:
        await stream.send(GET)
        await read_answer(stream)
        send_now(stream, GET)
        time.sleep(1.5 * IDLE_SECONDS)
        assert b"200 OK" in await read_answer(stream)
