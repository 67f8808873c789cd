"""Exchange of the counts of customers' limits between the hosts of the product's own entry."""

from typing import Annotated

import msgspec

from samphirehall.admission.limits import CustomerLimits
from samphirehall.admission.quota_ledger import SourceCount
from samphirehall.configuration.version import Configuration
from samphirehall.core.decoding import convert
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState

FACT_LIFETIME_SECONDS = 3.0
FACT_KEY = "limits"
MAX_LIMITS = 64  # of one fact; more are published as further facts
MIN_DEMAND = 0.01  # units per second; a customer with a smaller demand is left out

_Number = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
# Names of limits hold those of customers, which the configuration does not restrict.
_Counts = list[tuple[str, _Number, _Number, _Number]]


class LimitCounts:
    """Publishes the counts of this host, and takes those of the others into account.

    Parameters
    ----------
    state : NodeState
        State with the facts that hosts exchange.
    limits : CustomerLimits
        Limits of this host.
    """

    def __init__(self, state: NodeState, limits: CustomerLimits) -> None:
        self._state = state
        self._limits = limits
        self._now = 0.0
        self._checked: Configuration | None = None
        self._is_limited = False
        state.fact_store.subscribe(self._apply_fact)

    def publish(self, *, now: float) -> int:
        """Publish the counts of the limits with demand; return their number.

        A host without any publishes as well, as only hosts that are heard share the whole rates.
        """
        self._now = now
        if not self._has_limits():
            return 0
        counts = [each for each in self._limits.counts(now=now) if each[1].demand >= MIN_DEMAND]
        values = [
            (name, round(count.granted, 3), round(count.uncounted, 3), round(count.demand, 3))
            for name, count in counts
        ]
        for start in range(0, max(1, len(values)), MAX_LIMITS):
            self._state.fact_store.publish(
                FactKind.LIMIT_COUNTS,
                f"{FACT_KEY}/{start // MAX_LIMITS}" if start else FACT_KEY,
                values[start : start + MAX_LIMITS],
                lifetime=FACT_LIFETIME_SECONDS,
                now=now,
            )
        return len(values)

    def _has_limits(self) -> bool:
        """Return whether the configuration limits the rate of any customer."""
        configuration = self._state.configuration
        if configuration is not self._checked:
            self._checked = configuration
            self._is_limited = any(
                part.requests_per_second is not None or part.tokens_per_second is not None
                for part in configuration.customers().values()
            )
        return self._is_limited

    def _apply_fact(self, fact: Fact) -> None:
        if fact.kind is not FactKind.LIMIT_COUNTS or fact.owner == self._state.fact_store.owner:
            return
        counts = [(name, SourceCount(*rest)) for name, *rest in convert(fact.value, _Counts)]
        self._limits.receive(fact.owner, str(fact.incarnation), counts, now=self._now)
