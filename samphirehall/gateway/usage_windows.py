"""Count the requests of customers by time window, and report each window once.

Each host saves its counts in its own rows of the store, and sends them to its
peers in case the store is unavailable when the host ends. The holder of the
duty adds them up, stores the sum conditionally on its absence, and reports
only the stored sum, so that a later holder can only report the same sum again.
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

SAVE_INTERVAL_SECONDS = 1.0  # bounds the counts a killed host loses; costs one small write
WINDOW_CLOSE_DELAY_SECONDS = 0.3  # for requests that begin at the end, and clock differences
# Fraction of the time until a report is due for which the counts of a host are awaited. The
# remainder is enough for another host to take over the duty if its holder is cut off.
MAX_WAIT_FRACTION = 0.5
MAX_PUBLISHED_WINDOWS = 3  # older windows have been reported
MAX_PUBLISHED_CUSTOMERS = 60  # a datagram must fit one packet
RETAINED_WINDOWS = 24  # reports are due within a few windows
WINDOW_KEY_DIGITS = 12  # zero-padded, so that keys sort as numbers
COUNTS_PREFIX = "usage/counts/"
SUMS_PREFIX = "usage/sums/"

_log = logging.getLogger(__name__)


def counts_prefix(window: int) -> str:
    """Return the key prefix of the counts that all hosts stored for a window."""
    return f"{COUNTS_PREFIX}{window:0{WINDOW_KEY_DIGITS}d}/"


def sum_key(window: int) -> str:
    """Return the key of the stored sum of a window."""
    return f"{SUMS_PREFIX}{window:0{WINDOW_KEY_DIGITS}d}"


@dataclass(slots=True, frozen=True)
class HostCounts:
    """Counts of one process in one window.

    Parameters
    ----------
    closed : bool
        Whether the process adds no more requests to the window.
    counts : mapping of str to int
        Requests by customer.
    """

    closed: bool
    counts: Mapping[str, int]

    def merged(self, other: "HostCounts") -> "HostCounts":
        """Return the larger count of each customer; counts only grow, so it is the newer one."""
        names = {*self.counts, *other.counts}
        counts = {name: max(self.counts.get(name, 0), other.counts.get(name, 0)) for name in names}
        return HostCounts(self.closed or other.closed, counts)


class PeerUsage:
    """Usage counts received from peers, by window and process."""

    def __init__(self) -> None:
        self._counts_by_window: dict[int, dict[str, HostCounts]] = defaultdict(dict)

    def receive(self, process: str, window: int, counts: HostCounts) -> None:
        """Merge the counts of a peer's window, and drop windows past retention."""
        previous = self._counts_by_window[window].get(process)
        self._counts_by_window[window][process] = previous.merged(counts) if previous else counts
        for old in [other for other in self._counts_by_window if other < window - RETAINED_WINDOWS]:
            del self._counts_by_window[old]

    def counts_by_process(self, window: int) -> Mapping[str, HostCounts]:
        """Return the counts of a window by process."""
        return self._counts_by_window.get(window, {})


class UsageCounter:
    """Counts the requests that began to run on this host, by window and customer.

    Parameters
    ----------
    process : str
        Name of this process; no other process ever has the same one.
    window_seconds : float
        Length of a window.
    agreed_now : callable
        Agreed seconds since 1970.
    lookback : float
        Seconds before the start of this process; windows in this time are closed at once, as
        an earlier process of this host can no longer add to them.
    """

    def __init__(
        self,
        process: str,
        window_seconds: float,
        agreed_now: Callable[[], float],
        *,
        lookback: float = 0.0,
    ) -> None:
        self._process = process
        self._window_seconds = window_seconds
        self._agreed_now = agreed_now
        self._counts: dict[int, Counter[str]] = defaultdict(Counter)
        self._versions: dict[str, int] = {}
        self._unsaved: set[int] = set()
        self._first_open_window = int((agreed_now() - lookback) / window_seconds)

    @property
    def process(self) -> str:
        """Name of this process."""
        return self._process

    @property
    def window_now(self) -> int:
        """Number of the current window."""
        return int(self._agreed_now() / self._window_seconds)

    def record(self, customer: str) -> None:
        """Count a request of a customer in the current window."""
        window = self.window_now
        self._counts[window][customer] += 1
        self._unsaved.add(window)

    async def save_periodically(self, table: Table) -> None:
        """Save this host's counts periodically until cancelled."""
        while True:
            await anyio.sleep(SAVE_INTERVAL_SECONDS)
            await self.save(table)

    async def save(self, table: Table) -> None:
        """Write the windows that changed or ended since they were last written.

        Each write is conditional on the version it replaces: a write whose response was lost
        may take effect seconds later, and would otherwise restore an older state.
        """
        open_window = int((self._agreed_now() - WINDOW_CLOSE_DELAY_SECONDS) / self._window_seconds)
        self._unsaved.update(range(self._first_open_window, open_window))
        self._first_open_window = max(self._first_open_window, open_window)
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
        for window in [old for old in self._counts if old < self.window_now - RETAINED_WINDOWS]:
            del self._counts[window]
            self._versions.pop(counts_prefix(window) + self._process, None)

    async def _write(self, table: Table, writes: list[Write]) -> bool:
        """Write rows of this process; on a version conflict, read the versions and return False."""
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

    def latest_counts(self) -> dict[int, HostCounts]:
        """Return the latest windows for peers, or none if they have too many customers to send."""
        newest = self.window_now
        windows = {
            window: HostCounts(window < self._first_open_window, dict(self._counts[window]))
            for window in range(newest - MAX_PUBLISHED_WINDOWS + 1, newest + 1)
            if window in self._counts or window < self._first_open_window
        }
        customers = sum(len(host_counts.counts) for host_counts in windows.values())
        return windows if customers <= MAX_PUBLISHED_CUSTOMERS else {}

    def _row(self, window: int) -> Write:
        row = {"closed": window < self._first_open_window, "counts": dict(self._counts[window])}
        return Write(counts_prefix(window) + self._process, row)


