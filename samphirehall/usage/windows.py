"""Closes usage windows and freezes their figures, once and for all.

A window is closed by a mark, after which no row of the window changes; the
figures are the sum of those rows. They are frozen by inserting a row that must
not be there yet. Both happen in transactions that check the lease row.
"""

import logging
from collections.abc import Iterable

import msgspec

from samphirehall.authority.lease import LeaseGrant, LeaseLostError
from samphirehall.backing.table import ABSENT, Check, Row, Table, Write
from samphirehall.core.log import log_decision
from samphirehall.core.types import UsageFigures
from samphirehall.usage.counts import NOTHING, Counts, figures
from samphirehall.usage.flusher import NEXT_KEY
from samphirehall.usage.meter import window_at
from samphirehall.usage.rows import ROWS_PREFIX, UsageRow, closed_key, decode_row

MAX_ROWS = 100_000

_log = logging.getLogger(__name__)

Frozen = dict[str, UsageFigures]


def frozen_key(window: int) -> str:
    """Return the key of the frozen figures of a window."""
    return f"usage/frozen/{window}"


def decode_frozen(row: Row) -> Frozen:
    """Return the frozen figures of a row, by customer."""
    return msgspec.convert(row.value, Frozen)


def sum_rows(rows: Iterable[UsageRow]) -> Frozen:
    """Return the figures that the rows of a closed window add up to, by customer."""
    direct: dict[str, Counts] = {}
    late: dict[str, Counts] = {}
    for row in rows:
        for customer, counts in row.direct.items():
            direct[customer] = direct.get(customer, NOTHING) + counts
        for cell, counts in row.late.items():
            late[cell.customer] = late.get(cell.customer, NOTHING) + counts
    return {
        customer: figures(direct.get(customer, NOTHING), late.get(customer, NOTHING))
        for customer in sorted(direct.keys() | late.keys())
    }


class WindowCloser:
    """Closes and freezes windows under the right of the platform scope.

    Parameters
    ----------
    table : Table
        Where the windows are kept.
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, table: Table, *, window_seconds: int) -> None:
        self._table = table
        self._window_seconds = window_seconds

    async def step(self, right: LeaseGrant, *, grace: float, now: float) -> bool:
        """Close and freeze the next window if its time has come; return whether it had.

        Parameters
        ----------
        right : LeaseGrant
            Right of the platform scope.
        grace : float
            Seconds after the end of a window in which hosts still flush into it.
        now : float
            Wall clock in seconds since the epoch.

        Raises
        ------
        LeaseLostError
            Another process has taken over.
        PlatformUnavailableError
            Nobody can tell yet how far this got; the next step goes on.
        """
        row = (await self._table.read([NEXT_KEY])).get(NEXT_KEY)
        if row is None:
            await self._begin(right, now=now)
            return False
        window = int(row.value)
        if now < window + self._window_seconds + grace:
            return False
        await self._close(right, window)
        frozen = await self._sum(window)
        await self._freeze(right, window, frozen, row)
        return True

    async def _begin(self, right: LeaseGrant, *, now: float) -> None:
        first = window_at(now, self._window_seconds)
        checks = [right.lease_check, Check(NEXT_KEY, ABSENT)]
        result = await self._table.transact(checks, [Write(NEXT_KEY, first)])
        _raise_if_lost(right, result.conflicts)

    async def _close(self, right: LeaseGrant, window: int) -> None:
        mark = Write(closed_key(window), {"fencing": right.fencing, "holder": right.holder})
        checks = [right.lease_check, Check(closed_key(window), ABSENT)]
        result = await self._table.transact(checks, [mark])
        _raise_if_lost(right, result.conflicts)
        if result.committed:
            log_decision(_log, "usage-close", "time is up", window=window, fencing=right.fencing)

    async def _sum(self, window: int) -> Frozen:
        rows = await self._table.scan(f"{ROWS_PREFIX}/{window}/", limit=MAX_ROWS)
        return sum_rows(decode_row(row.value) for row in rows)

    async def _freeze(self, right: LeaseGrant, window: int, frozen: Frozen, next_row: Row) -> None:
        """Insert the figures and go on to the next window, both or neither."""
        checks = [
            right.lease_check,
            Check(frozen_key(window), ABSENT),
            Check(NEXT_KEY, next_row.version),
        ]
        writes = [
            Write(frozen_key(window), msgspec.to_builtins(frozen)),
            Write(NEXT_KEY, window + self._window_seconds),
        ]
        result = await self._table.transact(checks, writes)
        _raise_if_lost(right, result.conflicts)
        if result.committed:
            log_decision(
                _log, "usage-freeze", "window is closed", window=window, customers=len(frozen)
            )


def _raise_if_lost(right: LeaseGrant, conflicts: Iterable[Row]) -> None:
    if any(row.key == right.lease_check.key for row in conflicts):
        raise LeaseLostError(right.scope, "another process has taken over")
