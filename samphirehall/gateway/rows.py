"""Following tables of the platform: all rows once, then each change."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

FEED_WAIT_S = 1.0  # a call that hears nothing ends after so long; a later end hides a lost store
RETRY_S = 0.25  # between calls to a store that does not answer; a quarter of what callers notice

_log = logging.getLogger(__name__)


class HistoryGoneError(Exception):
    """The store no longer has the changes after the version asked for."""


@dataclass(slots=True, frozen=True)
class RowChange:
    """A row as it is now.

    Parameters
    ----------
    key : str
        Name of the row.
    version : int
        Version of the store that wrote it.
    value : bytes or None
        Content; None for a row that was removed.
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
    """What following needs of a store."""

    async def snapshot(self, table: str) -> Rows:
        """Return all rows of a table.

        Raises
        ------
        PlatformUnavailableError
            No answer.
        """

    async def changes(self, table: str, *, after: int, wait: float) -> Rows:
        """Return the rows changed after a version, as soon as there is one.

        Raises
        ------
        PlatformUnavailableError
            No answer.
        HistoryGoneError
            The changes are no longer kept.
        """


class TableFollower:
    """Keeps a copy of one table in step and reports each change.

    A row is never taken back to an older version, however late an answer comes.

    Parameters
    ----------
    source : RowSource
        The store.
    table : str
        Name of the table.
    on_change : callable
        Called with each change, and whether the store has just been away.
    pause : float
        Seconds between an answer and the next call, in which changes gather.

    Attributes
    ----------
    available : bool
        Whether the last call was answered.
    heard_at : float
        Boot clock in seconds of the last answer.
    read_once : Event
        Set when all rows have been read.
    """

    def __init__(
        self,
        source: RowSource,
        table: str,
        on_change: Callable[[RowChange], None],
        *,
        pause: float = 0.0,
    ) -> None:
        self._source = source
        self._table = table
        self._on_change = on_change
        self._pause = pause
        self._versions: dict[str, int] = {}
        self._present: set[str] = set()
        self._position: int | None = None
        self.available = True
        self.heard_at = float("-inf")
        self.read_once = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
                self._note_available()
                self.heard_at = boot_seconds()
                await anyio.sleep(self._pause)
            except HistoryGoneError:
                log_decision(_log, "feed-gap", "history is gone", table=self._table)
                self._position = None
            except PlatformUnavailableError as error:
                self._note_lost(str(error))
                await anyio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self._position is None:
            snapshot = await self._source.snapshot(self._table)
            self._take_snapshot(snapshot)
            self._position = snapshot.version
            self.read_once.set()
            return
        changes = await self._source.changes(self._table, after=self._position, wait=FEED_WAIT_S)
        for change in changes.rows:
            self._take(change)
        self._position = max(self._position, changes.version)

    def _take_snapshot(self, snapshot: Rows) -> None:
        present = {row.key for row in snapshot.rows}
        for key in self._present - present:
            self._take(RowChange(key, snapshot.version, None))
        for row in snapshot.rows:
            self._take(row)

    def _take(self, change: RowChange) -> None:
        if change.version <= self._versions.get(change.key, 0):
            return
        self._versions[change.key] = change.version
        if change.value is None:
            self._present.discard(change.key)
        else:
            self._present.add(change.key)
        self._on_change(change)

    def _note_lost(self, reason: str) -> None:
        if self.available:
            _log.warning("store-lost", extra={"table": self._table, "reason": reason})
        self.available = False

    def _note_available(self) -> None:
        if not self.available:
            extra = {"table": self._table, "version": self._position}
            _log.info("store-regained", extra=extra)
        self.available = True
