"""Replicate tables of the platform's store: a snapshot first, then each change."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

FEED_WAIT_SECONDS = 1.0  # long-poll limit; a longer one hides a lost store
RETRY_INTERVAL_SECONDS = 0.25  # a quarter of the outage that callers notice

_log = logging.getLogger(__name__)


class HistoryGoneError(Exception):
    """The store no longer keeps the changes after the requested version."""


@dataclass(slots=True, frozen=True)
class RowChange:
    """Current state of a row.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version of the store that this change created.
    value : bytes or None
        Content; None if the row was deleted.
    """

    key: str
    version: int
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Rows:
    """Rows as of one version of the store."""

    rows: Sequence[RowChange]
    version: int


class RowSource(Protocol):
    """Store from which tables can be replicated."""

    async def snapshot(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond.
        """

    async def changes(self, table: str, *, after: int, wait: float) -> Rows:
        """Return the rows changed after a version, or none after `wait` seconds.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond.
        HistoryGoneError
            The store no longer keeps these changes.
        """


class TableFollower:
    """Replicates one table and reports each change.

    A late response never replaces a row by an older version.

    Parameters
    ----------
    source : RowSource
        Store of the table.
    table : str
        Name of the table.
    on_change : callable
        Called with each change.
    poll_delay : float
        Seconds from a response to the next call; changes are batched meanwhile.

    Attributes
    ----------
    available : bool
        Whether the last call succeeded.
    last_response_at : float
        Boot clock in seconds of the last response.
    snapshot_received : Event
        Set after the first snapshot.
    """

    def __init__(
        self,
        source: RowSource,
        table: str,
        on_change: Callable[[RowChange], None],
        *,
        poll_delay: float = 0.0,
    ) -> None:
        self._source = source
        self._table = table
        self._on_change = on_change
        self._poll_delay = poll_delay
        self._row_versions: dict[str, int] = {}
        self._present_keys: set[str] = set()
        self._store_version: int | None = None
        self.available = True
        self.last_response_at = float("-inf")
        self.snapshot_received = anyio.Event()

    async def run(self) -> None:
        """Replicate until cancelled."""
        while True:
            try:
                await self._step()
                self._mark_available()
                self.last_response_at = boot_seconds()
                await anyio.sleep(self._poll_delay)
            except HistoryGoneError:
                log_decision(_log, "feed-gap", "history is gone", table=self._table)
                self._store_version = None
            except PlatformUnavailableError as error:
                self._mark_unavailable(str(error))
                await anyio.sleep(RETRY_INTERVAL_SECONDS)

    async def _step(self) -> None:
        if self._store_version is None:
            snapshot = await self._source.snapshot(self._table)
            self._apply_snapshot(snapshot)
            self._store_version = snapshot.version
            self.snapshot_received.set()
            return
        changes = await self._source.changes(
            self._table, after=self._store_version, wait=FEED_WAIT_SECONDS
        )
        for change in changes.rows:
            self._apply(change)
        self._store_version = max(self._store_version, changes.version)

    def _apply_snapshot(self, snapshot: Rows) -> None:
        present = {row.key for row in snapshot.rows}
        for key in self._present_keys - present:
            self._apply(RowChange(key, snapshot.version, None))
        for row in snapshot.rows:
            self._apply(row)

    def _apply(self, change: RowChange) -> None:
        if change.version <= self._row_versions.get(change.key, 0):
            return
        self._row_versions[change.key] = change.version
        if change.value is None:
            self._present_keys.discard(change.key)
        else:
            self._present_keys.add(change.key)
        self._on_change(change)

    def _mark_unavailable(self, reason: str) -> None:
        if self.available:
            _log.warning("store-lost", extra={"table": self._table, "reason": reason})
        self.available = False

    def _mark_available(self) -> None:
        if not self.available:
            extra = {"table": self._table, "version": self._store_version}
            _log.info("store-regained", extra=extra)
        self.available = True
