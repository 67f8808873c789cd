"""Quarantine of parts of prompts that crash engines, whatever else the prompts hold.

Answers a stream of requests that are all different and share one deadly part. They arrive at any
host, while sound requests share their other parts, run on the engines that crash, and move on
to the next one. A part is found by elimination: it was present in several crashes, no answer to
a prompt that holds it was completed since, and no part of another prompt was present in all of
these crashes too.
"""

import logging
from collections import OrderedDict
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from samphirehall.core.log import log_decision

MIN_SCORE = 3  # fewer crashes in common also occur for parts that did not cause them
MIN_SCORE_AGAINST_PROVEN = 5  # then a part without any complete answer is the likelier cause
BURST_SECONDS = 0.25  # the loss of a rack or a link ends many engines within this time
MAX_SCORE_PER_BURST = 2
SETTLING_SECONDS = 0.2  # until the crash reports of all hosts that are heard have arrived
CRASH_LIFETIME_SECONDS = 120.0
GROUP_LIFETIME_SECONDS = 600.0  # since the last crash
TRIAL_INTERVAL_SECONDS = 30.0  # until the first trial; a false quarantine ends by then
TRIAL_INTERVAL_FACTOR = 3.0  # between one trial and the next
MAX_CRASHES = 64  # bounds memory and the work of a decision
MAX_GROUPS = 256  # bounds memory, see `MAX_CRASHES`
MAX_PROVEN_PARTS = 4096  # parts with a complete answer that are remembered

_log = logging.getLogger(__name__)

Group = frozenset[str]


@dataclass(slots=True)
class _Crash:
    """Crash of one incarnation of an engine, and the parts of the prompts that ran on it."""

    at: float
    parts: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Block:
    """Parts that crash engines when one prompt holds all of them; mostly a single part."""

    last_crash_at: float
    next_trial_at: float
    trial_interval: float = TRIAL_INTERVAL_SECONDS


