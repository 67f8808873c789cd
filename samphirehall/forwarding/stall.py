"""Inactivity timeouts of many streams, checked by one task.

A timer per chunk would cost more than relaying the chunk. A guard therefore
only stores the time at which its stream times out, and one task checks all
guards periodically.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import httpcore

from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.inbound import CallerDisconnectedError

CHECK_INTERVAL_SECONDS = 0.1


class StalledError(httpcore.ReadTimeout):
    """An endpoint sent nothing on a stream for too long."""


class CallerStalledError(CallerDisconnectedError):
    """The caller read nothing from its stream for too long."""


class StallGuard:
    """Inactivity timeout of one stream.

    `waits_for_caller` says whether the stream is blocked on the caller instead of the endpoint.

    Parameters
    ----------
    until : float
        Time at which the stream times out, on the boot clock in seconds.
    """

    __slots__ = ("expired", "scope", "until", "waits_for_caller")

    def __init__(self, until: float) -> None:
        self.until = until
        self.waits_for_caller = False
        self.expired = False
        self.scope = anyio.CancelScope()


class StallWatch:
    """Cancels the streams whose inactivity timeout has passed."""

    def __init__(self) -> None:
        self._guards: set[StallGuard] = set()

    async def run(self) -> None:
        """Check all guards periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(now=boot_seconds())

    def check(self, *, now: float) -> None:
        """Cancel the streams that have timed out.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        for guard in [guard for guard in self._guards if guard.until < now]:
            guard.expired = True
            guard.scope.cancel()

    @contextmanager
    def guard(self, until: float) -> Iterator[StallGuard]:
        """Run the context under an inactivity timeout.

        Raises
        ------
        StalledError
            The endpoint sent nothing for too long.
        CallerStalledError
            The caller read nothing for too long.
        """
        guard = StallGuard(until)
        self._guards.add(guard)
        try:
            with guard.scope:
                yield guard
        finally:
            self._guards.discard(guard)
        if guard.expired and guard.scope.cancelled_caught:
            if guard.waits_for_caller:
                raise CallerStalledError
            raise StalledError("the endpoint sent nothing within the inactivity timeout")
