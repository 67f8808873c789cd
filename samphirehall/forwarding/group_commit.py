"""Group commit: conditional row writes of many requests, one transaction at a time.

While a transaction is in flight, new writes gather; all of them ride in the
next one. No request holds a worker or a connection of its own while it waits.
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
ROW_BYTES = 512
BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 1.0
FLUSH_POLL_SECONDS = 0.01


@dataclass(slots=True, frozen=True)
class WriteOutcome:
    """What became of a conditional write.

    Parameters
    ----------
    committed : bool
        Whether the write took effect.
    row : Row
        The row now: as written, or the one in the way; version `ABSENT` for none.
    """

    committed: bool
    row: Row


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A conditional write on its way.

    Parameters
    ----------
    key : str
        Row to write.
    version : int
        Version that the row must have, `ABSENT` for none.
    value : object
        New value, unlike any that another writer would write; None deletes the row.
    size : int
        Estimated size in bytes.
    on_done : callable, optional
        Called with the outcome.
    sent : bool
        Whether it was part of a transaction, so that it may take effect.
    withdrawn : bool
        Whether nobody wants it any more.
    """

    key: str
    version: int
    value: Any
    size: int = ROW_BYTES
    on_done: Callable[[WriteOutcome], None] | None = None
    sent: bool = False
    withdrawn: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: WriteOutcome | None = None

    def finish(self, outcome: WriteOutcome) -> None:
        """Note the outcome and wake who waits for it."""
        self.outcome = outcome
        self.done.set()
        if self.on_done is not None:
            self.on_done(outcome)


class GroupCommit:
    """Writes rows of the table in batches, at most one transaction in flight.

    Parameters
    ----------
    table : Table
        Store of the rows.
    random_source : random.Random
        Source of jitter.
    max_rows : int
        Most rows of one transaction.
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
        self._arrived = anyio.Event()

    @property
    def waiting(self) -> int:
        """Writes whose outcome is not known yet."""
        return len(self._pending) + self._in_flight

    def submit(
        self,
        key: str,
        version: int,
        value: Any,
        *,
        size: int = ROW_BYTES,
        on_done: Callable[[WriteOutcome], None] | None = None,
    ) -> PendingWrite:
        """Queue a write for the next transaction; see `PendingWrite`."""
        write = PendingWrite(key, version, value, size, on_done)
        self._pending.append(write)
        self._arrived.set()
        return write

    def withdraw(self, write: PendingWrite) -> bool:
        """Give a write up; return whether it certainly never takes effect."""
        write.withdrawn = True
        return not write.sent

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            batch = self._take_batch()
            if not batch:
                self._arrived = anyio.Event()
                await self._arrived.wait()
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
        while self.waiting:
            await anyio.sleep(FLUSH_POLL_SECONDS)

    def _take_batch(self) -> list[PendingWrite]:
        batch: dict[str, PendingWrite] = {}
        left: list[PendingWrite] = []
        size = 0
        while self._pending and len(batch) < self._max_rows and size < MAX_BATCH_BYTES:
            write = self._pending.popleft()
            if write.withdrawn:
                continue
            if write.key in batch:
                left.append(write)
                continue
            batch[write.key] = write
            size += write.size
        self._pending.extendleft(reversed(left))
        return list(batch.values())

    async def _commit(self, batch: list[PendingWrite]) -> None:
        for write in batch:
            write.sent = True
        checks = [Check(write.key, write.version) for write in batch]
        writes = [Write(write.key, write.value) for write in batch]
        try:
            result = await self._table.transact(checks, writes)
        except PlatformUnavailableError:
            await self._read_back(batch)
            return
        self._failures = 0
        if result.committed:
            versions = result.versions or {}
            for write in batch:
                row = Row(write.key, versions.get(write.key, ABSENT), write.value)
                write.finish(WriteOutcome(True, row))
            return
        self._split(batch, result.conflicts)

    def _split(self, batch: list[PendingWrite], conflicts: Iterable[Row]) -> None:
        """Finish the writes that conflict; the others go into the next transaction."""
        rows = {row.key: row for row in conflicts}
        again = []
        for write in batch:
            row = rows.get(write.key)
            if row is None:
                again.append(write)
            else:
                write.finish(WriteOutcome(_took_effect(write, row), row))
        self._pending.extendleft(reversed(again))

    async def _read_back(self, batch: list[PendingWrite]) -> None:
        """Settle a transaction whose answer was lost."""
        self._failures += 1
        try:
            rows = await self._table.read([write.key for write in batch])
        except PlatformUnavailableError:
            self._pending.extendleft(reversed(batch))
            return
        again = []
        for write in batch:
            row = rows.get(write.key, Row(write.key, ABSENT, None))
            if _took_effect(write, row):
                write.finish(WriteOutcome(True, row))
            elif row.version == write.version:
                again.append(write)
            else:
                write.finish(WriteOutcome(False, row))
        self._pending.extendleft(reversed(again))

    def _backoff(self) -> float:
        limit = min(BACKOFF_LIMIT_SECONDS, BACKOFF_FIRST_SECONDS * 2 ** min(self._failures, 8))
        return limit * (0.5 + self._random.random() / 2)


def _took_effect(write: PendingWrite, row: Row) -> bool:
    return bool(row.value == write.value)
