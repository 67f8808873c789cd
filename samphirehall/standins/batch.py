"""Continuous batching: one loop advances all sequences of an engine step by step."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import Priority
from samphirehall.standins.prefix_cache import PrefixCache
from samphirehall.standins.timing import EngineTiming

STEPS_PER_YIELD = 16  # lets other tasks run while steps are behind schedule
MAX_LAG_SECONDS = 0.25  # steps further behind schedule are not caught up
PAUSE_CHECK_INTERVAL_SECONDS = 0.005


@dataclass(slots=True, eq=False)
class Sequence:
    """One request in an engine.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    prompt_tokens : int
        Tokens of the prompt and of the answer's part that other engines generated.
    hashes : list of int
        Chained block hashes of the prompt.
    next_index : int
        Index of the next token to generate.
    end_index : int
        Index after the last token that this engine generates.
    priority : Priority
        Priority in the queue and in prefill.
    imported : bool
        Whether the KV cache came from another engine.
    pending_prefill_tokens : int
        Prompt tokens not yet prefilled.
    cancelled : bool
        Whether the sequence was cancelled or aborted.
    readers : int
        Number of responses that stream the sequence.
    readerless_since : float
        Boot clock in seconds when the sequence was last without readers.
    """

    request_id: str
    prompt_tokens: int
    hashes: list[int]
    next_index: int
    end_index: int
    priority: Priority = Priority.NORMAL
    imported: bool = False
    pending_prefill_tokens: int = 0
    cancelled: bool = False
    readers: int = 0
    readerless_since: float = 0.0
    _changed: anyio.Event | None = field(default=None, repr=False)

    @property
    def finished(self) -> bool:
        """Whether the sequence is cancelled or fully generated."""
        return self.cancelled or self.next_index >= self.end_index

    async def wait_changed(self) -> None:
        """Wait for the next token, the end or a cancellation."""
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake the tasks in `wait_changed`."""
        if self._changed is not None:
            event, self._changed = self._changed, None
            event.set()


@dataclass(slots=True)
class _Step:
    decoding: list[Sequence]
    prefills: list[tuple[Sequence, int]]
    seconds: float


class Batch:
    """Holds the waiting and running sequences of an engine and advances them.

    Parameters
    ----------
    timing : EngineTiming
        Duration of a step and bounds of the batch.
    cache : PrefixCache
        Prefix cache; its blocks need no prefill.
    paused : callable
        Returns whether the batch is paused.
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
        self._arrivals = 0
        self._sequence_added = anyio.Event()
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.decoded_tokens = 0

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Number of queued sequences."""
        return len(self._waiting)

    @property
    def queued_prompt_tokens(self) -> int:
        """Prompt tokens not yet prefilled."""
        queued = sum(sequence.pending_prefill_tokens for _, _, sequence in self._waiting)
        return queued + sum(sequence.pending_prefill_tokens for sequence in self._prefilling)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence behind those of its priority."""
        self._arrivals += 1
        sequence.pending_prefill_tokens = 0 if sequence.imported else max(1, sequence.prompt_tokens)
        heapq.heappush(self._waiting, (int(sequence.priority), self._arrivals, sequence))
        self._sequence_added.set()

    async def run(self) -> None:
        """Step the batch until cancelled."""
        due = boot_seconds()
        steps = 0
        while True:
            if not self._waiting and not self.running:
                self._sequence_added = anyio.Event()
                await self._sequence_added.wait()
                due = boot_seconds()
            step = self.plan(now=boot_seconds())
            due = max(due, boot_seconds() - MAX_LAG_SECONDS) + step.seconds
            steps += 1
            if due > boot_seconds() or steps % STEPS_PER_YIELD == 0:
                await anyio.sleep(max(0.0, due - boot_seconds()))
            while self._paused():
                await anyio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)
                due = boot_seconds()
            self.finish(step, now=boot_seconds())

    def plan(self, *, now: float) -> _Step:
        """Admit waiting sequences and plan the next step.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        self._remove_finished(now)
        self._admit_waiting()
        budget = self._timing.prefill_chunk_tokens
        prefills = []
        for sequence in self._prefilling:
            chunk = min(budget, sequence.pending_prefill_tokens)
            if chunk == 0:
                break
            prefills.append((sequence, chunk))
            budget -= chunk
        decoding = list(self._decoding)
        prefill_tokens = self._timing.prefill_chunk_tokens - budget
        return _Step(decoding, prefills, self._timing.step_seconds(len(decoding), prefill_tokens))

    def finish(self, step: _Step, *, now: float) -> None:
        """Apply a step: advance its sequences and wake their readers.

        Parameters
        ----------
        step : _Step
            Step that `plan` returned.
        now : float
            Boot clock in seconds.
        """
        self.decoded_tokens += len(step.decoding)
        for sequence in step.decoding:
            sequence.next_index += 1
            sequence.notify()
        for sequence, chunk in step.prefills:
            sequence.pending_prefill_tokens -= chunk
            self.prefilled_tokens += chunk
            if sequence.pending_prefill_tokens == 0:
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

    def _admit_waiting(self) -> None:
        while self._waiting and self.running < self._timing.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.finished:
                continue
            if sequence.imported:
                self._decoding.append(sequence)
                continue
            cached = self._cache.matched_tokens(sequence.hashes)
            self.cached_tokens += cached
            sequence.pending_prefill_tokens = max(1, sequence.prompt_tokens - cached)
            self._prefilling.append(sequence)
        self._prefilling.sort(key=lambda item: item.priority)

    def _remove_finished(self, now: float) -> None:
        limit = now - self._timing.scaled(self._timing.orphan_seconds)
        for sequence in (*self._prefilling, *self._decoding):
            if not sequence.readers and sequence.readerless_since < limit:
                sequence.cancelled = True
                sequence.notify()
        self._prefilling = [item for item in self._prefilling if not item.finished]
        self._decoding = [item for item in self._decoding if not item.finished]
        while self._waiting and self._waiting[0][2].finished:
            heapq.heappop(self._waiting)
