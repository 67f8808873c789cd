"""Token buckets that bound a customer's rates."""


class TokenBucket:
    """A bucket that fills at a rate up to a burst; it may be overdrawn by a true-up.

    Parameters
    ----------
    rate : float
        Units a second.
    burst : float
        Most units that can be saved up.
    now : float
        Boot clock in seconds; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float, *, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def level(self, *, now: float) -> float:
        """Return the units in the bucket; below 0 if it was overdrawn."""
        passed = max(0.0, now - self._updated_at)
        self._level = min(self._burst, self._level + passed * self._rate)
        self._updated_at = max(now, self._updated_at)
        return self._level

    def take(self, units: float, *, now: float) -> bool:
        """Take units if there are any left; return whether they were taken.

        A request of more than the burst passes when the bucket is full, and
        overdraws it.
        """
        if self.level(now=now) < min(units, self._burst):
            return False
        self._level -= units
        return True

    def correct(self, units: float, *, now: float) -> None:
        """Take further units, or give some back if `units` is below 0."""
        self._level = min(self._burst, self.level(now=now) - units)

    def seconds_until(self, units: float, *, now: float) -> float:
        """Return the seconds until `take` of as many units would pass."""
        missing = min(units, self._burst) - self.level(now=now)
        return max(0.0, missing / self._rate)
