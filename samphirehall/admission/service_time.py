"""Running averages of service time and service rate."""

TIME_SMOOTHING_FRACTION = 0.05
WINDOW_SECONDS = 1.0
RATE_SMOOTHING_FRACTION = 0.3


class ServiceTime:
    """Average seconds per unit of work, from admission to the end of a request."""

    def __init__(self) -> None:
        self._seconds_per_unit: float | None = None

    def observe(self, work: float, seconds: float) -> None:
        """Update the average with a request that completed.

        Parameters
        ----------
        work : float
            Work of the request.
        seconds : float
            Time from admission to its end.
        """
        sample = seconds / max(1.0, work)
        if self._seconds_per_unit is None:
            self._seconds_per_unit = sample
        else:
            self._seconds_per_unit += TIME_SMOOTHING_FRACTION * (sample - self._seconds_per_unit)

    def estimate(self, work: float) -> float:
        """Return the estimated seconds for some work; 0 before the first observation."""
        return (self._seconds_per_unit or 0.0) * work


class ServiceRate:
    """Work per second that this host admits while requests wait, averaged over windows.

    Parameters
    ----------
    now : float
        Boot clock in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._window_started_at = now
        self._window_work = 0.0
        self._rate: float | None = None

    def observe(self, work: float, *, now: float) -> None:
        """Add work that was admitted while requests waited."""
        self._window_work += work
        elapsed = now - self._window_started_at
        if elapsed < WINDOW_SECONDS:
            return
        sample = self._window_work / elapsed
        self._rate = sample if self._rate is None else self._smooth(sample)
        self._window_started_at, self._window_work = now, 0.0

    def restart_window(self, *, now: float) -> None:
        """Start a new window.

        Called when the queue was empty: the work admitted until then shows the
        arrival rate rather than the rate at which the host can admit.
        """
        self._window_started_at, self._window_work = now, 0.0

    def estimate_wait(self, work: float) -> float:
        """Return the estimated seconds until some work is admitted; 0 before the first window."""
        return work / self._rate if self._rate else 0.0

    def _smooth(self, sample: float) -> float:
        assert self._rate is not None
        return self._rate + RATE_SMOOTHING_FRACTION * (sample - self._rate)
