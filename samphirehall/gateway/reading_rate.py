"""How fast engines read prompts, measured while running."""

FORGET = 0.97  # weight of a sample after the next one: about thirty samples count
AVERAGE_FORGET = 0.9  # about ten samples count
PRIOR_OVERHEAD_S = 0.03  # a call without a prompt: network and one step, until measured
PRIOR_TOKENS_PER_S = 30_000.0  # a cautious large engine, until measured
PRIOR_WEIGHT = 0.5  # a few real calls outweigh the prior
PRIOR_TOKENS = 10_000.0
SLOWEST_TOKENS_PER_S = 2_000.0  # bounds of what a fit may say
FASTEST_TOKENS_PER_S = 1_000_000.0


class ReadingRate:
    """Fit of ``seconds = overhead + tokens / rate`` over recent calls that met no queue."""

    def __init__(self, *, share_of_prior: float = 1.0) -> None:
        rate = PRIOR_TOKENS_PER_S * share_of_prior
        self._weight = self._x = self._y = self._xx = self._xy = 0.0
        self._overhead = PRIOR_OVERHEAD_S
        self._rate = rate
        for tokens in (0.0, PRIOR_TOKENS):
            self._add(tokens, PRIOR_OVERHEAD_S + tokens / rate, PRIOR_WEIGHT)

    @property
    def tokens_per_second(self) -> float:
        """Prompt tokens an engine reads in a second."""
        return self._rate

    @property
    def overhead(self) -> float:
        """Seconds of a call besides reading."""
        return self._overhead

    def note(self, tokens: float, seconds: float) -> None:
        """Take a call into account that read `tokens` without waiting for others."""
        for name in ("_weight", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * FORGET)
        self._add(tokens, seconds, 1.0)
        self._fit()

    def _add(self, x: float, y: float, weight: float) -> None:
        self._weight += weight
        self._x += weight * x
        self._y += weight * y
        self._xx += weight * x * x
        self._xy += weight * x * y

    def _fit(self) -> None:
        spread = self._weight * self._xx - self._x * self._x
        if spread <= 0:
            return
        slope = (self._weight * self._xy - self._x * self._y) / spread
        slowest, fastest = 1 / SLOWEST_TOKENS_PER_S, 1 / FASTEST_TOKENS_PER_S
        slope = min(max(slope, fastest), slowest)
        self._rate = 1 / slope
        self._overhead = max(0.0, (self._y - slope * self._x) / self._weight)


class Average:
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

    def note(self, sample: float) -> None:
        """Take a sample into account."""
        self._value = AVERAGE_FORGET * self._value + (1 - AVERAGE_FORGET) * sample
