"""An in-memory table with the failure modes of the platform's table."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import anyio

from samphirehall.backing.table import Check, Row, TransactionResult, Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.standins.platform import MemoryTable

MAX_LATE_OPERATIONS = 6


@dataclass(slots=True)
class TableFaults:
    """Fault switches: probabilities from 0 to 1, and the longest delay in seconds.

    `drop` loses a call before it takes effect, `lose_answer` loses the answer
    of a call that took effect, `late` loses the answer and lets the write take
    effect some operations later, `duplicate` applies a write a second time
    some operations later, `outage` refuses every call.
    """

    max_delay: float = 0.0
    drop: float = 0.0
    lose_answer: float = 0.0
    late: float = 0.0
    duplicate: float = 0.0
    outage: bool = False


@dataclass(slots=True)
class _LateWrite:
    due: int
    checks: list[Check]
    writes: list[Write]


@dataclass(slots=True)
class FaultyTable:
    """A `Table` in memory with seeded faults.

    Late and duplicated writes take effect just before a later operation, so no
    background task is needed; `settle` lets all of them take effect at once.
    """

    seed: int = 0
    faults: TableFaults = field(default_factory=TableFaults)
    store: MemoryTable = field(default_factory=MemoryTable)
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    operations: int = 0
    _late: list[_LateWrite] = field(default_factory=list)
    _random: random.Random = field(init=False)

    def __post_init__(self):
        self._random = random.Random(self.seed)

    @property
    def era(self) -> int:
        return self.store.era

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        await self._before_operation()
        if self._fault_occurs(self.faults.late):
            self._postpone(checks, writes)
            raise PlatformUnavailableError("the write takes effect late")
        result = self.store.transact(list(checks), list(writes))
        if self._fault_occurs(self.faults.duplicate):
            self._postpone(checks, writes)
        self._after_operation()
        return result

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        await self._before_operation()
        rows = {row.key: row for row in self.store.read(list(keys))}
        self._after_operation()
        return rows

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        await self._before_operation()
        rows = self.store.scan(prefix, limit)
        self._after_operation()
        return rows

    def settle(self) -> None:
        """Let every late write take effect now."""
        late, self._late = self._late, []
        for write in late:
            self.store.transact(write.checks, write.writes)

    def value(self, key: str):
        """Return the value of a row, or None, without faults."""
        rows = self.store.read([key])
        return rows[0].value if rows else None

    async def _before_operation(self) -> None:
        self.operations += 1
        self._apply_due()
        if self.faults.max_delay:
            await self.sleep(self._random.uniform(0.0, self.faults.max_delay))
        if self.faults.outage or self._fault_occurs(self.faults.drop):
            raise PlatformUnavailableError("the call was lost")

    def _after_operation(self) -> None:
        if self._fault_occurs(self.faults.lose_answer):
            raise PlatformUnavailableError("the answer was lost")

    def _fault_occurs(self, probability: float) -> bool:
        return self._random.random() < probability

    def _postpone(self, checks: Sequence[Check], writes: Sequence[Write]) -> None:
        due = self.operations + self._random.randint(1, MAX_LATE_OPERATIONS)
        self._late.append(_LateWrite(due, list(checks), list(writes)))

    def _apply_due(self) -> None:
        due = [write for write in self._late if write.due <= self.operations]
        self._late = [write for write in self._late if write.due > self.operations]
        for write in due:
            self.store.transact(write.checks, write.writes)
