"""Autoscaling loop of the host that holds the duty: orders endpoints and stage changes."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable, Container, Iterable, Mapping
from dataclasses import dataclass, replace

import anyio

from samphirehall.authority.lease import LeaseLostError
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.endpoint_counts import (
    CountOrder,
    EngineDemand,
    ZoneSupply,
    desired_counts,
    desired_stage_change,
    measure_demand,
    missing_decode_engine,
    supply_by_zone,
)
from samphirehall.gateway.engine_rates import lasting_factors
from samphirehall.gateway.fleet import STAGE_CHANGE_TIMEOUT_SECONDS
from samphirehall.gateway.types import GatewayConfiguration, ListedEndpoint, Service, Stage
from samphirehall.routing.stream_versions import STREAM_LIFETIME_SECONDS

CHECK_INTERVAL_SECONDS = 0.5  # short compared with the startup time of an endpoint
MIN_CHECK_INTERVAL_SECONDS = 0.1  # after an endpoint is lost; many may be at the same moment
REFUSED_RETRY_SECONDS = 3.0  # before what was refused is ordered again
RESEND_INTERVAL_SECONDS = 2.0  # if endpoints are missing; the platform may cut orders
STAGE_CHANGE_DELAY_SECONDS = 2.0  # a change must stay due, and follow the previous one, this long
PEAK_DEMAND_WINDOW_SECONDS = 6.0  # counts follow the peak in it; bursts last seconds

_log = logging.getLogger(__name__)

OrderKey = tuple[str, str, bool]


@dataclass(slots=True, frozen=True)
class ScalingCalls:
    """Platform calls reserved to the holder of the duty.

    Parameters
    ----------
    order_count : callable
        Orders endpoints; returns whether the platform accepted the order.
    order_stage : callable
        Orders an engine to change its stage; returns whether it accepted.
    """

    order_count: Callable[[CountOrder], Awaitable[bool]]
    order_stage: Callable[[ListedEndpoint, Stage], Awaitable[bool]]


class EndpointScaler:
    """Orders endpoints and stage changes to follow the demand.

    An order is sent again only if it changes, was refused or is not fulfilled in time.

    Parameters
    ----------
    context : GatewayContext
        Provides endpoints, load and demand.
    calls : ScalingCalls
        Sends the orders.
    """

    def __init__(self, context: GatewayContext, calls: ScalingCalls) -> None:
        self._context = context
        self._calls = calls
        self._accepted_orders: dict[OrderKey, tuple[int, float]] = {}
        self._refused_at: dict[OrderKey, float] = {}
        self._recent_demand: dict[str, deque[tuple[float, EngineDemand]]] = {}
        self._ordered_stages: dict[str, tuple[Stage, float]] = {}
        self._pending_stage_change: dict[str, tuple[Stage | None, float]] = {}
        self._decoded_at: dict[tuple[str, str], float] = {}
        self._stage_refused_at: dict[str, float] = {}

    def reset(self) -> None:
        """Discard the record of orders; another host may have sent different ones since."""
        self._accepted_orders.clear()
        self._refused_at.clear()
        self._pending_stage_change.clear()

    async def wait(self) -> None:
        """Wait until the next step, which is due at once if an endpoint is lost."""
        await anyio.sleep(MIN_CHECK_INTERVAL_SECONDS)
        with anyio.move_on_after(CHECK_INTERVAL_SECONDS - MIN_CHECK_INTERVAL_SECONDS):
            await self._context.endpoint_lost.wait()
        self._context.endpoint_lost = anyio.Event()

    async def step(self, configuration: GatewayConfiguration, *, now: float) -> None:
        """Measure demand and send the orders that are due.

        Raises
        ------
        PlatformUnavailableError
            The platform did not answer.
        """
        listed = [state.listed for state in self._context.fleet.states()]
        for service in configuration.services.values():
            if service.engine is None:
                continue
            demand = self._measure_demand(service, listed, now=now)
            if service.scaling is not None:
                await self._update_counts(service, listed, demand, now=now)
            await self._update_stages(service, listed, demand, now=now)

    def _measure_demand(
        self, service: Service, listed: list[ListedEndpoint], *, now: float
    ) -> EngineDemand:
        assert service.engine is not None
        context = self._context
        streams = sum(
            context.loads.total_load(endpoint.endpoint_id, now=now).requests
            for endpoint in listed
            if endpoint.service == service.name and endpoint.stage is Stage.DECODE
        )
        prefillers = [
            endpoint
            for endpoint in listed
            if endpoint.service == service.name and endpoint.stage is Stage.PREFILL
        ]
        factors = lasting_factors(context, prefillers).values()
        rate = context.prefill_rate(service.name, Stage.PREFILL).tokens_per_second
        rate *= sum(factors) / len(factors) if factors else 1.0
        tokens = context.loads.prefill_demand(
            context.prefill_demand(service.name).rate(now=now), service.name, now=now
        )
        return measure_demand(tokens, rate, streams, service.engine)

    async def _update_counts(
        self, service: Service, listed: list[ListedEndpoint], demand: EngineDemand, *, now: float
    ) -> None:
        supply = supply_by_zone(listed, service)
        for zone, zone_supply in supply.items():
            refused = self._refused_at.get((service.name, zone, True), float("-inf"))
            zone_supply.cheap_refused = now - refused < 2 * REFUSED_RETRY_SECONDS
        peak = self._peak_demand(service, demand, now=now)
        for order in desired_counts(service, supply, peak):
            await self._send_order(order, supply, peak, now=now)

    def _peak_demand(self, service: Service, demand: EngineDemand, *, now: float) -> EngineDemand:
        """Return the peak demand within `PEAK_DEMAND_WINDOW_SECONDS`."""
        recent = self._recent_demand.setdefault(service.name, deque())
        recent.append((now, demand))
        while recent[0][0] < now - PEAK_DEMAND_WINDOW_SECONDS:
            recent.popleft()
        return EngineDemand(
            max(sample.prefill_load for _, sample in recent),
            max(sample.decode_load for _, sample in recent),
        )

    async def _send_order(
        self,
        order: CountOrder,
        supply: Mapping[str, ZoneSupply],
        demand: EngineDemand,
        *,
        now: float,
    ) -> None:
        """Send an order unless it is in force.

        The platform may have cut an accepted one to its limits.
        """
        key = (order.service, order.zone, order.cheap)
        ready = supply[order.zone].cheap if order.cheap else supply[order.zone].standard
        count, ordered_at = self._accepted_orders.get(key, (-1, float("-inf")))
        if count == order.count and (ready >= count or now - ordered_at < RESEND_INTERVAL_SECONDS):
            return
        if now - self._refused_at.get(key, float("-inf")) < REFUSED_RETRY_SECONDS:
            return
        accepted = await self._calls.order_count(order)
        log_decision(
            _log,
            "endpoints-ordered",
            "accepted" if accepted else "refused by the platform",
            service=order.service,
            zone=order.zone,
            cheap=order.cheap,
            count=order.count,
            there=ready,
            reading=round(demand.prefill_load, 2),
            generating=round(demand.decode_load, 2),
        )
        if accepted:
            self._accepted_orders[key] = order.count, now
        else:
            self._refused_at[key] = now

    async def _update_stages(
        self, service: Service, listed: list[ListedEndpoint], demand: EngineDemand, *, now: float
    ) -> None:
        """Order one stage change if it is due."""
        engines = {
            endpoint.endpoint_id: self._with_ordered_stage(endpoint, now=now)
            for endpoint in listed
            if endpoint.service == service.name and endpoint.ready and endpoint.stage
        }
        unreachable = self._unreachable(engines, now=now)
        self._record_decode_engines(engines.values(), unreachable, now=now)
        change = missing_decode_engine(
            engines.values(), unreachable=unreachable, unwilling=self._unwilling(now=now)
        )
        is_urgent = change is not None and self._has_lost_decode_engines(
            engines[change[0]], now=now
        )
        speeds = lasting_factors(self._context, engines.values())
        change = change or desired_stage_change(engines.values(), demand, speeds)
        due_since = self._due_since(service.name, change[1] if change else None, now=now)
        if change is None or not (is_urgent or now - due_since >= STAGE_CHANGE_DELAY_SECONDS):
            return
        self._pending_stage_change[service.name] = None, now
        accepted = await self._send_stage_change(engines[change[0]], change[1], demand, now=now)
        if is_urgent and not accepted:
            self._context.endpoint_lost.set()  # another engine is asked at once

    def _unreachable(self, endpoint_ids: Iterable[str], *, now: float) -> set[str]:
        """Return the endpoints to which this host cannot connect at present."""
        states = (self._context.fleet.endpoint(endpoint_id) for endpoint_id in endpoint_ids)
        return {
            state.listed.endpoint_id
            for state in states
            if state is not None and state.unreachable_until > now
        }

    def _unwilling(self, *, now: float) -> set[str]:
        """Return the engines that have refused a stage change lately, or did not answer."""
        self._stage_refused_at = {
            name: at
            for name, at in self._stage_refused_at.items()
            if now - at < REFUSED_RETRY_SECONDS
        }
        return set(self._stage_refused_at)

    def _record_decode_engines(
        self, engines: Iterable[ListedEndpoint], unreachable: Container[str], *, now: float
    ) -> None:
        """Record the software versions that have a decode engine now; forget former ones."""
        self._decoded_at = {
            key: at for key, at in self._decoded_at.items() if now - at <= STREAM_LIFETIME_SECONDS
        }
        for engine in engines:
            if engine.stage is Stage.DECODE and engine.endpoint_id not in unreachable:
                self._decoded_at[engine.service, engine.software_version] = now

    def _has_lost_decode_engines(self, engine: ListedEndpoint, *, now: float) -> bool:
        """Return whether streams may live at the version of an engine, and none decodes there."""
        return self._decoded_at.get((engine.service, engine.software_version), now) < now

    def _due_since(self, service: str, stage: Stage | None, *, now: float) -> float:
        """Record the stage change that is due; return since when one to this stage has been."""
        pending, since = self._pending_stage_change.get(service, (None, now))
        if stage is not pending:
            since = now
            self._pending_stage_change[service] = stage, now
        return since

    async def _send_stage_change(
        self, engine: ListedEndpoint, stage: Stage, demand: EngineDemand, *, now: float
    ) -> bool:
        """Order a stage change; return whether the engine accepts it."""
        accepted = await self._calls.order_stage(engine, stage)
        log_decision(
            _log,
            "stage-ordered",
            "accepted" if accepted else "refused",
            endpoint=engine.endpoint_id,
            zone=engine.zone,
            stage=stage.value,
            software_version=engine.software_version,
            reading=round(demand.prefill_load, 2),
            generating=round(demand.decode_load, 2),
        )
        if accepted:
            self._ordered_stages[engine.endpoint_id] = stage, now
            self._context.record_stage_change(engine.endpoint_id, now=now)
        else:
            self._stage_refused_at[engine.endpoint_id] = now
        return accepted

    def _with_ordered_stage(self, endpoint: ListedEndpoint, *, now: float) -> ListedEndpoint:
        """Return an engine with the stage last ordered, while its entry may not show it yet."""
        stage, ordered_at = self._ordered_stages.get(
            endpoint.endpoint_id, (endpoint.stage, float("-inf"))
        )
        return (
            replace(endpoint, stage=stage)
            if now - ordered_at < STAGE_CHANGE_TIMEOUT_SECONDS
            else endpoint
        )


async def scale_forever(
    scaling: EndpointScaler,
    *,
    may_act: Callable[[float], bool],
    configuration: Callable[[], GatewayConfiguration | None],
) -> None:
    """Run the autoscaling loop until cancelled.

    Parameters
    ----------
    scaling : EndpointScaler
        Sends the orders.
    may_act : callable
        Returns whether this host holds the duty at a boot-clock time.
    configuration : callable
        Returns the configuration in force.
    """
    while True:
        await scaling.wait()
        now = boot_seconds()
        current = configuration()
        if not may_act(now) or current is None:
            scaling.reset()
            continue
        try:
            await scaling.step(current, now=now)
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("endpoints-unordered", extra={"reason": str(error)})
