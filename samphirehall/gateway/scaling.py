"""Autoscaling loop of the host that holds the duty: orders endpoints and stage changes."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
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
    supply_by_zone,
)
from samphirehall.gateway.fleet import STAGE_CHANGE_TIMEOUT_SECONDS
from samphirehall.gateway.types import GatewayConfiguration, ListedEndpoint, Service, Stage

CHECK_INTERVAL_SECONDS = 0.5  # short compared with the startup time of an endpoint
REFUSED_RETRY_SECONDS = 3.0  # before a refused kind is ordered again
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

    def reset(self) -> None:
        """Discard the record of orders; another host may have sent different ones since."""
        self._accepted_orders.clear()
        self._refused_at.clear()
        self._pending_stage_change.clear()

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
        rate = context.prefill_rate(service.name, Stage.PREFILL).tokens_per_second
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
        """Order one stage change if it has been due for `STAGE_CHANGE_DELAY_SECONDS`."""
        engines = {
            endpoint.endpoint_id: self._with_ordered_stage(endpoint, now=now)
            for endpoint in listed
            if endpoint.service == service.name and endpoint.ready and endpoint.stage
        }
        change = desired_stage_change(engines.values(), demand)
        stage = change[1] if change else None
        if stage is not self._pending_stage_change.get(service.name, (None, 0.0))[0]:
            self._pending_stage_change[service.name] = stage, now
        if (
            change is None
            or now - self._pending_stage_change[service.name][1] < STAGE_CHANGE_DELAY_SECONDS
        ):
            return
        endpoint_id, new_stage = change
        self._pending_stage_change[service.name] = None, now
        accepted = await self._calls.order_stage(engines[endpoint_id], new_stage)
        log_decision(
            _log,
            "stage-ordered",
            "accepted" if accepted else "refused",
            endpoint=endpoint_id,
            zone=engines[endpoint_id].zone,
            stage=new_stage.value,
            reading=round(demand.prefill_load, 2),
            generating=round(demand.decode_load, 2),
        )
        if accepted:
            self._ordered_stages[endpoint_id] = new_stage, now
            self._context.record_stage_change(endpoint_id, now=now)

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
        await anyio.sleep(CHECK_INTERVAL_SECONDS)
        now = boot_seconds()
        current = configuration()
        if not may_act(now) or current is None:
            scaling.reset()
            continue
        try:
            await scaling.step(current, now=now)
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("endpoints-unordered", extra={"reason": str(error)})
