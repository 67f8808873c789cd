"""Limit on the silence of an endpoint, which ends a send only if another can take over."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator

import anyio

from samphirehall.core.log import log_decision

RECHECK_INTERVAL_SECONDS = 0.1  # while no other endpoint can take over

_log = logging.getLogger(__name__)


class SilenceLimit:
    """Timer of one send that is restarted whenever its endpoint is heard.

    Parameters
    ----------
    request_id, endpoint_id : str
        The send, for the log.
    may_end : callable
        Returns whether another endpoint is certain to take over. It is called when the
        timer expires and then periodically.
    """

    __slots__ = ("_endpoint_id", "_may_end", "_request_id", "_timer", "expired", "scope")

    def __init__(self, request_id: str, endpoint_id: str, may_end: Callable[[], bool]) -> None:
        self._request_id = request_id
        self._endpoint_id = endpoint_id
        self._may_end = may_end
        self._timer: asyncio.TimerHandle | None = None
        self.scope = anyio.CancelScope()
        self.expired = False

    def restart(self, seconds: float) -> None:
        """Expire after this time, unless restarted or stopped before."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire, True)

    def stop(self) -> None:
        """Never expire."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self, first: bool) -> None:
        if self._may_end():
            self._log_decision("another endpoint takes over")
            self.expired = True
            self.scope.cancel()
            return
        if first:
            self._log_decision("no other endpoint can take over, the send goes on")
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RECHECK_INTERVAL_SECONDS, self._expire, False)

    def _log_decision(self, reason: str) -> None:
        log_decision(
            _log, "silent-send", reason, request=self._request_id, endpoint=self._endpoint_id
        )


@contextlib.contextmanager
def silence_limit(
    request_id: str, endpoint_id: str, may_end: Callable[[], bool]
) -> Iterator[SilenceLimit]:
    """Run the context under a limit that does not run until it is restarted.

    Raises
    ------
    TimeoutError
        The endpoint was silent for too long, and another can take over.
    """
    limit = SilenceLimit(request_id, endpoint_id, may_end)
    try:
        with limit.scope:
            yield limit
    finally:
        limit.stop()
    if limit.expired and limit.scope.cancelled_caught:
        raise TimeoutError("the endpoint was silent for too long")
