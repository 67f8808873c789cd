"""Keeps endpoint counts and engines' stages in step with demand while this host holds the duty."""

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
    Demand,
    ZoneSupply,
    measure_demand,
    supply_by_zone,
    wanted_counts,
    wanted_stage_change,
)
from samphirehall.gateway.fleet import CHANGE_SECONDS
from samphirehall.gateway.types import GatewayConfiguration, ListedEndpoint, Service, Stage

LOOK_S = 0.5  # between looks at the fleet; an endpoint takes seconds to come
REFUSED_S = 3.0  # until a kind that was not to be had is asked for again
RESEND_S = 2.0  # until an order is sent again whose endpoints are not all there: it may be cut
STAGE_PATIENCE_S = 2.0  # a change must be wanted for so long, and follows an earlier one so late
DEMAND_MEMORY_S = 6.0  # counts follow the highest demand of this time; bursts last seconds

_log = logging.getLogger(__name__)

Subject = tuple[str, str, bool]


@dataclass(slots=True, frozen=True)
class ScalingCalls:
    """Calls that only the holder of the duty makes.

    Parameters
    ----------
    order_count : callable
        Orders endpoints; returns whether they are to be had.
    order_stage : callable
        Orders an engine to work on another stage; returns whether it accepted.
    """

    order_count: Callable[[CountOrder], Awaitable[bool]]
    order_stage: Callable[[ListedEndpoint, Stage], Awaitable[bool]]


