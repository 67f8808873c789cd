"""How much reading callers ask for, measured while running."""

import math

DECAY_SECONDS = 4.0  # an engine takes about as long to come, so older demand decides nothing


class DemandMeter:
    """Prompt tokens a second that had to be read, with recent ones counting most."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, tokens: int, *, now: float) -> None:
        """Count the unread tokens of a request, refused or not."""
        self._rate = self.rate(now=now) + tokens / DECAY_SECONDS
        self._updated_at = now

    def rate(self, *, now: float) -> float:
        """Return tokens a second."""
        return self._rate * math.exp(-(now - self._updated_at) / DECAY_SECONDS)
