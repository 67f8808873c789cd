"""What processes have counted, as far as this host was told."""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.node.facts import Fact, FactKind
from samphirehall.usage.counts import Cell, Counts, newest
from samphirehall.usage.rows import Source


@dataclass(slots=True)
class _Entry:
    counts: Counts
    heard_at: float


class UsageBook:
    """Cumulative counts by process, until the table has them."""

    def __init__(self) -> None:
        self._sources: dict[Source, dict[Cell, _Entry]] = {}

    @property
    def sources(self) -> tuple[Source, ...]:
        """Processes with counts that may not be in the table."""
        return tuple(self._sources)

    def take(self, fact: Fact, *, now: float) -> None:
        """Take note of a fact, if it is about usage.

        Parameters
        ----------
        fact : Fact
            What the entry of this or another host has counted.
        now : float
            Boot clock in seconds.
        """
        if fact.kind is not FactKind.USAGE:
            return
        window, _, customer = fact.key.partition("/")
        self.note(
            Source(fact.owner, fact.incarnation),
            Cell(int(window), customer),
            Counts(*fact.value),
            now=now,
        )

    def note(self, source: Source, cell: Cell, counts: Counts, *, now: float) -> None:
        """Take note of the cumulative counts of a process."""
        cells = self._sources.setdefault(source, {})
        held = cells.get(cell)
        if held is None:
            cells[cell] = _Entry(counts, now)
        elif newest(held.counts, counts) != held.counts:
            cells[cell] = _Entry(newest(held.counts, counts), now)

    def counted(self, source: Source, *, heard_before: float) -> dict[Cell, Counts]:
        """Return the counts of a process that have not changed since `heard_before`."""
        cells = self._sources.get(source, {})
        return {
            cell: entry.counts for cell, entry in cells.items() if entry.heard_at <= heard_before
        }

    def forget(self, source: Source, cells: Iterable[Cell], counted: dict[Cell, Counts]) -> None:
        """Forget cells that are recorded, unless they have grown beyond `counted` since."""
        held = self._sources.get(source, {})
        for cell in cells:
            if cell in held and held[cell].counts == counted[cell]:
                del held[cell]
        if not held:
            self._sources.pop(source, None)
