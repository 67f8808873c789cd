"""Facts that hosts tell each other.

Each host owns the facts it publishes. A fact is replaced only by a newer one
of the same owner: a later incarnation, or a higher counter of the same.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any


class FactKind(enum.IntEnum):
    """Kinds of facts; a lower number is disseminated first."""

    KEY_WITHDRAWN = 0
    ENDPOINT_LEAVING = 1
    SUSPECT_REQUEST = 2
    CONFIGURATION = 3
    ENDPOINT_DOWN = 4
    HOST = 5
    SERVED_TOKENS = 6
    ENGINE_REPORT = 7
    DEMAND = 8


@dataclass(slots=True, frozen=True)
class Fact:
    """One fact of one owner.

    Parameters
    ----------
    kind : FactKind
        What the fact is about.
    key : str
        Subject, such as an endpoint or a customer.
    owner : str
        Host that published it.
    incarnation : int
        Start of the owner's process, in milliseconds since the epoch.
    counter : int
        Grows with each fact that the owner publishes.
    value : object
        msgpack value; its shape depends on the kind.
    lifetime : float
        Seconds for which the fact holds after it was received.
    """

    kind: FactKind
    key: str
    owner: str
    incarnation: int
    counter: int
    value: Any
    lifetime: float

    @property
    def identity(self) -> tuple[int, str, str]:
        """What a newer fact replaces."""
        return (self.kind, self.key, self.owner)

    @property
    def order(self) -> tuple[int, int]:
        """Order among facts of the same identity."""
        return (self.incarnation, self.counter)


Listener = Callable[[Fact], None]


class FactBoard:
    """All facts known to a process.

    Parameters
    ----------
    owner : str
        This host.
    incarnation : int
        Start of this process, in milliseconds since the epoch.
    """

    def __init__(self, owner: str, incarnation: int) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self._counter = 0
        self._facts: dict[tuple[int, str, str], tuple[Fact, float]] = {}
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> Callable[[], None]:
        """Call `listener` with every new fact; return a function that stops this."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def publish(self, kind: FactKind, key: str, value: Any, *, lifetime: float, now: float) -> Fact:
        """Publish a fact of this host.

        Parameters
        ----------
        kind, key, value
            See `Fact`.
        lifetime : float
            Seconds for which the fact holds.
        now : float
            Boot clock in seconds.
        """
        self._counter += 1
        fact = Fact(kind, key, self.owner, self.incarnation, self._counter, value, lifetime)
        self._store(fact, now)
        return fact

    def merge(self, fact: Fact, *, now: float) -> bool:
        """Take a fact from another process; return whether it was news."""
        held = self._facts.get(fact.identity)
        if held is not None and held[0].order >= fact.order:
            return False
        self._store(fact, now)
        return True

    def current(self, kind: FactKind, *, now: float) -> list[Fact]:
        """Return the facts of a kind that still hold."""
        return [fact for fact, until in self._facts.values() if fact.kind == kind and until > now]

    def holds(self, kind: FactKind, key: str, *, now: float) -> bool:
        """Return whether any owner's fact of this kind and key still holds."""
        return any(fact.key == key for fact in self.current(kind, now=now))

    def remaining(self, *, now: float) -> Iterable[Fact]:
        """Yield every fact that still holds, with the lifetime that is left."""
        for fact, until in list(self._facts.values()):
            if until > now:
                yield Fact(
                    fact.kind,
                    fact.key,
                    fact.owner,
                    fact.incarnation,
                    fact.counter,
                    fact.value,
                    until - now,
                )

    def prune(self, *, now: float) -> None:
        """Forget facts that no longer hold."""
        self._facts = {key: held for key, held in self._facts.items() if held[1] > now}

    def _store(self, fact: Fact, now: float) -> None:
        self._facts[fact.identity] = (fact, now + fact.lifetime)
        for listener in list(self._listeners):
            listener(fact)
