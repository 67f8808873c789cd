"""Control service that decides and orders placement on the host that holds the zone's lease."""

import logging
from collections.abc import Iterable

import anyio

from samphirehall.authority.orders import Orders
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.types import EndpointInfo, EndpointState
from samphirehall.endpoints.protocol import EngineAction
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.placement.demand import demand_by_model
from samphirehall.placement.drain import DrainRequest, delete_drain, read_drains
from samphirehall.placement.models import ModelOrder
from samphirehall.placement.roles import RoleChange
from samphirehall.placement.views import (
    EngineView,
    engines_of_zone,
    newest_reports,
    reported_engines,
)
from samphirehall.placement.zone import CountOrder, PlacementOrder, ZonePlacement

STEP_INTERVAL_SECONDS = 2.0
SET_ROLE: EngineAction = "set-role"
DRAIN: EngineAction = "drain"

_log = logging.getLogger(__name__)


class PlacementStep:
    """Decides and orders placement of this host's zone, one step at a time.

    Parameters
    ----------
    context : ControlContext
        Settings, platform and state of this host.
    orders : Orders
        Journals and sends the orders.
    """

    def __init__(self, context: ControlContext, orders: Orders) -> None:
        self._context = context
        self._orders = orders
        self._placement = ZonePlacement(context.state.zone)

    @property
    def role_changes(self) -> int:
        """Number of role changes ordered by this process."""
        return self._placement.role_changes

    async def run(self, *, now: float) -> None:
        """Decide and submit orders if this process holds the zone's lease."""
        state = self._context.state
        if not self._orders.holds_zone_lease(state.zone, now=now):
            return
        engines = reported_engines(state, now=now)
        await self._submit_drains(now=now)
        demand = demand_by_model(
            state.fact_store.current(FactKind.DEMAND, now=now), state.zone_hosts
        )
        listed = engines_of_zone(state)
        decided = self._placement.decide(engines, listed, demand, state.configuration, now=now)
        for order in decided:
            await self._submit(order, engines, now=now)

    async def _submit(
        self, order: PlacementOrder, engines: Iterable[EngineView], *, now: float
    ) -> None:
        infos = {engine.endpoint_id: engine.info for engine in engines}
        _log_order(order, self._context.state.zone)
        try:
            match order:
                case RoleChange(endpoint_id, role):
                    await self._orders.submit_engine_order(
                        infos[endpoint_id], SET_ROLE, role, now=now
                    )
                    self._placement.record_role_change(order, now=now)
                case ModelOrder(endpoint_id, action, model):
                    await self._orders.submit_engine_order(
                        infos[endpoint_id], action, model, now=now
                    )
                case CountOrder(kind, count):
                    zone = self._context.state.zone
                    await self._orders.submit_endpoint_count(zone, kind, count, now=now)
                    self._placement.record_count_order(order, now=now)
        except SamphireError as error:
            log_decision(_log, "order-refused", error.detail, result=error.result.code)

    async def _submit_drains(self, *, now: float) -> None:
        state = self._context.state
        for drain in await read_drains(self._context.platform, state.zone):
            endpoint = state.endpoints.get(drain.endpoint_id)
            if endpoint is None or endpoint.state is EndpointState.GONE:
                await delete_drain(self._context.platform, drain)
                continue
            await self._submit_drain(drain, endpoint, now=now)

    async def _submit_drain(
        self, drain: DrainRequest, endpoint: EndpointInfo, *, now: float
    ) -> None:
        report = newest_reports(self._context.state, now=now).get(drain.endpoint_id)
        if report is not None and report.leaving:
            return
        try:
            await self._orders.submit_engine_order(endpoint, DRAIN, "", now=now)
        except SamphireError as error:
            log_decision(_log, "order-refused", error.detail, endpoint=drain.endpoint_id)


def _log_order(order: PlacementOrder, zone: str) -> None:
    match order:
        case RoleChange(endpoint_id, role, reason):
            log_decision(_log, "role", reason, zone=zone, endpoint=endpoint_id, role=role)
        case ModelOrder(endpoint_id, action, model, reason):
            log_decision(_log, action, reason, zone=zone, endpoint=endpoint_id, model=model)
        case CountOrder(kind, count, reason):
            log_decision(_log, "endpoint-count", reason, zone=zone, kind=kind, count=count)


async def run_placement(context: ControlContext) -> None:
    """Run placement steps until cancelled, also while the platform is unavailable."""
    step = PlacementStep(context, await context.obtain(Orders))
    context.add_status_section("role_changes", lambda: step.role_changes)
    while True:
        try:
            await step.run(now=boot_seconds())
        except PlatformUnavailableError as error:
            _log.warning("platform-unavailable", extra={"reason": str(error)})
        await anyio.sleep(STEP_INTERVAL_SECONDS)
