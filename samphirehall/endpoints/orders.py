"""Sends orders to engines, and fetches the report that shows an engine's last order.

Each order is sent on a separate connection in two parts: the request head, and
the body after the sender's lease has been checked again. An engine stops
reading shortly after the head. If the sender's process is paused between this
check and the body, as by SIGSTOP, the body therefore arrives too late and the
order is not carried out under a lease that may have expired.
"""

import socket
import struct
from collections.abc import Callable

import anyio
import httpcore
import msgspec

from samphirehall.core.connections import TRANSPORT_ERRORS, body_after_check, read_body
from samphirehall.core.decoding import DecodingError, decode
from samphirehall.core.network import TcpBackend
from samphirehall.endpoints.protocol import (
    ORDER_ANSWER_DECODER,
    REPORT_DECODER,
    EngineOrder,
    EngineOrderAnswer,
    EngineReport,
)

MAX_ANSWER_BYTES = 64 * 1024
HTTP_OK = 200
_ABORT_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: close discards unsent bytes


class OrderUnansweredError(Exception):
    """The endpoint sent no valid answer; it may have accepted the order."""


async def send_order(
    address: str, order: EngineOrder, *, recheck: Callable[[], None], timeout: float
) -> EngineOrderAnswer:
    """Send an order to an engine and return its answer.

    Parameters
    ----------
    address : str
        IP number and port.
    order : EngineOrder
        Order to send; the same order may be sent again.
    recheck : callable
        Raises unless the sender still holds its lease; called before the head
        and again before the body.
    timeout : float
        Seconds for the whole call. The kernel drops the connection if sent
        bytes stay unacknowledged for as long.

    Raises
    ------
    OrderUnansweredError
        No valid answer in time.
    """
    content = msgspec.json.encode(order)
    status, body = await _call(
        address, "POST", "/orders", content, recheck=recheck, timeout=timeout
    )
    if status != HTTP_OK:
        raise OrderUnansweredError(f"order to {address}: answer has status {status}")
    try:
        return decode(body, ORDER_ANSWER_DECODER)
    except DecodingError as error:
        raise OrderUnansweredError(f"order to {address}: malformed answer: {error}") from error


async def fetch_report(address: str, *, timeout: float) -> EngineReport | None:
    """Return the report of an engine, or None if it sends no valid one in time."""
    try:
        status, body = await _call(
            address, "GET", "/state", b"", recheck=_no_check, timeout=timeout
        )
        return decode(body, REPORT_DECODER) if status == HTTP_OK else None
    except (OrderUnansweredError, DecodingError):
        return None


async def _call(
    address: str,
    method: str,
    path: str,
    content: bytes,
    *,
    recheck: Callable[[], None],
    timeout: float,
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
    connection = httpcore.AsyncHTTPConnection(
        origin, network_backend=TcpBackend(), socket_options=_socket_options(timeout)
    )
    request = httpcore.Request(
        method,
        httpcore.URL(
            scheme=b"http", host=origin.host, port=origin.port, target=path.encode("ascii")
        ),
        headers=[(b"Host", address.encode()), (b"Content-Length", str(len(content)).encode())],
        content=body_after_check(content, recheck),
    )
    recheck()
    try:
        with anyio.fail_after(timeout):
            response = await connection.handle_async_request(request)
            try:
                return response.status, await read_body(response, max_bytes=MAX_ANSWER_BYTES)
            finally:
                await response.aclose()
    except (*TRANSPORT_ERRORS, TimeoutError, ValueError) as error:
        raise OrderUnansweredError(f"{method} {path} to {address}: {error!r}") from error
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


def _socket_options(timeout: float) -> list[tuple[int, int, int] | tuple[int, int, bytes]]:
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout * 1000)),
        (socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE),
    ]


def _no_check() -> None:
    pass