class Scaling:
    """Orders, sent again only when they change, were refused or have not come true.

    Parameters
    ----------
    context : GatewayContext
        Endpoints, load and demand.
    calls : ScalingCalls
        How orders are sent.
    """

    def __init__(self, context: GatewayContext, calls: ScalingCalls) -> None:
        self._context = context
        self._calls = calls
        self._accepted: dict[Subject, tuple[int, float]] = {}
        self._refused_at: dict[Subject, float] = {}
        self._recent: dict[str, deque[tuple[float, Demand]]] = {}
        self._staged: dict[str, tuple[Stage, float]] = {}
        self._wanted_stage: dict[str, tuple[Stage | None, float]] = {}

    def forget(self) -> None:
        """Forget what was ordered: another host may have ordered since."""
        self._accepted.clear()
        self._refused_at.clear()

    async def step(self, configuration: GatewayConfiguration, *, now: float) -> None:
        """Send the orders that are due.

        Raises
        ------
        PlatformUnavailableError
            The platform did not answer.
        """
        listed = [state.listed for state in self._context.fleet.states()]
        for service in configuration.services.values():
            if service.engine is None:
                continue
            demand = self._demand(service, listed, now=now)
            if service.scaling is not None:
                await self._keep_counts(service, listed, demand, now=now)
            await self._keep_stages(service, listed, demand, now=now)

    def _demand(self, service: Service, listed: list[ListedEndpoint], *, now: float) -> Demand:
        assert service.engine is not None
        context = self._context
        streams = sum(
            context.loads.at(endpoint.endpoint_id, now=now).requests
            for endpoint in listed
            if endpoint.service == service.name and endpoint.stage is Stage.DECODE
        )
        rate = context.prefill_rate(service.name, Stage.PREFILL).tokens_per_second
        tokens = context.loads.reading_demand(
            context.prefill_demand(service.name).rate(now=now), service.name, now=now
        )
        return measure_demand(tokens, rate, streams, service.engine)

    async def _keep_counts(
        self, service: Service, listed: list[ListedEndpoint], demand: Demand, *, now: float
    ) -> None:
        supply = supply_by_zone(listed, service)
        for zone, there in supply.items():
            refused = self._refused_at.get((service.name, zone, True), float("-inf"))
            there.cheap_refused = now - refused < 2 * REFUSED_S
        peak = self._peak(service, demand, now=now)
        for order in wanted_counts(service, supply, peak):
            await self._order(order, supply, peak, now=now)

    def _peak(self, service: Service, demand: Demand, *, now: float) -> Demand:
        """Return the highest demand of the last seconds."""
        recent = self._recent.setdefault(service.name, deque())
        recent.append((now, demand))
        while recent[0][0] < now - DEMAND_MEMORY_S:
            recent.popleft()
        return Demand(
            max(sample.reading for _, sample in recent),
            max(sample.generating for _, sample in recent),
        )

    async def _order(
        self,
        order: CountOrder,
        supply: Mapping[str, ZoneSupply],
        demand: Demand,
        *,
        now: float,
    ) -> None:
        """Send an order unless it stands; an accepted one may have been cut to the limits."""
        subject = (order.service, order.zone, order.cheap)
        there = supply[order.zone].cheap if order.cheap else supply[order.zone].standard
        count, ordered_at = self._accepted.get(subject, (-1, float("-inf")))
        if count == order.count and (there >= count or now - ordered_at < RESEND_S):
            return
        if now - self._refused_at.get(subject, float("-inf")) < REFUSED_S:
            return
        accepted = await self._calls.order_count(order)
        log_decision(
            _log,
            "endpoints-ordered",
            "accepted" if accepted else "not to be had",
            service=order.service,
            zone=order.zone,
            cheap=order.cheap,
            count=order.count,
            there=there,
            reading=round(demand.reading, 2),
            generating=round(demand.generating, 2),
        )
        if accepted:
            self._accepted[subject] = order.count, now
        else:
            self._refused_at[subject] = now

    async def _keep_stages(
        self, service: Service, listed: list[ListedEndpoint], demand: Demand, *, now: float
    ) -> None:
        """Change one engine at a time, if a change has been wanted for some time."""
        engines = {
            endpoint.endpoint_id: self._as_ordered(endpoint, now=now)
            for endpoint in listed
            if endpoint.service == service.name and endpoint.ready and endpoint.stage
        }
        change = wanted_stage_change(engines.values(), demand)
        stage = change[1] if change else None
        if stage is not self._wanted_stage.get(service.name, (None, 0.0))[0]:
            self._wanted_stage[service.name] = stage, now
        if change is None or now - self._wanted_stage[service.name][1] < STAGE_PATIENCE_S:
            return
        endpoint_id, new_stage = change
        self._wanted_stage[service.name] = None, now
        accepted = await self._calls.order_stage(engines[endpoint_id], new_stage)
        log_decision(
            _log,
            "stage-ordered",
            "accepted" if accepted else "refused",
            endpoint=endpoint_id,
            zone=engines[endpoint_id].zone,
            stage=new_stage.value,
            reading=round(demand.reading, 2),
            generating=round(demand.generating, 2),
        )
        if accepted:
            self._staged[endpoint_id] = new_stage, now
            self._context.record_stage_change(endpoint_id, now=now)

    def _as_ordered(self, endpoint: ListedEndpoint, *, now: float) -> ListedEndpoint:
        """Return an engine with the stage it was ordered to take, until its entry shows it."""
        stage, at = self._staged.get(endpoint.endpoint_id, (endpoint.stage, float("-inf")))
        return replace(endpoint, stage=stage) if now - at < CHANGE_SECONDS else endpoint


async def scale_forever(
    scaling: Scaling,
    *,
    may_act: Callable[[float], bool],
    configuration: Callable[[], GatewayConfiguration | None],
) -> None:
    """Keep counts and stages in step until cancelled.

    Parameters
    ----------
    scaling : Scaling
        What has been ordered.
    may_act : callable
        Whether this host holds the duty at a time of the boot clock.
    configuration : callable
        Configuration in force.
    """
    while True:
        await anyio.sleep(LOOK_S)
        now = boot_seconds()
        present = configuration()
        if not may_act(now) or present is None:
            scaling.forget()
            continue
        try:
            await scaling.step(present, now=now)
        except (PlatformUnavailableError, LeaseLostError) as error:
            _log.warning("endpoints-unordered", extra={"reason": str(error)})
