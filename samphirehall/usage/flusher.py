"""Writes usage counts into the table, each count once."""

from dataclasses import dataclass

from samphirehall.backing.table import ABSENT, Check, Row, Table, Write, convert_row, readable_rows
from samphirehall.core.decoding import Unsigned
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.usage.counts import ZERO_COUNTS
from samphirehall.usage.meter import window_start
from samphirehall.usage.pending_usage import PendingUsage
from samphirehall.usage.rows import (
    Source,
    UsageRow,
    closed_key,
    decode_row,
    encode_row,
    plan_flush,
    recorded_counts,
    row_key,
)

NEXT_WINDOW_KEY = "usage/next"
WINDOW_END_MARGIN_SECONDS = 5.0
MAX_READ_WINDOWS = 10_000  # by one flush; a fact of another host may name any window


@dataclass(slots=True, frozen=True)
class _TableState:
    """Rows of one process in a range of windows, as read from the table."""

    windows: tuple[int, ...]
    rows: dict[str, Row]
    next_window: int | None

    def is_closed(self, window: int) -> bool:
        """Return whether the window accepts no more counts."""
        before_next = self.next_window is None or window < self.next_window
        return before_next or closed_key(window) in self.rows


class UsageFlusher:
    """Writes the counts of processes into their rows.

    Parameters
    ----------
    table : Table
        Table that holds the rows.
    pending_usage : PendingUsage
        Counts that may not be in the table yet.
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, table: Table, pending_usage: PendingUsage, *, window_seconds: int) -> None:
        self._table = table
        self._pending_usage = pending_usage
        self._window_seconds = window_seconds

    async def flush(self, source: Source, *, changed_before: float, now: float) -> int:
        """Write the counts of a process; return the window before which all counts are recorded.

        Parameters
        ----------
        source : Source
            The process.
        changed_before : float
            Boot clock in seconds; counts that changed later are left to another flush.
        now : float
            Wall clock in seconds since the epoch.

        Raises
        ------
        PlatformUnavailableError
            The table could not be read; the counts stay for another flush.
        """
        counted = self._pending_usage.counted(source, changed_before=changed_before)
        if not counted:
            return 0
        table_state = await self._read(source, {cell.window for cell in counted}, now=now)
        rows = _rows_by_window(table_state, source)
        await self._write(
            source, table_state, plan_flush(counted, rows, _open_windows(table_state))
        )
        first_unfinished = window_start(now - WINDOW_END_MARGIN_SECONDS, self._window_seconds)
        recorded_cells = [
            cell
            for cell, counts in counted.items()
            if cell.window < first_unfinished
            and counts.missing_from(recorded_counts(cell, rows)) == ZERO_COUNTS
        ]
        self._pending_usage.forget(source, recorded_cells, counted)
        missing = [cell.window for cell in counted.keys() - set(recorded_cells)]
        return min([first_unfinished, *missing])

    async def _read(self, source: Source, counted: set[int], *, now: float) -> _TableState:
        """Read all rows of the process from the first counted window to the next one to begin."""
        end = window_start(now, self._window_seconds) + 2 * self._window_seconds
        first = max(min(counted), end - MAX_READ_WINDOWS * self._window_seconds)
        windows = tuple(sorted(counted | {*range(first, end, self._window_seconds)}))
        keys = [NEXT_WINDOW_KEY]
        for window in windows:
            keys += [row_key(window, source), closed_key(window)]
        rows = await self._table.read(keys)
        next_row = rows.get(NEXT_WINDOW_KEY)
        next_window = None if next_row is None else convert_row(next_row, Unsigned)
        return _TableState(windows, rows, next_window)

    async def _write(
        self, source: Source, table_state: _TableState, planned: dict[int, UsageRow]
    ) -> None:
        """Write rows, provided that they have not changed and their windows are open.

        The next flush finds out whether this one took effect. Counts of a closed
        window go into the first open one, so that two flushes of the same
        counts conflict in one row and only one takes effect.
        """
        if not planned:
            return
        checks = [Check(closed_key(window), ABSENT) for window in planned]
        for window in planned:
            row = table_state.rows.get(row_key(window, source))
            version = ABSENT if row is None else row.version
            checks.append(Check(row_key(window, source), version))
        writes = [
            Write(row_key(window, source), encode_row(row)) for window, row in planned.items()
        ]
        try:
            await self._table.transact(checks, writes)
        except PlatformUnavailableError:
            return


def _rows_by_window(table_state: _TableState, source: Source) -> dict[int, UsageRow]:
    windows = {row_key(window, source): window for window in table_state.windows}
    rows = [table_state.rows[key] for key in windows if key in table_state.rows]
    return {windows[row.key]: decoded for row, decoded in readable_rows(rows, decode_row)}


def _open_windows(table_state: _TableState) -> list[int]:
    return [window for window in table_state.windows if not table_state.is_closed(window)]
