"""Outcomes of single requests, and their counts and latency histograms."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(slots=True)
class Outcome:
    """Result and timing of one request.

    Parameters
    ----------
    customer, workload : str
        Names in the scenario.
    at : float
        Time of arrival, in seconds after the start of the run.
    code : int
        Result code of the last attempt; 0 if no response arrived.
    run : str
        Run state of the last attempt: whether the request was executed. Empty if
        the response had none.
    complete : bool
        Whether a complete and correct response arrived.
    wrong : bool
        Whether a response differed from the expected tokens or exceeded the length.
    in_time : bool
        Whether the request ended before its deadline, counted from the arrival.
    retries : int
        Attempts after the first.
    seconds : float
        Time from arrival to the end of the last attempt.
    first_token : float, optional
        Seconds from arrival to the first token.
    gaps : list of float
        Seconds between successive tokens.
    tokens : int
        Prompt and output tokens of a complete completion, otherwise 0.
    """

    customer: str
    workload: str
    at: float
    code: int = 0
    run: str = ""
    complete: bool = False
    wrong: bool = False
    in_time: bool = False
    retries: int = 0
    seconds: float = 0.0
    first_token: float | None = None
    gaps: list[float] = field(default_factory=list)
    tokens: int = 0

    @property
    def good(self) -> bool:
        """Whether the response was complete, correct and in time."""
        return self.complete and self.in_time


class Histogram:
    """Histogram of durations in seconds, stored in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record one duration in seconds."""
        self._histogram.record_value(
            max(MIN_MICROSECONDS, round(seconds * MICROSECONDS_PER_SECOND))
        )

    def percentile(self, percent: float) -> float | None:
        """Return a percentile in seconds, or None if nothing was recorded."""
        if not self._histogram.get_total_count():
            return None
        return float(self._histogram.get_value_at_percentile(percent)) / MICROSECONDS_PER_SECOND


@dataclass(slots=True)
class Summary:
    """Counts and latency histograms of many requests.

    Parameters
    ----------
    requests, good, complete, late, wrong, retries : int
        Requests by outcome, and their retries; `late` are complete but after the
        deadline.
    tokens : int
        Prompt and output tokens of good responses.
    codes : Counter of (int, str)
        Requests without a complete response, by result code and run state.
    first_token, between_tokens : Histogram
        Durations in seconds.
    """

    requests: int = 0
    good: int = 0
    complete: int = 0
    late: int = 0
    wrong: int = 0
    retries: int = 0
    tokens: int = 0
    codes: Counter[tuple[int, str]] = field(default_factory=Counter)
    first_token: Histogram = field(default_factory=Histogram)
    between_tokens: Histogram = field(default_factory=Histogram)

    def add(self, outcome: Outcome) -> None:
        """Add the outcome of one request."""
        self.requests += 1
        self.good += outcome.good
        self.complete += outcome.complete
        self.late += outcome.complete and not outcome.in_time
        self.wrong += outcome.wrong
        self.retries += outcome.retries
        if outcome.good:
            self.tokens += outcome.tokens
        if not outcome.complete:
            self.codes[outcome.code, outcome.run] += 1
        if outcome.first_token is not None:
            self.first_token.record(outcome.first_token)
        for gap in outcome.gaps:
            self.between_tokens.record(gap)


def summarize(outcomes: Iterable[Outcome]) -> Summary:
    """Return the summary of all outcomes."""
    summary = Summary()
    for outcome in outcomes:
        summary.add(outcome)
    return summary


def summarize_by_customer(outcomes: Iterable[Outcome]) -> dict[str, Summary]:
    """Return the summary of each customer, sorted by name."""
    summaries: dict[str, Summary] = {}
    for outcome in outcomes:
        summaries.setdefault(outcome.customer, Summary()).add(outcome)
    return dict(sorted(summaries.items()))
