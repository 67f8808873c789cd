"""Facts that hosts tell each other.

Each host owns the facts it publishes. A fact is replaced only by a newer one
of the same owner: a later incarnation, or a higher counter of the same.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import xxhash

KEPT_KINDS_END = 6


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
    USAGE = 9
    USAGE_RECORDED = 10

    @property
    def stays_on_host(self) -> bool:
        """Whether facts of this kind go between the processes of a host only.

        `USAGE` goes to one peer besides, which mirrors it.
        """
        return self >= FactKind.USAGE

    @property
    def kept_in_step(self) -> bool:
        """Whether peers compare what they hold of this kind, besides sending what is new."""
        return self < KEPT_KINDS_END


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

    @property
    def fingerprint(self) -> int:
        """64-bit hash of identity and order; equal for the same fact on every host."""
        text = f"{int(self.kind)}|{self.key}|{self.owner}|{self.incarnation}|{self.counter}"
        return xxhash.xxh3_64_intdigest(text.encode())


Listener = Callable[[Fact], None]


@dataclass(slots=True, frozen=True)
class HeldFact:
    """A fact and the boot clock, in seconds, until which it holds."""

    fact: Fact
    until: float


@dataclass(slots=True, frozen=True)
class _Subscription:
    listener: Listener
    source: object


class FactBoard:
    """All facts known to a process, indexed by kind and key.

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
        self._held: dict[FactKind, dict[str, dict[str, HeldFact]]] = {kind: {} for kind in FactKind}
        self._digest = 0
        self._subscriptions: list[_Subscription] = []

    @property
    def digest(self) -> int:
        """Hash of all facts held of the kinds that peers keep in step."""
        return self._digest

    def listen(self, listener: Listener, *, source: object = None) -> Callable[[], None]:
        """Call `listener` with every new fact; return a function that stops this.

        Parameters
        ----------
        listener : callable
            Called with each fact that is published or merged.
        source : object, optional
            Facts merged from this very source are left out, so that they are
            not sent back to where they came from.
        """
        subscription = _Subscription(listener, source)
        self._subscriptions.append(subscription)

        def stop() -> None:
            self._subscriptions = [
                other for other in self._subscriptions if other is not subscription
            ]

        return stop

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
        self._store(fact, now, None)
        return fact

    def merge(self, fact: Fact, *, now: float, source: object = None) -> bool:
        """Take a fact from another process; return whether it was news.

        Parameters
        ----------
        fact : Fact
            What was received.
        now : float
            Boot clock in seconds.
        source : object, optional
            Where it came from; see `listen`.
        """
        held = self._held[fact.kind].get(fact.key, {}).get(fact.owner)
        if held is not None and held.fact.order >= fact.order:
            return False
        self._store(fact, now, source)
        return True

    def current(self, kind: FactKind, *, now: float) -> list[Fact]:
        """Return the facts of a kind that still hold."""
        return [
            held.fact
            for owners in self._held[kind].values()
            for held in owners.values()
            if held.until > now
        ]

    def about(self, kind: FactKind, key: str, *, now: float) -> list[Fact]:
        """Return the facts of a kind and key that still hold, one an owner."""
        owners = self._held[kind].get(key)
        if not owners:
            return []
        return [held.fact for held in owners.values() if held.until > now]

    def holds(self, kind: FactKind, key: str, *, now: float) -> bool:
        """Return whether any owner's fact of this kind and key still holds."""
        owners = self._held[kind].get(key)
        return owners is not None and any(held.until > now for held in owners.values())

    def held(self, *, now: float) -> Iterable[HeldFact]:
        """Yield every fact that still holds, most urgent kinds first."""
        for kind in FactKind:
            for owners in list(self._held[kind].values()):
                for held in list(owners.values()):
                    if held.until > now:
                        yield held

    def remaining(self, *, now: float) -> Iterable[Fact]:
        """Yield every fact that still holds, with the lifetime that is left."""
        for held in self.held(now=now):
            yield replace(held.fact, lifetime=held.until - now)

    def prune(self, *, now: float) -> None:
        """Forget facts that no longer hold."""
        for kind, keys in self._held.items():
            ended = [
                held.fact
                for owners in keys.values()
                for held in owners.values()
                if held.until <= now
            ]
            for fact in ended:
                self._forget(kind, fact)

    def _forget(self, kind: FactKind, fact: Fact) -> None:
        owners = self._held[kind][fact.key]
        del owners[fact.owner]
        if not owners:
            del self._held[kind][fact.key]
        if kind.kept_in_step:
            self._digest ^= fact.fingerprint

    def _store(self, fact: Fact, now: float, source: object) -> None:
        owners = self._held[fact.kind].setdefault(fact.key, {})
        if fact.kind.kept_in_step:
            if fact.owner in owners:
                self._digest ^= owners[fact.owner].fact.fingerprint
            self._digest ^= fact.fingerprint
        owners[fact.owner] = HeldFact(fact, now + fact.lifetime)
        for subscription in self._subscriptions:
            if source is None or subscription.source is not source:
                subscription.listener(fact)
