"""Prefix cache of an engine: blocks in limited memory, with late and lossy events."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from samphirehall.standins.timing import EngineTiming

KEPT_EVENTS = 10_000


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of the prefix cache.

    Parameters
    ----------
    number : int
        Grows by one with each change; a gap means that events are lost.
    block : int
        Chained hash of the block.
    stored : bool
        Whether the block was stored; otherwise it was removed.
    """

    number: int
    block: int
    stored: bool


class PrefixCache:
    """Blocks held by an engine, the least recently used removed first.

    Parameters
    ----------
    timing : EngineTiming
        Capacity, and lag and loss of the events.
    seed : int
        Seed of the events' loss.
    """

    def __init__(self, timing: EngineTiming, *, seed: int = 0) -> None:
        self._timing = timing
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._number = 0
        self._random = random.Random(seed)

    @property
    def tokens(self) -> int:
        """Tokens held."""
        return len(self._blocks) * self._timing.cache_block_tokens

    def matched_tokens(self, hashes: list[int]) -> int:
        """Return the tokens of the longest prefix held, and mark it as used."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += self._timing.cache_block_tokens
        return matched

    def store(self, hashes: list[int], *, now: float) -> None:
        """Hold the blocks of a prompt."""
        for block in hashes:
            if block not in self._blocks:
                self._note(block, True, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while self.tokens > self._timing.cache_capacity_tokens:
            block, _ = self._blocks.popitem(last=False)
            self._note(block, False, now)

    def clear(self, *, now: float) -> None:
        """Remove every block, as a role change does."""
        for block in list(self._blocks):
            self._note(block, False, now)
        self._blocks.clear()

    def events(self, *, after: int, now: float) -> list[CacheEvent]:
        """Return the events with a number over `after` that are published by now."""
        lag = self._timing.scaled(self._timing.cache_event_lag_seconds)
        return [event for at, event in self._events if event.number > after and at + lag <= now]

    def _note(self, block: int, stored: bool, now: float) -> None:
        self._number += 1
        if self._random.random() >= self._timing.cache_event_loss:
            self._events.append((now, CacheEvent(self._number, block, stored)))
