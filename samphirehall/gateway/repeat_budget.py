"""Budget for retries, by host and service."""

from collections import deque

USABLE_FRACTION = 0.7  # of the allowance; the number of hosts may change within a window


class _SlidingWindowCounter:
    """Counter of events within a sliding time window."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, seconds: float, *, now: float) -> int:
        while self._times and self._times[0] < now - seconds:
            self._times.popleft()
        return len(self._times)


class RepeatBudget:
    """Budget for retries of one host and service.

    It consists of a ratio of the host's requests and its share of a slack for all hosts.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed within a window, over all hosts.
    window : float
        Length of the sliding window in seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = _SlidingWindowCounter()
        self._repeats = _SlidingWindowCounter()

    def record_request(self, *, now: float) -> None:
        """Record a request of a caller."""
        self._requests.add(now)

    def allows(self, count: int = 1, *, hosts: int, now: float) -> bool:
        """Return whether the budget allows retries; see `acquire`."""
        requests = self._requests.count(self._window, now=now)
        repeats = self._repeats.count(self._window, now=now)
        allowed = USABLE_FRACTION * (self._ratio * requests + self._slack / max(1, hosts))
        return not count or repeats + count <= allowed

    def acquire(self, count: int = 1, *, hosts: int, now: float) -> bool:
        """Record retries if the budget allows them; return whether it does.

        Parameters
        ----------
        count : int
            Number of retries.
        hosts : int
            Number of hosts that share the slack.
        now : float
            Boot clock in seconds.
        """
        if not self.allows(count, hosts=hosts, now=now):
            return False
        for _ in range(count):
            self._repeats.add(now)
        return True
