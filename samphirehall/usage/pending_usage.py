"""Usage counts that this host has received and that may not be in the table yet."""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.decoding import DecodingError, Unsigned, convert, parse_unsigned
from samphirehall.node.facts import Fact, FactKind
from samphirehall.usage.counts import Cell, Counts, latest_counts
from samphirehall.usage.rows import Source

MAX_WINDOW = 253_402_300_799  # seconds; the end of the year 9999


@dataclass(slots=True)
class _Entry:
    counts: Counts
    changed_at: float


class PendingUsage:
    """Cumulative counts by process, held until they are recorded in the table."""

    def __init__(self) -> None:
        self._sources: dict[Source, dict[Cell, _Entry]] = {}

    @property
    def sources(self) -> tuple[Source, ...]:
        """Processes with counts that may not be in the table."""
        return tuple(self._sources)

    def apply_fact(self, fact: Fact, *, now: float) -> None:
        """Record the counts of a fact; ignore facts of other kinds.

        Parameters
        ----------
        fact : Fact
            Counts of an entry process of this or another host.
        now : float
            Boot clock in seconds.

        Raises
        ------
        DecodingError
            The fact holds no counts of a window.
        """
        if fact.kind is not FactKind.USAGE:
            return
        digits, _, customer = fact.key.partition("/")
        window = parse_unsigned(digits, maximum=MAX_WINDOW)
        if window is None:
            raise DecodingError(f"{digits[:20]!r} is no window")
        counts = Counts(*convert(fact.value, tuple[Unsigned, Unsigned, Unsigned]))
        self.record(Source(fact.owner, fact.incarnation), Cell(window, customer), counts, now=now)

    def record(self, source: Source, cell: Cell, counts: Counts, *, now: float) -> None:
        """Record the cumulative counts of a process; lower counts than before have no effect."""
        cells = self._sources.setdefault(source, {})
        previous = cells.get(cell)
        if previous is None:
            cells[cell] = _Entry(counts, now)
        elif latest_counts(previous.counts, counts) != previous.counts:
            cells[cell] = _Entry(latest_counts(previous.counts, counts), now)

    def counted(self, source: Source, *, changed_before: float) -> dict[Cell, Counts]:
        """Return the counts of a process that have not changed after `changed_before`."""
        cells = self._sources.get(source, {})
        return {
            cell: entry.counts
            for cell, entry in cells.items()
            if entry.changed_at <= changed_before
        }

    def forget(self, source: Source, cells: Iterable[Cell], counted: dict[Cell, Counts]) -> None:
        """Remove cells that the table has, unless they have grown beyond `counted` since."""
        entries = self._sources.get(source, {})
        for cell in cells:
            if cell in entries and entries[cell].counts == counted[cell]:
                del entries[cell]
        if not entries:
            self._sources.pop(source, None)
