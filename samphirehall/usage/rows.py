"""Rows of cumulative counts in the table, and what a flush writes into them.

Each process that counts has one row a window. A row changes until its window
is closed and never after. Counts that come after the close of their own window
go into the row of an open one, marked late.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from samphirehall.usage.counts import NOTHING, Cell, Counts, total

ROWS_PREFIX = "usage/rows"


@dataclass(slots=True, frozen=True)
class Source:
    """A process that counts.

    Parameters
    ----------
    owner : str
        Name of the process, such as ``host-a/entry``.
    incarnation : int
        Its start, in milliseconds since the epoch.
    """

    owner: str
    incarnation: int


@dataclass(slots=True)
class UsageRow:
    """Counts of one process in the row of one window.

    Parameters
    ----------
    direct : dict of str to Counts
        Counts of the window itself, by customer.
    late : dict of Cell to Counts
        Counts of earlier windows that were closed too soon for them.
    """

    direct: dict[str, Counts] = field(default_factory=dict)
    late: dict[Cell, Counts] = field(default_factory=dict)

    def copy(self) -> "UsageRow":
        """Return a row that can be changed on its own."""
        return UsageRow(dict(self.direct), dict(self.late))


def row_key(window: int, source: Source) -> str:
    """Return the key of the row of a process in a window."""
    return f"{ROWS_PREFIX}/{window}/{source.owner}/{source.incarnation}"


def closed_key(window: int) -> str:
    """Return the key of the mark that a window is closed."""
    return f"usage/closed/{window}"


def encode_row(row: UsageRow) -> Any:
    """Return a row as a JSON value."""
    late: dict[str, dict[str, list[int]]] = {}
    for cell, counts in row.late.items():
        late.setdefault(str(cell.window), {})[cell.customer] = counts.encode()
    return {"direct": {name: counts.encode() for name, counts in row.direct.items()}, "late": late}


def decode_row(value: Any) -> UsageRow:
    """Return the row of a JSON value."""
    direct = {name: Counts(*counts) for name, counts in value["direct"].items()}
    late = {
        Cell(int(window), customer): Counts(*counts)
        for window, customers in value["late"].items()
        for customer, counts in customers.items()
    }
    return UsageRow(direct, late)


def recorded(cell: Cell, rows: Mapping[int, UsageRow]) -> Counts:
    """Return what the rows of one process hold for a cell, in time and late."""
    own = rows.get(cell.window)
    direct = NOTHING if own is None else own.direct.get(cell.customer, NOTHING)
    return direct + total(row.late.get(cell, NOTHING) for row in rows.values())


def plan_flush(
    counted: Mapping[Cell, Counts], rows: Mapping[int, UsageRow], open_windows: Iterable[int]
) -> dict[int, UsageRow]:
    """Return the rows to write so that everything counted is recorded once.

    Parameters
    ----------
    counted : mapping of Cell to Counts
        Cumulative counts of one process.
    rows : mapping of int to UsageRow
        All rows of that process from the first counted window on.
    open_windows : iterable of int
        Windows that are not closed.

    Returns
    -------
    dict of int to UsageRow
        New values of rows, by window; empty if nothing is missing, or if it
        has to wait for an open window.
    """
    still_open = sorted(open_windows)
    planned: dict[int, UsageRow] = {}
    for cell, counts in counted.items():
        missing = counts.beyond(recorded(cell, rows))
        if missing == NOTHING or not still_open:
            continue
        in_time = cell.window in still_open
        window = cell.window if in_time else still_open[0]
        if window not in planned:
            planned[window] = rows.get(window, UsageRow()).copy()
        row = planned[window]
        if in_time:
            row.direct[cell.customer] = row.direct.get(cell.customer, NOTHING) + missing
        else:
            row.late[cell] = row.late.get(cell, NOTHING) + missing
    return planned
