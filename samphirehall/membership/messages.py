"""Messages between hosts, protocol version 1.

Messages are sent under their class names, with the fields encoded by position.
The opening messages (`Hello`, `Challenge`, `Proof`, `Refused`) keep their form
in every protocol version, so that hosts of different versions can refuse each
other with a readable reason.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from samphirehall.core.decoding import Unsigned
from samphirehall.core.types import EndpointInfo

PROTOCOL = 1
MAX_LIFETIME_MILLISECONDS = 10**12
MAX_SILENCE_TENTHS = 36_000  # an hour

_Lifetime = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIFETIME_MILLISECONDS)]


@dataclass(slots=True, frozen=True)
class Hello:
    """First message of the host that dialled.

    Parameters
    ----------
    protocol : int
        Protocol version that the sender speaks.
    host, zone : str
        Name and availability zone of the sender.
    incarnation : int
        Start of the sender's process, in milliseconds since the epoch.
    nonce : bytes
        Challenge for the receiver.
    fresh : bool
        Whether this connection replaces one that went silent.
    """

    protocol: int
    host: str
    zone: str
    incarnation: int
    nonce: bytes
    fresh: bool


@dataclass(slots=True, frozen=True)
class Challenge:
    """Response to `Hello`: identity and nonce of the listening host, and its proof of the key."""

    protocol: int
    host: str
    zone: str
    incarnation: int
    nonce: bytes
    proof: bytes


@dataclass(slots=True, frozen=True)
class Proof:
    """Proof that the dialling host holds the key."""

    proof: bytes


@dataclass(slots=True, frozen=True)
class Refused:
    """Refusal of the connection; `code` identifies a row of the result table."""

    code: int
    detail: str


@dataclass(slots=True, frozen=True)
class Beat:
    """Heartbeat: liveness, configuration versions and a digest of the facts.

    Parameters
    ----------
    sent_milliseconds : int
        Sender's boot clock, in milliseconds.
    echo_milliseconds : int
        Newest `sent_milliseconds` that the sender received from the receiver; 0 for none.
    version : int
        Configuration version in force on the sender, its entries included.
    available_version : int
        Newest configuration version that the sender can send.
    highest_known_version : int
        Highest configuration version that the sender knows to be in force.
    verification_age_tenths : int
        Tenths of a second since the sender last knew that its configuration was
        the newest; -1 for never.
    digest : int
        Hash of the facts that peers compare.
    silence_timeout_tenths : int
        Tenths of a second without a message after which the receiver closes the
        connection.
    """

    sent_milliseconds: Unsigned
    echo_milliseconds: Unsigned
    version: Unsigned
    available_version: Unsigned
    highest_known_version: Unsigned
    verification_age_tenths: int
    digest: int
    silence_timeout_tenths: Annotated[int, msgspec.Meta(ge=0, le=MAX_SILENCE_TENTHS)]


@dataclass(slots=True, frozen=True)
class Facts:
    """Facts that are new to the sender.

    Parameters
    ----------
    number : int
        Number to acknowledge; 0 for facts that need none.
    relay : bool
        Whether the receiver relays the facts, because the sender cannot reach all hosts.
    lifetimes_milliseconds : tuple of int
        Milliseconds for which each fact still holds.
    payloads : tuple of bytes
        Encoded facts; see `samphirehall.membership.wire`.
    """

    number: Unsigned
    relay: bool
    lifetimes_milliseconds: tuple[_Lifetime, ...]
    payloads: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class Acknowledged:
    """Acknowledgement of all numbered `Facts` up to `number`."""

    number: Unsigned


@dataclass(slots=True, frozen=True)
class Held:
    """Fingerprints, 8 bytes each, of the compared facts that the sender has."""

    fingerprints: bytes


@dataclass(slots=True, frozen=True)
class Wanted:
    """Request for a configuration newer than `version`, which the sender has."""

    version: int


@dataclass(slots=True, frozen=True)
class Change:
    """One piece of a configuration change.

    Parameters
    ----------
    version : int
        Version after the whole change.
    base : int
        Version before the change; 0 if the change contains every part.
    piece, pieces : int
        Number of this piece from 0, and how many there are.
    parts : dict
        Canonical bytes of changed parts, by name.
    removed : tuple of str
        Names of removed parts; only in the last piece.
    """

    version: Unsigned
    base: Unsigned
    piece: Unsigned
    pieces: Unsigned
    parts: dict[str, bytes]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndpointsChange:
    """Difference between the platform's endpoint list and what the sender sent before."""

    changed: tuple[EndpointInfo, ...]
    removed: tuple[str, ...]
    complete: bool


OPENING_MESSAGES = (Hello, Challenge, Proof, Refused)
PEER_MESSAGES = (Beat, Facts, Acknowledged, Held, Wanted, Change, EndpointsChange)
