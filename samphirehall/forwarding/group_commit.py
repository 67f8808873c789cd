"""Group commit: batches the conditional row writes of many requests into transactions.

One transaction is in flight at a time; writes submitted meanwhile go into the
next one. A waiting request occupies neither a worker nor a connection.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio

from samphirehall.backing import Check, Row, Table, Write
from samphirehall.backing.table import ABSENT
from samphirehall.core.errors import PlatformUnavailableError

MAX_BATCH_ROWS = 256
MAX_BATCH_BYTES = 1024 * 1024
DEFAULT_ROW_BYTES = 512
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
FLUSH_POLL_INTERVAL_SECONDS = 0.01


@dataclass(slots=True, frozen=True)
class WriteOutcome:
    """Result of a conditional write.

    Parameters
    ----------
    committed : bool
        Whether the write took effect.
    row : Row
        Current row: as written, or the one that conflicts; version `ABSENT` for none.
    """

    committed: bool
    row: Row


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A conditional write whose outcome is not known yet.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version that the row must have, `ABSENT` for none.
    value : object
        New value, which no other writer would write, so that reading it back shows that
        this write took effect; None deletes the row.
    size_bytes : int
        Estimated size in bytes.
    on_done : callable, optional
        Called with the outcome.
    sent : bool
        Whether the write was part of a transaction and may thus have taken effect.
    withdrawn : bool
        Whether the submitter withdrew the write; it is dropped from the queue.
    """

    key: str
    version: int
    value: Any
    size_bytes: int = DEFAULT_ROW_BYTES
    on_done: Callable[[WriteOutcome], None] | None = None
    sent: bool = False
    withdrawn: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: WriteOutcome | None = None

    def finish(self, outcome: WriteOutcome) -> None:
        """Record the outcome, wake the waiting tasks and call `on_done`."""
        self.outcome = outcome
        self.done.set()
        if self.on_done is not None:
            self.on_done(outcome)


class GroupCommit:
    """Writes rows of the table in batches, at most one transaction in flight.

    Parameters
    ----------
    table : Table
        Table that holds the rows.
    random_source : random.Random
        Source of jitter.
    max_rows : int
        Maximum number of rows in one transaction.
    """

    def __init__(
        self, table: Table, *, random_source: random.Random, max_rows: int = MAX_BATCH_ROWS
    ) -> None:
        self._table = table
        self._random = random_source
        self._max_rows = max_rows
        self._pending: deque[PendingWrite] = deque()
        self._in_flight = 0
        self._failures = 0
        self._submitted = anyio.Event()

    @property
    def pending_count(self) -> int:
        """Number of writes whose outcome is not known yet."""
        return len(self._pending) + self._in_flight

    def submit(
        self,
        key: str,
        version: int,
        value: Any,
        *,
        size_bytes: int = DEFAULT_ROW_BYTES,
        on_done: Callable[[WriteOutcome], None] | None = None,
    ) -> PendingWrite:
        """Queue a write for the next transaction; see `PendingWrite`."""
        write = PendingWrite(key, version, value, size_bytes, on_done)
        self._pending.append(write)
        self._submitted.set()
        return write

    def withdraw(self, write: PendingWrite) -> bool:
        """Withdraw a write; return whether it certainly never takes effect."""
        write.withdrawn = True
        return not write.sent

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            batch = self._next_batch()
            if not batch:
                self._submitted = anyio.Event()
                await self._submitted.wait()
                continue
            self._in_flight = len(batch)
            try:
                await self._commit(batch)
            finally:
                self._in_flight = 0
            if self._failures:
                await anyio.sleep(self._backoff())

    async def flush(self) -> None:
        """Wait until the outcome of every write is known."""
        while self.pending_count:
            await anyio.sleep(FLUSH_POLL_INTERVAL_SECONDS)

    def _next_batch(self) -> list[PendingWrite]:
        batch: dict[str, PendingWrite] = {}
        deferred: list[PendingWrite] = []
        batch_bytes = 0
        while self._pending and len(batch) < self._max_rows and batch_bytes < MAX_BATCH_BYTES:
            write = self._pending.popleft()
            if write.withdrawn:
                continue
            if write.key in batch:
                deferred.append(write)
                continue
            batch[write.key] = write
            batch_bytes += write.size_bytes
        self._pending.extendleft(reversed(deferred))
        return list(batch.values())

    async def _commit(self, batch: list[PendingWrite]) -> None:
        for write in batch:
            write.sent = True
        checks = [Check(write.key, write.version) for write in batch]
        writes = [Write(write.key, write.value) for write in batch]
        try:
            result = await self._table.transact(checks, writes)
        except PlatformUnavailableError:
            await self._resolve_lost_answer(batch)
            return
        self._failures = 0
        if result.committed:
            versions = result.versions or {}
            for write in batch:
                row = Row(write.key, versions.get(write.key, ABSENT), write.value)
                write.finish(WriteOutcome(True, row))
            return
        self._finish_conflicting(batch, result.conflicts)

    def _finish_conflicting(self, batch: list[PendingWrite], conflicts: Iterable[Row]) -> None:
        """Finish the writes that conflict; queue the others for the next transaction."""
        rows = {row.key: row for row in conflicts}
        unaffected = []
        for write in batch:
            row = rows.get(write.key)
            if row is None:
                unaffected.append(write)
            else:
                write.finish(WriteOutcome(_took_effect(write, row), row))
        self._pending.extendleft(reversed(unaffected))

    async def _resolve_lost_answer(self, batch: list[PendingWrite]) -> None:
        """Read the rows of a transaction whose answer was lost, to learn its outcome.

        Writes whose rows are unchanged are queued again.
        """
        self._failures += 1
        try:
            rows = await self._table.read([write.key for write in batch])
        except PlatformUnavailableError:
            self._pending.extendleft(reversed(batch))
            return
        unwritten = []
        for write in batch:
            row = rows.get(write.key, Row(write.key, ABSENT, None))
            if _took_effect(write, row):
                write.finish(WriteOutcome(True, row))
            elif row.version == write.version:
                unwritten.append(write)
            else:
                write.finish(WriteOutcome(False, row))
        self._pending.extendleft(reversed(unwritten))

    def _backoff(self) -> float:
        limit = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(self._failures, 8))
        return limit * (0.5 + self._random.random() / 2)


def _took_effect(write: PendingWrite, row: Row) -> bool:
    return bool(row.value == write.value)
