"""Rows of the store for the software version of streams, which outlast the end of all hosts.

Each host writes one row with the streams that it began and that need a record. Streams without
one began at the base version of their service; the hubs create, confirm and move that row.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import anyio
import msgspec

from samphirehall.backing.table import ABSENT, Check, Row, Table, Write
from samphirehall.core.decoding import DecodingError, UnixTime, Unsigned, convert
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import STREAM_UNKNOWN
from samphirehall.gateway.fleet import Fleet
from samphirehall.routing.stream_versions import (
    BaseVersion,
    Origin,
    Stream,
    StreamVersions,
    stream_key,
)

PREFIX = "streams/"
BASE_PREFIX = PREFIX + "base/"
BEGUN_PREFIX = PREFIX + "begun/"
MAX_ROWS = 10_000
RECORD_TIMEOUT_SECONDS = 0.5  # for a record, from the first event on; writes take milliseconds
WRITE_INTERVAL_SECONDS = 0.02  # between two writes of one host
WRITE_RETRY_SECONDS = 0.25
SCAN_INTERVAL_SECONDS = 0.25  # between two scans of one host, however many take-ups there are
LIST_WAIT_SECONDS = 1.0  # for word that the endpoint list is whole; hubs are heard more often
LIST_CHECK_SECONDS = 0.02
BASE_CHECK_SECONDS = 1.0  # while a base version is unknown or may have moved, and at hubs
BASE_REFRESH_SECONDS = 8.0  # otherwise; well below the age up to which a base version holds
BASE_MOVE_SECONDS = 3.0  # without an engine of the base version, before the base moves
CLEANUP_INTERVAL_SECONDS = 30.0  # between two removals of ended rows by a hub
UNKNOWN_RETRY_AFTER_SECONDS = 0.2  # another host may know the version
MAX_TEXT_CHARACTERS = 200  # of a name or a software version

_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]

_log = logging.getLogger(__name__)


class _StoredBase(msgspec.Struct):
    version: _Text
    era: Unsigned
    moved_at: UnixTime
    former: _Text | None
    confirmed_at: UnixTime


class _StoredStreams(msgspec.Struct):
    streams: list[tuple[_Text, _Text, _Text, UnixTime]]


@dataclass(slots=True)
class Recording:
    """Record of one stream that is being stored; `stored` is set once it is."""

    key: str
    stream: Stream
    stored: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class _Scan:
    """Rows of all hosts as of one moment."""

    bases: dict[str, BaseVersion] = field(default_factory=dict)
    streams: dict[str, Stream] = field(default_factory=dict)
    ended_rows: list[Row] = field(default_factory=list)
    is_complete: bool = True


class StreamStore:
    """Keeps the software version of streams in the store.

    Parameters
    ----------
    table : Table
        Table of the store.
    fleet : Fleet
        Endpoints of this host.
    process : str
        Host and incarnation of this process.
    is_hub, list_is_current : callable
        Return whether this host is the hub of its zone, and whether its endpoint list is current.
    list_era : callable
        Returns the era of the store that the endpoint list knows.
    list_complete_until : callable
        Returns the boot clock in seconds until which this host's endpoint list holds all that any
        host knows.
    clock, agreed_time : callable
        Boot clock in seconds, and the seconds since 1970 that all hosts agree on.

    Attributes
    ----------
    versions : StreamVersions
        What this host knows of streams.
    available : bool
        Whether the store has answered the last write.
    """

    def __init__(
        self,
        table: Table,
        fleet: Fleet,
        process: str,
        *,
        is_hub: Callable[[], bool],
        list_is_current: Callable[[], bool],
        list_era: Callable[[], int],
        list_complete_until: Callable[[], float],
        clock: Callable[[], float],
        agreed_time: Callable[[], float],
    ) -> None:
        self._table = table
        self._fleet = fleet
        self._key = BEGUN_PREFIX + process
        self._is_hub = is_hub
        self._list_is_current = list_is_current
        self._list_era = list_era
        self._list_complete_until = list_complete_until
        self._clock = clock
        self._agreed_time = agreed_time
        self._row_version: int | None = ABSENT
        self._row_era = 0
        self._pending: dict[str, Recording] = {}
        self._changed = anyio.Event()
        self._scan_lock = anyio.Lock()
        self._last_scan = _Scan()
        self._last_scan_at = float("-inf")
        self._scans = 0
        self._base_read_at = float("-inf")
        self._cleaned_at = float("-inf")
        self.versions = StreamVersions(fleet.versions)
        self.available = True

    async def run(self) -> None:
        """Write records and follow the base versions, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_forever)
            group.start_soon(self._follow_bases_forever)

    def begin(self, request_id: str, service: str, version: str, lifetime: float) -> Recording:
        """Remember where a stream begins, and start to store that if it has to be stored.

        Parameters
        ----------
        request_id : str
            Id of the request that begins the stream.
        service, version : str
            Service, and software version of the engine.
        lifetime : float
            Seconds for which the caller may come back.
        """
        self._update_era()
        now, agreed = self._clock(), self._agreed_time()
        key, stream = stream_key(request_id), Stream(service, version, agreed + lifetime)
        recording = Recording(key, stream)
        needs_record = self.versions.needs_record(
            service, version, lifetime, now=now, agreed=agreed
        ) or self.versions.has_record(key)
        is_kept = self.versions.begin(key, stream, recorded=needs_record, agreed=agreed)
        if not needs_record:
            recording.stored.set()
        elif is_kept:
            self._pending[key] = recording
            self._changed.set()
        return recording

    async def confirm(self, recording: Recording) -> bool:
        """Wait for a record; return whether the first event may be passed on."""
        with anyio.move_on_after(RECORD_TIMEOUT_SECONDS):
            await recording.stored.wait()
            return True
        self.available = False
        if self.versions.may_go_unrecorded(recording.stream, agreed=self._agreed_time()):
            extra = {"service": recording.stream.service, "version": recording.stream.version}
            _log.warning("stream-unrecorded", extra=extra)
            return True
        return False

    def begin_version(self, service: str) -> str | None:
        """Return the version at which new streams have to begin; None if any will do.

        Raises
        ------
        SamphireError
            Several versions serve, and this host can neither store which one begins a stream nor
            knows the one that needs no record.
        """
        if self.available:
            return None
        base = self.versions.base(service)
        if base is None and len(self._fleet.versions.of_service(service)) > 1:
            raise _unknown("no base version is known, and the store does not answer")
        return base.version if base else None

    async def origin(
        self, request_id: str | None, service: str, lifetime: float, *, arrived: float
    ) -> Origin:
        """Return the service and software version of a stream.

        Parameters
        ----------
        request_id : str or None
            Id of the request that began the stream, if its caller names it.
        service : str
            Service of the request that takes it up.
        lifetime : float
            Longest time in seconds that callers of its route wait.
        arrived : float
            Boot clock in seconds at which the request arrived.

        Raises
        ------
        SamphireError
            They are unknown to this host.
        """
        key, agreed = stream_key(request_id or ""), self._agreed_time()
        self._update_era()
        found = self.versions.begun_here(key, agreed=agreed)
        if found is not None:
            return found
        stream = self._last_scan.streams.get(key)
        if stream is not None and not stream.has_ended(agreed=agreed):
            return Origin(stream.version, "record", stream.service)
        found = Origin(None, "the request that began the stream is not named")
        if request_id is not None:
            found = await self._stored_origin(key, service, lifetime)
        if found.version is not None:
            return found
        version = await self._only_version(service, lifetime, arrived)
        if version is not None:
            return Origin(version, "single version", service)
        raise _unknown(found.reason)

    async def _only_version(self, service: str, lifetime: float, arrived: float) -> str | None:
        """Return the version of a service if no host can have begun the stream at another.

        The endpoint list has to be as new as the request that takes the stream up: what was
        listed since may have begun it.
        """
        versions = self._fleet.versions
        with anyio.move_on_after(LIST_WAIT_SECONDS):
            while versions.only_version(service, lifetime, now=self._clock()) is not None:
                if self._list_complete_until() >= arrived:
                    return versions.only_version(service, lifetime, now=self._clock())
                await anyio.sleep(LIST_CHECK_SECONDS)
        return None

    async def _stored_origin(self, key: str, service: str, lifetime: float) -> Origin:
        """Return the origin of a stream according to the store."""
        try:
            scan = await self._scan()
        except PlatformUnavailableError as error:
            return Origin(None, str(error))
        self._update_era()
        agreed = self._agreed_time()
        if key not in scan.streams and not scan.is_complete:
            return Origin(None, "a row of streams is unreadable")
        return self.versions.find(key, service, scan.streams, scan.bases, lifetime, agreed=agreed)

    async def _scan(self) -> _Scan:
        """Return a scan that began after this call; calls that wait at the same time share one."""
        requested = self._scans
        async with self._scan_lock:
            if self._scans > requested:
                return self._last_scan
            wait = self._last_scan_at + SCAN_INTERVAL_SECONDS - self._clock()
            if wait > 0:
                await anyio.sleep(wait)
            self._last_scan_at = self._clock()
            self._scans += 1
            self._last_scan = _Scan(is_complete=False)
            self._last_scan = await self._read_rows()
            return self._last_scan

    async def _read_rows(self) -> _Scan:
        rows = await self._table.scan(PREFIX, limit=MAX_ROWS)
        scan, agreed = _Scan(), self._agreed_time()
        for row in rows:
            try:
                if row.key.startswith(BASE_PREFIX):
                    scan.bases[row.key.removeprefix(BASE_PREFIX)] = _decode_base(row)
                    continue
                streams = _decode_streams(row)
            except DecodingError as error:
                scan.is_complete = False
                _log.warning("streams-unreadable", extra={"key": row.key, "reason": str(error)})
                continue
            scan.streams.update(streams)
            if all(stream.has_ended(agreed=agreed) for stream in streams.values()):
                scan.ended_rows.append(row)
        return scan

    async def _write_forever(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            while not await self.write():
                await anyio.sleep(WRITE_INTERVAL_SECONDS if self.available else WRITE_RETRY_SECONDS)
            await anyio.sleep(WRITE_INTERVAL_SECONDS)

    async def write(self) -> bool:
        """Store the records of this host; return whether the store holds them."""
        records = self.versions.records(agreed=self._agreed_time())
        self._pending = {key: item for key, item in self._pending.items() if key in records}
        pending = dict(self._pending)
        if not records and self._row_version == ABSENT:
            self.available = True
            return True
        value = {
            "streams": [
                [key, stream.service, stream.version, stream.ends_at]
                for key, stream in records.items()
            ]
        }
        try:
            if self._row_version is None or (self._row_version and self._row_era < self._table.era):
                rows = await self._table.read([self._key])
                self._row_version = rows[self._key].version if self._key in rows else ABSENT
            result = await self._table.transact(
                [Check(self._key, self._row_version)],
                [Write(self._key, value if records else None)],
            )
        except PlatformUnavailableError as error:
            self._row_version = None
            if self.available:
                _log.warning("streams-unsaved", extra={"reason": str(error)})
            self.available = False
            return False
        if not result.committed:
            self._row_version = None
            return False
        versions = result.versions or {}
        self._row_version = versions.get(self._key, ABSENT) if records else ABSENT
        self._row_era = self._table.era
        self.available = True
        for key, recording in pending.items():
            recording.stored.set()
            if self._pending.get(key) is recording:
                del self._pending[key]
        return True

    async def _follow_bases_forever(self) -> None:
        while True:
            await self.follow_bases()
            await anyio.sleep(BASE_CHECK_SECONDS)

    async def follow_bases(self) -> None:
        """Read the base versions if they may have moved; at the hub, keep their rows."""
        now = self._clock()
        is_current = self._list_is_current()
        self._fleet.versions.follow(is_current=is_current, now=now)
        if self._update_era() or self._row_has_ended_streams():
            self._changed.set()
        services = self._generating_services()
        holds = all(self.versions.base_holds(service, now=now) for service in services)
        if not services or (holds and now - self._base_read_at < BASE_REFRESH_SECONDS):
            return
        try:
            rows = await self._table.read([BASE_PREFIX + service for service in services])
            self._base_read_at = self._clock()
            self._update_era()
            for service, ready in services.items():
                await self._receive_base(service, rows.get(BASE_PREFIX + service), ready)
            if self._is_hub() and now - self._cleaned_at > CLEANUP_INTERVAL_SECONDS:
                self._cleaned_at = now
                await self._remove_ended_rows()
        except PlatformUnavailableError as error:
            _log.warning("base-versions-unknown", extra={"reason": str(error)})

    async def _receive_base(self, service: str, row: Row | None, ready: list[str]) -> None:
        """Take over the base version of a service; at the hub, write the one that it should be."""
        stored = None
        if row is not None:
            try:
                stored = _decode_base(row)
            except DecodingError as error:
                _log.warning("streams-unreadable", extra={"key": row.key, "reason": str(error)})
        if self._is_hub() and self._list_is_current():
            base = self.versions.next_base(
                service,
                stored,
                ready,
                min_absence=BASE_MOVE_SECONDS,
                now=self._clock(),
                agreed=self._agreed_time(),
            )
            if base is not None:
                key = BASE_PREFIX + service
                check = Check(key, row.version if row is not None else ABSENT)
                result = await self._table.transact([check], [Write(key, _encode_base(base))])
                if not result.committed:
                    return
                log_decision(
                    _log,
                    "base-version",
                    _base_reason(stored, base),
                    service=service,
                    version=base.version,
                    before=stored.version if stored is not None else None,
                    era=base.era,
                )
                stored = base
        if stored is not None:
            self.versions.receive_base(service, stored, now=self._base_read_at)

    async def _remove_ended_rows(self) -> None:
        """Remove the rows of ended processes, all of whose streams have ended."""
        scan = await self._read_rows()
        for row in scan.ended_rows:
            if row.key != self._key:
                await self._table.transact([Check(row.key, row.version)], [Write(row.key, None)])

    def _generating_services(self) -> dict[str, list[str]]:
        """Return the versions of the ready engines by service."""
        services: dict[str, list[str]] = {}
        for state in self._fleet.states():
            if state.listed.stage is not None:
                versions = services.setdefault(state.listed.service, [])
                if state.listed.ready:
                    versions.append(state.listed.software_version)
        return services

    def _update_era(self) -> bool:
        """Learn the newest era of the store; return whether this host's row is of an older one."""
        self.versions.era = max(self.versions.era, self._table.era, self._list_era())
        has_records = bool(self.versions.records(agreed=self._agreed_time()))
        return has_records and self._row_era < self.versions.era

    def _row_has_ended_streams(self) -> bool:
        has_row = self._row_version != ABSENT
        return has_row and not self.versions.records(agreed=self._agreed_time())


def _base_reason(stored: BaseVersion | None, base: BaseVersion) -> str:
    """Return why the row of a base version is written."""
    if stored is None:
        return "the store has none"
    return "the store was restored" if stored.era < base.era else "no engine of it is listed"


def _unknown(detail: str) -> SamphireError:
    return SamphireError(STREAM_UNKNOWN, detail, retry_after=UNKNOWN_RETRY_AFTER_SECONDS)


def _encode_base(base: BaseVersion) -> object:
    return {
        "version": base.version,
        "era": base.era,
        "moved_at": base.moved_at,
        "former": base.former,
        "confirmed_at": base.confirmed_at,
    }


def _decode_base(row: Row) -> BaseVersion:
    found = convert(row.value, _StoredBase)
    return BaseVersion(found.version, found.era, found.moved_at, found.former, found.confirmed_at)


def _decode_streams(row: Row) -> dict[str, Stream]:
    found = convert(row.value, _StoredStreams)
    return {key: Stream(service, version, ends) for key, service, version, ends in found.streams}
