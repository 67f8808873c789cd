"""Estimate of an engine's prefix cache, derived from the requests sent to it."""

from collections import OrderedDict
from collections.abc import Sequence

from samphirehall.gateway.types import PromptPart

USABLE_FRACTION = 0.85  # of the KV cache; running requests use the rest at normal load


class CacheModel:
    """Estimated prefix cache of one engine, evicted least recently used first.

    Querying an engine for its cache is slow and costly. Every cached part comes from
    a request that some host sent, and hosts send each other these parts.

    Parameters
    ----------
    capacity_tokens : int
        Tokens that fit into the engine's KV cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = int(capacity_tokens * USABLE_FRACTION)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def record(self, parts: Sequence[PromptPart]) -> None:
        """Record that the engine prefills a prompt with these parts or receives their KV cache."""
        # Reversed, so that later parts are evicted first: a part is unusable without its prefix.
        for part in reversed(parts):
            self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
        while self._tokens > self._capacity and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the number of leading tokens of a prompt that are cached."""
        cached = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached
