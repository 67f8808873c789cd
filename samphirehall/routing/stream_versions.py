"""Software version of streams: which of them need a record, and where a stream may go on.

Engines of several software versions serve side by side, and what two versions write does not
fit together. Only streams that began at another version than the base version of their service
are recorded in the store; a stream without a record began at the base version. All of this is
decided here from what a host knows; nothing here waits or calls the store.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

STREAM_LIFETIME_SECONDS = 20.0  # longest life of a stream without a record
# After a move of the base version, or a restoration of the store, all streams are recorded.
RECORD_ALL_SECONDS = 2 * STREAM_LIFETIME_SECONDS
# After a move, a stream without a record began at the former base version. No such stream lives
# after one lifetime, and none begins at the new one before two, so clocks may differ by half.
FORMER_BASE_SECONDS = 1.5 * STREAM_LIFETIME_SECONDS
BASE_MAX_AGE_SECONDS = STREAM_LIFETIME_SECONDS  # since this host has read the base version
CLOCK_TOLERANCE_SECONDS = 5.0  # by which the agreed time of two hosts may differ
VERSION_HISTORY_SECONDS = 300.0  # for which versions that are no longer listed are remembered
MAX_STREAMS = 20_000  # remembered by one host; the oldest without a record are forgotten first
MAX_RECORDS = 500  # of one host at a time; they are one row of the store


def stream_key(request_id: str) -> str:
    """Return the name of a stream in the store, of fixed length."""
    return xxhash.xxh3_128_hexdigest(request_id.encode())


@dataclass(slots=True, frozen=True)
class Stream:
    """Stream that has begun.

    Parameters
    ----------
    service, version : str
        Service, and software version of the engine that began it.
    ends_at : float
        End of the caller's time, in agreed seconds since 1970.
    """

    service: str
    version: str
    ends_at: float

    def has_ended(self, *, agreed: float) -> bool:
        """Return whether the stream has ended on all hosts."""
        return agreed > self.ends_at + CLOCK_TOLERANCE_SECONDS


@dataclass(slots=True, frozen=True)
class BaseVersion:
    """Software version at which the streams of a service without a record began.

    Parameters
    ----------
    version : str
        Software version.
    era : int
        Era of the store under which this was written.
    moved_at : float
        When the base became this version, in agreed seconds since 1970; 0 if there was none before.
    former : str or None
        The base version before.
    confirmed_at : float
        When it was confirmed after a restoration of the store, as `moved_at`; 0 if never.
    """

    version: str
    era: int
    moved_at: float = 0.0
    former: str | None = None
    confirmed_at: float = 0.0

    def records_all(self, *, agreed: float) -> bool:
        """Return whether all streams that begin now have to be recorded."""
        return agreed - max(self.moved_at, self.confirmed_at) < RECORD_ALL_SECONDS

    def implied_version(
        self, *, era: int, agreed: float, lifetime: float = STREAM_LIFETIME_SECONDS
    ) -> str | None:
        """Return the version at which a stream without a record began; None if that is unknown.

        Parameters
        ----------
        era : int
            Newest era of the store that is known.
        agreed : float
            Agreed time in seconds since 1970.
        lifetime : float
            Longest life of the stream in seconds; its record may be lost with a restored store.
        """
        restored_for = agreed - self.confirmed_at
        if self.era < era or restored_for < FORMER_BASE_SECONDS:
            return None
        if restored_for < lifetime + CLOCK_TOLERANCE_SECONDS:
            return None
        if agreed - self.moved_at < FORMER_BASE_SECONDS:
            return self.former
        return self.version


@dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began.

    Parameters
    ----------
    version : str or None
        Software version; None if it is unknown.
    reason : str
        Where the version is known from, or why it is unknown.
    service : str or None
        Service, if it is known.
    """

    version: str | None
    reason: str
    service: str | None = None


