"""Placement decisions for one zone, made at each step by the holder of its lease."""

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
WEIGHT_BURST_SECONDS = 30.0  # of the weight store's rate, as the burst of the weight budget


@dataclass(slots=True, frozen=True)
class CountOrder:
    """Number of endpoints of one kind to order for the zone, and the reason for the log."""

    kind: EndpointKind
    count: int
    reason: str


PlacementOrder = RoleChange | ModelOrder | CountOrder


class ZonePlacement:
    """Decides the placement of a zone and holds its state from one step to the next.

    Parameters
    ----------
    zone : str
        Availability zone.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.role_changes = 0
        self._demand_average = DemandAverage(time_constant=DEMAND_TIME_CONSTANT_SECONDS)
        self._role_changed_at: dict[str, float] = {}
        self._weight_budget: WeightBudget | None = None
        self._ordered_counts: dict[EndpointKind, int] = {}
        self._decreased_at = float("-inf")
        self._cheap_shortfall_since: float | None = None

    def decide(
        self,
        engines: Sequence[EngineView],
        listed: Iterable[EndpointInfo],
        demand: dict[str, Demand],
        configuration: Configuration,
        *,
        now: float,
    ) -> list[PlacementOrder]:
        """Return the orders of this step.

        Parameters
        ----------
        engines : sequence of EngineView
            Engines of the zone that take work, with their newest reports.
        listed : iterable of EndpointInfo
            Endpoints of the zone as the platform lists them.
        demand : dict
            Current demand by model.
        configuration : Configuration
            Configuration in force.
        now : float
            Boot clock in seconds.
        """
        fleet = configuration.fleet
        averaged = self._demand_average.update(demand, now=now)
        orders: list[PlacementOrder] = []
        if fleet.change_roles:
            orders += self._decide_roles(engines, averaged, fleet, now)
        if fleet.place_models:
            orders += self._decide_models(engines, averaged, configuration, now)
        if fleet.order_endpoints:
            orders += self._decide_counts(listed, averaged, configuration, now)
        return orders

    def record_role_change(self, change: RoleChange, *, now: float) -> None:
        """Record a role change that was ordered, for the dwell time of its engine."""
        self._role_changed_at[change.endpoint_id] = now
        self.role_changes += 1

    def record_count_order(self, order: CountOrder, *, now: float) -> None:
        """Record a count order that was accepted, and when if it decreases the count."""
        if order.count < self._ordered_counts.get(order.kind, 0):
            self._decreased_at = now
        self._ordered_counts[order.kind] = order.count

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
        for model, model_demand in demand.items():
            group = [self._engine_role(engine) for engine in engines if _has_loaded(engine, model)]
            change = decide_role_change(
                group, model_demand, rates=_engine_rates(fleet), rules=rules, now=now
            )
            if change is not None:
                changes.append(change)
        return changes

    def _engine_role(self, engine: EngineView) -> EngineRole:
        return EngineRole(
            engine.endpoint_id,
            engine.role,
            engine.report.changing,
            engine.report.load.running,
            self._role_changed_at.get(engine.endpoint_id, float("-inf")),
        )

    def _decide_models(
        self,
        engines: Sequence[EngineView],
        demand: dict[str, Demand],
        configuration: Configuration,
        now: float,
    ) -> list[ModelOrder]:
        rate = configuration.fleet.weight_store_bytes_per_second
        if self._weight_budget is None:
            burst = rate * WEIGHT_BURST_SECONDS
            self._weight_budget = WeightBudget(bytes_per_second=rate, burst_bytes=burst)
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
        order = decide_model_order(
            views, wanted, budget_bytes=self._weight_budget.available(now=now)
        )
        if order is None:
            return []
        if order.action == LOAD:
            sizes = {model.name: model.weight_bytes for model in wanted}
            self._weight_budget.spend(sizes[order.model])
        return [order]

    def _decide_counts(
        self,
        listed: Iterable[EndpointInfo],
        demand: dict[str, Demand],
        configuration: Configuration,
        now: float,
    ) -> list[CountOrder]:
        fleet = configuration.fleet
        counts = self._zone_counts(listed, now)
        load = sum(_required_endpoints(item, _engine_rates(fleet)) for item in demand.values())
        decision = decide_counts(
            counts,
            load=load,
            uninterruptible_share=uninterruptible_share(configuration, demand),
            fleet=fleet,
            rules=CountRules(),
            now=now,
        )
        return self._count_orders(decision)

    def _zone_counts(self, listed: Iterable[EndpointInfo], now: float) -> ZoneCounts:
        active_kinds = [
            endpoint.kind
            for endpoint in listed
            if endpoint.state in (EndpointState.READY, EndpointState.STARTING)
        ]
        standard = active_kinds.count(EndpointKind.STANDARD)
        cheap = active_kinds.count(EndpointKind.CHEAP)
        cheap_ordered = self._ordered_counts.get(EndpointKind.CHEAP, 0)
        if cheap >= cheap_ordered:
            self._cheap_shortfall_since = None
        elif self._cheap_shortfall_since is None:
            self._cheap_shortfall_since = now
        return ZoneCounts(
            standard,
            cheap,
            self._ordered_counts.get(EndpointKind.STANDARD, standard),
            self._ordered_counts.get(EndpointKind.CHEAP, cheap),
            self._cheap_shortfall_since,
            self._decreased_at,
        )

    def _count_orders(self, decision: CountDecision) -> list[CountOrder]:
        wanted = {
            EndpointKind.STANDARD: decision.standard,
            EndpointKind.CHEAP: decision.cheap,
        }
        return [
            CountOrder(kind, count, decision.reason)
            for kind, count in wanted.items()
            if self._ordered_counts.get(kind) != count
        ]


def wanted_models(configuration: Configuration, demand: dict[str, Demand]) -> list[WantedModel]:
    """Return every configured model and adapter version with its share of the demand."""
    rates = {name: _total_tokens_per_second(model_demand) for name, model_demand in demand.items()}
    total = sum(rates.values()) or 1.0
    wanted = []
    for name, part in configuration.parts.items():
        if isinstance(part, ModelPart | AdapterPart):
            base_name = name.partition("/")[2]
            share = rates.get(base_name, 0.0) / total
            wanted.append(WantedModel(f"{base_name}@{part.version}", share, part.weight_bytes))
    return wanted


def uninterruptible_share(configuration: Configuration, demand: dict[str, Demand]) -> float:
    """Return the share of the demand that can neither wait nor resume.

    A completion resumes on another engine when its endpoint stops, so only the
    demand of urgent routes counts.
    """
    urgent = {
        part.target
        for part in configuration.parts.values()
        if isinstance(part, RoutePart) and part.kind == "model" and part.priority == "urgent"
    }
    total = sum(_total_tokens_per_second(item) for item in demand.values())
    uninterruptible = sum(
        _total_tokens_per_second(item) for name, item in demand.items() if name in urgent
    )
    return uninterruptible / total if total else 0.0


def _total_tokens_per_second(demand: Demand) -> float:
    return demand.prefill_tokens_per_second + demand.decode_tokens_per_second


def _required_endpoints(demand: Demand, rates: EngineRates) -> float:
    prefill = demand.prefill_tokens_per_second / rates.prefill_tokens_per_second
    decode = demand.decode_tokens_per_second / rates.decode_tokens_per_second
    return (prefill + decode) / rates.mixed_efficiency


def _engine_rates(fleet: FleetPart) -> EngineRates:
    return EngineRates(fleet.prefill_tokens_per_second, fleet.decode_tokens_per_second)


def _has_loaded(engine: EngineView, model: str) -> bool:
    return any(loaded.partition("@")[0] == model for loaded in engine.report.models)
