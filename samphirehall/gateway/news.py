"""News that a host has yet to send to others."""

from collections import deque
from typing import TypeVar

from samphirehall.gateway.zone_messages import News

MAX_PROMPTS_PER_DATAGRAM = 12  # a datagram must fit one packet
MAX_FACTS_PER_DATAGRAM = 12
MAX_SUSPECT_PARTS_PER_DATAGRAM = 12  # of all crashes together
MAX_PROMPTS_BESIDE_CRASHES = 4  # in the same datagram
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
        self._suspect_parts: dict[tuple[str, str], int] = {}
        self._crash_ages: dict[str, float] = {}
        self._cleared_parts: dict[str, int] = {}

    def add(self, news: News) -> None:
        """Add news."""
        self._prompts.extend(news.cached_prompts)
        self._changing.update(dict.fromkeys(news.changing_engines, FACT_SENDS))
        self._crashes.update(dict.fromkeys(news.crashes, FACT_SENDS))
        for endpoint, age, parts in news.part_crashes:
            self._crash_ages[endpoint] = min(age, self._crash_ages.get(endpoint, age))
            suspects = ((endpoint, part) for part in parts)
            self._suspect_parts.update(dict.fromkeys(suspects, FACT_SENDS))
        self._cleared_parts.update(dict.fromkeys(news.cleared_parts, FACT_SENDS))

    def take(self) -> News:
        """Return what the next datagram carries."""
        limit = MAX_PROMPTS_BESIDE_CRASHES if self._suspect_parts else MAX_PROMPTS_PER_DATAGRAM
        count = min(len(self._prompts), limit)
        prompts = [self._prompts.popleft() for _ in range(count)]
        return News(
            prompts,
            _take_facts(self._changing),
            _take_facts(self._crashes),
            self._take_part_crashes(),
            _take_facts(self._cleared_parts),
        )

    def _take_part_crashes(self) -> list[tuple[str, float, tuple[str, ...]]]:
        """Return crashes with the parts that still have to be sent."""
        parts_by_endpoint: dict[str, list[str]] = {}
        for endpoint, part in _take_facts(self._suspect_parts, MAX_SUSPECT_PARTS_PER_DATAGRAM):
            parts_by_endpoint.setdefault(endpoint, []).append(part)
        crashes = [
            (endpoint, self._crash_ages[endpoint], tuple(parts))
            for endpoint, parts in parts_by_endpoint.items()
        ]
        if not self._suspect_parts:
            self._crash_ages.clear()
        return crashes


def _take_facts(sends_left: dict[Fact, int], limit: int = MAX_FACTS_PER_DATAGRAM) -> list[Fact]:
    """Return facts that still have to be sent, and count this send."""
    facts = list(sends_left)[:limit]
    for fact in facts:
        sends_left[fact] -= 1
        if not sends_left[fact]:
            del sends_left[fact]
    return facts
