"""Replicate tables of the platform's store: a snapshot first, then each change.

Few hosts read the store; the others receive the relevant changes from them. A
position is the store version up to which a replica has received all relevant
changes, so a host can continue from any other host that has read at least as far.

The store may be restored from an older copy. Its numbers then go back and are given
out again, so each version includes the era of the store, and nothing of an earlier
era is compared with a number of a later one.
"""

import logging
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import Unsigned
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

FEED_WAIT_SECONDS = 1.0  # default long-poll limit; a longer one hides a lost store
RETRY_INTERVAL_SECONDS = 0.25  # a quarter of the outage that callers notice
JOURNAL_SECONDS = 1.0  # a host that has missed updates for longer fetches a snapshot
# After a restoration, for a row that the copy lacks to be written again; the platform writes such
# rows again within about this time.
RESTORED_ROW_SECONDS = 2.0

_log = logging.getLogger(__name__)


class HistoryGoneError(Exception):
    """The store no longer keeps the changes after the requested version."""


class StoreVersion(NamedTuple):
    """Version of the store, ordered across restorations.

    Parameters
    ----------
    era : int
        Rises by one each time the store is restored from an older copy.
    number : int
        Counter of the store, which goes back when it is restored.
    """

    era: Unsigned
    number: Unsigned


NO_VERSION = StoreVersion(0, 0)


@dataclass(slots=True, frozen=True)
class RowChange:
    """Current state of a row.

    Parameters
    ----------
    key : str
        Key of the row.
    version : StoreVersion
        Version of the store that this change created.
    value : bytes or None
        Content; None if the row was deleted.
    """

    key: str
    version: StoreVersion
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Rows:
    """Rows as of one version of the store."""

    rows: Sequence[RowChange]
    version: StoreVersion


