"""Continuous batching: one loop steps every sequence of an engine."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import Priority
from samphirehall.standins.prefix_cache import PrefixCache
from samphirehall.standins.timing import EngineTiming

STEPS_A_YIELD = 16
MAX_BEHIND_SECONDS = 0.25
PAUSE_SECONDS = 0.005


@dataclass(slots=True, eq=False)
class Sequence:
    """One request in an engine.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    prompt_tokens : int
        Tokens of the prompt and of what other engines generated.
    hashes : list of int
        Chained block hashes of the prompt.
    next_index : int
        Index of the next token to generate.
    last_index : int
        Index after the last token to generate here.
    priority : Priority
        Order of service.
    imported : bool
        Whether the KV cache came from another engine.
    prefill_left : int
        Prompt tokens not yet prefilled.
    """

    request_id: str
    prompt_tokens: int
    hashes: list[int]
    next_index: int
    last_index: int
    priority: Priority = Priority.NORMAL
    imported: bool = False
    prefill_left: int = 0
    cancelled: bool = False
    readers: int = 0
    unread_since: float = 0.0
    _changed: anyio.Event | None = field(default=None, repr=False)

    @property
    def finished(self) -> bool:
        """Whether nothing more will be generated."""
        return self.cancelled or self.next_index >= self.last_index

    async def wait_changed(self) -> None:
        """Wait for the next token, the end or a cancellation."""
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake the readers."""
        if self._changed is not None:
            event, self._changed = self._changed, None
            event.set()


@dataclass(slots=True)
class _Step:
    decoding: list[Sequence]
    prefills: list[tuple[Sequence, int]]
    seconds: float


class Batch:
    """The sequences of an engine, waiting and running.

    Parameters
    ----------
    timing : EngineTiming
        Cost of a step.
    cache : PrefixCache
        Blocks that need no prefill.
    paused : callable
        Says whether steps are to stand still.
    """

    def __init__(
        self, timing: EngineTiming, cache: PrefixCache, *, paused: Callable[[], bool]
    ) -> None:
        self._timing = timing
        self._cache = cache
        self._paused = paused
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._prefilling: list[Sequence] = []
        self._decoding: list[Sequence] = []
        self._number = 0
        self._added = anyio.Event()
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.decoded_tokens = 0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Sequences before the batch."""
        return len(self._waiting)

    @property
    def queued_prompt_tokens(self) -> int:
        """Prompt tokens not yet prefilled."""
        queued = sum(sequence.prefill_left for _, _, sequence in self._waiting)
        return queued + sum(sequence.prefill_left for sequence in self._prefilling)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence behind those of its priority."""
        self._number += 1
        sequence.prefill_left = 0 if sequence.imported else max(1, sequence.prompt_tokens)
        heapq.heappush(self._waiting, (int(sequence.priority), self._number, sequence))
        self._added.set()

    async def run(self) -> None:
        """Step the batch until cancelled."""
        due = boot_seconds()
        steps = 0
        while True:
            if not self._waiting and not self.running:
                self._added = anyio.Event()
                await self._added.wait()
                due = boot_seconds()
            step = self.plan(now=boot_seconds())
            due = max(due, boot_seconds() - MAX_BEHIND_SECONDS) + step.seconds
            steps += 1
            if due > boot_seconds() or steps % STEPS_A_YIELD == 0:
                await anyio.sleep(max(0.0, due - boot_seconds()))
            while self._paused():
                await anyio.sleep(PAUSE_SECONDS)
                due = boot_seconds()
            self.finish(step, now=boot_seconds())

    def plan(self, *, now: float) -> _Step:
        """Fill the batch and return what the next step does.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        self._drop_ended(now)
        self._fill()
        budget = self._timing.prefill_chunk_tokens
        prefills = []
        for sequence in self._prefilling:
            chunk = min(budget, sequence.prefill_left)
            if chunk == 0:
                break
            prefills.append((sequence, chunk))
            budget -= chunk
        decoding = list(self._decoding)
        chunks = self._timing.prefill_chunk_tokens - budget
        return _Step(decoding, prefills, self._timing.step_seconds(len(decoding), chunks))

    def finish(self, step: _Step, *, now: float) -> None:
        """Give out the tokens of a step.

        Parameters
        ----------
        step : _Step
            What was planned.
        now : float
            Boot clock in seconds.
        """
        self.decoded_tokens += len(step.decoding)
        for sequence in step.decoding:
            sequence.next_index += 1
            sequence.notify()
        for sequence, chunk in step.prefills:
            sequence.prefill_left -= chunk
            self.prefilled_tokens += chunk
            if sequence.prefill_left == 0:
                self._begin_decoding(sequence, now)
        if step.decoding:
            self._decoding = [item for item in self._decoding if not item.finished]

    def _begin_decoding(self, sequence: Sequence, now: float) -> None:
        self._prefilling.remove(sequence)
        self._cache.store(sequence.hashes, now=now)
        sequence.next_index += 1
        sequence.notify()
        if not sequence.finished:
            self._decoding.append(sequence)

    def _fill(self) -> None:
        while self._waiting and self.running < self._timing.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.finished:
                continue
            if sequence.imported:
                self._decoding.append(sequence)
                continue
            cached = self._cache.matched_tokens(sequence.hashes)
            self.cached_tokens += cached
            sequence.prefill_left = max(1, sequence.prompt_tokens - cached)
            self._prefilling.append(sequence)
        self._prefilling.sort(key=lambda item: item.priority)

    def _drop_ended(self, now: float) -> None:
        limit = now - self._timing.scaled(self._timing.orphan_seconds)
        for sequence in (*self._prefilling, *self._decoding):
            if not sequence.readers and sequence.unread_since < limit:
                sequence.cancelled = True
                sequence.notify()
        self._prefilling = [item for item in self._prefilling if not item.finished]
        self._decoding = [item for item in self._decoding if not item.finished]
        while self._waiting and self._waiting[0][2].finished:
            heapq.heappop(self._waiting)
