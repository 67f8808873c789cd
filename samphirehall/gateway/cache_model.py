"""What an engine keeps of prompts, worked out from the requests that were sent to it."""

from collections import OrderedDict
from collections.abc import Sequence

from samphirehall.gateway.types import PromptPart

USABLE_FRACTION = 0.85  # running requests take the rest of an engine's memory at ordinary load


class CacheModel:
    """Least-recently-used parts of one engine.

    Engines publish what they cache late and at a price. All of it is there
    because a host sent a request, and hosts tell each other what they sent.

    Parameters
    ----------
    capacity : int
        Tokens that the engine can keep.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = int(capacity_tokens * USABLE_FRACTION)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def record(self, parts: Sequence[PromptPart]) -> None:
        """Take note that a prompt with these parts is read, or copied, there."""
        # The last part yields first among equals, as a part is useless without those before it.
        for part in reversed(parts):
            self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
        while self._tokens > self._capacity and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt need not be read again."""
        cached = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached
