"""Facts as bytes, encoded once for all peers."""

from dataclasses import dataclass

import msgpack

from samphirehall.core.errors import FrameError
from samphirehall.node.facts import Fact, FactKind

MILLISECONDS = 1000


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A fact on its way to peers.

    Parameters
    ----------
    fact : Fact
        The fact itself.
    payload : bytes
        Its encoding.
    until : float
        Boot clock in seconds until which it holds.
    crossed : bool
        Whether it came from another availability zone.
    """

    fact: Fact
    payload: bytes
    until: float
    crossed: bool = False


def outgoing(fact: Fact, *, until: float, crossed: bool = False) -> Outgoing:
    """Return a fact ready to be sent."""
    values = [
        int(fact.kind),
        fact.key,
        fact.owner,
        fact.incarnation,
        fact.counter,
        fact.value,
    ]
    return Outgoing(fact, msgpack.packb(values), until, crossed)


def decode_fact(payload: bytes, lifetime_ms: int) -> Fact:
    """Return the fact of a payload.

    Raises
    ------
    FrameError
        The payload is not a fact.
    """
    try:
        values = msgpack.unpackb(payload)
        kind, key, owner, incarnation, counter, value = values
        return Fact(
            FactKind(kind),
            str(key),
            str(owner),
            int(incarnation),
            int(counter),
            value,
            lifetime_ms / MILLISECONDS,
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"malformed fact: {error}") from error
