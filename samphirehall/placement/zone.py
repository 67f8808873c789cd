"""Placement of one zone: what the holder of its lease decides at each step."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from samphirehall.configuration.documents import AdapterPart, FleetPart, ModelPart, RoutePart
from samphirehall.configuration.version import Configuration
from samphirehall.core.types import EndpointInfo, EndpointKind, EndpointState
from samphirehall.placement.capacity import EngineRates
from samphirehall.placement.counts import CountDecision, CountRules, ZoneCounts, decide_counts
from samphirehall.placement.demand import Demand, DemandAverage
from samphirehall.placement.models import (
    LOAD,
    EngineModels,
    ModelOrder,
    WantedModel,
    WeightBudget,
    decide_model_order,
)
from samphirehall.placement.roles import EngineRole, RoleChange, RoleRules, decide_role_change
from samphirehall.placement.views import EngineView

DEMAND_TIME_CONSTANT_SECONDS = 10.0
WEIGHT_BURST_SECONDS = 30.0


@dataclass(slots=True, frozen=True)
class CountOrder:
    """Endpoints of one kind to order for the zone, and why."""

    kind: EndpointKind
    count: int
    reason: str


PlacementOrder = RoleChange | ModelOrder | CountOrder


class ZonePlacement:
    """What placement remembers of a zone between its decisions.

    Parameters
    ----------
    zone : str
        Availability zone.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.role_changes = 0
        self._average = DemandAverage(time_constant=DEMAND_TIME_CONSTANT_SECONDS)
        self._changed_at: dict[str, float] = {}
        self._budget: WeightBudget | None = None
        self._ordered: dict[EndpointKind, int] = {}
        self._lowered_at = float("-inf")
        self._cheap_short_since: float | None = None

    def decide(
        self,
        engines: Sequence[EngineView],
        listed: Iterable[EndpointInfo],
        demand: dict[str, Demand],
        configuration: Configuration,
        *,
        now: float,
    ) -> list[PlacementOrder]:
        """Choose the orders of this step.

        Parameters
        ----------
        engines : sequence of EngineView
            Engines of the zone with their reports.
        listed : iterable of EndpointInfo
            Endpoints of the zone as the platform lists them.
        demand : dict
            Demand by model now.
        configuration : Configuration
            Rules in force.
        now : float
            Boot clock in seconds.
        """
        fleet = configuration.fleet
        averaged = self._average.update(demand, now=now)
        orders: list[PlacementOrder] = []
        if fleet.change_roles:
            orders += self._decide_roles(engines, averaged, fleet, now)
        if fleet.place_models:
            orders += self._decide_models(engines, averaged, configuration, now)
        if fleet.order_endpoints:
            orders += self._decide_counts(listed, averaged, configuration, now)
        return orders

    def note_role_change(self, change: RoleChange, *, now: float) -> None:
        """Remember a role change that was ordered."""
        self._changed_at[change.endpoint_id] = now
        self.role_changes += 1

    def note_count(self, order: CountOrder, *, now: float) -> None:
        """Remember an endpoint order that was accepted."""
        if order.count < self._ordered.get(order.kind, 0):
            self._lowered_at = now
        self._ordered[order.kind] = order.count

    def _decide_roles(
        self,
        engines: Sequence[EngineView],
        demand: dict[str, Demand],
        fleet: FleetPart,
        now: float,
    ) -> list[RoleChange]:
        rules = RoleRules(
            dwell_seconds=fleet.role_dwell_seconds, change_seconds=fleet.role_change_seconds
        )
        changes = []
        for model, wanted in demand.items():
            group = [self._role_of(engine) for engine in engines if _has_model(engine, model)]
            change = decide_role_change(group, wanted, rates=_rates(fleet), rules=rules, now=now)
            if change is not None:
                changes.append(change)
        return changes

    def _role_of(self, engine: EngineView) -> EngineRole:
        return EngineRole(
            engine.endpoint_id,
            engine.role,
            engine.report.changing,
            engine.report.load.running,
            self._changed_at.get(engine.endpoint_id, float("-inf")),
        )

    def _decide_models(
        self,
        engines: Sequence[EngineView],
        demand: dict[str, Demand],
        configuration: Configuration,
        now: float,
    ) -> list[ModelOrder]:
        rate = configuration.fleet.weight_store_bytes_per_second
        if self._budget is None:
            burst = rate * WEIGHT_BURST_SECONDS
            self._budget = WeightBudget(bytes_per_second=rate, burst_bytes=burst)
        wanted = wanted_models(configuration, demand)
        views = [
            EngineModels(
                engine.endpoint_id,
                frozenset(engine.report.models),
                changing=engine.report.changing,
                running=engine.report.load.running,
            )
            for engine in engines
        ]
        order = decide_model_order(views, wanted, budget_bytes=self._budget.available(now=now))
        if order is None:
            return []
        if order.action == LOAD:
            sizes = {model.name: model.weight_bytes for model in wanted}
            self._budget.take(sizes[order.model])
        return [order]

    def _decide_counts(
        self,
        listed: Iterable[EndpointInfo],
        demand: dict[str, Demand],
        configuration: Configuration,
        now: float,
    ) -> list[CountOrder]:
        fleet = configuration.fleet
        counts = self._counts(listed, now)
        load = sum(_load_in_endpoints(wanted, _rates(fleet)) for wanted in demand.values())
        decision = decide_counts(
            counts,
            load=load,
            firm_share=firm_share(configuration, demand),
            fleet=fleet,
            rules=CountRules(),
            now=now,
        )
        return self._changed_counts(decision)

    def _counts(self, listed: Iterable[EndpointInfo], now: float) -> ZoneCounts:
        there = [
            endpoint.kind
            for endpoint in listed
            if endpoint.state in (EndpointState.READY, EndpointState.STARTING)
        ]
        standard = there.count(EndpointKind.STANDARD)
        cheap = there.count(EndpointKind.CHEAP)
        ordered_cheap = self._ordered.get(EndpointKind.CHEAP, 0)
        if cheap >= ordered_cheap:
            self._cheap_short_since = None
        elif self._cheap_short_since is None:
            self._cheap_short_since = now
        return ZoneCounts(
            standard,
            cheap,
            self._ordered.get(EndpointKind.STANDARD, standard),
            self._ordered.get(EndpointKind.CHEAP, cheap),
            self._cheap_short_since,
            self._lowered_at,
        )

    def _changed_counts(self, decision: CountDecision) -> list[CountOrder]:
        wanted = {
            EndpointKind.STANDARD: decision.standard,
            EndpointKind.CHEAP: decision.cheap,
        }
        return [
            CountOrder(kind, count, decision.reason)
            for kind, count in wanted.items()
            if self._ordered.get(kind) != count
        ]


