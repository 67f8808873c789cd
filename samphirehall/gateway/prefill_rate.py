"""How fast engines read prompts, measured while running."""

from collections import deque

AVERAGE_DECAY = 0.9  # about ten samples count
MAX_SAMPLES = 48  # the last calls of one host that count; about ten seconds at ordinary load
FIT_ITERATIONS = 4  # of weighting and fitting, after which the fit hardly changes
# Calls are slower when others were read before them, which this host may not know. A call that
# is faster than the fit tells more than one that is slower.
FASTER_WEIGHT = 0.9
SLOWER_WEIGHT = 0.1
PRIOR_OVERHEAD_SECONDS = 0.03  # a call without a prompt: network and one step, until measured
PRIOR_TOKENS_PER_SECOND = 30_000.0  # a cautious large engine, until measured
PRIOR_WEIGHT = 0.5  # a few real calls outweigh the prior
PRIOR_PROMPT_TOKENS = 10_000.0
MIN_TOKENS_PER_SECOND = 2_000.0  # bounds of what a fit may say
MAX_TOKENS_PER_SECOND = 1_000_000.0


class PrefillRate:
    """Fit of ``seconds = overhead + tokens / rate`` to the faster of the recent calls.

    The fit is an expectile regression (Newey and Powell, "Asymmetric Least
    Squares Estimation and Testing", 1987).

    Parameters
    ----------
    share_of_prior : float
        Speed until something is measured, as a share of the usual one.
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
        """Prompt tokens an engine reads in a second."""
        return self._rate

    @property
    def overhead(self) -> float:
        """Seconds of a call besides reading."""
        return self._overhead

    def record(self, tokens: float, seconds: float) -> None:
        """Take a call into account that read `tokens` without waiting for others."""
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
        """Return tokens, seconds and weight of each sample, the prior's among them."""
        weighted = [(tokens, seconds, PRIOR_WEIGHT) for tokens, seconds in self._prior]
        for tokens, seconds in self._samples:
            expected = self._overhead + tokens / self._rate
            weight = FASTER_WEIGHT if seconds < expected else SLOWER_WEIGHT
            weighted.append((tokens, seconds, weight))
        return weighted


class RunningAverage:
    """Running average that forgets at the same pace as `ReadingRate`.

    Parameters
    ----------
    prior : float
        Value until something is measured.
    """

    def __init__(self, prior: float) -> None:
        self._value = prior

    @property
    def value(self) -> float:
        """The average."""
        return self._value

    def record(self, sample: float) -> None:
        """Take a sample into account."""
        self._value = AVERAGE_DECAY * self._value + (1 - AVERAGE_DECAY) * sample