class ListedVersions:
    """Software versions in the endpoint list, and since when this host follows it without a gap."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], int] = {}
        self._ended: dict[tuple[str, str], float] = {}
        self._followed_since: float | None = None

    def add(self, service: str, version: str) -> None:
        """Record that an endpoint is listed."""
        self._counts[service, version] = self._counts.get((service, version), 0) + 1

    def remove(self, service: str, version: str, *, now: float) -> None:
        """Record that an endpoint is no longer listed."""
        remaining = self._counts[service, version] - 1
        if remaining:
            self._counts[service, version] = remaining
            return
        del self._counts[service, version]
        self._ended = {
            key: at for key, at in self._ended.items() if now - at < VERSION_HISTORY_SECONDS
        }
        self._ended[service, version] = now

    def follow(self, *, is_current: bool, now: float) -> None:
        """Record whether the list is the current one; a gap restarts the time of following."""
        if not is_current:
            self._followed_since = None
        elif self._followed_since is None:
            self._followed_since = now

    def of_service(self, service: str) -> list[str]:
        """Return the versions of a service that are listed."""
        return [version for name, version in self._counts if name == service]

    def is_listed(self, service: str, version: str) -> bool:
        """Return whether an endpoint of a version is listed."""
        return (service, version) in self._counts

    def listed_since(self, service: str, version: str, since: float) -> bool:
        """Return whether endpoints of a version have been listed at all times since then."""
        is_listed = self.is_listed(service, version)
        return is_listed and self._ended.get((service, version), float("-inf")) < since

    def absence(self, service: str, version: str, *, now: float) -> float:
        """Return the seconds for which this host knows that a version is not listed."""
        if self.is_listed(service, version) or self._followed_since is None:
            return 0.0
        return now - max(self._followed_since, self._ended.get((service, version), 0.0))

    def only_version(self, service: str, lifetime: float, *, now: float) -> str | None:
        """Return the version of a service if no other was listed while a stream may live.

        Parameters
        ----------
        service : str
            Service.
        lifetime : float
            Longest life of the stream in seconds.
        now : float
            Boot clock in seconds.
        """
        lifetime = max(lifetime, STREAM_LIFETIME_SECONDS)
        horizon = now - lifetime
        if self._followed_since is None or self._followed_since > horizon:
            return None
        if lifetime > VERSION_HISTORY_SECONDS:
            return None
        ended = {version for (name, version), at in self._ended.items() if name == service}
        recent = {v for v in ended if self._ended[service, v] >= horizon}
        recent.update(self.of_service(service))
        return recent.pop() if len(recent) == 1 else None


@dataclass(slots=True)
class _KnownBase:
    base: BaseVersion
    read_at: float


@dataclass(slots=True)
class StreamVersions:
    """Streams that this host began, and the base version of each service.

    Parameters
    ----------
    listed : ListedVersions
        Versions in the endpoint list.

    Attributes
    ----------
    era : int
        Newest era of the store that this host knows.
    """

    listed: ListedVersions
    era: int = 0
    _bases: dict[str, _KnownBase] = field(default_factory=dict)
    _streams: OrderedDict[str, Stream] = field(default_factory=OrderedDict)
    _records: dict[str, Stream] = field(default_factory=dict)

    def receive_base(self, service: str, base: BaseVersion, *, now: float) -> None:
        """Record the base version that this host has just read."""
        self._bases[service] = _KnownBase(base, now)

    def base(self, service: str) -> BaseVersion | None:
        """Return the base version of a service as this host has read it last."""
        known = self._bases.get(service)
        return known.base if known else None

    def base_holds(self, service: str, *, now: float) -> bool:
        """Return whether the base version cannot have moved since this host has read it."""
        known = self._bases.get(service)
        return (
            known is not None
            and known.base.era >= self.era
            and now - known.read_at < BASE_MAX_AGE_SECONDS
            and self.listed.listed_since(service, known.base.version, known.read_at)
        )

    def needs_record(
        self, service: str, version: str, lifetime: float, *, now: float, agreed: float
    ) -> bool:
        """Return whether a stream has to be recorded before its first event.

        Parameters
        ----------
        service, version : str
            Service, and software version of the engine that begins it.
        lifetime : float
            Seconds for which its caller may come back.
        now, agreed : float
            Boot clock, and agreed time since 1970, in seconds.
        """
        known = self._bases.get(service)
        return (
            known is None
            or version != known.base.version
            or lifetime > STREAM_LIFETIME_SECONDS
            or not self.base_holds(service, now=now)
            or known.base.records_all(agreed=agreed)
        )

    def may_go_unrecorded(self, stream: Stream, *, agreed: float) -> bool:
        """Return whether no host would let a stream without a record go on at another version.

        That is so if its version is the implied one, or if no engine of that one is listed.
        """
        base = self.base(stream.service)
        if base is None:
            return self.listed.of_service(stream.service) == [stream.version]
        implied = {
            base.implied_version(era=self.era, agreed=time) for time in (agreed, stream.ends_at)
        }
        others = implied - {None, stream.version}
        return not any(self.listed.is_listed(stream.service, str(other)) for other in others)

    def has_record(self, key: str) -> bool:
        """Return whether the store may hold a record of a stream of this host."""
        return key in self._records

    def begin(self, key: str, stream: Stream, *, recorded: bool, agreed: float) -> bool:
        """Remember a stream; return False if it needs a record and there are too many."""
        self._forget_ended(agreed)
        if recorded or key in self._records:
            if key not in self._records and len(self._records) >= MAX_RECORDS:
                return False
            self._records[key] = stream
        self._streams[key] = stream
        self._streams.move_to_end(key)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        return True

    def begun_here(self, key: str, *, agreed: float) -> Origin | None:
        """Return the origin of a stream that this host began."""
        stream = self._streams.get(key)
        if stream is None or stream.has_ended(agreed=agreed):
            return None
        return Origin(stream.version, "this host", stream.service)

    def records(self, *, agreed: float) -> dict[str, Stream]:
        """Return the streams of this host that the store has to hold."""
        self._forget_ended(agreed)
        return dict(self._records)

    def find(
        self,
        key: str,
        service: str,
        recorded: Mapping[str, Stream],
        bases: Mapping[str, BaseVersion],
        lifetime: float,
        *,
        agreed: float,
    ) -> Origin:
        """Return the origin of a stream from all rows of the store, as of one moment."""
        stream = recorded.get(key)
        if stream is not None and not stream.has_ended(agreed=agreed):
            return Origin(stream.version, "record", stream.service)
        base = bases.get(service)
        if base is None:
            return Origin(None, "no base version is stored")
        version = base.implied_version(era=self.era, agreed=agreed, lifetime=lifetime)
        if version is None:
            return Origin(None, "the store was restored, and records may be lost")
        return Origin(version, "base", service)

    def next_base(
        self,
        service: str,
        stored: BaseVersion | None,
        ready: Iterable[str],
        *,
        min_absence: float,
        now: float,
        agreed: float,
    ) -> BaseVersion | None:
        """Return the base version to store instead of the stored one; None if that stays.

        Parameters
        ----------
        service : str
            Service.
        stored : BaseVersion or None
            Base version in the store.
        ready : iterable of str
            Version of each endpoint that accepts work.
        min_absence : float
            Seconds without an endpoint of the base version before the base moves.
        now, agreed : float
            Boot clock, and agreed time since 1970, in seconds.
        """
        counts: dict[str, int] = {}
        for version in ready:
            counts[version] = counts.get(version, 0) + 1
        most = max(sorted(counts), key=counts.__getitem__, default=None)
        known = self.base(service)
        if stored is None or stored.era < self.era:
            newest = max(
                (base for base in (stored, known) if base is not None),
                key=lambda base: base.moved_at,
                default=None,
            )
            confirmed_at = agreed if self.era else 0.0
            if newest is None:
                return (
                    None if most is None else BaseVersion(most, self.era, 0.0, None, confirmed_at)
                )
            return BaseVersion(
                newest.version, self.era, newest.moved_at, newest.former, confirmed_at
            )
        absence = self.listed.absence(service, stored.version, now=now)
        if most is None or absence < min_absence or stored.records_all(agreed=agreed):
            return None
        return BaseVersion(most, self.era, agreed, stored.version, stored.confirmed_at)

    def _forget_ended(self, agreed: float) -> None:
        while self._streams and next(iter(self._streams.values())).has_ended(agreed=agreed):
            self._streams.popitem(last=False)
        ended = [key for key, item in self._records.items() if item.has_ended(agreed=agreed)]
        for key in ended:
            del self._records[key]