def wanted_models(configuration: Configuration, demand: dict[str, Demand]) -> list[WantedModel]:
    """Return every model and adapter version with its share of the demand."""
    weights = {name: _work(wanted) for name, wanted in demand.items()}
    total = sum(weights.values()) or 1.0
    wanted = []
    for name, part in configuration.parts.items():
        if isinstance(part, ModelPart | AdapterPart):
            short = name.partition("/")[2]
            share = weights.get(short, 0.0) / total
            wanted.append(WantedModel(f"{short}@{part.version}", share, part.weight_bytes))
    return wanted


def firm_share(configuration: Configuration, demand: dict[str, Demand]) -> float:
    """Return the share of the demand that can neither wait nor resume.

    Completions resume and continue, so only urgent routes count as firm.
    """
    urgent = {
        part.target
        for part in configuration.parts.values()
        if isinstance(part, RoutePart) and part.kind == "model" and part.priority == "urgent"
    }
    total = sum(_work(wanted) for wanted in demand.values())
    firm = sum(_work(wanted) for name, wanted in demand.items() if name in urgent)
    return firm / total if total else 0.0


def _work(demand: Demand) -> float:
    return demand.prefill_tokens_per_second + demand.decode_tokens_per_second


def _load_in_endpoints(demand: Demand, rates: EngineRates) -> float:
    prefill = demand.prefill_tokens_per_second / rates.prefill_tokens_per_second
    decode = demand.decode_tokens_per_second / rates.decode_tokens_per_second
    return (prefill + decode) / rates.mixed_efficiency


def _rates(fleet: FleetPart) -> EngineRates:
    return EngineRates(fleet.prefill_tokens_per_second, fleet.decode_tokens_per_second)


def _has_model(engine: EngineView, model: str) -> bool:
    return any(loaded.partition("@")[0] == model for loaded in engine.report.models)
