"""Report the usage of each window once, for the holder of the duty.

The holder adds up the counts that hosts have saved or sent, stores the sum
conditionally on its absence, and reports only the stored sum, so that a later
holder can only report the same sum again. A restored store may lack sums that were
reported, all of windows that had ended before it was restored. Only the host that stored
such a sum may store it again; other windows without a sum that may have been reported are left
out, as a second report with other counts would be worse than none. These are all that had
ended by then, or fewer if the holder outlives the restoration and tells the hubs which window
it has settled last. A sum is stored under the era in which it was stored first, so that a
newest sum of an earlier era shows that later ones may be lost.
"""

import contextlib
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec

from samphirehall.authority.lease import LeaseLostError
from samphirehall.backing.table import ABSENT, NO_ERA, Check, Row, Table, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.gateway.duty import SCOPE
from samphirehall.gateway.usage_windows import (
    COUNTS_PREFIX,
    MAX_ROWS_PER_CALL,
    RETAINED_WINDOWS,
    SAVE_INTERVAL_SECONDS,
    WINDOW_CLOSE_DELAY_SECONDS,
    WINDOW_KEY_DIGITS,
    HostCounts,
    counts_prefix,
    decode_counts,
    key_window,
)
from samphirehall.gateway.zone_members import NO_WINDOW

# Fraction of the time until a report is due for which the counts of a host are awaited. The
# remainder is enough for another host to take over the duty if its holder is cut off.
MAX_WAIT_FRACTION = 0.5
MAX_UNREPORTED_WINDOWS = 1000  # an older window in a key is another writer's
SUMS_PREFIX = "usage/sums/"

_log = logging.getLogger(__name__)


class _StoredSum(msgspec.Struct):
    """Value of the row of a sum: the counts by customer, and the era in which they were stored."""

    era: Unsigned
    counts: dict[str, Unsigned]


def _decode_sum(row: Row) -> _StoredSum:
    """Decode a row; those of earlier versions have the counts only.

    Raises
    ------
    DecodingError
        The row holds no sum.
    """
    if isinstance(row.value, dict) and isinstance(row.value.get("counts"), dict):
        return convert(row.value, _StoredSum)
    return _StoredSum(NO_ERA, convert(row.value, dict[str, Unsigned]))


def _newest_sum(rows: Iterable[Row], windows: Container[int]) -> tuple[int, _StoredSum] | None:
    """Return the last of some windows that has a sum, and the sum."""
    newest = None
    for row in rows:
        window = key_window(row.key, SUMS_PREFIX)
        if window is None or window not in windows:
            continue
        with contextlib.suppress(DecodingError):  # logged when its window is due
            newest = window, _decode_sum(row)
    return newest


