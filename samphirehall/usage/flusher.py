"""Brings what was counted into the table, each count once."""

from dataclasses import dataclass

from samphirehall.backing.table import ABSENT, Check, Row, Table, Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.usage.book import UsageBook
from samphirehall.usage.counts import NOTHING
from samphirehall.usage.meter import window_at
from samphirehall.usage.rows import (
    Source,
    UsageRow,
    closed_key,
    decode_row,
    encode_row,
    plan_flush,
    recorded,
    row_key,
)

NEXT_KEY = "usage/next"
SETTLING_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class _Held:
    """What the table holds for one process in a range of windows."""

    windows: tuple[int, ...]
    rows: dict[str, Row]
    next_window: int | None

    def is_closed(self, window: int) -> bool:
        """Return whether the window takes no more counts."""
        before_next = self.next_window is None or window < self.next_window
        return before_next or closed_key(window) in self.rows


class UsageFlusher:
    """Writes the counts of processes into their rows.

    Parameters
    ----------
    table : Table
        Where the rows are.
    book : UsageBook
        What was counted.
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, table: Table, book: UsageBook, *, window_seconds: int) -> None:
        self._table = table
        self._book = book
        self._window_seconds = window_seconds

    async def flush(self, source: Source, *, heard_before: float, now: float) -> int:
        """Record what a process has counted; return before which window all is recorded.

        Parameters
        ----------
        source : Source
            The process.
        heard_before : float
            Boot clock in seconds; later changes are left to another flush.
        now : float
            Wall clock in seconds since the epoch.

        Raises
        ------
        PlatformUnavailableError
            The table could not be read; the counts are kept.
        """
        counted = self._book.counted(source, heard_before=heard_before)
        if not counted:
            return 0
        held = await self._read(source, {cell.window for cell in counted}, now=now)
        rows = _rows_by_window(held, source)
        await self._write(source, held, plan_flush(counted, rows, _open_windows(held)))
        over = window_at(now - SETTLING_SECONDS, self._window_seconds)
        done = [
            cell
            for cell, counts in counted.items()
            if cell.window < over and counts.beyond(recorded(cell, rows)) == NOTHING
        ]
        self._book.forget(source, done, counted)
        missing = [cell.window for cell in counted.keys() - set(done)]
        return min([over, *missing])

    async def _read(self, source: Source, counted: set[int], *, now: float) -> _Held:
        """Read all rows of the process from the first counted window to the next one."""
        end = window_at(now, self._window_seconds) + 2 * self._window_seconds
        windows = tuple(sorted(counted | {*range(min(counted), end, self._window_seconds)}))
        keys = [NEXT_KEY]
        for window in windows:
            keys += [row_key(window, source), closed_key(window)]
        rows = await self._table.read(keys)
        next_row = rows.get(NEXT_KEY)
        return _Held(windows, rows, None if next_row is None else int(next_row.value))

    async def _write(self, source: Source, held: _Held, planned: dict[int, UsageRow]) -> None:
        """Write rows, provided that they have not changed and their windows are open.

        The next flush reads whether this one took effect. Counts of a closed
        window go into the first open one, so that two flushes of the same
        counts meet in one row.
        """
        if not planned:
            return
        checks = [Check(closed_key(window), ABSENT) for window in planned]
        for window in planned:
            row = held.rows.get(row_key(window, source))
            version = ABSENT if row is None else row.version
            checks.append(Check(row_key(window, source), version))
        writes = [
            Write(row_key(window, source), encode_row(row)) for window, row in planned.items()
        ]
        try:
            await self._table.transact(checks, writes)
        except PlatformUnavailableError:
            return


def _rows_by_window(held: _Held, source: Source) -> dict[int, UsageRow]:
    return {
        window: decode_row(held.rows[row_key(window, source)].value)
        for window in held.windows
        if row_key(window, source) in held.rows
    }


def _open_windows(held: _Held) -> list[int]:
    return [window for window in held.windows if not held.is_closed(window)]
