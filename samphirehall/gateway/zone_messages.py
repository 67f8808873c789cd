"""Datagrams that the hosts of an availability zone and their hub exchange.

Encoded as msgpack arrays in the order of the fields, and compressed if long. A datagram
starts with the sequence number of the last update that the sender received from the
receiver.
"""

import struct
import zlib
from typing import Annotated

import msgspec

from samphirehall.core.decoding import Name, UnixTime, Unsigned, decode
from samphirehall.gateway.rows import StoreVersion
from samphirehall.gateway.usage_windows import WINDOW_KEY_DIGITS, Count

MAX_SEQUENCE = 2**32 - 1  # an acknowledgement has 32 bits
MAX_AGE_SECONDS = 1e10
CLOCK_ROUNDING_SECONDS = 1.0  # a difference of two clock readings may be slightly negative
MAX_LOAD = 10**15  # requests or tokens, of a host or a zone; sums over all fit 64 bits
MAX_RATE = 1e15  # requests or tokens per second
MAX_HOSTS = 100_000  # of one zone
MAX_WINDOW = 10**WINDOW_KEY_DIGITS - 1
MAX_LOG_SPEED = 2_000  # hundredths of the logarithm of prompt tokens per second
MAX_SPEED_WEIGHT = 2_000  # hundredths of a sample
MAX_SPEED_AGE = 10_000  # tenths of a second
MAX_SPEEDS = 64  # in one message

MIN_COMPRESSED_BYTES = 800  # a shorter message fits one packet
MAX_MESSAGE_BYTES = 1024 * 1024  # after decompression
COMPRESSION_LEVEL = 1

_ACKNOWLEDGED = struct.Struct(">I")
NOT_ACKNOWLEDGED = 0  # no update of the receiver, or none that the load includes
_PLAIN, _COMPRESSED = b"\x00", b"\x01"
_Age = Annotated[float, msgspec.Meta(ge=-CLOCK_ROUNDING_SECONDS, le=MAX_AGE_SECONDS)]
_Load = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOAD)]
_Demand = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
_Window = Annotated[int, msgspec.Meta(ge=0, le=MAX_WINDOW)]
_LatestWindow = Annotated[int, msgspec.Meta(ge=-1, le=MAX_WINDOW)]
_Fingerprint = Annotated[int, msgspec.Meta(ge=0)]  # all 64 bits
# As `LimitReport`.
_Limit = tuple[str, Annotated[float, msgspec.Meta(ge=-1, le=MAX_RATE)], _Age]

_Units = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
_Level = Annotated[float, msgspec.Meta(ge=-MAX_RATE, le=MAX_RATE)]
# Customer, units granted, those of them not counted by any hub, and units asked for per second;
# as `SourceCount`.
EncodedQuotaCount = tuple[Name, _Units, _Units, _Units]
# Customer, level of the common bucket, units asked for per second at all hosts, and units granted
# in the zone.
EncodedQuotaLevel = tuple[Name, _Level, _Units, _Units]
_LogSpeed = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOG_SPEED)]
_SpeedWeight = Annotated[int, msgspec.Meta(ge=0, le=MAX_SPEED_WEIGHT)]
_SpeedAge = Annotated[int, msgspec.Meta(ge=0, le=MAX_SPEED_AGE)]
# As `SpeedSample`, and the fields of `SpeedReport`.
EncodedSpeedSample = tuple[str, _LogSpeed, _SpeedWeight]
EncodedSpeedReport = tuple[str, _LogSpeed, _SpeedWeight, _SpeedAge, _LogSpeed]
_SpeedSamples = Annotated[list[EncodedSpeedSample], msgspec.Meta(max_length=MAX_SPEEDS)]
_SpeedReports = Annotated[list[EncodedSpeedReport], msgspec.Meta(max_length=MAX_SPEEDS)]

# Whether a usage window is closed, and its requests by customer.
EncodedCounts = tuple[bool, dict[str, Count]]

# Served and refused tokens per second by service and customer.
EncodedShares = dict[str, dict[Name, tuple[_Load, _Load]]]

# Fields at the end of an update, and the values at which they are left out.
_OPTIONAL: dict[str, object] = {
    "shares": {},
    "quotas": None,
    "speed_samples": [],
    "settled_era": 0,
    "speed_reports": [],
}


