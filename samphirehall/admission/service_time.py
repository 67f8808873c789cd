"""How long requests take, learned from those that ended."""

GAIN = 0.05
WINDOW_SECONDS = 1.0
RATE_GAIN = 0.3


class ServiceTime:
    """Average seconds that a unit of work takes from admission to its end."""

    def __init__(self) -> None:
        self._seconds_per_unit: float | None = None

    def observe(self, work: float, seconds: float) -> None:
        """Take one request that ended whole.

        Parameters
        ----------
        work : float
            Work that it was.
        seconds : float
            Time from admission to its end.
        """
        sample = seconds / max(1.0, work)
        if self._seconds_per_unit is None:
            self._seconds_per_unit = sample
        else:
            self._seconds_per_unit += GAIN * (sample - self._seconds_per_unit)

    def estimate(self, work: float) -> float:
        """Return the seconds that so much work should take; 0 before the first request."""
        return (self._seconds_per_unit or 0.0) * work


class ServiceRate:
    """Work that this host gets served a second, averaged over windows.

    Parameters
    ----------
    now : float
        Boot clock in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._begin = now
        self._work = 0.0
        self._rate: float | None = None

    def observe(self, work: float, *, now: float) -> None:
        """Count work that was admitted while others waited."""
        self._work += work
        passed = now - self._begin
        if passed < WINDOW_SECONDS:
            return
        sample = self._work / passed
        self._rate = sample if self._rate is None else self._mix(sample)
        self._begin, self._work = now, 0.0

    def restart(self, *, now: float) -> None:
        """Begin a window: nothing waited until now, so the rate is not known to be the limit."""
        self._begin, self._work = now, 0.0

    def seconds_for(self, work: float) -> float:
        """Return the time that so much work should wait; 0 before the first window."""
        return work / self._rate if self._rate else 0.0

    def _mix(self, sample: float) -> float:
        assert self._rate is not None
        return self._rate + RATE_GAIN * (sample - self._rate)