class PartQuarantine:
    """Evidence about parts of prompts, from this host and its peers, and the parts in quarantine.

    Identifiers of parts never include the last part of a prompt, which belongs to one request.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._proven: OrderedDict[str, float] = OrderedDict()
        self._blocks: dict[Group, _Block] = {}

    @property
    def blocked_count(self) -> int:
        """Number of groups of parts in quarantine."""
        return len(self._blocks)

    def record_crash(
        self, endpoint: str, parts: Collection[str], *, at: float, now: float
    ) -> list[str]:
        """Record a crash; return the parts that are known to be innocent of it.

        Parameters
        ----------
        endpoint : str
            Incarnation of the engine.
        parts : collection of str
            Shared parts of a prompt that ran there.
        at, now : float
            Boot clock in seconds of the crash and of the record.
        """
        self._expire(now)
        crash = self._crashes.setdefault(endpoint, _Crash(at))
        crash.at = min(crash.at, at)
        innocent = [part for part in parts if self._proven.get(part, float("-inf")) >= at]
        crash.parts.update(set(parts).difference(innocent))
        for group, block in self._blocks.items():
            if group <= crash.parts:
                block.last_crash_at = max(block.last_crash_at, at)
        return innocent

    def record_completion(self, parts: Collection[str], *, now: float) -> list[str]:
        """Record that an engine completed an answer; return the suspect parts that this clears."""
        cleared = []
        for part in parts:
            self._proven[part] = now
            self._proven.move_to_end(part)
            if self._clear(part):
                cleared.append(part)
        while len(self._proven) > MAX_PROVEN_PARTS:
            self._proven.popitem(last=False)
        return cleared

    def block(self, group: Group, *, now: float) -> None:
        """Put parts into quarantine for evidence that was weighed elsewhere."""
        if group not in self._blocks:
            self._block(group, now, "reported", [])

    def blocked(self, parts: Collection[str], *, now: float) -> Group | None:
        """Return the parts for which a prompt is refused, or None if it may run.

        Parameters
        ----------
        parts : collection of str
            Shared parts of the prompt.
        now : float
            Boot clock in seconds.
        """
        if not parts or not (self._crashes or self._blocks):
            return None
        self._expire(now)
        known = next((group for group in self._blocks if group.issubset(parts)), None)
        return known or self._find_cause(frozenset(parts), now)

    def take_trial(self, group: Group, *, now: float) -> bool:
        """Return whether a prompt may run in spite of its quarantine; the next one has to wait.

        A trial ends the quarantine of parts that were suspected falsely.
        """
        block = self._blocks.get(group)
        if block is None or now < block.next_trial_at:
            return False
        block.trial_interval *= TRIAL_INTERVAL_FACTOR
        block.next_trial_at = now + block.trial_interval
        log_decision(_log, "part-trial", "quarantine is reviewed", parts=sorted(group))
        return True

    def retry_after(self, group: Group, *, now: float) -> float:
        """Return the seconds until the quarantine of a group is reviewed."""
        block = self._blocks.get(group)
        return max(0.0, block.next_trial_at - now) if block else TRIAL_INTERVAL_SECONDS

    def blocks(self, *, now: float) -> Iterator[tuple[Sequence[str], float]]:
        """Yield the groups in quarantine and the seconds since their last crash, for peers."""
        for group, block in self._blocks.items():
            yield sorted(group), now - block.last_crash_at

    def receive_block(self, parts: Collection[str], age: float, *, now: float) -> None:
        """Record a group that a peer keeps in quarantine, except for parts proven since."""
        at = now - age
        if at + GROUP_LIFETIME_SECONDS <= now:
            return
        group = frozenset(part for part in parts if self._proven.get(part, float("-inf")) < at)
        known = self._blocks.get(group)
        if known is not None:
            known.last_crash_at = max(known.last_crash_at, at)
        elif group:
            self._block(group, at, "in quarantine at a peer", [])

    def _find_cause(self, parts: Group, now: float) -> Group | None:
        """Return the parts of a prompt that alone explain several crashes, and block them."""
        crashes = [
            (endpoint, crash)
            for endpoint, crash in self._crashes.items()
            if now - crash.at >= SETTLING_SECONDS
            and not any(group <= crash.parts for group in self._blocks)
        ]
        for part in parts:
            present = [(endpoint, crash) for endpoint, crash in crashes if part in crash.parts]
            score = _score([crash.at for _, crash in present])
            if score < MIN_SCORE:
                continue
            tied = frozenset.intersection(*(frozenset(crash.parts) for _, crash in present))
            if score >= MIN_SCORE_AGAINST_PROVEN and part not in self._proven:
                tied = frozenset(other for other in tied if other not in self._proven)
            if tied <= parts:
                endpoints = [endpoint for endpoint, _ in present]
                last = max(crash.at for _, crash in present)
                self._block(tied, last, "present in all of these crashes", endpoints)
                return tied
        return None

    def _block(self, group: Group, at: float, reason: str, endpoints: list[str]) -> None:
        if len(self._blocks) >= MAX_GROUPS:
            del self._blocks[min(self._blocks, key=lambda key: self._blocks[key].last_crash_at)]
        self._blocks[group] = _Block(at, at + TRIAL_INTERVAL_SECONDS)
        log_decision(_log, "part-blocked", reason, parts=sorted(group), endpoints=endpoints)

    def _clear(self, part: str) -> bool:
        """Remove a part from all evidence; return whether it was suspect."""
        suspect = False
        for crash in self._crashes.values():
            if part in crash.parts:
                crash.parts.discard(part)
                suspect = True
        for group in [group for group in self._blocks if part in group]:
            suspect = True
            block = self._blocks.pop(group)
            log_decision(_log, "part-cleared", "an answer was completed", parts=[part])
            if len(group) > 1:
                self._blocks[group - {part}] = block
        return suspect

    def _expire(self, now: float) -> None:
        for endpoint in [
            endpoint
            for endpoint, crash in self._crashes.items()
            if now - crash.at >= CRASH_LIFETIME_SECONDS
        ]:
            del self._crashes[endpoint]
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        for group in [
            group
            for group, block in self._blocks.items()
            if now - block.last_crash_at >= GROUP_LIFETIME_SECONDS
        ]:
            del self._blocks[group]


def _score(times: Sequence[float]) -> int:
    """Return the number of crashes, of which a burst counts at most `MAX_SCORE_PER_BURST`."""
    score = in_burst = 0
    burst_ends_at = float("-inf")
    for at in sorted(times):
        if at >= burst_ends_at:
            burst_ends_at, in_burst = at + BURST_SECONDS, 0
        if in_burst < MAX_SCORE_PER_BURST:
            score += 1
            in_burst += 1
    return score
