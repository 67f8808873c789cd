"""Counting what customers used by window, and reporting each window once.

Each host keeps its counts in rows of its own, and tells them to its peers, for
the case that the store is away when the host ends. The holder of the duty adds
them up, stores the sum once under a condition, and reports just that sum:
whoever holds the duty next can only repeat it.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

import anyio

from samphirehall.authority.lease import LeaseLostError
from samphirehall.backing.table import ABSENT, Check, Table, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

SAVE_S = 1.0  # counts that a killed host may lose; one small write a host a second
CLOSE_S = 0.3  # after a window's end, for requests that begin at it, and clocks that differ
# Part of the time until a report is due for which a host's counts are waited for. The rest is
# enough for another host to take the duty over if its holder is cut off meanwhile.
WAIT_SHARE = 0.5
TOLD_WINDOWS = 3  # windows that peers hear of; older ones have been reported
TOLD_CUSTOMERS = 60  # customers in one datagram, which must fit a packet
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


@dataclass(slots=True, frozen=True)
class HostCounts:
    """What one process counted in one window.

    Parameters
    ----------
    closed : bool
        Whether it adds nothing any more.
    counts : mapping of str to int
        Requests by customer.
    """

    closed: bool
    counts: Mapping[str, int]

    def merged(self, other: "HostCounts") -> "HostCounts":
        """Return the newer of both: counts only grow."""
        names = {*self.counts, *other.counts}
        counts = {name: max(self.counts.get(name, 0), other.counts.get(name, 0)) for name in names}
        return HostCounts(self.closed or other.closed, counts)


class HeardUsage:
    """What peers said of their counts, by window and process."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, HostCounts]] = defaultdict(dict)

    def hear(self, process: str, window: int, counts: HostCounts) -> None:
        """Take a peer's word on one of its windows."""
        known = self._windows[window].get(process)
        self._windows[window][process] = known.merged(counts) if known else counts
        for old in [other for other in self._windows if other < window - KEPT_WINDOWS]:
            del self._windows[old]

    def of(self, window: int) -> Mapping[str, HostCounts]:
        """Return the counts of a window by process."""
        return self._windows.get(window, {})


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
    reach : float
        Seconds before the start whose windows are closed at once: an earlier process of this
        host can add nothing to them.
    """

    def __init__(
        self,
        host: str,
        window_seconds: float,
        agreed_now: Callable[[], float],
        *,
        reach: float = 0.0,
    ) -> None:
        self._host = host
        self._seconds = window_seconds
        self._agreed_now = agreed_now
        self._counts: dict[int, Counter[str]] = defaultdict(Counter)
        self._versions: dict[str, int] = {}
        self._unsaved: set[int] = set()
        self._open = int((agreed_now() - reach) / window_seconds)

    @property
    def process(self) -> str:
        """Process that counts."""
        return self._host

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
        """Write the windows that have changed or ended since they were written last.

        Each write names the version it replaces: one without an answer may take effect
        seconds later, and would take the row back to an older state.
        """
        open_window = int((self._agreed_now() - CLOSE_S) / self._seconds)
        self._unsaved.update(range(self._open, open_window))
        self._open = max(self._open, open_window)
        changed, self._unsaved = self._unsaved, set()
        if not changed:
            return
        writes = [self._row(window) for window in changed]
        try:
            saved = await self._write(table, writes)
        except PlatformUnavailableError as error:
            self._unsaved |= changed
            _log.warning("usage-unsaved", extra={"windows": len(changed), "reason": str(error)})
            return
        if not saved:
            self._unsaved |= changed
            reason = "an earlier write without an answer took effect"
            log_decision(_log, "usage-unsaved", reason, windows=len(changed))
            return
        for window in [old for old in self._counts if old < self.window_now - KEPT_WINDOWS]:
            del self._counts[window]
            self._versions.pop(counts_prefix(window) + self._host, None)

    async def _write(self, table: Table, writes: list[Write]) -> bool:
        """Write rows of this process; return False if their versions were not the known ones."""
        checks = [Check(write.key, self._versions.get(write.key, ABSENT)) for write in writes]
        result = await table.transact(checks, writes)
        if result.committed:
            self._versions.update(result.versions or {})
            return True
        rows = await table.read([write.key for write in writes])
        for write in writes:
            row = rows.get(write.key)
            self._versions[write.key] = row.version if row else ABSENT
        return False

    def news(self) -> dict[int, HostCounts]:
        """Return the last windows for peers; those with many customers are left to the store."""
        newest = self.window_now
        windows = {
            window: HostCounts(window < self._open, dict(self._counts[window]))
            for window in range(newest - TOLD_WINDOWS + 1, newest + 1)
            if window in self._counts or window < self._open
        }
        customers = sum(len(told.counts) for told in windows.values())
        return windows if customers <= TOLD_CUSTOMERS else {}

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
    heard : callable
        Counts of a window that peers have told, by process.
    window_seconds, due_seconds : float
        Length of a window, and how long after its end its report is due.
    """

    table: Table
    send: Callable[[int, dict[str, int]], Awaitable[None]]
    live_hosts: Callable[[], Iterable[str]]
    heard: Callable[[int], Mapping[str, HostCounts]]
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
        counted = await self._counted(window)
        if self._waits(window, counted, agreed_now):
            return None
        total: Counter[str] = Counter()
        for counts in counted.values():
            total.update(counts.counts)
        old = sum_key(window - KEPT_WINDOWS)
        writes = [Write(key, dict(total)), Write(old, None)]
        result = await self.table.transact([Check(key, ABSENT)], writes)
        if not result.committed:
            return dict(result.conflicts[0].value)
        await self._delete_counts(window - KEPT_WINDOWS)
        return dict(total)

    async def _counted(self, window: int) -> dict[str, HostCounts]:
        """Return the counts of a window by process, as stored or as told, whichever is newer."""
        prefix = counts_prefix(window)
        counted = {
            row.key.removeprefix(prefix): HostCounts(row.value["closed"], row.value["counts"])
            for row in await self.table.scan(prefix)
        }
        for process, told in self.heard(window).items():
            stored = counted.get(process)
            counted[process] = stored.merged(told) if stored else told
        return counted

    def _waits(self, window: int, counted: Mapping[str, HostCounts], agreed_now: float) -> bool:
        """Return whether a host that lives has not closed the window, and there is time."""
        end = (window + 1) * self.window_seconds
        if agreed_now >= end + WAIT_SHARE * self.due_seconds:
            return False
        closed = {process.split("/")[0] for process, host in counted.items() if host.closed}
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
