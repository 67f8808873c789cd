"""Limit on the silence of an endpoint, which ends a send only if another can take over."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator

import anyio

from samphirehall.core.log import log_decision

RECHECK_INTERVAL_SECONDS = 0.1  # while no other endpoint can take over
GRACE_SECONDS = 0.05  # in which the event loop reads what arrived while it was stalled
MAX_TIMER_DELAY_SECONDS = 0.1  # of a timer; after longer ones this host may have been deaf

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
    on_silence : callable
        Called with True when the timer has expired and the send goes on, and with False when
        the endpoint is heard again or the send ends.
    """

    __slots__ = (
        "_due",
        "_endpoint_id",
        "_is_silent",
        "_may_end",
        "_on_silence",
        "_request_id",
        "_timer",
        "expired",
        "scope",
    )

    def __init__(
        self,
        request_id: str,
        endpoint_id: str,
        may_end: Callable[[], bool],
        on_silence: Callable[[bool], None],
    ) -> None:
        self._request_id = request_id
        self._endpoint_id = endpoint_id
        self._may_end = may_end
        self._on_silence = on_silence
        self._timer: asyncio.Handle | None = None
        self._due = 0.0  # on the clock of the event loop
        self._is_silent = False
        self.scope = anyio.CancelScope()
        self.expired = False

    def restart(self, seconds: float) -> None:
        """Expire after this time, unless restarted or stopped before."""
        self.stop()
        self._call_later(seconds, self._begin_grace)

    def stop(self) -> None:
        """Never expire."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._is_silent:
            self._is_silent = False
            self._on_silence(False)

    def _call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + seconds
        self._timer = loop.call_at(self._due, callback)

    def _begin_grace(self) -> None:
        """Let the event loop read its sockets: timers may run before that."""
        self._call_later(GRACE_SECONDS, self._end_grace)

    def _end_grace(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - self._due > MAX_TIMER_DELAY_SECONDS:
            self._begin_grace()
        else:
            # Tasks that were woken by what has been read run before.
            self._timer = loop.call_soon(self._expire)

    def _expire(self) -> None:
        if self._may_end():
            self._log_decision("another endpoint takes over")
            self.expired = True
            self.scope.cancel()
            return
        if not self._is_silent:
            self._is_silent = True
            self._on_silence(True)
            self._log_decision("no other endpoint can take over, the send goes on")
        self._call_later(RECHECK_INTERVAL_SECONDS, self._end_grace)

    def _log_decision(self, reason: str) -> None:
        log_decision(
            _log, "silent-send", reason, request=self._request_id, endpoint=self._endpoint_id
        )


@contextlib.contextmanager
def silence_limit(
    request_id: str,
    endpoint_id: str,
    may_end: Callable[[], bool],
    on_silence: Callable[[bool], None] = lambda is_silent: None,
) -> Iterator[SilenceLimit]:
    """Run the context under a limit that does not run until it is restarted.

    Raises
    ------
    TimeoutError
        The endpoint was silent for too long, and another can take over.
    """
    limit = SilenceLimit(request_id, endpoint_id, may_end, on_silence)
    try:
        with limit.scope:
            yield limit
    finally:
        limit.stop()
    if limit.expired and limit.scope.cancelled_caught:
        raise TimeoutError("the endpoint was silent for too long")
