"""Byte budget for the traffic that a host sends to its peers."""

MAX_DEBT_SECONDS = 4.0
MAX_BURST_SECONDS = 1.0


class ByteBudget:
    """A token bucket that urgent messages may overdraw.

    Deferrable messages are sent only while the balance is not negative. Urgent
    messages are sent at any balance and charged too, which delays the deferrable
    ones, but by no more than `MAX_DEBT_SECONDS`.

    Parameters
    ----------
    rate : float
        Bytes per second.
    now : float
        Boot clock in seconds.
    """

    def __init__(self, rate: float, *, now: float) -> None:
        self._rate = rate
        self._balance = rate * MAX_BURST_SECONDS
        self._refilled_at = now

    def charge(self, count: int, *, now: float) -> None:
        """Subtract sent bytes from the balance."""
        self._refill(now)
        self._balance = max(self._balance - count, -self._rate * MAX_DEBT_SECONDS)

    def delay(self, *, now: float) -> float:
        """Return the seconds until a deferrable message may be sent."""
        self._refill(now)
        return max(0.0, -self._balance / self._rate)

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self._rate
        self._balance = min(self._balance + earned, self._rate * MAX_BURST_SECONDS)
        self._refilled_at = now
