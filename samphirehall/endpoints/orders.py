"""Sends orders to engines, and asks an engine what became of one.

An order goes out in two parts on a connection of its own: the head, then the
body once the sender's right was checked again. An endpoint closes its read
soon after the head, so the body of a sender that was paused in between meets
a closed connection.
"""

import socket
import struct
from collections.abc import Callable

import anyio
import httpcore
import msgspec

from samphirehall.core.connections import TRANSPORT_ERRORS, body_after, read_body
from samphirehall.core.network import TcpBackend
from samphirehall.endpoints.protocol import EngineOrder, EngineOrderAnswer, EngineReport

MAX_ANSWER_BYTES = 64 * 1024
HTTP_OK = 200
_ABORT_ON_CLOSE = struct.pack("ii", 1, 0)


class OrderUnansweredError(Exception):
    """The endpoint gave no answer that can be read; it may have taken the order."""


async def send_order(
    address: str, order: EngineOrder, *, recheck: Callable[[], None], limit: float
) -> EngineOrderAnswer:
    """Send an order to an engine and return its answer.

    Parameters
    ----------
    address : str
        IP number and port.
    order : EngineOrder
        What to do; the same order may be sent again.
    recheck : callable
        Raises unless the sender still has its right; called before the head
        and again before the body.
    limit : float
        Seconds for the whole call. The kernel gives up unacknowledged bytes
        after the same time.

    Raises
    ------
    OrderUnansweredError
        No answer in time.
    """
    content = msgspec.json.encode(order)
    status, body = await _call(address, "POST", "/orders", content, recheck=recheck, limit=limit)
    if status != HTTP_OK:
        raise OrderUnansweredError(f"{address}: status {status}")
    try:
        return msgspec.json.decode(body, type=EngineOrderAnswer)
    except msgspec.DecodeError as error:
        raise OrderUnansweredError(f"{address}: {error}") from error


async def ask_report(address: str, *, limit: float) -> EngineReport | None:
    """Return what an engine says about itself, or None without an answer in time."""
    try:
        status, body = await _call(address, "GET", "/state", b"", recheck=_always, limit=limit)
        return msgspec.json.decode(body, type=EngineReport) if status == HTTP_OK else None
    except (OrderUnansweredError, msgspec.DecodeError):
        return None


async def _call(
    address: str,
    method: str,
    path: str,
    content: bytes,
    *,
    recheck: Callable[[], None],
    limit: float,
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
    connection = httpcore.AsyncHTTPConnection(
        origin, network_backend=TcpBackend(), socket_options=_socket_options(limit)
    )
    request = httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http", host=origin.host, port=origin.port, target=path.encode("ascii")
        ),
        headers=[(b"Host", address.encode()), (b"Content-Length", str(len(content)).encode())],
        content=body_after(content, recheck),
    )
    recheck()
    try:
        with anyio.fail_after(limit):
            response = await connection.handle_async_request(request)
            try:
                return response.status, await read_body(response, max_bytes=MAX_ANSWER_BYTES)
            finally:
                await response.aclose()
    except (*TRANSPORT_ERRORS, TimeoutError, ValueError) as error:
        raise OrderUnansweredError(f"{address}: {error!r}") from error
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


def _socket_options(limit: float) -> list[tuple[int, int, int] | tuple[int, int, bytes]]:
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(limit * 1000)),
        (socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE),
    ]


def _always() -> None:
    pass
