"""Prefix cache of an engine, with bounded capacity and delayed, lossy events."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from samphirehall.standins.timing import EngineTiming

MAX_KEPT_EVENTS = 10_000


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of the prefix cache.

    Parameters
    ----------
    number : int
        Sequence number, one higher with each change; a gap shows lost events.
    block : int
        Chained hash of the block.
    stored : bool
        Whether the block was stored; otherwise it was removed.
    """

    number: int
    block: int
    stored: bool


class PrefixCache:
    """Holds the cached blocks of an engine and evicts the least recently used.

    Parameters
    ----------
    timing : EngineTiming
        Capacity, and lag and loss of the events.
    seed : int
        Seed of the random loss of events.
    """

    def __init__(self, timing: EngineTiming, *, seed: int = 0) -> None:
        self._timing = timing
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._last_number = 0
        self._random = random.Random(seed)

    @property
    def tokens(self) -> int:
        """Number of cached tokens."""
        return len(self._blocks) * self._timing.cache_block_tokens

    def matched_tokens(self, hashes: list[int]) -> int:
        """Return the length in tokens of the longest cached prefix, and mark its blocks as used."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += self._timing.cache_block_tokens
        return matched

    def store(self, hashes: list[int], *, now: float) -> None:
        """Store the blocks of a prompt, and evict others beyond the capacity."""
        for block in hashes:
            if block not in self._blocks:
                self._record_event(block, True, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while self.tokens > self._timing.cache_capacity_tokens:
            block, _ = self._blocks.popitem(last=False)
            self._record_event(block, False, now)

    def clear(self, *, now: float) -> None:
        """Remove every block, as a role change does."""
        for block in list(self._blocks):
            self._record_event(block, False, now)
        self._blocks.clear()

    def events(self, *, after: int, now: float) -> list[CacheEvent]:
        """Return the events numbered above `after` whose delay has passed by `now`."""
        lag = self._timing.scaled(self._timing.cache_event_lag_seconds)
        return [event for at, event in self._events if event.number > after and at + lag <= now]

    def _record_event(self, block: int, stored: bool, now: float) -> None:
        self._last_number += 1
        if self._random.random() >= self._timing.cache_event_loss:
            self._events.append((now, CacheEvent(self._last_number, block, stored)))
