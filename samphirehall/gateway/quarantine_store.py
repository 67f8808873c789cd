"""Rows of the store for parts of prompts in quarantine, which outlast the end of all hosts.

The hub of each zone writes and reads them; it sends the quarantine on to its members.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import anyio
import msgspec
import xxhash

from samphirehall.backing.table import NO_ERA, Table, Write
from samphirehall.core.decoding import DecodingError, UnixTime, convert
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog, log_decision
from samphirehall.routing.part_quarantine import Group, PartQuarantine

PREFIX = "quarantine/"
CHECK_INTERVAL_SECONDS = 0.5  # a started hub reads the rows before the first crashes
MAX_ROWS = 256
MAX_PARTS = 4096  # of one group
MAX_PART_CHARACTERS = 1024  # of the identifier of a part

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "quarantine-unreadable")

_Part = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_PART_CHARACTERS)]


class _StoredGroup(msgspec.Struct):
    """Value of a row; `last_crash` is in seconds since 1970."""

    parts: Annotated[list[_Part], msgspec.Meta(min_length=1, max_length=MAX_PARTS)]
    last_crash: UnixTime


@dataclass(slots=True, frozen=True)
class _GroupRow:
    """Row of one group of parts; `last_crash` is in seconds since 1970."""

    key: str
    group: Group
    last_crash: float


class QuarantineStore:
    """Keeps the rows of this host's quarantine while it is the hub.

    Parameters
    ----------
    table : Table
        Table of the store.
    quarantine : PartQuarantine
        Quarantine of this host.
    is_hub : callable
        Returns whether this host is the hub of its zone.
    clock, agreed_time : callable
        Boot clock in seconds, and the seconds since 1970 that all hosts agree on.
    """

    def __init__(
        self,
        table: Table,
        quarantine: PartQuarantine,
        is_hub: Callable[[], bool],
        *,
        clock: Callable[[], float],
        agreed_time: Callable[[], float],
    ) -> None:
        self._table = table
        self._quarantine = quarantine
        self._is_hub = is_hub
        self._clock = clock
        self._agreed_time = agreed_time
        self._era = NO_ERA
        self._stored: dict[Group, str] | None = None

    async def run(self) -> None:
        """Read the rows when this host becomes the hub, then write changes, until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def step(self) -> None:
        """Read or write the rows once, if this host is the hub."""
        if not self._is_hub():
            self._stored = None
            return
        try:
            if self._stored is None:
                self._stored = self._take_over(await self._rows())
            elif self._table.era != self._era:
                # What this hub knows is newer than the rows of a restored table.
                self._stored = {row.group: row.key for row in await self._rows()}
            await self._write_changes(self._stored)
        except PlatformUnavailableError as error:
            _log.warning("quarantine-unsaved", extra={"reason": str(error)})

    async def _rows(self) -> list[_GroupRow]:
        """Read the rows that can be decoded."""
        found = await self._table.scan(PREFIX, limit=MAX_ROWS)
        self._era = self._table.era
        rows = []
        for row in found:
            try:
                stored = convert(row.value, _StoredGroup)
            except DecodingError as error:
                _rejections.record(row.key, error)
                continue
            rows.append(_GroupRow(row.key, frozenset(stored.parts), stored.last_crash))
        return rows

    def _take_over(self, rows: list[_GroupRow]) -> dict[Group, str]:
        """Record the groups in the rows; return the key of each row by its group."""
        for row in rows:
            age = max(0.0, self._agreed_time() - row.last_crash)
            self._quarantine.receive_block(row.group, age, now=self._clock())
        if rows:
            log_decision(_log, "quarantine-read", "this host is the hub", groups=len(rows))
        return {row.group: row.key for row in rows}

    async def _write_changes(self, stored: dict[Group, str]) -> None:
        ages = {frozenset(parts): age for parts, age in self._quarantine.blocks(now=self._clock())}
        added = {group: _key(group) for group in ages if group not in stored}
        ended = {group: key for group, key in stored.items() if group not in ages}
        if not added and not ended:
            return
        agreed_time = self._agreed_time()
        writes = [
            Write(key, {"parts": sorted(group), "last_crash": agreed_time - ages[group]})
            for group, key in added.items()
        ]
        writes += [Write(key, None) for key in ended.values()]
        await self._table.transact([], writes)
        stored.update(added)
        for group in ended:
            del stored[group]


def _key(group: Group) -> str:
    return PREFIX + xxhash.xxh3_128_hexdigest("/".join(sorted(group)).encode())
