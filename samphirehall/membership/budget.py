"""Byte budget of what a host sends to its peers."""

MAX_DEBT_SECONDS = 4.0
MAX_BURST_SECONDS = 1.0


class ByteBudget:
    """A token bucket that urgent messages may overdraw.

    What may wait is sent only while the balance is not negative. What may not
    wait is charged as well, so that the rest waits the longer, but never for
    more than `DEBT_SECONDS` of the rate.

    Parameters
    ----------
    rate : float
        Bytes a second.
    now : float
        Boot clock in seconds.
    """

    def __init__(self, rate: float, *, now: float) -> None:
        self._rate = rate
        self._balance = rate * MAX_BURST_SECONDS
        self._refilled_at = now

    def charge(self, count: int, *, now: float) -> None:
        """Charge bytes that were sent."""
        self._refill(now)
        self._balance = max(self._balance - count, -self._rate * MAX_DEBT_SECONDS)

    def delay(self, *, now: float) -> float:
        """Return the seconds until something that may wait can be sent."""
        self._refill(now)
        return max(0.0, -self._balance / self._rate)

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self._rate
        self._balance = min(self._balance + earned, self._rate * MAX_BURST_SECONDS)
        self._refilled_at = now
