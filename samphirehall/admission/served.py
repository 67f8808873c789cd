"""Exchange of served work between the hosts of a zone, for fair shares across hosts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from samphirehall.admission.fair_queue import VirtualCounters
from samphirehall.core.decoding import convert
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState

FACT_LIFETIME_SECONDS = 30.0
MAX_FACTS_PER_ROUND = 16
MIN_PUBLISHED_CHANGE_TOKENS = 1.0


@dataclass(slots=True, frozen=True)
class ServedTokens:
    """Value of a fact of the kind ``SERVED_TOKENS``; the key is the customer.

    Parameters
    ----------
    zone : str
        Availability zone of the host.
    work : float
        Work that the host has served since it started, in weighted tokens.
    """

    zone: str
    work: float


class ServedWorkTracker:
    """Sums the work that this host served, and charges that of its peers.

    The first fact from a peer is only a baseline; later ones charge the difference.

    Parameters
    ----------
    state : NodeState
        State with the facts that hosts exchange.
    counters : VirtualCounters
        Virtual counters that the work of peers is charged to.
    get_weight : callable
        Returns the weight of a customer.
    """

    def __init__(
        self, state: NodeState, counters: VirtualCounters, get_weight: Callable[[str], float]
    ) -> None:
        self._state = state
        self._counters = counters
        self._get_weight = get_weight
        self._served: dict[str, float] = {}
        self._published: dict[str, float] = {}
        self._received: dict[tuple[str, int, str], float] = {}
        state.fact_store.subscribe(self._apply_fact)

    def record(self, customer: str, work: float) -> None:
        """Record work that this host served; negative work corrects an estimate."""
        self._served[customer] = self._served.get(customer, 0.0) + work

    def publish(self, *, now: float) -> int:
        """Publish the served work of the customers that changed most; return their number.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        changed = sorted(self._unpublished_changes(), reverse=True)[:MAX_FACTS_PER_ROUND]
        for _, customer in changed:
            work = self._published[customer] = self._served[customer]
            value = msgspec.to_builtins(ServedTokens(self._state.zone, work))
            self._state.fact_store.publish(
                FactKind.SERVED_TOKENS, customer, value, lifetime=FACT_LIFETIME_SECONDS, now=now
            )
        return len(changed)

    def _unpublished_changes(self) -> Iterator[tuple[float, str]]:
        for customer, work in self._served.items():
            change = abs(work - self._published.get(customer, 0.0))
            if change >= MIN_PUBLISHED_CHANGE_TOKENS:
                yield change, customer

    def _apply_fact(self, fact: Fact) -> None:
        if fact.kind is not FactKind.SERVED_TOKENS or fact.owner == self._state.fact_store.owner:
            return
        value = convert(fact.value, ServedTokens)
        if value.zone != self._state.zone:
            return
        source = (fact.owner, fact.incarnation, fact.key)
        previous_work = self._received.get(source)
        self._received[source] = value.work
        if previous_work is not None:
            self._counters.charge(fact.key, value.work - previous_work, self._get_weight(fact.key))
