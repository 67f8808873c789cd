"""Facts: entries that one host owns and gossips to the others.

Each host owns the facts it publishes. A fact is replaced only by a newer one
of the same owner: one with a later incarnation, or with a higher counter of
the same incarnation.
"""

import enum
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import xxhash

from samphirehall.core.decoding import DecodingError
from samphirehall.core.log import RejectionLog

RECONCILED_KINDS_END = 6  # lowest kind that peers do not compare


class FactKind(enum.IntEnum):
    """Kinds of facts; lower numbers are sent first."""

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
    LIMIT_COUNTS = 11

    @property
    def is_host_local(self) -> bool:
        """Whether facts of this kind are sent only between the processes of a host.

        `USAGE` is also sent to one peer, which mirrors it.
        """
        return self in (FactKind.USAGE, FactKind.USAGE_RECORDED)

    @property
    def is_reconciled(self) -> bool:
        """Whether peers also compare their stored facts of this kind to repair missed updates."""
        return self < RECONCILED_KINDS_END


@dataclass(slots=True, frozen=True)
class Fact:
    """An entry that one host owns and gossips to the others.

    Parameters
    ----------
    kind : FactKind
        What the fact is about.
    key : str
        Subject of the fact, such as an endpoint or a customer.
    owner : str
        Host that published it.
    incarnation : int
        Start of the owner's process, in milliseconds since the epoch.
    counter : int
        Increases with each fact that the owner publishes.
    value : object
        msgpack value; its shape depends on the kind.
    lifetime : float
        Seconds after receipt at which the fact expires.
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
        """Kind, key and owner; a newer fact with the same identity replaces this one."""
        return (self.kind, self.key, self.owner)

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among facts of the same identity; the highest is the newest."""
        return (self.incarnation, self.counter)

    @property
    def fingerprint(self) -> int:
        """64-bit hash of identity and order; equal for the same fact on every host."""
        text = f"{int(self.kind)}|{self.key}|{self.owner}|{self.incarnation}|{self.counter}"
        return xxhash.xxh3_64_intdigest(text.encode())


Listener = Callable[[Fact], None]

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class StoredFact:
    """A fact and the boot clock, in seconds, at which it expires."""

    fact: Fact
    expires_at: float


@dataclass(slots=True, frozen=True)
class _Subscription:
    listener: Listener
    source: object


class FactStore:
    """Stores all facts known to a process, indexed by kind and key.

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
        self._stored: dict[FactKind, dict[str, dict[str, StoredFact]]] = {
            kind: {} for kind in FactKind
        }
        self._digest = 0
        self._subscriptions: list[_Subscription] = []
        self._rejections = RejectionLog(_log, "fact-unreadable")

    @property
    def digest(self) -> int:
        """Hash of all stored facts of the kinds that peers compare."""
        return self._digest

    def subscribe(self, listener: Listener, *, source: object = None) -> Callable[[], None]:
        """Call `listener` with every new fact; return a function that unsubscribes it.

        Parameters
        ----------
        listener : callable
            Called with each fact that is published or merged. A `DecodingError` that it raises
            is logged, and the other listeners are called.
        source : object, optional
            Facts that are merged from this source object are skipped, so that
            they are not sent back to it.
        """
        subscription = _Subscription(listener, source)
        self._subscriptions.append(subscription)

        def stop() -> None:
            self._subscriptions = [
                other for other in self._subscriptions if other is not subscription
            ]

        return stop

    def publish(self, kind: FactKind, key: str, value: Any, *, lifetime: float, now: float) -> Fact:
        """Store a new fact of this host, pass it to the listeners and return it.

        Parameters
        ----------
        kind, key, value
            See `Fact`.
        lifetime : float
            Seconds until the fact expires.
        now : float
            Boot clock in seconds.
        """
        self._counter += 1
        fact = Fact(kind, key, self.owner, self.incarnation, self._counter, value, lifetime)
        self._store(fact, now, None)
        return fact

    def merge(self, fact: Fact, *, now: float, source: object = None) -> bool:
        """Store a fact from another process if it is newer; return whether it was.

        Parameters
        ----------
        fact : Fact
            Received fact.
        now : float
            Boot clock in seconds.
        source : object, optional
            Object that identifies the sender; see `subscribe`.
        """
        stored = self._stored[fact.kind].get(fact.key, {}).get(fact.owner)
        if stored is not None and stored.fact.order >= fact.order:
            return False
        self._store(fact, now, source)
        return True

    def current(self, kind: FactKind, *, now: float) -> list[Fact]:
        """Return the unexpired facts of a kind."""
        return [
            stored.fact
            for owners in self._stored[kind].values()
            for stored in owners.values()
            if stored.expires_at > now
        ]

    def current_for_key(self, kind: FactKind, key: str, *, now: float) -> list[Fact]:
        """Return the unexpired facts of a kind and key, at most one per owner."""
        owners = self._stored[kind].get(key)
        if not owners:
            return []
        return [stored.fact for stored in owners.values() if stored.expires_at > now]

    def contains(self, kind: FactKind, key: str, *, now: float) -> bool:
        """Return whether any owner has an unexpired fact of this kind and key."""
        owners = self._stored[kind].get(key)
        return owners is not None and any(stored.expires_at > now for stored in owners.values())

    def unexpired(self, *, now: float) -> Iterable[StoredFact]:
        """Yield all unexpired facts, lowest kind number first."""
        for kind in FactKind:
            for owners in list(self._stored[kind].values()):
                for stored in list(owners.values()):
                    if stored.expires_at > now:
                        yield stored

    def unexpired_with_remaining_lifetime(self, *, now: float) -> Iterable[Fact]:
        """Yield all unexpired facts, with `lifetime` reduced to the remaining seconds."""
        for stored in self.unexpired(now=now):
            yield replace(stored.fact, lifetime=stored.expires_at - now)

    def prune(self, *, now: float) -> None:
        """Remove expired facts."""
        for kind, keys in self._stored.items():
            expired = [
                stored.fact
                for owners in keys.values()
                for stored in owners.values()
                if stored.expires_at <= now
            ]
            for fact in expired:
                self._remove(kind, fact)

    def _remove(self, kind: FactKind, fact: Fact) -> None:
        owners = self._stored[kind][fact.key]
        del owners[fact.owner]
        if not owners:
            del self._stored[kind][fact.key]
        if kind.is_reconciled:
            self._digest ^= fact.fingerprint

    def _store(self, fact: Fact, now: float, source: object) -> None:
        owners = self._stored[fact.kind].setdefault(fact.key, {})
        if fact.kind.is_reconciled:
            if fact.owner in owners:
                self._digest ^= owners[fact.owner].fact.fingerprint
            self._digest ^= fact.fingerprint
        owners[fact.owner] = StoredFact(fact, now + fact.lifetime)
        for subscription in self._subscriptions:
            if source is None or subscription.source is not source:
                try:
                    subscription.listener(fact)
                except DecodingError as error:
                    self._rejections.record(f"{fact.kind.name}/{fact.owner}", error)