def _add_counts(hosts: Iterable[HostCounts]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for host in hosts:
        total.update(host.counts)
    return dict(total)


def sum_key(window: int) -> str:
    """Return the key of the stored sum of a window."""
    return f"{SUMS_PREFIX}{window:0{WINDOW_KEY_DIGITS}d}"


def _conflicting_sum(conflicts: Iterable[Row], window: int) -> Row:
    """Return the row of a sum that was stored before.

    Raises
    ------
    LeaseLostError
        There is none, so that the lease has changed.
    """
    for row in conflicts:
        if row.key == sum_key(window) and row.version != ABSENT:
            return row
    raise LeaseLostError(SCOPE, "another host has taken over")


@dataclass(slots=True)
class ReportProgress:
    """Latest window of which any holder of the duty may have stored the sum.

    Attributes
    ----------
    settled_window : int
        That window as far as this host knows, `NO_WINDOW` without one.
    settled_era : int
        Era of the table of which this host knows that no earlier one settled a later window.
    """

    settled_window: int = NO_WINDOW
    settled_era: int = NO_ERA

    def record(self, window: int) -> None:
        """Record that the sum of a window was stored, or may have been."""
        self.settled_window = max(self.settled_window, window)

    def merge(self, window: int, era: int) -> None:
        """Record what another host knows."""
        self.record(window)
        self.settled_era = max(self.settled_era, era)


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
    others_closed : callable
        Returns whether the hosts of other zones have closed a window and saved their counts.
    next_window : int or None
        Next window to report; None until it has been looked up in the store.
    first_start : bool
        Whether the whole system starts for the first time, so that nothing was reported before.
    progress : ReportProgress
        What this host and others have settled.
    lease_checks : callable
        Returns the conditions under which a sum is stored, that this host still holds the duty;
        raises `LeaseLostError` if it does not.
    exclusive_fencing : callable
        Returns the fencing number under which this host held the duty last, if no other host can
        have succeeded it at a time of the boot clock; else None.
    """

    table: Table
    send: Callable[[int, dict[str, int]], Awaitable[None]]
    live_hosts: Callable[[], Iterable[str]]
    peer_counts: Callable[[int], Mapping[str, HostCounts]]
    window_seconds: float
    due_seconds: float
    others_closed: Callable[[int], bool] = lambda window: True
    next_window: int | None = None
    first_start: bool = False
    progress: ReportProgress = field(default_factory=ReportProgress)
    lease_checks: Callable[[], Sequence[Check]] = lambda: ()
    exclusive_fencing: Callable[..., int | None] = lambda *, now: None
    _own_sums: dict[int, _StoredSum] = field(default_factory=dict)
    _era: int = NO_ERA
    _first_era: int = NO_ERA
    _last_ended_window: int = NO_WINDOW
    _known_fencing: int | None = None

    def observe_era(self, agreed_now: float, *, now: float) -> None:
        """Note what earlier eras may have settled, when this host first knows of the table's era.

        Sums that the table has lost are of windows that had ended. A holder that no other host can
        have succeeded has stored all of them itself.

        Parameters
        ----------
        agreed_now : float
            Agreed seconds since 1970.
        now : float
            Boot clock in seconds.
        """
        era = self.table.era
        if era == self._era:
            return
        self._last_ended_window = int(agreed_now / self.window_seconds) - 1
        if self._era == NO_ERA:
            self._first_era = era
        elif self._known_fencing is not None and self._known_fencing == self.exclusive_fencing(
            now=now
        ):
            self.progress.settled_era = era
        self._era = era

    async def report_due(self, agreed_now: float, *, now: float) -> None:
        """Report each window whose sum is final; stop at the first that must wait.

        Parameters
        ----------
        agreed_now : float
            Agreed seconds since 1970.
        now : float
            Boot clock in seconds.

        Raises
        ------
        PlatformUnavailableError
            The store or the platform did not respond.
        LeaseLostError
            This host does not hold the duty any more.
        """
        last = int((agreed_now - WINDOW_CLOSE_DELAY_SECONDS) / self.window_seconds) - 1
        if self.next_window is None:
            self._known_fencing = None
            fencing = self.exclusive_fencing(now=now)
            self.next_window = await self._first_unreported(last, agreed_now, now)
            self._known_fencing = fencing
        while self.next_window <= last:
            window = self.next_window
            try:
                if await self._is_sum_lost(window):
                    reason = "the store has lost its sum, which may have been reported"
                    self._leave_out(window, reason)
                    continue
                counts = await self._settle(window, agreed_now)
            except DecodingError as error:
                self._leave_out(window, f"its sum, which may have been reported: {error}")
                continue
            if counts is None:
                return
            await self.send(window, counts)
            self.next_window = window + 1
            log_decision(_log, "usage-reported", "window has settled", window=window, counts=counts)

    def _leave_out(self, window: int, reason: str) -> None:
        log_decision(_log, "usage-left-out", reason, window=window)
        self.progress.record(window)
        self.next_window = window + 1

    async def _first_unreported(self, last: int, agreed_now: float, now: float) -> int:
        """Return the window to report first.

        This is the last window with a stored sum, since its report may have been lost. If the
        table was restored since that sum was stored, later windows may have been reported as well.
        """
        plausible = range(last - MAX_UNREPORTED_WINDOWS, last + RETAINED_WINDOWS + 1)
        newest = _newest_sum(await self.table.scan(SUMS_PREFIX), plausible)
        self.observe_era(agreed_now, now=now)
        newest_era = newest[1].era if newest else NO_ERA
        is_first_era = self.first_start and self._era == self._first_era
        may_be_lost = newest_era != self._era and (bool(newest) or not is_first_era)
        if may_be_lost and self.progress.settled_era != self._era:
            self.progress.merge(self._last_ended_window, self._era)
        if newest:
            self.progress.record(newest[0])
            return max(newest[0], last - RETAINED_WINDOWS)
        rows = await self.table.scan(COUNTS_PREFIX)
        windows = (key_window(row.key, COUNTS_PREFIX) for row in rows)
        return next((found for found in windows if found is not None and found in plausible), last)

    async def _is_sum_lost(self, window: int) -> bool:
        """Return whether a sum was stored that neither this host nor the store knows any more."""
        if window > self.progress.settled_window or window in self._own_sums:
            return False
        return await self._stored_sum(window) is None

    async def _stored_sum(self, window: int) -> _StoredSum | None:
        key = sum_key(window)
        row = (await self.table.read([key])).get(key)
        return None if row is None else self._sum_in(row, window)

    def _sum_in(self, row: Row, window: int) -> _StoredSum:
        """Return a stored sum, or the one that this host stored before.

        Raises
        ------
        DecodingError
            The row holds no sum, and this host stored none.
        """
        try:
            return _decode_sum(row)
        except DecodingError:
            if window in self._own_sums:
                return self._own_sums[window]
            raise

    async def _settle(self, window: int, agreed_now: float) -> dict[str, int] | None:
        """Store the sum of a window if there is none; return the stored sum, or None to wait."""
        if not self.others_closed(window) and not self._is_overdue(window, agreed_now):
            return None
        stored = await self._stored_sum(window)
        if stored is not None:
            self._record_sum(window, stored)
            return stored.counts
        total = self._own_sums.get(window)
        if total is None:
            counts_by_process = await self._counts_by_process(window)
            if self._must_wait(window, counts_by_process, agreed_now):
                return None
            total = _StoredSum(self.table.era, _add_counts(counts_by_process.values()))
        writes = [
            Write(sum_key(window), msgspec.to_builtins(total)),
            Write(sum_key(window - RETAINED_WINDOWS), None),
        ]
        checks = [*self.lease_checks(), Check(sum_key(window), ABSENT)]
        result = await self.table.transact(checks, writes)
        if not result.committed:
            total = self._sum_in(_conflicting_sum(result.conflicts, window), window)
        self._record_sum(window, total)
        if result.committed:
            await self._delete_counts(window - RETAINED_WINDOWS)
        return total.counts

    def _record_sum(self, window: int, total: _StoredSum) -> None:
        """Remember a stored sum, to store it again if the store loses it."""
        self.progress.record(window)
        self._own_sums[window] = total
        for old in [other for other in self._own_sums if other < window - RETAINED_WINDOWS]:
            del self._own_sums[old]

    async def _counts_by_process(self, window: int) -> dict[str, HostCounts]:
        """Return the counts of a window by process, merged from the store and from peers."""
        prefix = counts_prefix(window)
        counts_by_process = {
            row.key.removeprefix(prefix): counts
            for row in await self.table.scan(prefix)
            if (counts := decode_counts(row)) is not None
        }
        for process, published in self.peer_counts(window).items():
            stored = counts_by_process.get(process)
            counts_by_process[process] = stored.merged(published) if stored else published
        return counts_by_process

    def _must_wait(
        self, window: int, counts_by_process: Mapping[str, HostCounts], agreed_now: float
    ) -> bool:
        """Return whether to wait longer for a live host that has not closed the window."""
        if self._is_overdue(window, agreed_now):
            return False
        closed = {
            process.split("/")[0] for process, host in counts_by_process.items() if host.closed
        }
        return not closed.issuperset(self.live_hosts())

    def _is_overdue(self, window: int, agreed_now: float) -> bool:
        end = (window + 1) * self.window_seconds
        return agreed_now >= end + MAX_WAIT_FRACTION * self.due_seconds

    async def _delete_counts(self, window: int) -> None:
        rows = await self.table.scan(counts_prefix(window))
        for start in range(0, len(rows), MAX_ROWS_PER_CALL):
            expired = rows[start : start + MAX_ROWS_PER_CALL]
            await self.table.transact([], [Write(row.key, None) for row in expired])


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
        now = boot_seconds()
        reports.observe_era(agreed_now(), now=now)
        if not may_act(now):
            reports.next_window = None
            continue
        try:
            await reports.report_due(agreed_now(), now=now)
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("usage-unreported", extra={"reason": str(error)})
