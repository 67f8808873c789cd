"""How much reading callers ask for, measured while running."""

import math

MEMORY_S = 4.0  # an engine takes about as long to come, so older demand decides nothing


class DemandMeter:
    """Prompt tokens a second that had to be read, with recent ones counting most."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def note(self, tokens: int, *, now: float) -> None:
        """Count the unread tokens of a request, refused or not."""
        self._rate = self.rate(now=now) + tokens / MEMORY_S
        self._at = now

    def rate(self, *, now: float) -> float:
        """Return tokens a second."""
        return self._rate * math.exp(-(now - self._at) / MEMORY_S)
