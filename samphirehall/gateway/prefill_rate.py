"""Online estimate of the prefill speed of engines."""

from collections import deque

AVERAGE_DECAY = 0.9  # weight of the previous average; equals about ten samples
MAX_SAMPLES = 48  # most recent calls of this host; about ten seconds at normal load
FIT_ITERATIONS = 4  # of reweighting and fitting; the fit hardly changes after that
# A call may have queued behind prompts that this host does not know of, which makes it slower.
# Calls faster than the fit are therefore more informative and weigh more.
FASTER_WEIGHT = 0.9
SLOWER_WEIGHT = 0.1
PRIOR_OVERHEAD_SECONDS = 0.03  # network and one engine step
PRIOR_TOKENS_PER_SECOND = 30_000.0  # conservative for a large engine
PRIOR_WEIGHT = 0.5  # low, so that a few measured calls outweigh the prior
PRIOR_PROMPT_TOKENS = 10_000.0
MIN_TOKENS_PER_SECOND = 2_000.0  # lower bound of the fit
MAX_TOKENS_PER_SECOND = 1_000_000.0


class PrefillRate:
    """Fit of ``seconds = overhead + tokens / rate`` to the faster of the recent calls.

    The fit is an expectile regression (Newey and Powell, "Asymmetric Least
    Squares Estimation and Testing", 1987).

    Parameters
    ----------
    prior_fraction : float
        Initial rate as a fraction of `PRIOR_TOKENS_PER_SECOND`.
    """

    def __init__(self, *, prior_fraction: float = 1.0) -> None:
        self._rate = PRIOR_TOKENS_PER_SECOND * prior_fraction
        self._overhead = PRIOR_OVERHEAD_SECONDS
        self._prior = [
            (tokens, PRIOR_OVERHEAD_SECONDS + tokens / self._rate)
            for tokens in (0.0, PRIOR_PROMPT_TOKENS)
        ]
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    @property
    def tokens_per_second(self) -> float:
        """Prompt tokens that an engine prefills per second."""
        return self._rate

    @property
    def overhead(self) -> float:
        """Seconds of a call besides prefill."""
        return self._overhead

    @property
    def sample_count(self) -> int:
        """Number of recorded calls, up to `MAX_SAMPLES`."""
        return len(self._samples)

    def record(self, tokens: float, seconds: float) -> None:
        """Record a call that prefilled `tokens` without waiting in a queue, and refit."""
        self._samples.append((tokens, seconds))
        for _ in range(FIT_ITERATIONS):
            self._fit()

    def _fit(self) -> None:
        weight = x = y = xx = xy = 0.0
        for tokens, seconds, share in self._weighted_samples():
            weight += share
            x += share * tokens
            y += share * seconds
            xx += share * tokens * tokens
            xy += share * tokens * seconds
        slope = (weight * xy - x * y) / (weight * xx - x * x)
        slope = min(max(slope, 1 / MAX_TOKENS_PER_SECOND), 1 / MIN_TOKENS_PER_SECOND)
        self._rate = 1 / slope
        self._overhead = max(0.0, (y - slope * x) / weight)

    def _weighted_samples(self) -> list[tuple[float, float, float]]:
        """Return tokens, seconds and weight of each sample, including those of the prior."""
        weighted = [(tokens, seconds, PRIOR_WEIGHT) for tokens, seconds in self._prior]
        for tokens, seconds in self._samples:
            expected = self._overhead + tokens / self._rate
            weight = FASTER_WEIGHT if seconds < expected else SLOWER_WEIGHT
            weighted.append((tokens, seconds, weight))
        return weighted


class RunningAverage:
    """Exponential moving average, with a memory similar to that of `PrefillRate`.

    Parameters
    ----------
    prior : float
        Initial value.
    """

    def __init__(self, prior: float) -> None:
        self._value = prior

    @property
    def value(self) -> float:
        """Current average."""
        return self._value

    def record(self, sample: float) -> None:
        """Update the average with a sample."""
        self._value = AVERAGE_DECAY * self._value + (1 - AVERAGE_DECAY) * sample
