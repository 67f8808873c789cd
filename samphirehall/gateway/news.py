"""News that a host has yet to send to others."""

from collections import deque
from typing import TypeVar

from samphirehall.gateway.zone_messages import News

MAX_PROMPTS_PER_DATAGRAM = 12  # a datagram must fit one packet
MAX_FACTS_PER_DATAGRAM = 12
MAX_PENDING_PROMPTS = 400  # older ones are dropped if datagrams fall behind
FACT_SENDS = (
    3  # in case a datagram is lost; a cached prompt is sent once, as a lost one costs little
)

CachedPrompt = tuple[str, list[tuple[str, int]]]
Fact = TypeVar("Fact")


class NewsQueue:
    """Queue of news for one group of receivers."""

    def __init__(self) -> None:
        self._prompts: deque[CachedPrompt] = deque(maxlen=MAX_PENDING_PROMPTS)
        self._changing: dict[str, int] = {}
        self._crashes: dict[tuple[int, str], int] = {}
        self._part_crashes: dict[tuple[str, float, tuple[str, ...]], int] = {}
        self._cleared_parts: dict[str, int] = {}

    def add(self, news: News) -> None:
        """Add news."""
        self._prompts.extend(news.cached_prompts)
        self._changing.update(dict.fromkeys(news.changing_engines, FACT_SENDS))
        self._crashes.update(dict.fromkeys(news.crashes, FACT_SENDS))
        self._part_crashes.update(dict.fromkeys(news.part_crashes, FACT_SENDS))
        self._cleared_parts.update(dict.fromkeys(news.cleared_parts, FACT_SENDS))

    def take(self) -> News:
        """Return what the next datagram carries."""
        count = min(len(self._prompts), MAX_PROMPTS_PER_DATAGRAM)
        prompts = [self._prompts.popleft() for _ in range(count)]
        return News(
            prompts,
            _take_facts(self._changing),
            _take_facts(self._crashes),
            _take_facts(self._part_crashes),
            _take_facts(self._cleared_parts),
        )


def _take_facts(sends_left: dict[Fact, int]) -> list[Fact]:
    """Return facts that still have to be sent, and count this send."""
    facts = list(sends_left)[:MAX_FACTS_PER_DATAGRAM]
    for fact in facts:
        sends_left[fact] -= 1
        if not sends_left[fact]:
            del sends_left[fact]
    return facts
