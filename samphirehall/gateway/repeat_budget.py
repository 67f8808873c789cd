"""How many further sends of requests to a service this host may make."""

from collections import deque

USABLE_FRACTION = 0.7  # part of the allowance used; hosts start and stop within a window


class _SlidingWindowCounter:
    """Events of the last seconds."""

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
    """Allowance of one host and service: its share of a fixed slack, and a ratio of its requests.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, by all hosts together.
    window : float
        Seconds over which both are counted.
    """

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = _SlidingWindowCounter()
        self._repeats = _SlidingWindowCounter()

    def record_request(self, *, now: float) -> None:
        """Count a request of a client."""
        self._requests.add(now)

    def acquire(self, count: int = 1, *, hosts: int, now: float) -> bool:
        """Count repeats if they are allowed; return whether they are.

        Parameters
        ----------
        count : int
            Number of repeats.
        hosts : int
            Hosts that share the slack.
        now : float
            Boot clock in seconds.
        """
        requests = self._requests.count(self._window, now=now)
        repeats = self._repeats.count(self._window, now=now)
        allowed = USABLE_FRACTION * (self._ratio * requests + self._slack / max(1, hosts))
        if count and repeats + count > allowed:
            return False
        for _ in range(count):
            self._repeats.add(now)
        return True
