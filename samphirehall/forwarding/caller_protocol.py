"""uvicorn's HTTP protocol with bounds on what a caller's head may take in time and bytes."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import BAD_REQUEST, CALL_TIMEOUT, TOO_LARGE, Result
from samphirehall.forwarding.answers import JSON, Scope, error_body, result_headers

MAX_HEAD_BYTES = 64 * 1024
CONNECTION = "samphire.connection"
TARGET = "samphire.target"


def _no_connection() -> None:
    """Close nothing, where another server holds the connection."""


class CallerConnection:
    """Whether a caller's connection is still there.

    Parameters
    ----------
    close : callable
        Closes the connection, also in the middle of an answer.
    """

    __slots__ = ("_gone", "_watchers", "close")

    def __init__(self, close: Callable[[], None] = _no_connection) -> None:
        self.close = close
        self._gone = False
        self._watchers: list[Callable[[], None]] = []

    def lose(self) -> None:
        """Note that the connection is gone and tell who watches it."""
        self._gone = True
        for watcher in self._watchers:
            watcher()

    @contextmanager
    def watched(self, on_gone: Callable[[], None]) -> Iterator[None]:
        """Call `on_gone` if the connection goes, or is gone, while the context lasts."""
        self._watchers.append(on_gone)
        try:
            if self._gone:
                on_gone()
            yield
        finally:
            self._watchers.remove(on_gone)


def connection_of(scope: Scope) -> CallerConnection:
    """Return the connection of a request; one that never goes if the server is another."""
    return scope.get(CONNECTION) or CallerConnection()


def caller_protocol(*, head_timeout: float) -> type[HttpToolsProtocol]:
    """Return the protocol class of callers' connections.

    Parameters
    ----------
    head_timeout : float
        Seconds in which the head of a request, and the first one of a new
        connection, must arrive.
    """

    class CallerProtocol(HttpToolsProtocol):
        """Closes a connection whose next head is too slow or too long."""

        _head_timer: asyncio.TimerHandle | None = None
        _head_bytes = 0
        _in_head = True

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            """Expect the first head."""
            super().connection_made(transport)
            self._caller = CallerConnection(transport.close)
            self.expect_first_head()

        def expect_first_head(self) -> None:
            """Expect a head as soon as the connection is there."""
            self._expect_head()

        def connection_lost(self, exc: Exception | None) -> None:
            """Stop waiting for a head."""
            self._stop_timer()
            super().connection_lost(exc)
            self._caller.lose()

        def data_received(self, data: bytes) -> None:
            """Read bytes of a head or a body."""
            if self._in_head:
                self._head_bytes += len(data)
            super().data_received(data)
            if self._in_head and self._head_bytes > self.max_head_bytes():
                self._refuse(TOO_LARGE, f"head over {self.max_head_bytes()} bytes")

        def head_seconds(self) -> float:
            """Return the seconds in which a head must arrive."""
            return head_timeout

        def max_head_bytes(self) -> int:
            """Return the longest head in bytes."""
            return MAX_HEAD_BYTES

        def on_message_begin(self) -> None:
            """Begin a head: from now on it must arrive in time."""
            super().on_message_begin()
            self.scope[CONNECTION] = self._caller  # type: ignore[literal-required]
            self._expect_head()

        def on_url(self, url: bytes) -> None:
            """Keep the target as it was sent."""
            super().on_url(url)
            self.scope[TARGET] = self.url  # type: ignore[literal-required]

        def on_headers_complete(self) -> None:
            """End a head."""
            self._in_head = False
            self._head_bytes = 0
            self._stop_timer()
            super().on_headers_complete()

        def send_400_response(self, msg: str) -> None:
            """Refuse what is not HTTP."""
            self._refuse(BAD_REQUEST, msg)

        def _expect_head(self) -> None:
            self._in_head = True
            if self._head_timer is None:
                self._head_timer = self.loop.call_later(self.head_seconds(), self._head_is_late)

        def _stop_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _head_is_late(self) -> None:
            self._head_timer = None
            self._refuse(CALL_TIMEOUT, f"no whole head within {self.head_seconds()} s")

        def _refuse(self, result: Result, detail: str) -> None:
            """Answer a refusal and close, unless another answer is being written."""
            if self.transport.is_closing():
                return
            if self.cycle is None or self.cycle.response_complete:
                self.transport.write(_refusal(result, detail))
            self.transport.close()

    return CallerProtocol


def _refusal(result: Result, detail: str) -> bytes:
    body = error_body(SamphireError(result, detail), "")
    headers = [
        *result_headers(result, "", JSON),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    lines = [name + b": " + value + b"\r\n" for name, value in headers]
    return b"".join([STATUS_LINE[result.http_status], *lines, b"\r\n", body])