@dataclass(slots=True)
class UsageReports:
    """Reports windows for the holder of the duty, in order.

    Parameters
    ----------
    table : Table
        Store of counts and sums.
    send : callable
        Reports the sum of a window to the platform.
    live_hosts : callable
        Returns the hosts whose counts are awaited.
    peer_counts : callable
        Returns the counts of a window received from peers, by process.
    window_seconds, due_seconds : float
        Length of a window, and how long after its end its report is due.
    next_window : int or None
        Next window to report; None until it has been looked up in the store.
    """

    table: Table
    send: Callable[[int, dict[str, int]], Awaitable[None]]
    live_hosts: Callable[[], Iterable[str]]
    peer_counts: Callable[[int], Mapping[str, HostCounts]]
    window_seconds: float
    due_seconds: float
    next_window: int | None = None

    async def report_due(self, agreed_now: float) -> None:
        """Report each window whose sum is final; stop at the first that must wait.

        Raises
        ------
        PlatformUnavailableError
            The store or the platform did not respond.
        """
        last = int((agreed_now - WINDOW_CLOSE_DELAY_SECONDS) / self.window_seconds) - 1
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
        """Return the window to report first.

        This is the last window with a stored sum, since its report may have been lost.
        """
        sums = await self.table.scan(SUMS_PREFIX)
        if sums:
            return max(int(sums[-1].key.removeprefix(SUMS_PREFIX)), last - RETAINED_WINDOWS)
        counts = await self.table.scan(COUNTS_PREFIX)
        if counts:
            return int(counts[0].key.removeprefix(COUNTS_PREFIX).split("/")[0])
        return last

    async def _settle(self, window: int, agreed_now: float) -> dict[str, int] | None:
        """Store the sum of a window if there is none; return the stored sum, or None to wait."""
        key = sum_key(window)
        stored = (await self.table.read([key])).get(key)
        if stored is not None:
            return dict(stored.value)
        counts_by_process = await self._counts_by_process(window)
        if self._must_wait(window, counts_by_process, agreed_now):
            return None
        total: Counter[str] = Counter()
        for counts in counts_by_process.values():
            total.update(counts.counts)
        expired_key = sum_key(window - RETAINED_WINDOWS)
        writes = [Write(key, dict(total)), Write(expired_key, None)]
        result = await self.table.transact([Check(key, ABSENT)], writes)
        if not result.committed:
            return dict(result.conflicts[0].value)
        await self._delete_counts(window - RETAINED_WINDOWS)
        return dict(total)

    async def _counts_by_process(self, window: int) -> dict[str, HostCounts]:
        """Return the counts of a window by process, merged from the store and from peers."""
        prefix = counts_prefix(window)
        counts_by_process = {
            row.key.removeprefix(prefix): HostCounts(row.value["closed"], row.value["counts"])
            for row in await self.table.scan(prefix)
        }
        for process, published in self.peer_counts(window).items():
            stored = counts_by_process.get(process)
            counts_by_process[process] = stored.merged(published) if stored else published
        return counts_by_process

    def _must_wait(
        self, window: int, counts_by_process: Mapping[str, HostCounts], agreed_now: float
    ) -> bool:
        """Return whether to wait longer for a live host that has not closed the window."""
        end = (window + 1) * self.window_seconds
        if agreed_now >= end + MAX_WAIT_FRACTION * self.due_seconds:
            return False
        closed = {
            process.split("/")[0] for process, host in counts_by_process.items() if host.closed
        }
        return not closed.issuperset(self.live_hosts())

    async def _delete_counts(self, window: int) -> None:
        rows = await self.table.scan(counts_prefix(window))
        if rows:
            await self.table.transact([], [Write(row.key, None) for row in rows])


async def report_periodically(
    reports: UsageReports,
    *,
    may_act: Callable[[float], bool],
    agreed_now: Callable[[], float],
) -> None:
    """Report windows periodically while this host holds the duty, until cancelled.

    Parameters
    ----------
    reports : UsageReports
        Windows to report.
    may_act : callable
        Returns whether this host holds the duty at a time of the boot clock.
    agreed_now : callable
        Agreed seconds since 1970.
    """
    while True:
        await anyio.sleep(SAVE_INTERVAL_SECONDS)
        if not may_act(boot_seconds()):
            reports.next_window = None
            continue
        try:
            await reports.report_due(agreed_now())
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("usage-unreported", extra={"reason": str(error)})
