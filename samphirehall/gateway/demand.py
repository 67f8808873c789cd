"""Measured demand for prefill, in prompt tokens per second."""

import math

DECAY_SECONDS = 4.0  # about the startup time of an engine; older demand should not affect scaling


class DemandMeter:
    """Exponentially decaying average of uncached prompt tokens per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, tokens: int, *, now: float) -> None:
        """Record the uncached tokens of a request, whether or not it is admitted."""
        self._rate = self.rate(now=now) + tokens / DECAY_SECONDS
        self._updated_at = now

    def rate(self, *, now: float) -> float:
        """Return the current demand in tokens per second."""
        return self._rate * math.exp(-(now - self._updated_at) / DECAY_SECONDS)
