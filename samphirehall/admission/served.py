"""Served work told between the hosts of a zone, so that they keep one account of customers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from samphirehall.admission.fair_queue import VirtualCounters
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState

LIFETIME_SECONDS = 30.0
MAX_FACTS_A_ROUND = 16
MIN_CHANGE = 1.0


@dataclass(slots=True, frozen=True)
class ServedTokens:
    """Value of a fact of the kind ``SERVED_TOKENS``; the key is the customer.

    Parameters
    ----------
    zone : str
        Availability zone of the host.
    work : float
        Work served by the host since it started, in weighted tokens.
    """

    zone: str
    work: float


class ServedAccount:
    """Adds up what this host served and takes in what its peers did.

    Parameters
    ----------
    state : NodeState
        Board on which hosts tell each other.
    counters : VirtualCounters
        Counters that peers' work is charged to.
    weight_of : callable
        Returns a customer's weight.
    """

    def __init__(
        self, state: NodeState, counters: VirtualCounters, weight_of: Callable[[str], float]
    ) -> None:
        self._state = state
        self._counters = counters
        self._weight_of = weight_of
        self._served: dict[str, float] = {}
        self._told: dict[str, float] = {}
        self._heard: dict[tuple[str, int, str], float] = {}
        state.board.listen(self._take)

    def add(self, customer: str, work: float) -> None:
        """Add work that this host served; below 0 corrects an estimate."""
        self._served[customer] = self._served.get(customer, 0.0) + work

    def publish(self, *, now: float) -> int:
        """Tell the peers about the customers that changed most; return how many.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        changed = sorted(self._changes(), reverse=True)[:MAX_FACTS_A_ROUND]
        for _, customer in changed:
            work = self._told[customer] = self._served[customer]
            value = msgspec.to_builtins(ServedTokens(self._state.zone, work))
            self._state.board.publish(
                FactKind.SERVED_TOKENS, customer, value, lifetime=LIFETIME_SECONDS, now=now
            )
        return len(changed)

    def _changes(self) -> Iterator[tuple[float, str]]:
        for customer, work in self._served.items():
            change = abs(work - self._told.get(customer, 0.0))
            if change >= MIN_CHANGE:
                yield change, customer

    def _take(self, fact: Fact) -> None:
        if fact.kind is not FactKind.SERVED_TOKENS or fact.owner == self._state.board.owner:
            return
        value = msgspec.convert(fact.value, ServedTokens)
        if value.zone != self._state.zone:
            return
        heard = (fact.owner, fact.incarnation, fact.key)
        before = self._heard.get(heard)
        self._heard[heard] = value.work
        if before is not None:
            self._counters.charge(fact.key, value.work - before, self._weight_of(fact.key))
