"""Closes usage windows and freezes their figures, each exactly once.

Writing the close mark of a window ensures that its rows no longer change; the
figures are the sum of those rows. They are frozen by inserting a row that must
not exist yet. Both are transactions that check the lease row.
"""

import logging
from collections.abc import Iterable

import msgspec

from samphirehall.authority.lease import LeaseGrant, LeaseLostError
from samphirehall.backing.table import (
    ABSENT,
    NO_ERA,
    Check,
    Row,
    Table,
    Write,
    convert_row,
    readable_rows,
)
from samphirehall.core.decoding import Unsigned, convert
from samphirehall.core.log import log_decision
from samphirehall.core.types import UsageFigures
from samphirehall.usage.counts import ZERO_COUNTS, Counts, billed_figures
from samphirehall.usage.flusher import NEXT_WINDOW_KEY
from samphirehall.usage.meter import window_start
from samphirehall.usage.rows import ROWS_PREFIX, UsageRow, closed_key, decode_row

MAX_ROWS = 100_000
MAX_SKIPPED_WINDOWS = 40  # in one transaction
ERA_KEY = "usage/era"  # era of the table in which the next window was last written

_log = logging.getLogger(__name__)

FrozenFigures = dict[str, UsageFigures]


def frozen_key(window: int) -> str:
    """Return the key of the frozen figures of a window."""
    return f"usage/frozen/{window}"


def decode_frozen(row: Row) -> FrozenFigures:
    """Decode the frozen figures of a row, by customer.

    Raises
    ------
    DecodingError
        The row holds no figures.
    """
    return convert(row.value, FrozenFigures)


def sum_rows(rows: Iterable[UsageRow]) -> FrozenFigures:
    """Return the sum of the rows of a closed window as figures by customer."""
    direct: dict[str, Counts] = {}
    late: dict[str, Counts] = {}
    for row in rows:
        for customer, counts in row.direct.items():
            direct[customer] = direct.get(customer, ZERO_COUNTS) + counts
        for cell, counts in row.late.items():
            late[cell.customer] = late.get(cell.customer, ZERO_COUNTS) + counts
    return {
        customer: billed_figures(direct.get(customer, ZERO_COUNTS), late.get(customer, ZERO_COUNTS))
        for customer in sorted(direct.keys() | late.keys())
    }


class WindowCloser:
    """Closes and freezes windows under the lease of the platform scope.

    Parameters
    ----------
    table : Table
        Table that holds the usage rows and the frozen figures.
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, table: Table, *, window_seconds: int) -> None:
        self._table = table
        self._window_seconds = window_seconds

    async def step(self, grant: LeaseGrant, *, grace: float, now: float) -> bool:
        """Close and freeze the next window if its grace period is over; return whether it was.

        Parameters
        ----------
        grant : LeaseGrant
            Lease grant of the platform scope.
        grace : float
            Seconds after the end of a window in which hosts still flush into it.
        now : float
            Wall clock in seconds since the epoch.

        Raises
        ------
        LeaseLostError
            Another process has taken over the lease.
        PlatformUnavailableError
            It is unknown how far this step got; the next step continues.
        """
        rows = await self._table.read([NEXT_WINDOW_KEY, ERA_KEY])
        next_row = rows.get(NEXT_WINDOW_KEY)
        if next_row is None:
            await self._set_first_window(grant, now=now)
            return False
        window = convert_row(next_row, Unsigned)
        stored_era = convert_row(rows[ERA_KEY], Unsigned) if ERA_KEY in rows else NO_ERA
        if stored_era != self._table.era:
            await self._skip_windows(grant, next_row, now=now)
            return False
        if now < window + self._window_seconds + grace:
            return False
        await self._close(grant, window)
        frozen = await self._sum_window(window)
        await self._freeze(grant, window, frozen, next_row)
        return True

    async def _set_first_window(self, grant: LeaseGrant, *, now: float) -> None:
        first = window_start(now, self._window_seconds)
        checks = [grant.lease_check, Check(NEXT_WINDOW_KEY, ABSENT)]
        writes = [Write(NEXT_WINDOW_KEY, first), Write(ERA_KEY, self._table.era)]
        result = await self._table.transact(checks, writes)
        _raise_if_lost(grant, result.conflicts)

    async def _skip_windows(self, grant: LeaseGrant, next_row: Row, *, now: float) -> None:
        """Skip the windows that may have been frozen and reported before a restoration.

        They are closed, so that hosts flush what they still count into the next window.
        """
        first = convert_row(next_row, Unsigned)
        current = max(first, window_start(now, self._window_seconds))
        end = min(current, first + MAX_SKIPPED_WINDOWS * self._window_seconds)
        skipped = range(first, end, self._window_seconds)
        mark = {"fencing": grant.fencing, "holder": grant.holder}
        writes = [Write(closed_key(window), mark) for window in skipped]
        writes.append(Write(NEXT_WINDOW_KEY, end))
        if end == current:
            writes.append(Write(ERA_KEY, self._table.era))
        checks = [grant.lease_check, Check(NEXT_WINDOW_KEY, next_row.version)]
        result = await self._table.transact(checks, writes)
        _raise_if_lost(grant, result.conflicts)
        if result.committed:
            reason = "the table was restored; they may have been reported with other figures"
            log_decision(_log, "usage-left-out", reason, windows=list(skipped))

    async def _close(self, grant: LeaseGrant, window: int) -> None:
        mark = Write(closed_key(window), {"fencing": grant.fencing, "holder": grant.holder})
        checks = [grant.lease_check, Check(closed_key(window), ABSENT)]
        result = await self._table.transact(checks, [mark])
        _raise_if_lost(grant, result.conflicts)
        if result.committed:
            log_decision(
                _log,
                "usage-close",
                "the grace period of the window is over",
                window=window,
                fencing=grant.fencing,
            )

    async def _sum_window(self, window: int) -> FrozenFigures:
        rows = await self._table.scan(f"{ROWS_PREFIX}/{window}/", limit=MAX_ROWS)
        return sum_rows(row for _, row in readable_rows(rows, decode_row))

    async def _freeze(
        self, grant: LeaseGrant, window: int, frozen: FrozenFigures, next_row: Row
    ) -> None:
        """Insert the figures and advance to the next window, in one transaction."""
        checks = [
            grant.lease_check,
            Check(frozen_key(window), ABSENT),
            Check(NEXT_WINDOW_KEY, next_row.version),
        ]
        writes = [
            Write(frozen_key(window), msgspec.to_builtins(frozen)),
            Write(NEXT_WINDOW_KEY, window + self._window_seconds),
        ]
        result = await self._table.transact(checks, writes)
        _raise_if_lost(grant, result.conflicts)
        if result.committed:
            log_decision(
                _log, "usage-freeze", "the window is closed", window=window, customers=len(frozen)
            )


def _raise_if_lost(grant: LeaseGrant, conflicts: Iterable[Row]) -> None:
    if any(row.key == grant.lease_check.key for row in conflicts):
        raise LeaseLostError(grant.scope, "another process has taken over")
