"""The connection of a caller, as requests see it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from samphirehall.forwarding.answers import Scope

CONNECTION_SCOPE_KEY = "samphire.connection"


def _do_nothing() -> None:
    """Do nothing, as another server owns the connection."""


def _has_no_requests() -> bool:
    """Return that no request is known to wait, as another server owns the connection."""
    return False


class CallerConnection:
    """Connection of a caller, with callbacks for when it closes.

    Parameters
    ----------
    close : callable
        Closes the connection, even while a response is being sent.
    has_requests : callable
        Returns whether requests that have been read wait for the present response to end.
    """

    __slots__ = ("_callbacks", "_closed", "close", "has_requests")

    def __init__(
        self,
        close: Callable[[], None] = _do_nothing,
        has_requests: Callable[[], bool] = _has_no_requests,
    ) -> None:
        self.close = close
        self.has_requests = has_requests
        self._closed = False
        self._callbacks: list[Callable[[], None]] = []

    def mark_closed(self) -> None:
        """Record that the connection closed and run the callbacks."""
        self._closed = True
        # Bound methods of the protocol would keep it until the garbage collector finds it.
        self.has_requests = _has_no_requests
        for callback in self._callbacks:
            callback()

    @contextmanager
    def notify_on_close(self, on_close: Callable[[], None]) -> Iterator[None]:
        """Call `on_close` if the connection closes inside the context or has closed before it."""
        self._callbacks.append(on_close)
        try:
            if self._closed:
                on_close()
            yield
        finally:
            self._callbacks.remove(on_close)


def caller_connection(scope: Scope) -> CallerConnection:
    """Return the connection of a request.

    Under another server the connection is unknown and never reported as closed.
    """
    return scope.get(CONNECTION_SCOPE_KEY) or CallerConnection()
