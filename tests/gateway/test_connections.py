"""Matching of responses to requests, and reuse of connections to endpoints."""

import asyncio

import anyio
import pytest

from samphirehall.gateway.connections import (
    EndpointConnections,
    IncompleteResponseError,
    NotSentError,
)
from samphirehall.platform.wire import matches_request
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.support.ports import free_address
from tests.support.resets import count_received_bytes, non_accepting_listener, reset_on_close

pytestmark = pytest.mark.anyio


async def ask(connections, request_id, *, must_not_repeat=False, body=b""):
    headers = [(b"Host", b"h"), (b"X-Request-Id", request_id.encode())]
    method = "POST" if body else "GET"
    async with connections.exchange(
        method,
        b"/x",
        headers,
        body,
        matches=lambda found: matches_request(request_id, found),
        request_id=request_id,
        must_not_repeat=must_not_repeat,
    ) as answer:
        return await answer.read(max_bytes=1000)


async def test_connection_is_reused_for_successive_requests():
    async def script(received, writer):
        writer.write(response_bytes(received, received["x-request-id"].encode()))

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        assert [await ask(connections, name) for name in ("1", "2", "3")] == [b"1", b"2", b"3"]
        assert endpoint.connections == 1


async def test_late_response_to_another_request_is_discarded():
    async def script(received, writer):
        writer.write(response_bytes({"x-request-id": "other"}, b"wrong"))
        writer.write(response_bytes(received, b"right"))

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        assert await ask(connections, "1") == b"right"
        assert await ask(connections, "2") == b"right"
        assert endpoint.connections == 2


async def test_connection_with_bytes_after_a_response_is_not_reused():
    async def script(received, writer):
        writer.write(response_bytes(received, b"ok") + b"HTTP/1.1 200 OK\r\n")

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        await ask(connections, "1")
        await ask(connections, "2")
        assert endpoint.connections == 2


async def test_idle_connection_that_received_bytes_is_not_reused():
    async def script(received, writer):
        writer.write(response_bytes(received, b"ok"))
        await writer.drain()
        asyncio.get_running_loop().call_later(0.02, writer.write, b"late")

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        await ask(connections, "1")
        await asyncio.sleep(0.05)
        assert await ask(connections, "2") == b"ok"
        assert endpoint.connections == 2


@pytest.mark.parametrize("cut", [b"HTTP/1.1 200", b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nab"])
async def test_response_that_ends_early_is_incomplete(cut):
    async def script(received, writer):
        echo = f"X-Request-Id: {received['x-request-id']}\r\n\r\n".encode()
        writer.write(cut.replace(b"\r\n\r\n", b"\r\n" + echo, 1))
        writer.close()

    async with scripted_endpoint(script) as endpoint:
        with pytest.raises(IncompleteResponseError):
            await ask(EndpointConnections(endpoint.address), "1")


async def test_response_without_length_is_incomplete_after_a_reset():
    async def script(received, writer):
        echo = f"X-Request-Id: {received['x-request-id']}".encode()
        writer.write(b"HTTP/1.1 200 X\r\n" + echo + b"\r\n\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_on_close(writer)

    async with scripted_endpoint(script) as endpoint:
        with pytest.raises(IncompleteResponseError):
            await ask(EndpointConnections(endpoint.address), "1")


async def test_early_response_to_a_long_body_is_read():
    async def script(received, writer):
        writer.write(response_bytes(received, b"no", status=413))

    async with scripted_endpoint(script) as endpoint:
        body = b"x" * 2_000_000
        assert await ask(EndpointConnections(endpoint.address), "1", body=body) == b"no"


async def test_closed_port_means_not_sent():
    with pytest.raises(NotSentError):
        await ask(EndpointConnections(free_address()), "1")


async def test_cancelled_exchange_cancels_the_request_at_the_endpoint():
    async def script(received, writer):
        await asyncio.sleep(5)

    async with scripted_endpoint(script) as endpoint:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(ask(EndpointConnections(endpoint.address), "1"), 0.05)
        await asyncio.sleep(0.05)
        assert endpoint.aborted_requests == 1


async def test_request_that_must_not_repeat_uses_no_old_connection(monkeypatch):
    async def script(received, writer):
        writer.write(response_bytes(received))

    monkeypatch.setattr("samphirehall.gateway.connections.MAX_NON_REPEATABLE_IDLE_SECONDS", 0.0)
    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        await ask(connections, "1")
        await ask(connections, "2", must_not_repeat=True)
        assert endpoint.connections == 2


async def test_cancelled_request_is_not_delivered_later():
    body = bytes(200_000)
    with non_accepting_listener() as listener:
        host, port = listener.getsockname()
        connections = EndpointConnections(f"{host}:{port}")
        with anyio.move_on_after(0.1):
            await ask(connections, "1", body=body)
        received = await anyio.to_thread.run_sync(count_received_bytes, listener)
    assert received < len(body)


@pytest.mark.parametrize(
    "timeout", [b"1" * 400, b"1" * 5_000, b"99999999999999999999", b"0", b"-1", b"\xb2"]
)
async def test_odd_idle_timeout_leaves_the_response(timeout):
    async def script(received, writer):
        extra = b"Keep-Alive: timeout=" + timeout + b"\r\n"
        writer.write(response_bytes(received, b"ok").replace(b"\r\n", b"\r\n" + extra, 1))

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        assert await ask(connections, "1") == b"ok"
        assert await ask(connections, "2") == b"ok"


def duplicating(bodies):
    """Return a script that answers with bodies in order, each but the last one twice.

    The second copy arrives with the next request on the same connection.
    """
    stale = {}

    async def script(received, writer):
        body = bodies.pop(0)
        writer.write(stale.pop(writer, b"") + response_bytes(received, body))
        stale[writer] = response_bytes(received, body)

    return script


async def test_repeated_refusal_does_not_answer_the_same_request_sent_again():
    async with scripted_endpoint(duplicating([b"refused", b"done"])) as endpoint:
        connections = EndpointConnections(endpoint.address)
        assert [await ask(connections, "1") for _ in range(2)] == [b"refused", b"done"]
        assert endpoint.connections == 2


async def test_connection_that_carried_an_id_serves_other_requests():
    async def script(received, writer):
        writer.write(response_bytes(received))

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        for name in ("1", "2", "1", "3", "2", "4"):
            await ask(connections, name)
        assert endpoint.connections == 2


async def test_ids_that_a_connection_remembers_are_bounded(monkeypatch):
    async def script(received, writer):
        writer.write(response_bytes(received))

    monkeypatch.setattr("samphirehall.core.connections.MAX_REQUESTS_PER_CONNECTION", 3)
    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        for number in range(7):
            await ask(connections, str(number))
        assert endpoint.connections == 3


async def test_call_whose_response_names_no_id_takes_no_stale_response():
    async def call(connections):
        async with connections.exchange(
            "GET", b"/x", [(b"Host", b"h")], b"", matches=None
        ) as found:
            return await found.read(max_bytes=1000)

    async with scripted_endpoint(duplicating([b"first", b"second", b"third"])) as endpoint:
        connections = EndpointConnections(endpoint.address)
        assert await ask(connections, "1") == b"first"
        assert [await call(connections) for _ in range(2)] == [b"second", b"third"]
