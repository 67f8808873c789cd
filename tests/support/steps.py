"""Coroutines stepped by hand, so that a test chooses every interleaving of table calls."""

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from samphirehall.backing.table import Check, Row, TransactionResult, Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.standins.platform import MemoryTable


@dataclass(slots=True, eq=False)
class Call:
    """One call that a coroutine waits for; `answer` is set once it took effect."""

    name: str
    arguments: tuple
    answer: Any = None
    done: bool = False

    def __await__(self):
        return (yield self)


@dataclass(slots=True)
class SteppedTable:
    """A `Table` whose calls take effect and answer only when a test says so.

    `handlers` carry out calls of other names, such as those to an engine;
    `watch` is called with each transaction just before it takes effect.
    """

    store: MemoryTable = field(default_factory=MemoryTable)
    late: list[Call] = field(default_factory=list)
    handlers: dict[str, Callable] = field(default_factory=dict)
    watch: Callable[[list[Check], list[Write]], None] | None = None

    @property
    def era(self) -> int:
        return self.store.era

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        return await Call("transact", (list(checks), list(writes)))

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        rows = await Call("read", (list(keys),))
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        return await Call("scan", (prefix, limit))

    def take_effect(self, call: Call) -> None:
        """Let a call reach the store, unless it did before."""
        if not call.done:
            call.done = True
            if call.name == "transact" and self.watch is not None:
                self.watch(*call.arguments)
            handler = self.handlers.get(call.name) or getattr(self.store, call.name)
            call.answer = handler(*call.arguments)

    def apply_late(self, index: int) -> None:
        """Let one of the lost calls reach the store now."""
        self.take_effect(self.late.pop(index % len(self.late)))

    def value(self, key: str):
        """Return the value of a row, or None."""
        rows = self.store.read([key])
        return rows[0].value if rows else None


async def sleep_call(seconds: float) -> None:
    """Wait for some seconds of a stepped process."""
    await Call("sleep", (seconds,))


class SteppedTask:
    """A coroutine that stops at each call.

    Parameters
    ----------
    coroutine : coroutine
        What to run; it may await nothing but calls.
    table : SteppedTable
        Where its table calls go.
    """

    def __init__(self, coroutine: Coroutine, table: SteppedTable) -> None:
        self.pending: Call | None = None
        self.result: Any = None
        self.error: Exception | None = None
        self._coroutine = coroutine
        self._table = table
        self._resume(self._coroutine.send, None)

    @property
    def finished(self) -> bool:
        """Whether the coroutine has returned or raised."""
        return self.pending is None

    def take_effect(self) -> None:
        """Let the pending call reach the store; its answer is still on its way."""
        self._table.take_effect(self.pending)

    def answer(self) -> None:
        """Deliver the answer of the pending call."""
        call = self.pending
        if call.name != "sleep":
            self._table.take_effect(call)
        self._resume(self._coroutine.send, call.answer)

    def lose(self, *, late: bool) -> None:
        """Lose the pending call or its answer; if `late`, it may reach the store later."""
        if late and not self.pending.done:
            self._table.late.append(self.pending)
        self._resume(self._coroutine.throw, PlatformUnavailableError("no answer"))

    def run(self) -> Any:
        """Answer every call until the coroutine ends; return its result."""
        while not self.finished:
            self.answer()
        if self.error is not None:
            raise self.error
        return self.result

    def close(self) -> None:
        """End the coroutine where it stands, as a crash does."""
        self._coroutine.close()
        self.pending = None

    def _resume(self, step, value) -> None:
        try:
            self.pending = step(value)
        except StopIteration as stop:
            self.pending, self.result = None, stop.value
        except Exception as error:
            self.pending, self.error = None, error
