"""Limits of silence for many streams, watched by one task.

Setting a timer for every chunk would cost more than relaying it. A guard only
notes the time until which silence is allowed; the watch looks at all guards a
few times a second.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import httpcore

from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.inbound import CallerGoneError

TICK_SECONDS = 0.1


class StalledError(httpcore.ReadTimeout):
    """A stream was silent for too long."""


class CallerStalledError(CallerGoneError):
    """The caller took nothing for too long."""


class StallGuard:
    """Limit of silence of one stream.

    Parameters
    ----------
    until : float
        Boot clock in seconds until which silence is allowed.
    """

    __slots__ = ("expired", "scope", "until", "waits_for_caller")

    def __init__(self, until: float) -> None:
        self.until = until
        self.waits_for_caller = False
        self.expired = False
        self.scope = anyio.CancelScope()


class StallWatch:
    """Ends the streams that are silent for too long."""

    def __init__(self) -> None:
        self._guards: set[StallGuard] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.check(now=boot_seconds())

    def check(self, *, now: float) -> None:
        """Cancel the guards whose time is up.

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
        """Run the context under a limit of silence.

        Raises
        ------
        StalledError
            The stream was silent for too long.
        CallerStalledError
            The caller took nothing for too long.
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
            raise StalledError("the stream was silent for too long")
