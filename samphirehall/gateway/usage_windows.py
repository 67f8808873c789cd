"""Counting what customers used by window, and reporting each window once.

Each host keeps its counts in rows of its own. The holder of the duty adds them
up, stores the sum once under a condition, and reports just that sum: whoever
holds the duty next can only repeat it.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

import anyio

from samphirehall.authority.lease import LeaseLostError
from samphirehall.backing.table import ABSENT, Check, Row, Table, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

SAVE_S = 1.0  # counts that a killed host may lose; one small write a host a second
CLOSE_S = 0.3  # after a window's end, for requests that begin at it, and clocks that differ
WAIT_SHARE = 0.7  # part of the time until a report is due for which a host's counts are waited for
KEPT_WINDOWS = 24  # rows of older windows are deleted; reports are due within a few
WINDOW_DIGITS = 12  # keys sort as numbers
COUNTS_PREFIX = "usage/counts/"
SUMS_PREFIX = "usage/sums/"

_log = logging.getLogger(__name__)


def counts_prefix(window: int) -> str:
    """Return the beginning of the keys of all hosts' counts of a window."""
    return f"{COUNTS_PREFIX}{window:0{WINDOW_DIGITS}d}/"


def sum_key(window: int) -> str:
    """Return the key of the sum that is reported for a window."""
    return f"{SUMS_PREFIX}{window:0{WINDOW_DIGITS}d}"


class UsageCounter:
    """Requests that began to run, by window and customer, on this host.

    Parameters
    ----------
    host : str
        Process that counts; no other one ever has the same name.
    window_seconds : float
        Length of a window.
    agreed_now : callable
        Agreed seconds since 1970.
    """

    def __init__(self, host: str, window_seconds: float, agreed_now: Callable[[], float]) -> None:
        self._host = host
        self._seconds = window_seconds
        self._agreed_now = agreed_now
        self._counts: dict[int, Counter[str]] = defaultdict(Counter)
        self._unsaved: set[int] = set()
        self._open = self.window_now

    @property
    def window_now(self) -> int:
        """Number of the present window."""
        return int(self._agreed_now() / self._seconds)

    def note(self, customer: str) -> None:
        """Count a request of a customer in the present window."""
        window = self.window_now
        self._counts[window][customer] += 1
        self._unsaved.add(window)

    async def save_forever(self, table: Table) -> None:
        """Keep this host's rows up to date until cancelled."""
        while True:
            await anyio.sleep(SAVE_S)
            await self.save(table)

    async def save(self, table: Table) -> None:
        """Write the windows that have changed or ended since they were written last."""
        open_window = int((self._agreed_now() - CLOSE_S) / self._seconds)
        self._unsaved.update(range(self._open, open_window))
        self._open = max(self._open, open_window)
        changed, self._unsaved = self._unsaved, set()
        if not changed:
            return
        writes = [self._row(window) for window in changed]
        try:
            await table.transact([], writes)
        except PlatformUnavailableError as error:
            self._unsaved |= changed
            _log.warning("usage-unsaved", extra={"windows": len(changed), "reason": str(error)})
            return
        for window in [old for old in self._counts if old < self.window_now - KEPT_WINDOWS]:
            del self._counts[window]

    def _row(self, window: int) -> Write:
        row = {"closed": window < self._open, "counts": dict(self._counts[window])}
        return Write(counts_prefix(window) + self._host, row)


@dataclass(slots=True)
class UsageReports:
    """Windows that the holder of the duty has reported.

    Parameters
    ----------
    table : Table
        Where counts and sums are.
    send : callable
        Reports a window's sum to the platform.
    live_hosts : callable
        Hosts whose counts are waited for.
    window_seconds, due_seconds : float
        Length of a window, and how long after its end its report is due.
    """

    table: Table
    send: Callable[[int, dict[str, int]], Awaitable[None]]
    live_hosts: Callable[[], Iterable[str]]
    window_seconds: float
    due_seconds: float
    next_window: int | None = None

    async def report_due(self, agreed_now: float) -> None:
        """Report each window that has settled; stop at the first that cannot be reported.

        Raises
        ------
        PlatformUnavailableError
            The store or the platform did not answer.
        """
        last = int((agreed_now - CLOSE_S) / self.window_seconds) - 1
        if self.next_window is None:
            self.next_window = await self._first_unreported(last)
        while self.next_window <= last:
            window = self.next_window
            counts = await self._settle(window, agreed_now)
            if counts is None:
                return
            await self.send(window, counts)
            self.next_window = window + 1
            log_decision(_log, "usage-reported", "window has settled", window=window, counts=counts)

    async def _first_unreported(self, last: int) -> int:
        """Return where to begin: the last stored sum again, as its report may have been lost."""
        sums = await self.table.scan(SUMS_PREFIX)
        if sums:
            return max(int(sums[-1].key.removeprefix(SUMS_PREFIX)), last - KEPT_WINDOWS)
        counts = await self.table.scan(COUNTS_PREFIX)
        if counts:
            return int(counts[0].key.removeprefix(COUNTS_PREFIX).split("/")[0])
        return last

    async def _settle(self, window: int, agreed_now: float) -> dict[str, int] | None:
        """Return the sum of a window, stored once and never changed; None to wait for a host."""
        key = sum_key(window)
        stored = (await self.table.read([key])).get(key)
        if stored is not None:
            return dict(stored.value)
        rows = await self.table.scan(counts_prefix(window))
        if self._waits(window, rows, agreed_now):
            return None
        total: Counter[str] = Counter()
        for row in rows:
            total.update(row.value["counts"])
        old = sum_key(window - KEPT_WINDOWS)
        writes = [Write(key, dict(total)), Write(old, None)]
        result = await self.table.transact([Check(key, ABSENT)], writes)
        if not result.committed:
            return dict(result.conflicts[0].value)
        await self._delete_counts(window - KEPT_WINDOWS)
        return dict(total)

    def _waits(self, window: int, rows: Sequence[Row], agreed_now: float) -> bool:
        """Return whether a host that lives has not closed the window, and there is time."""
        end = (window + 1) * self.window_seconds
        if agreed_now >= end + WAIT_SHARE * self.due_seconds:
            return False
        closed = {row.key.split("/")[3] for row in rows if row.value["closed"]}
        return not closed.issuperset(self.live_hosts())

    async def _delete_counts(self, window: int) -> None:
        rows = await self.table.scan(counts_prefix(window))
        if rows:
            await self.table.transact([], [Write(row.key, None) for row in rows])


async def report_forever(
    reports: UsageReports,
    *,
    may_act: Callable[[float], bool],
    agreed_now: Callable[[], float],
) -> None:
    """Report windows while this host holds the duty, until cancelled.

    Parameters
    ----------
    reports : UsageReports
        What has been reported.
    may_act : callable
        Whether this host holds the duty at a time of the boot clock.
    agreed_now : callable
        Agreed seconds since 1970.
    """
    while True:
        await anyio.sleep(SAVE_S)
        if not may_act(boot_seconds()):
            reports.next_window = None
            continue
        try:
            await reports.report_due(agreed_now())
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("usage-unreported", extra={"reason": str(error)})
