"""Encoding of facts, done once for all peers."""

from dataclasses import dataclass
from typing import Any

import msgpack

from samphirehall.core.decoding import Unsigned, convert, shorten
from samphirehall.core.errors import FrameError
from samphirehall.node.facts import Fact, FactKind

MILLISECONDS_PER_SECOND = 1000
_FACT: Any = tuple[FactKind, str, str, Unsigned, Unsigned, Any]


@dataclass(slots=True, frozen=True)
class OutgoingFact:
    """A fact and its encoding, ready to be sent to peers.

    Parameters
    ----------
    fact : Fact
        The fact itself.
    payload : bytes
        Its encoding.
    expires_at : float
        Boot clock in seconds until which the fact holds.
    from_other_zone : bool
        Whether this host received it from another availability zone.
    """

    fact: Fact
    payload: bytes
    expires_at: float
    from_other_zone: bool = False


def encode_fact(fact: Fact, *, expires_at: float, from_other_zone: bool = False) -> OutgoingFact:
    """Encode a fact for sending."""
    values = [
        int(fact.kind),
        fact.key,
        fact.owner,
        fact.incarnation,
        fact.counter,
        fact.value,
    ]
    return OutgoingFact(fact, msgpack.packb(values), expires_at, from_other_zone)


def decode_fact(payload: bytes, lifetime_milliseconds: int) -> Fact:
    """Decode a fact from its payload.

    Raises
    ------
    FrameError
        The payload is not a fact.
    """
    try:
        kind, key, owner, incarnation, counter, value = convert(msgpack.unpackb(payload), _FACT)
        lifetime = lifetime_milliseconds / MILLISECONDS_PER_SECOND
        return Fact(kind, key, owner, incarnation, counter, value, lifetime)
    except (ValueError, TypeError, OverflowError, msgpack.UnpackException) as error:
        raise FrameError(f"malformed fact: {shorten(error)}") from error
