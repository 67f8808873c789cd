"""The gateway's side towards clients: reading requests, writing answers, stopping."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

import anyio
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import INTERNAL_NOT_RUN, INTERNAL_UNKNOWN, SHUTTING_DOWN
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
from samphirehall.forwarding.caller_protocol import (
    TARGET_SCOPE_KEY,
    caller_connection,
    caller_protocol,
)
from samphirehall.forwarding.inbound import CallerDisconnectedError, read_request_body
from samphirehall.gateway.journey import Caller, log_refusal
from samphirehall.gateway.types import CallerLimits, Headers, Request

BODY_SECONDS = 30.0  # a client that is slower than this has stopped sending
OTHER_HOST_S = 0.05  # a refused client finds another host at once
CLOSE = (b"connection", b"close")

_log = logging.getLogger(__name__)

DecodeRequest = Callable[[str, bytes, Headers, bytes, float], Request]
Serve = Callable[[Request, Caller], Awaitable[None]]


@dataclass(slots=True)
class FrontState:
    """What all connections of clients share.

    Parameters
    ----------
    limits : callable
        The limits now in force.
    stopping : bool
        Whether each answer ends its connection.
    refusing : bool
        Whether new requests are refused, as there is no time left to finish them.
    open_requests : int
        Requests read and not answered.
    """

    limits: Callable[[], CallerLimits]
    stopping: bool = False
    refusing: bool = False
    open_requests: int = 0
    connections: WeakSet[HttpToolsProtocol] = field(default_factory=WeakSet)

    def close_idle(self) -> None:
        """Close the connections without a request, and each other one after its answer."""
        for connection in list(self.connections):
            connection.shutdown()


class AsgiCaller:
    """A client's answer, written through ASGI."""

    def __init__(self, send: Send, state: FrontState) -> None:
        self._send = send
        self._state = state
        self._started = False

    @property
    def started(self) -> bool:
        """Whether a status has been sent."""
        return self._started

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self._started = True
        closing = [CLOSE] if self._state.stopping else []
        await send_head(self._send, status, [*headers, *closing])

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        await send_body(self._send, data, more=True)

    async def finish(self) -> None:
        """End the body as complete."""
        await send_body(self._send, b"")


async def refuse(caller: Caller, error: SamphireError, request_id: str) -> None:
    """Send a numbered refusal with the time to come back in seconds, fractions included."""
    body = error_body(error, request_id)
    headers = result_headers(error.result, request_id, JSON)
    if error.retry_after is not None:
        headers.append((b"retry-after", f"{error.retry_after:.3f}".encode()))
    headers.append((b"content-length", str(len(body)).encode()))
    await caller.start(error.result.http_status, headers)
    await caller.write(body)
    await caller.finish()


def front_app(state: FrontState, decode: DecodeRequest, serve: Serve) -> Any:
    """Return the ASGI application that serves clients.

    Parameters
    ----------
    state : FrontState
        Shared by all connections.
    decode : callable
        Makes a request of method, target, headers, body and the present time.
    serve : callable
        Answers a request.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        connection = caller_connection(scope)
        caller = AsgiCaller(send, state)
        state.open_requests += 1
        try:
            with (
                anyio.CancelScope() as client_is_there,
                connection.notify_on_close(client_is_there.cancel),
            ):
                await _answer(state, decode, serve, scope, receive, caller)
        finally:
            state.open_requests -= 1
        if client_is_there.cancelled_caught or not caller.started:
            connection.close()

    return app


async def _read_request(
    state: FrontState, decode: DecodeRequest, scope: Scope, receive: Receive
) -> Request:
    """Return a request, or refuse it here and write the line that says why."""
    request_id = ""
    try:
        limit = state.limits().max_body_bytes
        body = await read_request_body(receive, max_bytes=limit, timeout=BODY_SECONDS)
        request = decode(
            scope["method"], scope[TARGET_SCOPE_KEY], scope["headers"], body, boot_seconds()
        )
        request_id = request.request_id
        if state.refusing:
            raise SamphireError(SHUTTING_DOWN, "the host is stopping", retry_after=OTHER_HOST_S)
    except SamphireError as error:
        log_refusal(request_id, error)
        raise
    return request


async def _answer(
    state: FrontState,
    decode: DecodeRequest,
    serve: Serve,
    scope: Scope,
    receive: Receive,
    caller: AsgiCaller,
) -> None:
    request_id = ""
    try:
        request = await _read_request(state, decode, scope, receive)
        request_id = request.request_id
        await serve(request, caller)
    except CallerDisconnectedError:
        return
    except SamphireError as error:
        if caller.started:
            # The body must not look complete: the connection is closed in the middle of it.
            caller_connection(scope).close()
        else:
            await refuse(caller, error, request_id)
    except Exception as error:
        _log.exception("request-crashed", extra={"request": request_id})
        result = INTERNAL_UNKNOWN if request_id else INTERNAL_NOT_RUN
        if caller.started:
            caller_connection(scope).close()
        else:
            await refuse(caller, SamphireError(result, type(error).__name__), request_id)


def front_protocol(state: FrontState) -> type[HttpToolsProtocol]:
    """Return the protocol class of clients' connections, with the limits now in force."""
    base: Any = caller_protocol(head_timeout=state.limits().head_timeout)

    class FrontProtocol(base):
        """Follows limits that change while connections are open."""

        def connection_made(self, transport: Any) -> None:
            """Take the connection in."""
            super().connection_made(transport)
            state.connections.add(self)

        def head_seconds(self) -> float:
            """Return the seconds in which a head must arrive."""
            return state.limits().head_timeout

        def max_head_bytes(self) -> int:
            """Return the longest head in bytes."""
            return state.limits().max_head_bytes

        def expect_first_head(self) -> None:
            """Allow a new connection to stay idle as an old one."""
            self.timeout_keep_alive_task = self.loop.call_later(
                state.limits().idle_timeout, self.timeout_keep_alive_handler
            )

        def on_response_complete(self) -> None:
            """Keep the connection open for the idle time now in force."""
            self.timeout_keep_alive = state.limits().idle_timeout
            super().on_response_complete()

        def timeout_keep_alive_handler(self) -> None:
            """Close, unless the idle time has become longer meanwhile."""
            left = state.limits().idle_timeout - self.timeout_keep_alive
            if left > 0:
                self.timeout_keep_alive += left
                self.timeout_keep_alive_task = self.loop.call_later(
                    left, self.timeout_keep_alive_handler
                )
                return
            super().timeout_keep_alive_handler()

    return FrontProtocol
