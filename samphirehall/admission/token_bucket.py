"""Token bucket for rate limits."""


class TokenBucket:
    """Token bucket whose level may become negative when an estimate is corrected.

    Parameters
    ----------
    rate : float
        Units added per second.
    burst : float
        Maximum level of the bucket.
    now : float
        Boot clock in seconds; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float, *, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def level(self, *, now: float) -> float:
        """Return the units in the bucket; negative if it is overdrawn."""
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._updated_at = max(now, self._updated_at)
        return self._level

    def take(self, units: float, *, now: float) -> bool:
        """Acquire units if the bucket holds them; return whether it did.

        A request for more units than the burst succeeds if the bucket is full,
        and leaves it overdrawn.
        """
        if self.level(now=now) < min(units, self._burst):
            return False
        self._level -= units
        return True

    def take_overdrawn(self, units: float, *, now: float) -> bool:
        """Take units if the level is not below zero, however many; return whether it was not."""
        if self.level(now=now) < 0:
            return False
        self._level -= units
        return True

    def set_rate(self, rate: float, burst: float) -> None:
        """Replace the rate and the maximum level; the level stays."""
        self._rate, self._burst = rate, burst

    def adjust(self, units: float, *, now: float) -> None:
        """Remove further units, or return some if `units` is negative."""
        self._level = min(self._burst, self.level(now=now) - units)

    def seconds_until(self, units: float, *, now: float) -> float:
        """Return the seconds until `take` of as many units would succeed."""
        missing_units = min(units, self._burst) - self.level(now=now)
        if missing_units <= 0:
            return 0.0
        return missing_units / self._rate if self._rate > 0 else float("inf")