class RowSource(Protocol):
    """Store from which tables can be replicated."""

    async def snapshot(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond.
        """

    async def changes(self, table: str, *, after: StoreVersion, wait: float) -> Rows:
        """Return the rows changed after a version, or none after `wait` seconds.

        The result is of another era if the store was restored since `after`; it then lacks
        changes, as the numbers up to that of `after` may have been given out again.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond.
        HistoryGoneError
            The store no longer keeps these changes.
        """


@dataclass(slots=True, frozen=True)
class ChangeSet:
    """All relevant changes of a table between two versions of the store.

    Parameters
    ----------
    after, position : StoreVersion
        The changes are those above `after`, up to and including `position`.
    changes : sequence of RowChange
        Current states of the rows that changed.
    """

    after: StoreVersion
    position: StoreVersion
    changes: Sequence[RowChange]


def _any_change(change: RowChange) -> bool:
    return True


class TableReplica:
    """Newest known state of one table.

    An older state never replaces a newer one, whatever the source and order of arrival.

    Parameters
    ----------
    on_change : callable
        Called with each relevant change.
    is_relevant : callable
        Returns whether a change has to be applied and passed on; a row that is rewritten
        periodically has the same relevant content most of the time.

    Attributes
    ----------
    has_snapshot : bool
        Whether the table has been received as a whole.
    position : StoreVersion
        Version of the store up to which all relevant changes have been applied.
    era_since : float
        Boot clock in seconds at which the era of the position was first seen.
    """

    def __init__(
        self,
        on_change: Callable[[RowChange], None],
        is_relevant: Callable[[RowChange], bool] = _any_change,
    ) -> None:
        self._on_change = on_change
        self._is_relevant = is_relevant
        self._row_versions: dict[str, StoreVersion] = {}
        self._present: dict[str, RowChange] = {}
        self._journal: deque[tuple[float, RowChange]] = deque()
        self._journal_start = NO_VERSION
        self.has_snapshot = False
        self.position = NO_VERSION
        self.era_since = float("-inf")

    @property
    def present(self) -> Mapping[str, RowChange]:
        """Rows of the table as far as they are known, by key."""
        return self._present

    def apply_snapshot(self, snapshot: Rows, *, now: float) -> int:
        """Apply all rows of a table; rows missing from the snapshot are deleted.

        A snapshot of an earlier era than the position is ignored.

        Returns
        -------
        int
            Number of rows ignored because a newer state of them is known.
        """
        if snapshot.version.era < self.position.era:
            return len(snapshot.rows)
        known = self._row_versions
        ignored = sum(known.get(row.key, NO_VERSION) > row.version for row in snapshot.rows)
        present = {row.key for row in snapshot.rows}
        for key in self._present.keys() - present:
            self._apply(RowChange(key, snapshot.version, None), now)
        for row in snapshot.rows:
            self._apply(row, now)
        self.has_snapshot = True
        self._advance(snapshot.version, now)
        # A snapshot does not tell which rows were deleted since the previous position.
        self._journal.clear()
        self._journal_start = self.position
        return ignored

    def apply_changes(self, rows: Rows, *, now: float) -> None:
        """Apply the changes that the store returned after the current position."""
        for change in rows.rows:
            self._apply(change, now)
        self._advance(rows.version, now)

    def apply_change_set(self, change_set: ChangeSet, *, now: float) -> bool:
        """Apply changes received from another host.

        A set of an earlier era than the position is ignored: the store may have lost its rows, and
        would then never report that they are gone.

        Returns
        -------
        bool
            False if changes between the current position and the set are missing; the
            received ones are applied, but the position is unchanged.
        """
        if change_set.position.era < self.position.era:
            return True
        for change in change_set.changes:
            self._apply(change, now)
        if not self.has_snapshot or change_set.after > self.position:
            return False
        self._advance(change_set.position, now)
        return True

    def remove_unconfirmed(self, *, now: float) -> list[str]:
        """Remove the rows of earlier eras, once they had time to be written; return their keys."""
        if now - self.era_since < RESTORED_ROW_SECONDS:
            return []
        era = self.position.era
        removed = [key for key, row in self._present.items() if row.version.era < era]
        for key in removed:
            self._apply(RowChange(key, self.position, None), now)
        return removed

    def recent_changes(self, *, now: float) -> ChangeSet:
        """Return the changes of the last `JOURNAL_SECONDS` for other hosts."""
        while self._journal and now - self._journal[0][0] > JOURNAL_SECONDS:
            expired = self._journal.popleft()[1]
            self._journal_start = max(self._journal_start, expired.version)
        changes = [change for _, change in self._journal]
        return ChangeSet(self._journal_start, self.position, changes)

    def snapshot(self) -> Rows:
        """Return all rows as of the current position."""
        return Rows(list(self._present.values()), self.position)

    def _advance(self, version: StoreVersion, now: float) -> None:
        """Move the position to a version that is not lower."""
        if version.era > self.position.era:
            self.era_since = now
        self.position = max(self.position, version)

    def _apply(self, change: RowChange, now: float) -> None:
        if change.version <= self._row_versions.get(change.key, NO_VERSION):
            return
        self._row_versions[change.key] = change.version
        if change.value is None:
            self._present.pop(change.key, None)
        else:
            self._present[change.key] = change
        if self._is_relevant(change):
            self._journal.append((now, change))
            self._on_change(change)


def accept_restored(known: TableReplica, copy: Rows) -> Rows:
    """Return a restored table as it is, for rows that are ordered by what they contain."""
    return copy


def keep_known_rows(known: TableReplica, copy: Rows) -> Rows:
    """Return a restored table without the states that were replaced before the restoration.

    Made for rows that their writers repeat periodically. A row of the copy is newer than the known
    one only if its number is higher: then it was written after it, before the restoration or since.
    Otherwise the known state stays until the row is written again. A row that is not known was
    deleted, and stays so until then. A row that the copy lacks keeps its version, by which
    `TableReplica.remove_unconfirmed` finds it later.

    Parameters
    ----------
    known : TableReplica
        The table before the restoration.
    copy : Rows
        The restored table.
    """
    copied = {row.key: row for row in copy.rows}
    rows = [row for key, row in known.present.items() if key not in copied]
    for row in copy.rows:
        known_row = known.present.get(row.key)
        newest_number = known_row.version.number if known_row else known.position.number
        if row.version.number > newest_number:
            rows.append(row)
        elif known_row is not None:
            rows.append(RowChange(row.key, row.version, known_row.value))
    return Rows(rows, copy.version)


def complete_until(started: float, ended: float, wait: float, *, has_changes: bool) -> float:
    """Return until when the answer of a call to the feed holds all changes of its table.

    A feed without changes answers at the end of its wait, and the rest of the time may have passed
    on the way, or while this host stood still. A feed with changes may have answered at once.

    Parameters
    ----------
    started, ended : float
        Boot clock in seconds of the call and of its answer.
    wait : float
        Seconds for which the store waits for changes.
    has_changes : bool
        Whether the answer holds any.
    """
    return started if has_changes else min(ended, started + wait)


class Switch:
    """Something that this host does or does not do at present, such as reading the store."""

    def __init__(self, *, on: bool = False) -> None:
        self._on = anyio.Event()
        if on:
            self._on.set()

    @property
    def on(self) -> bool:
        """Whether it is switched on."""
        return self._on.is_set()

    def set(self, on: bool) -> None:
        """Switch on or off."""
        if on:
            self._on.set()
        elif self._on.is_set():
            self._on = anyio.Event()

    async def wait(self) -> None:
        """Wait until it is switched on."""
        await self._on.wait()


class TableFollower:
    """Follows one table of the store while reading is switched on.

    Parameters
    ----------
    source : RowSource
        Store of the table.
    table : str
        Name of the table.
    on_change : callable
        Called with each relevant change.
    is_relevant : callable
        See `TableReplica`.
    poll_delay : float
        Seconds from a response to the next call; changes are batched meanwhile.
    feed_wait : float
        Long-poll limit in seconds.
    switch : Switch or None
        Switches reading on and off; None reads always.
    restore : callable
        Returns the table to apply after a restoration, from the replica and the restored table.

    Attributes
    ----------
    replica : TableReplica
        State of the table, which other hosts may update as well.
    available : bool
        Whether the last call succeeded.
    last_response_at : float
        Boot clock in seconds of the last response.
    complete_until : float
        Boot clock in seconds until which the replica surely holds all changes of the table.
    snapshot_received : Event
        Set after the first snapshot from the store.
    """

    def __init__(
        self,
        source: RowSource,
        table: str,
        on_change: Callable[[RowChange], None],
        *,
        is_relevant: Callable[[RowChange], bool] = _any_change,
        poll_delay: float = 0.0,
        feed_wait: float = FEED_WAIT_SECONDS,
        switch: Switch | None = None,
        restore: Callable[[TableReplica, Rows], Rows] = accept_restored,
    ) -> None:
        self._source = source
        self._table = table
        self._poll_delay = poll_delay
        self._feed_wait = feed_wait
        self._switch = switch or Switch(on=True)
        self._restore = restore
        self._history_gone = False
        self._has_just_read_all = False
        self.replica = TableReplica(on_change, is_relevant)
        self.available = True
        self.last_response_at = float("-inf")
        self.complete_until = float("-inf")
        self.snapshot_received = anyio.Event()

    @property
    def reading(self) -> bool:
        """Whether this host reads the store."""
        return self._switch.on

    async def run(self) -> None:
        """Replicate until cancelled."""
        while True:
            await self._switch.wait()
            try:
                await self.step()
                await anyio.sleep(self._poll_delay)
            except PlatformUnavailableError:
                await anyio.sleep(RETRY_INTERVAL_SECONDS)

    async def step(self) -> None:
        """Read the store once: a snapshot, or the changes after the current position.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond.
        """
        try:
            await self._read()
        except HistoryGoneError:
            log_decision(_log, "feed-gap", "history is gone", table=self._table)
            self._history_gone = True
            if self._has_just_read_all:
                await anyio.sleep(RETRY_INTERVAL_SECONDS)
        except PlatformUnavailableError as error:
            self._mark_unavailable(str(error))
            raise
        else:
            self._mark_available()
            self.last_response_at = boot_seconds()

    async def _read(self) -> None:
        after = self.replica.position
        if self.replica.has_snapshot and not self._history_gone:
            started = boot_seconds()
            changes = await self._source.changes(self._table, after=after, wait=self._feed_wait)
            if changes.version.era == after.era:
                self.replica.apply_changes(changes, now=boot_seconds())
                self.complete_until = complete_until(
                    started, boot_seconds(), self._feed_wait, has_changes=bool(changes.rows)
                )
                self._has_just_read_all = False
                self._remove_unconfirmed()
                return
            log_decision(_log, "feed-gap", "the store was restored", table=self._table)
        await self._read_all()

    async def _read_all(self) -> None:
        started = boot_seconds()
        snapshot = await self._source.snapshot(self._table)
        self._history_gone, self._has_just_read_all = False, True
        before = self.replica.position
        restored = self.replica.has_snapshot and snapshot.version.era > before.era
        rows = self._restore(self.replica, snapshot) if restored else snapshot
        ignored = self.replica.apply_snapshot(rows, now=boot_seconds())
        self.complete_until = started
        log_decision(
            _log,
            "table-read",
            "the store was restored" if restored else "first read, or history is gone",
            table=self._table,
            rows=len(snapshot.rows),
            applied=len(rows.rows),
            ignored=ignored,
            version=snapshot.version,
            before=before,
        )
        self.snapshot_received.set()

    def _remove_unconfirmed(self) -> None:
        removed = self.replica.remove_unconfirmed(now=boot_seconds())
        if removed:
            reason = "not written again since the store was restored"
            log_decision(_log, "rows-removed", reason, table=self._table, keys=removed)

    def _mark_unavailable(self, reason: str) -> None:
        if self.available:
            _log.warning("store-lost", extra={"table": self._table, "reason": reason})
        self.available = False

    def _mark_available(self) -> None:
        if not self.available:
            extra = {"table": self._table, "version": self.replica.position}
            _log.info("store-regained", extra=extra)
        self.available = True
