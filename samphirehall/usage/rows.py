"""Rows of cumulative counts in the table, and the plan of a flush.

Each counting process has one row per window. A row may change until its window
is closed, and never afterwards. Counts that arrive after their window was
closed go into the row of an open window, marked as late.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from samphirehall.core.decoding import DecodingError, Unsigned, convert, parse_unsigned, shorten
from samphirehall.usage.counts import ZERO_COUNTS, Cell, Counts, sum_counts

ROWS_PREFIX = "usage/rows"

_StoredCounts = tuple[Unsigned, Unsigned, Unsigned]


class _StoredRow(msgspec.Struct):
    """Value of a row."""

    direct: dict[str, _StoredCounts]
    late: dict[str, dict[str, _StoredCounts]]


@dataclass(slots=True, frozen=True)
class Source:
    """One run of a process that counts usage.

    Parameters
    ----------
    owner : str
        Name of the process, such as ``host-a/entry``.
    incarnation : int
        Start of the process in milliseconds since the epoch.
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
        Counts of earlier windows that arrived after those were closed.
    """

    direct: dict[str, Counts] = field(default_factory=dict)
    late: dict[Cell, Counts] = field(default_factory=dict)

    def copy(self) -> "UsageRow":
        """Return a copy that can be changed independently."""
        return UsageRow(dict(self.direct), dict(self.late))


def row_key(window: int, source: Source) -> str:
    """Return the key of the row of a process in a window."""
    return f"{ROWS_PREFIX}/{window}/{source.owner}/{source.incarnation}"


def closed_key(window: int) -> str:
    """Return the key of the row that marks a window as closed."""
    return f"usage/closed/{window}"


def encode_row(row: UsageRow) -> Any:
    """Encode a row as a JSON value."""
    late: dict[str, dict[str, list[int]]] = {}
    for cell, counts in row.late.items():
        late.setdefault(str(cell.window), {})[cell.customer] = counts.encode()
    return {"direct": {name: counts.encode() for name, counts in row.direct.items()}, "late": late}


def decode_row(value: Any) -> UsageRow:
    """Decode a row from a JSON value.

    Raises
    ------
    DecodingError
        The value is no row.
    """
    stored = convert(value, _StoredRow)
    direct = {name: Counts(*counts) for name, counts in stored.direct.items()}
    late = {
        Cell(_decode_window(digits), customer): Counts(*counts)
        for digits, customers in stored.late.items()
        for customer, counts in customers.items()
    }
    return UsageRow(direct, late)


def _decode_window(digits: str) -> int:
    window = parse_unsigned(digits)
    if window is None:
        raise DecodingError(f"{shorten(digits)!r} is no window")
    return window


def recorded_counts(cell: Cell, rows: Mapping[int, UsageRow]) -> Counts:
    """Return the counts of a cell in the rows of one process, direct and late ones together."""
    window_row = rows.get(cell.window)
    direct = (
        ZERO_COUNTS if window_row is None else window_row.direct.get(cell.customer, ZERO_COUNTS)
    )
    return direct + sum_counts(row.late.get(cell, ZERO_COUNTS) for row in rows.values())


def plan_flush(
    counted: Mapping[Cell, Counts], rows: Mapping[int, UsageRow], open_windows: Iterable[int]
) -> dict[int, UsageRow]:
    """Return the rows to write so that every count is recorded once.

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
        New values of rows, by window; empty if nothing is missing or no window is
        open.
    """
    sorted_open_windows = sorted(open_windows)
    planned: dict[int, UsageRow] = {}
    for cell, counts in counted.items():
        missing = counts.missing_from(recorded_counts(cell, rows))
        if missing == ZERO_COUNTS or not sorted_open_windows:
            continue
        in_time = cell.window in sorted_open_windows
        window = cell.window if in_time else sorted_open_windows[0]
        if window not in planned:
            planned[window] = rows.get(window, UsageRow()).copy()
        row = planned[window]
        if in_time:
            row.direct[cell.customer] = row.direct.get(cell.customer, ZERO_COUNTS) + missing
        else:
            row.late[cell] = row.late.get(cell, ZERO_COUNTS) + missing
    return planned