class News(msgspec.Struct, array_like=True):
    """What happened since the previous datagram.

    Parameters
    ----------
    cached_prompts : list
        Engines and the parts of prompts, with their tokens, that they now cache.
    changing_engines : list of str
        Engines that were ordered to change their stage.
    crashes : list
        Fingerprints of requests and the endpoints that they crashed.
    part_crashes : list
        Endpoints that crashed, the seconds since then, and the shared parts of a prompt that
        ran there.
    cleared_parts : list of str
        Suspect parts of prompts with a complete answer.
    """

    cached_prompts: list[tuple[str, list[tuple[str, _Load]]]] = []
    changing_engines: list[str] = []
    crashes: list[tuple[_Fingerprint, str]] = []
    part_crashes: list[tuple[str, _Age, tuple[str, ...]]] = []
    cleared_parts: list[str] = []


class EncodedChange(msgspec.Struct, array_like=True):
    """Changed row of the endpoint list; `value` is None for a deleted row."""

    key: str
    version: StoreVersion
    value: bytes | None


class EncodedChanges(msgspec.Struct, array_like=True):
    """Relevant changes of the endpoint list above one version and up to another."""

    after: StoreVersion
    position: StoreVersion
    changes: list[EncodedChange] = []


class HubQuotas(msgspec.Struct, array_like=True):
    """What a hub knows of the grants against customers' quotas.

    Parameters
    ----------
    epoch : str
        Time for which the sender is the hub; its counters start at zero with each.
    hosts : int
        Number of heard hosts of the zone.
    heard, known : int
        Hosts of all zones that share the common buckets, and all hosts of the last minute.
    counts : list
        Grants of the zone, for other hubs.
    levels : list
        Levels of the common buckets, for members; one that is not listed is full.
    has_load : bool
        Whether the update holds the load of the zone.
    zones : list of str
        Source names of the other zones that the sender hears, for other hubs.
    """

    epoch: str
    hosts: Annotated[int, msgspec.Meta(ge=1, le=MAX_HOSTS)]
    heard: Annotated[int, msgspec.Meta(ge=1, le=MAX_HOSTS)]
    known: Annotated[int, msgspec.Meta(ge=1, le=MAX_HOSTS)]
    counts: list[EncodedQuotaCount] = []
    levels: list[EncodedQuotaLevel] = []
    has_load: bool = True
    zones: list[str] = []


class MemberUpdate(msgspec.Struct, array_like=True, tag="member"):
    """State of one host, sent to its hub.

    Parameters
    ----------
    host, zone, address : str
        Name, availability zone, and IP address and port of the host.
    process : str
        Incarnation of its process.
    sequence : int
        Number of this update.
    wall_time : float
        Wall clock in seconds since 1970.
    configuration_version : int
        Version of the configuration in force.
    store_age : float or None
        Seconds since this host heard from the store; None if it does not read it.
    loads : dict
        Requests in flight and pending prompt tokens by rank, by endpoint.
    demand : dict
        Prompt tokens per second to prefill, by service.
    usage : dict
        Usage counts of this host by window.
    news : News
        What happened on this host.
    changes : EncodedChanges or None
        Changes of the endpoint list, while this host reads the store for its hub.
    limits : list
        Limits that endpoints state; see `LimitReport`.
    settled_window : int
        Latest usage window known to be settled; -1 if unknown. See `ReportProgress`.
    settled_era : int
        Era of the store in which that window is the latest that any earlier era may have settled;
        0 if unknown.
    list_age : float or None
        Seconds since the endpoint list of this host surely held all changes, while it reads the
        store.
    shares : dict
        Work that this host served and refused; see `ShareExchange`.
    quotas : list or None
        Grants against customers' quotas that the hub may not know; None without quotas.
    speed_samples : list
        Measured speeds of engines that differ from others; see `SpeedSample`.
    """

    host: Name
    zone: Name
    address: str
    process: str
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    wall_time: UnixTime
    configuration_version: Unsigned
    store_age: _Age | None
    loads: dict[str, list[_Load]]
    demand: dict[str, _Demand]
    usage: dict[_Window, EncodedCounts]
    news: News
    changes: EncodedChanges | None = None
    limits: list[_Limit] = []
    settled_window: _LatestWindow = -1
    list_age: _Age | None = None
    shares: EncodedShares = {}
    quotas: list[EncodedQuotaCount] | None = None
    speed_samples: _SpeedSamples = []
    settled_era: Unsigned = 0


