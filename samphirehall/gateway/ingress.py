"""Client-facing side of the gateway: receive requests, send responses, shut down."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

import anyio
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import INTERNAL_NOT_RUN, INTERNAL_UNKNOWN
from samphirehall.forwarding.answers import (
    JSON,
    Receive,
    Scope,
    Send,
    error_body,
    result_headers,
    send_body,
    send_head,
)
from samphirehall.forwarding.caller_connection import CallerConnection, caller_connection
from samphirehall.forwarding.caller_protocol import TARGET_SCOPE_KEY, caller_protocol
from samphirehall.forwarding.connection_limits import ConnectionLimits
from samphirehall.forwarding.inbound import CallerDisconnectedError, read_request_body
from samphirehall.gateway.gateway import stopping_error
from samphirehall.gateway.request_state import Caller, log_refusal
from samphirehall.gateway.types import CallerLimits, Headers, Request

BODY_TIMEOUT_SECONDS = 30.0  # a slower client is taken to have stopped sending
CONNECTION_CLOSE_HEADER = (b"connection", b"close")

_log = logging.getLogger(__name__)

DecodeRequest = Callable[[str, bytes, Headers, bytes, float], Request]
Serve = Callable[[Request, Caller], Awaitable[None]]


@dataclass(slots=True)
class IngressState:
    """State shared by all client connections.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    stopping : bool
        Whether each response closes its connection, unless requests wait behind it.
    refusing : bool
        Whether all new requests are refused because the host is about to exit.
    open_requests : int
        Requests whose response is not complete.
    connections : WeakSet
        Open client connections.
    connection_limits : ConnectionLimits or None
        Limits on all connections together; None for those of the process.
    """

    limits: Callable[[], CallerLimits]
    stopping: bool = False
    refusing: bool = False
    open_requests: int = 0
    connections: WeakSet[HttpToolsProtocol] = field(default_factory=WeakSet)
    connection_limits: ConnectionLimits | None = None

    def close_idle_connections(self) -> None:
        """Close idle connections now, and each busy one after its response."""
        for connection in list(self.connections):
            connection.shutdown()


class AsgiCaller:
    """Response to one client, sent through ASGI.

    Attributes
    ----------
    complete : bool
        Whether the whole response has been sent.
    request_id : str
        Id of the request, for the log; empty until it has been read.
    """

    def __init__(self, send: Send, state: IngressState, connection: CallerConnection) -> None:
        self._send = send
        self._connection = connection
        self._state = state
        self._started = False
        self.complete = False
        self.request_id = ""

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        self._started = True
        closes = self._state.stopping and not self._connection.has_requests()
        closing = [CONNECTION_CLOSE_HEADER] if closes else []
        await send_head(self._send, status, [*headers, *closing])

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await send_body(self._send, data, more=True)

    async def finish(self) -> None:
        """Mark the body as complete."""
        await send_body(self._send, b"")
        self.complete = True


async def send_refusal(caller: Caller, error: SamphireError, request_id: str) -> None:
    """Send an error response; its retry-after header holds fractions of a second."""
    body = error_body(error, request_id)
    headers = result_headers(error.result, request_id, JSON)
    if error.retry_after is not None:
        headers.append((b"retry-after", f"{error.retry_after:.3f}".encode()))
    headers.append((b"content-length", str(len(body)).encode()))
    await caller.start(error.result.http_status, headers)
    await caller.write(body)
    await caller.finish()


def ingress_app(state: IngressState, decode: DecodeRequest, serve: Serve) -> Any:
    """Return the ASGI application that serves clients.

    Parameters
    ----------
    state : IngressState
        Shared by all connections.
    decode : callable
        Makes a `Request` from method, target, headers, body and the current boot clock.
    serve : callable
        Serves a request and sends its response to a caller.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        connection = caller_connection(scope)
        caller = AsgiCaller(send, state, connection)
        state.open_requests += 1
        try:
            with (
                anyio.CancelScope() as client_scope,
                connection.notify_on_close(client_scope.cancel),
            ):
                await _handle_request(state, decode, serve, scope, receive, caller)
        finally:
            state.open_requests -= 1
        if client_scope.cancelled_caught:
            connection.close()
        elif not caller.complete:
            # The response must not look complete.
            reason = "incomplete answer" if caller.started else "no answer"
            log_decision(_log, "connection-closed", reason, request=caller.request_id)
            connection.close()

    return app


async def _read_request(
    state: IngressState, decode: DecodeRequest, scope: Scope, receive: Receive
) -> Request:
    """Receive and decode a request; log the refusal if it is invalid or the host is stopping."""
    request_id = ""
    try:
        limit = state.limits().max_body_bytes
        body = await read_request_body(receive, max_bytes=limit, timeout=BODY_TIMEOUT_SECONDS)
        request = decode(
            scope["method"], scope[TARGET_SCOPE_KEY], scope["headers"], body, boot_seconds()
        )
        request_id = request.request_id
        if state.refusing:
            raise stopping_error()
    except SamphireError as error:
        log_refusal(request_id, error)
        raise
    return request


async def _handle_request(
    state: IngressState,
    decode: DecodeRequest,
    serve: Serve,
    scope: Scope,
    receive: Receive,
    caller: AsgiCaller,
) -> None:
    request_id = ""
    try:
        request = await _read_request(state, decode, scope, receive)
        request_id = caller.request_id = request.request_id
        await serve(request, caller)
    except CallerDisconnectedError:
        return
    except SamphireError as error:
        if not caller.started:
            await send_refusal(caller, error, request_id)
    except Exception as error:
        _log.exception("request-crashed", extra={"request": request_id})
        result = INTERNAL_UNKNOWN if request_id else INTERNAL_NOT_RUN
        if not caller.started:
            await send_refusal(caller, SamphireError(result, type(error).__name__), request_id)


def ingress_protocol(state: IngressState) -> type[HttpToolsProtocol]:
    """Return the protocol class of client connections, which applies the limits in force."""
    base: Any = caller_protocol(
        head_timeout=state.limits().head_timeout, limits=state.connection_limits
    )

    class IngressProtocol(base):
        """Applies limits that may change while connections are open."""

        def connection_made(self, transport: Any) -> None:
            """Register the connection, so that a shutdown can close it."""
            super().connection_made(transport)
            state.connections.add(self)

        def head_seconds(self) -> float:
            """Return the timeout of a request head in seconds."""
            return state.limits().head_timeout

        def max_head_bytes(self) -> int:
            """Return the maximum length of a request head in bytes."""
            return state.limits().max_head_bytes

        def expect_first_head(self) -> None:
            """Apply the idle timeout, not the head timeout, to a new connection."""
            self.timeout_keep_alive = state.limits().idle_timeout
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

        def on_response_complete(self) -> None:
            """Keep the connection open for the idle timeout in force."""
            self.timeout_keep_alive = state.limits().idle_timeout
            super().on_response_complete()

        def timeout_keep_alive_handler(self) -> None:
            """Close the connection, unless the idle timeout has been raised meanwhile."""
            remaining = state.limits().idle_timeout - self.timeout_keep_alive
            if remaining > 0:
                self.timeout_keep_alive += remaining
                self.timeout_keep_alive_task = self.loop.call_later(
                    remaining, self.timeout_keep_alive_handler
                )
                return
            super().timeout_keep_alive_handler()

    return IngressProtocol
