"""Count the requests of customers by time window, and save the counts.

Each host sends its counts to the hub of its zone, which saves those of all its
members in one call; a host without a hub saves its own. `usage_reports` adds them up.
"""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from samphirehall.backing.table import ABSENT, NO_ERA, Check, Row, Table, Write
from samphirehall.core.decoding import DecodingError, convert, parse_unsigned
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog, log_decision

SAVE_INTERVAL_SECONDS = 1.0  # bounds the counts a killed host loses; costs one small write
MAX_ROWS_PER_CALL = 40  # a call may hold 100 entries, and a written row takes two
WINDOW_CLOSE_DELAY_SECONDS = 0.3  # for requests that begin at the end, and clock differences
MAX_PUBLISHED_WINDOWS = 3  # older windows have been reported
RETAINED_WINDOWS = 24  # reports are due within a few windows
WINDOW_KEY_DIGITS = 12  # zero-padded, so that keys sort as numbers
MAX_COUNT = 10**12  # requests of a customer in a window; a million such counts fit 64 bits
COUNTS_PREFIX = "usage/counts/"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "usage-unreadable")


def counts_prefix(window: int) -> str:
    """Return the key prefix of the counts that all hosts stored for a window."""
    return f"{COUNTS_PREFIX}{window:0{WINDOW_KEY_DIGITS}d}/"


def key_window(key: str, prefix: str) -> int | None:
    """Return the window that a key names after a prefix, or None if it names none."""
    digits = key.removeprefix(prefix).split("/")[0]
    return parse_unsigned(digits) if len(digits) == WINDOW_KEY_DIGITS else None


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


class _StoredCounts(msgspec.Struct):
    """Value of the row of a process in a window."""

    closed: bool
    counts: dict[str, Count]


def decode_counts(row: Row) -> HostCounts | None:
    """Decode the counts in a row; log a row that cannot be read and return None."""
    try:
        stored = convert(row.value, _StoredCounts)
    except DecodingError as error:
        _rejections.record(row.key, error)
        return None
    return HostCounts(stored.closed, stored.counts)


def split_counts(
    windows: Mapping[int, HostCounts], *, max_customers: int
) -> list[dict[int, HostCounts]]:
    """Split counts into parts that fit a datagram each; merging all parts gives the counts.

    A window is closed only in its last part, so that a lost part leaves it open.
    """
    parts: list[dict[int, HostCounts]] = []
    space = 0
    for window, host in windows.items():
        names = sorted(host.counts)
        for start in range(0, max(1, len(names)), max_customers):
            chosen = names[start : start + max_customers]
            is_last = start + max_customers >= len(names)
            if not parts or len(chosen) > space:
                parts.append({})
                space = max_customers
            counts = {name: host.counts[name] for name in chosen}
            parts[-1][window] = HostCounts(host.closed and is_last, counts)
            space -= len(chosen)
    return parts


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

    def all_counts(self) -> dict[tuple[int, str], HostCounts]:
        """Return all counts by window and process."""
        return {
            (window, process): counts
            for window, by_process in self._counts_by_window.items()
            for process, counts in by_process.items()
        }


class UsageRows:
    """Saves counts by window and process in rows of the store.

    Each write is conditional on the version it replaces: a write whose response was lost
    may take effect seconds later, and would otherwise restore an older state. In a new era
    of the table, nothing counts as saved.
    """

    def __init__(self) -> None:
        self._era = NO_ERA
        self._versions: dict[str, int] = {}
        self._saved: dict[tuple[int, str], HostCounts] = {}

    async def save(self, table: Table, counts: Mapping[tuple[int, str], HostCounts]) -> bool:
        """Write the counts that changed since they were last written; return whether all are saved.

        Counts that could not be written are written by the next call.
        """
        if table.era != self._era:
            self._era = table.era
            self._versions.clear()
            self._saved.clear()
        for old in self._saved.keys() - counts.keys():
            del self._saved[old]
            self._versions.pop(_row_key(*old), None)
        merged = {
            name: self._saved[name].merged(host) if name in self._saved else host
            for name, host in counts.items()
        }
        changed = [name for name, host in merged.items() if self._saved.get(name) != host]
        all_saved = True
        for start in range(0, len(changed), MAX_ROWS_PER_CALL):
            names = changed[start : start + MAX_ROWS_PER_CALL]
            try:
                saved = await self._write(table, {name: merged[name] for name in names})
            except PlatformUnavailableError as error:
                _log.warning("usage-unsaved", extra={"rows": len(changed), "reason": str(error)})
                return False
            if not saved:
                reason = "the rows were written by another host, or by a write without an answer"
                log_decision(_log, "usage-unsaved", reason, rows=len(names))
                all_saved = False
        return all_saved

    async def _write(self, table: Table, counts: Mapping[tuple[int, str], HostCounts]) -> bool:
        """Write rows; on a version conflict, read the rows and return False."""
        writes = {name: _row(name, host) for name, host in counts.items()}
        checks = [
            Check(write.key, self._versions.get(write.key, ABSENT)) for write in writes.values()
        ]
        result = await table.transact(checks, list(writes.values()))
        if result.committed:
            self._versions.update(result.versions or {})
            self._saved.update(counts)
            return True
        rows = await table.read([write.key for write in writes.values()])
        for name, write in writes.items():
            row = rows.get(write.key)
            self._versions[write.key] = row.version if row else ABSENT
            self._saved.pop(name, None)
            counts_found = None if row is None else decode_counts(row)
            if counts_found is not None:
                self._saved[name] = counts_found
        return False


def _row_key(window: int, process: str) -> str:
    return counts_prefix(window) + process


def _row(name: tuple[int, str], host: HostCounts) -> Write:
    return Write(_row_key(*name), {"closed": host.closed, "counts": dict(host.counts)})


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
        self._rows = UsageRows()
        self._first_window = int((agreed_now() - lookback) / window_seconds)
        self._first_open_window = self._first_window
        self._recorded = 0

    @property
    def recorded(self) -> int:
        """Number of requests counted since the start."""
        return self._recorded

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
        self._counts[self.window_now][customer] += 1
        self._recorded += 1

    async def save(
        self, table: Table, received: Mapping[tuple[int, str], HostCounts] | None = None
    ) -> bool:
        """Write this host's counts, and those received from others; return whether all are saved.

        Parameters
        ----------
        table : Table
            Store of the counts.
        received : mapping, optional
            Counts of other hosts by window and process.
        """
        own = {(window, self._process): counts for window, counts in self._all_counts().items()}
        return await self._rows.save(table, {**(received or {}), **own})

    def latest_counts(self) -> dict[int, HostCounts]:
        """Return the counts of the latest windows."""
        oldest = self.window_now - MAX_PUBLISHED_WINDOWS
        return {window: counts for window, counts in self._all_counts().items() if window > oldest}

    def _all_counts(self) -> dict[int, HostCounts]:
        """Close the windows that have ended and return the counts of all that are retained."""
        open_window = int((self._agreed_now() - WINDOW_CLOSE_DELAY_SECONDS) / self._window_seconds)
        self._first_open_window = max(self._first_open_window, open_window)
        newest = self.window_now
        for window in [old for old in self._counts if old < newest - RETAINED_WINDOWS]:
            del self._counts[window]
        first = max(self._first_window, newest - RETAINED_WINDOWS)
        windows = {*self._counts, *range(first, self._first_open_window)}
        return {
            window: HostCounts(window < self._first_open_window, dict(self._counts.get(window, {})))
            for window in sorted(windows)
        }