class ZoneSummary(msgspec.Struct, array_like=True):
    """State of all hosts of one zone together.

    Parameters
    ----------
    zone, hub, address : str
        Availability zone, its hub, and the hub's IP address and port.
    hosts : int
        Number of live hosts.
    closed_window : int
        Latest usage window that all live hosts have closed and that is stored; -1 if unknown.
    loads, demand : dict
        Sums over the hosts; see `MemberUpdate`.
    """

    zone: Name
    hub: Name
    address: str
    hosts: Annotated[int, msgspec.Meta(ge=0, le=MAX_HOSTS)]
    closed_window: _LatestWindow
    loads: dict[str, list[_Load]]
    demand: dict[str, _Demand]

    def clear_load(self) -> None:
        """Leave out the load, which is most of the state of a zone with many endpoints."""
        self.loads, self.demand = {}, {}


class HubUpdate(msgspec.Struct, array_like=True, tag="hub"):
    """State of a zone, sent by its hub to its members and to other hubs.

    Parameters
    ----------
    summary : ZoneSummary
        State of the zone of the sender.
    agreed_time : float
        Agreed time in seconds since 1970.
    configuration_version : int
        Version of the configuration in force at the sender.
    store_age : float
        Seconds since the zone heard from the store.
    reader : str or None
        Host through which it did.
    reads : bool
        Whether that is a host of this zone.
    changes : EncodedChanges
        Recent changes of the endpoint list.
    news : News
        What happened in the zone and, for members, elsewhere.
    others : list of ZoneSummary
        Latest states of other zones, for members.
    members : list
        Names and addresses of the live hosts of the zone, for members; empty in most updates.
    usage : dict
        Usage by process and window that could not be stored, for other hubs; see `MemberUpdate`.
    blocked_parts : list
        Parts of prompts in quarantine, and the seconds since their last crash.
    limits : list
        Limits that endpoints state; see `LimitReport`.
    settled_window, settled_era : int
        See `MemberUpdate`.
    list_age : float or None
        Seconds since the endpoint list of the sender surely held all that any host knew.
    shares : dict
        Work served and refused, of all zones for members and of this zone for other hubs; see
        `ShareExchange`.
    quotas : HubQuotas or None
        Grants against customers' quotas; None without quotas.
    speed_samples : list
        See `MemberUpdate`; for other hubs.
    speed_reports : list
        Estimated speeds of engines that differ from others; see `SpeedReport`.
    """

    summary: ZoneSummary
    agreed_time: UnixTime
    configuration_version: Unsigned
    store_age: _Age
    reader: str | None
    reads: bool
    changes: EncodedChanges
    news: News
    others: list[ZoneSummary] = []
    members: list[tuple[Name, str]] = []
    usage: dict[str, dict[_Window, EncodedCounts]] = {}
    blocked_parts: list[tuple[list[str], _Age]] = []
    limits: list[_Limit] = []
    settled_window: _LatestWindow = -1
    list_age: _Age | None = None
    shares: EncodedShares = {}
    quotas: HubQuotas | None = None
    speed_samples: _SpeedSamples = []
    speed_reports: _SpeedReports = []
    settled_era: Unsigned = 0


Message = MemberUpdate | HubUpdate

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message without its acknowledgement."""
    encoded = _encoder.encode(_without_empty_end(message))
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return _PLAIN + encoded
    return _COMPRESSED + zlib.compress(encoded, COMPRESSION_LEVEL)


def _without_empty_end(message: Message) -> list[object]:
    """Return the tag and the fields of a message, without the optional ones at its end."""
    fields = list(message.__struct_fields__)
    while fields[-1] in _OPTIONAL and getattr(message, fields[-1]) == _OPTIONAL[fields[-1]]:
        fields.pop()
    return [message.__struct_config__.tag, *(getattr(message, name) for name in fields)]


def datagram(acknowledged: int, encoded: bytes) -> bytes:
    """Return the datagram that carries an encoded message.

    Parameters
    ----------
    acknowledged : int
        Sequence number of the last update received from the receiver, or `NOT_ACKNOWLEDGED`.
    encoded : bytes
        See `encode_message`.
    """
    return _ACKNOWLEDGED.pack(acknowledged) + encoded


def decode_datagram(data: bytes) -> tuple[int, Message]:
    """Return the acknowledged sequence number and the message of a datagram.

    Raises
    ------
    ValueError
        The datagram is no message, or holds a number out of range.
    """
    if len(data) < _ACKNOWLEDGED.size:
        raise ValueError(f"datagram of {len(data)} bytes")
    (acknowledged,) = _ACKNOWLEDGED.unpack_from(data)
    return acknowledged, decode(_decompress(data[_ACKNOWLEDGED.size :]), _decoder)


def _decompress(encoded: bytes) -> bytes:
    if encoded[:1] != _COMPRESSED:
        return encoded[1:]
    try:
        return zlib.decompressobj().decompress(encoded[1:], MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
