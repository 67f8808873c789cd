"""Decision to hedge a request: to start a second attempt while the first is later than most."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

UNIT_SECONDS = 1e-4  # of the histograms; answers take milliseconds and more
MAX_RECORDED_SECONDS = 60.0  # longer than any deadline of a plain request
SIGNIFICANT_DIGITS = 2  # an error of 1% moves no decision; 10 kB a histogram
# Samples are kept for one to two windows. A window holds some tens of requests of a route at one
# a second, and a service that became slower is judged by its new times within a minute.
WINDOW_SECONDS = 30.0
REFRESH_SECONDS = 0.5  # between two merges of the histograms, which take a millisecond
MIN_SAMPLES = 20
MIN_SAMPLES_ABOVE_QUANTILE = 2  # fewer let a single answer decide
MIN_QUANTILE = 0.75  # a first attempt has to be later than most, however large the limit
MAX_QUANTILE = 0.99  # a higher one needs more samples than a host has
# Where nearly all answers take the same time, a hedge after the quantile would gain nothing.
MIN_MEDIAN_FACTOR = 1.5
MIN_DELAY_SECONDS = 0.01  # below this, waits in the network and in the event loop decide
# Hedges that a host may start at once. Over many hosts they add up, so that few are saved.
MAX_SAVED_HEDGES = 2.0
ROUNDING = 1e-9  # of sums of shares: 20 times 0.05 is less than 1
# Share of a service's slots up to which hedges are started. Loads of other hosts are known with a
# delay of up to 0.4 s, so the rest is kept for first attempts that arrive meanwhile.
MAX_UTILIZATION = 0.8


class HedgeRefusal(enum.StrEnum):
    """Reason why a late request is not hedged."""

    SHARE = "share"
    REPEAT_BUDGET = "repeat-budget"
    OVERLOAD = "overload"
    NO_ENDPOINT = "no-endpoint"
    DEADLINE = "deadline"
    SUSPECT = "suspect"


@dataclass(slots=True, frozen=True)
class AnswerEstimate:
    """Estimate of the answer times of a route and service.

    Parameters
    ----------
    hedge_delay : float
        Seconds after which an attempt is later than most.
    median : float
        Median answer time in seconds.
    """

    hedge_delay: float
    median: float


class AnswerTimes:
    """Recent answer times of first attempts, in two histograms of one window each.

    Parameters
    ----------
    quantile : float
        Quantile of the answer times after which an attempt is later than most.
    now : float
        Boot clock in seconds.
    """

    __slots__ = (
        "_current",
        "_estimate",
        "_previous",
        "_quantile",
        "_refreshed_at",
        "_window_started_at",
    )

    def __init__(self, quantile: float, *, now: float) -> None:
        self._quantile = quantile
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_started_at = now
        self._refreshed_at = float("-inf")
        self._estimate: AnswerEstimate | None = None

    def is_idle(self, *, now: float) -> bool:
        """Return whether all samples are out of date."""
        return now - self._window_started_at >= 2 * WINDOW_SECONDS

    def record(self, seconds: float, *, now: float) -> None:
        """Record the time of one attempt."""
        self._rotate(now)
        units = min(seconds, MAX_RECORDED_SECONDS) / UNIT_SECONDS
        self._current.record_value(max(1, round(units)))

    def estimate(self, *, now: float) -> AnswerEstimate | None:
        """Return the current estimate; None without enough samples."""
        self._rotate(now)
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            self._estimate = self._compute()
        return self._estimate

    def _compute(self) -> AnswerEstimate | None:
        merged = _new_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        needed = max(MIN_SAMPLES, MIN_SAMPLES_ABOVE_QUANTILE / (1 - self._quantile))
        if merged.get_total_count() < math.floor(needed):
            return None
        median = merged.get_value_at_percentile(50) * UNIT_SECONDS
        late = merged.get_value_at_percentile(100 * self._quantile) * UNIT_SECONDS
        return AnswerEstimate(max(MIN_DELAY_SECONDS, late, MIN_MEDIAN_FACTOR * median), median)

    def _rotate(self, now: float) -> None:
        if now - self._window_started_at < WINDOW_SECONDS:
            return
        if self.is_idle(now=now):
            self._current.reset()
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        self._window_started_at = now
        self._refreshed_at = float("-inf")


class Hedging:
    """Answer times and the limit of hedges of one host.

    A host counts only its own requests and hedges. As each host keeps its hedges within the share
    of its requests, all hosts together keep theirs within the same share without agreement.

    Parameters
    ----------
    max_share : float
        Hedges allowed per request of a service; over 0, up to 1.
    """

    def __init__(self, max_share: float) -> None:
        self.max_share = max_share
        self._quantile = min(max(1 - max_share, MIN_QUANTILE), MAX_QUANTILE)
        self._times: dict[tuple[str, str], AnswerTimes] = {}
        self._allowances: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Record a request of a caller, of whatever route."""
        allowance = self._allowances.get(service, 0.0) + self.max_share
        self._allowances[service] = min(MAX_SAVED_HEDGES, allowance)

    def record_attempt(self, route: str, service: str, seconds: float, *, now: float) -> None:
        """Record the time of an attempt that is no hedge.

        Parameters
        ----------
        route, service : str
            Route and service of the request.
        seconds : float
            Time to the whole answer, or to the end of an attempt that was given up before. The
            latter is a lower bound; without it, the slowest endpoints would not be counted.
        now : float
            Boot clock in seconds.
        """
        times = self._times.get((route, service))
        if times is None:
            self._forget_idle(now)
            times = self._times[route, service] = AnswerTimes(self._quantile, now=now)
        times.record(seconds, now=now)

    def estimate(self, route: str, service: str, *, now: float) -> AnswerEstimate | None:
        """Return the estimate for an attempt that starts; None if it must not be hedged yet."""
        times = self._times.get((route, service))
        return times.estimate(now=now) if times is not None else None

    def allows(self, service: str) -> bool:
        """Return whether the share of the service's requests allows one more hedge."""
        return self._allowances.get(service, 0.0) >= 1.0 - ROUNDING

    def acquire(self, service: str) -> bool:
        """Count one hedge if the share allows it; return whether it does."""
        if not self.allows(service):
            return False
        self._allowances[service] -= 1.0
        return True

    def _forget_idle(self, now: float) -> None:
        """Drop routes without recent requests, such as those that were withdrawn."""
        for key in [key for key, times in self._times.items() if times.is_idle(now=now)]:
            del self._times[key]


def has_free_slot(requests: int, slots: int) -> bool:
    """Return whether an endpoint has a slot for a hedge.

    Parameters
    ----------
    requests : int
        Requests of all hosts at the endpoint.
    slots : int
        Requests that it runs at once.
    """
    return requests < max(1, slots)


def is_overloaded(loads: Iterable[tuple[int, int]]) -> bool:
    """Return whether first attempts may need all slots of a service.

    A first attempt goes to the least loaded endpoint, so first attempts queue only when the
    endpoints as a whole are full.

    Parameters
    ----------
    loads : iterable of pairs of int
        Requests of all hosts at an endpoint and its slots, for each endpoint in use.
    """
    requests = slots = 0
    for endpoint_requests, endpoint_slots in loads:
        slots += max(1, endpoint_slots)
        # Requests that wait at a slow endpoint take no slot of another one.
        requests += min(endpoint_requests, max(1, endpoint_slots))
    return requests >= MAX_UTILIZATION * slots


def _new_histogram() -> Any:
    """Return an empty histogram; the library is not imported where hedging is off."""
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, round(MAX_RECORDED_SECONDS / UNIT_SECONDS), SIGNIFICANT_DIGITS)
