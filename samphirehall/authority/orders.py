"""Control service that carries out the orders of the scopes whose lease this host holds."""

import logging
from collections.abc import Callable

import anyio

from samphirehall.authority.endpoint_counts import EndpointCountOrders
from samphirehall.authority.engine_orders import EngineOrders
from samphirehall.authority.lease import engines_scope
from samphirehall.authority.leases import Leases
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.types import EndpointInfo, EndpointKind
from samphirehall.endpoints.orders import fetch_report, send_order
from samphirehall.endpoints.protocol import (
    EngineAction,
    EngineOrder,
    EngineOrderAnswer,
    EngineReport,
)
from samphirehall.node.context import ControlContext

CHECK_INTERVAL_SECONDS = 1.0

_log = logging.getLogger(__name__)


class Orders:
    """Journals orders under the leases of this process and carries out open ones.

    Parameters
    ----------
    leases : Leases
        Lease grants of this process.
    engines : EngineOrders
        Orders to the engines of this host's zone.
    counts : EndpointCountOrders
        Orders for numbers of endpoints, of all zones.
    """

    def __init__(self, leases: Leases, engines: EngineOrders, counts: EndpointCountOrders) -> None:
        self._leases = leases
        self._engines = engines
        self._counts = counts
        self._order_submitted = anyio.Event()
        self.open_engine_orders = 0
        self.open_count_orders = 0

    def holds_zone_lease(self, zone: str, *, now: float) -> bool:
        """Return whether this process holds the lease for the engines of a zone."""
        return self._leases.holds(engines_scope(zone), now=now)

    async def submit_engine_order(
        self, endpoint: EndpointInfo, action: EngineAction, argument: str, *, now: float
    ) -> None:
        """Journal an order to an engine; see `EngineOrders.submit`."""
        await self._engines.submit(endpoint, action, argument, now=now)
        self._wake_run()

    async def submit_endpoint_count(
        self, zone: str, kind: EndpointKind, count: int, *, now: float
    ) -> None:
        """Journal an order for endpoints; see `EndpointCountOrders.submit`."""
        await self._counts.submit(zone, kind, count, now=now)
        self._wake_run()

    async def run(self) -> None:
        """Advance open orders periodically, and after each submission, until cancelled."""
        while True:
            order_submitted = self._order_submitted
            try:
                self.open_engine_orders = await self._engines.advance_orders(now=boot_seconds())
                self.open_count_orders = await self._counts.send_open_orders(now=boot_seconds())
            except PlatformUnavailableError as error:
                _log.warning("platform-unavailable", extra={"reason": str(error)})
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await order_submitted.wait()

    def _wake_run(self) -> None:
        event, self._order_submitted = self._order_submitted, anyio.Event()
        event.set()


async def run_orders(context: ControlContext) -> None:
    """Run the orders of this host's scopes until cancelled."""
    leases = await context.obtain(Leases)
    delivery_limit = context.settings.lease.delivery_limit_seconds
    state = context.state

    async def send_engine_order(
        address: str, order: EngineOrder, recheck: Callable[[], None]
    ) -> EngineOrderAnswer:
        return await send_order(address, order, recheck=recheck, timeout=delivery_limit)

    async def request_report(address: str) -> EngineReport | None:
        return await fetch_report(address, timeout=delivery_limit)

    engines = EngineOrders(
        state.zone,
        leases,
        context.platform,
        endpoints=lambda: state.endpoints,
        send_order=send_engine_order,
        request_report=request_report,
        delivery_limit=delivery_limit,
    )
    counts = EndpointCountOrders(
        leases, context.platform, send_order=context.platform.order_endpoints
    )
    orders = Orders(leases, engines, counts)
    context.provide(orders)
    context.add_status_section(
        "orders",
        lambda: {"engine": orders.open_engine_orders, "endpoints": orders.open_count_orders},
    )
    await orders.run()
