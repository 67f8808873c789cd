"""Messages between hosts, protocol version 1.

The opening messages (`Hello`, `Challenge`, `Proof`, `Refused`) keep their form
in every protocol version, so that hosts of different versions can refuse each
other in words.
"""

from dataclasses import dataclass

from samphirehall.core.types import EndpointInfo

PROTOCOL = 1


@dataclass(slots=True, frozen=True)
class Hello:
    """First message of the host that dialled.

    Parameters
    ----------
    protocol : int
        Protocol version that the sender speaks.
    host, zone : str
        Who dials, and where it is.
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
    """Answer to `Hello`: who answers, its own nonce, and proof that it holds the key."""

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
    """The connection is refused; `code` is a row of the result table."""

    code: int
    detail: str


@dataclass(slots=True, frozen=True)
class Beat:
    """Heartbeat: liveness, versions and what is needed to compare what both ends hold.

    Parameters
    ----------
    sent : int
        Sender's boot clock, in milliseconds.
    echo : int
        Newest `sent` that the sender had from the receiver; 0 for none.
    version : int
        Configuration version in force on the sender, its entries included.
    held : int
        Configuration version that the sender can pass on.
    heard : int
        Highest configuration version that the sender knows to be in force.
    age : int
        Tenths of a second since the sender last knew that its configuration was
        the newest; -1 for never.
    digest : int
        Hash of the facts that peers keep in step.
    patience : int
        Tenths of a second of silence after which the sender is to be suspected.
    """

    sent_milliseconds: int
    echo_milliseconds: int
    version: int
    available_version: int
    highest_known_version: int
    verification_age_tenths: int
    digest: int
    silence_timeout_tenths: int


@dataclass(slots=True, frozen=True)
class Facts:
    """Facts that are new to the sender.

    Parameters
    ----------
    number : int
        Number to acknowledge; 0 for facts that need none.
    relay : bool
        Whether the sender cannot reach everyone, so that the receiver passes on.
    lifetimes : tuple of int
        Milliseconds that each fact still holds.
    payloads : tuple of bytes
        Encoded facts; see `samphirehall.membership.wire`.
    """

    number: int
    relay: bool
    lifetimes_milliseconds: tuple[int, ...]
    payloads: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class Acknowledged:
    """Facts up to `number` have arrived."""

    number: int


@dataclass(slots=True, frozen=True)
class Held:
    """Fingerprints, 8 bytes each, of the facts that the sender keeps in step."""

    fingerprints: bytes


@dataclass(slots=True, frozen=True)
class Wanted:
    """The sender holds configuration `version` and wants a newer one."""

    version: int


@dataclass(slots=True, frozen=True)
class Change:
    """One piece of a configuration change.

    Parameters
    ----------
    version : int
        Version that the whole change makes.
    base : int
        Version that it changes; 0 if it brings every part.
    piece, pieces : int
        Number of this piece from 0, and how many there are.
    parts : dict
        Canonical bytes of changed parts, by name.
    removed : tuple of str
        Names of parts that are gone; in the last piece.
    """

    version: int
    base: int
    piece: int
    pieces: int
    parts: dict[str, bytes]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndpointsChange:
    """Change of the platform's endpoint list against what the sender sent before."""

    changed: tuple[EndpointInfo, ...]
    removed: tuple[str, ...]
    complete: bool


OPENING_MESSAGES = (Hello, Challenge, Proof, Refused)
PEER_MESSAGES = (Beat, Facts, Acknowledged, Held, Wanted, Change, EndpointsChange)
