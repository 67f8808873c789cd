"""Orders to the engines of one availability zone, sent by the holder of its lease."""

import enum
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import anyio

from samphirehall.authority.journal import JournaledOrder, OrderJournal, OrderPendingError
from samphirehall.authority.lease import LeaseGrant, LeaseLostError, engines_scope
from samphirehall.authority.leases import Leases
from samphirehall.backing.table import Table
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.identifiers import new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.types import EndpointInfo, EndpointState
from samphirehall.endpoints.orders import OrderUnansweredError
from samphirehall.endpoints.protocol import (
    EngineAction,
    EngineOrder,
    EngineOrderAnswer,
    EngineReport,
)

UNLISTED_TIMEOUT_SECONDS = 10.0  # an engine that stays unlisted this long counts as gone

_log = logging.getLogger(__name__)

SendOrder = Callable[[str, EngineOrder, Callable[[], None]], Awaitable[EngineOrderAnswer]]
RequestReport = Callable[[str], Awaitable[EngineReport | None]]


@dataclass(slots=True, frozen=True)
class EngineOrderRow:
    """Journal entry of an order to an engine.

    Parameters
    ----------
    order_id : str
        Idempotency key.
    subject : str
        Identifier of the engine that receives the order.
    action, argument : str
        Requested change; see `EngineOrder`.
    fencing : int
        Fencing number under which the order was journaled.
    """

    order_id: str
    subject: str
    action: EngineAction
    argument: str
    fencing: int


class OrderStep(enum.StrEnum):
    """Next step of an open order.

    ``STALE`` means that the engine has seen a newer fencing number.
    """

    SEND = "send"
    WAIT = "wait"
    SETTLE = "settle"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class OrderDecision:
    """Next step of an open order, and the reason."""

    step: OrderStep
    reason: str


def decide_step(
    order: EngineOrderRow,
    endpoint: EndpointInfo | None,
    report: EngineReport | None,
    *,
    fencing: int,
    unlisted_for: float = 0.0,
) -> OrderDecision:
    """Decide the next step of an open order.

    Parameters
    ----------
    order : EngineOrderRow
        Journal entry of the order.
    endpoint : EndpointInfo or None
        Engine as listed by the platform; None if it is not listed.
    report : EngineReport or None
        Report of the engine; None if it did not answer.
    fencing : int
        Fencing number of this process.
    unlisted_for : float
        Seconds since the platform stopped listing the engine.
    """
    if endpoint is None and unlisted_for < UNLISTED_TIMEOUT_SECONDS:
        return OrderDecision(OrderStep.WAIT, "the platform does not list the endpoint")
    if endpoint is None or endpoint.state in (EndpointState.GONE, EndpointState.OFF):
        return OrderDecision(OrderStep.SETTLE, "the endpoint is gone")
    if report is None:
        return OrderDecision(OrderStep.SEND, "the endpoint did not answer the report request")
    if report.fencing > fencing:
        reason = f"the endpoint has seen fencing number {report.fencing}, newer than {fencing}"
        return OrderDecision(OrderStep.STALE, reason)
    if report.order_id != order.order_id:
        return OrderDecision(OrderStep.SEND, "the endpoint has not accepted this order yet")
    if report.changing or not _target_reached(order, report):
        return OrderDecision(OrderStep.WAIT, "the endpoint is carrying out the order")
    return OrderDecision(OrderStep.SETTLE, "the endpoint reports the target state")


def _target_reached(order: EngineOrderRow, report: EngineReport) -> bool:
    match order.action:
        case "set-role":
            return report.role == order.argument
        case "load-model":
            return order.argument in report.models
        case "unload-model":
            return order.argument not in report.models
        case "drain":
            return report.leaving


class EngineOrders:
    """Journals orders to the engines of one zone and resends them until they are settled.

    Parameters
    ----------
    zone : str
        Availability zone.
    leases : Leases
        Lease grants of this process.
    table : Table
        Table that stores the journal.
    endpoints : callable
        Returns the endpoints that the platform lists, by identifier.
    send_order, request_report : callable
        Functions that send an order to an address and request a report from it.
    delivery_limit : float
        Seconds after which an unanswered order can no longer reach the engine.
    clock : callable
        Boot clock in seconds.
    """

    def __init__(
        self,
        zone: str,
        leases: Leases,
        table: Table,
        *,
        endpoints: Callable[[], Mapping[str, EndpointInfo]],
        send_order: SendOrder,
        request_report: RequestReport,
        delivery_limit: float,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self._scope = engines_scope(zone)
        self._leases = leases
        self._journal = OrderJournal(table, self._scope, EngineOrderRow)
        self._endpoints = endpoints
        self._send_order = send_order
        self._request_report = request_report
        self._delivery_limit = delivery_limit
        self._clock = clock
        self._in_flight_until: dict[str, float] = {}
        self._unlisted_since: dict[str, float] = {}

    @property
    def scope(self) -> str:
        """Scope of the zone's lease."""
        return self._scope

    async def submit(
        self, endpoint: EndpointInfo, action: EngineAction, argument: str, *, now: float
    ) -> None:
        """Journal an order; it is resent until the endpoint reports the target state.

        Does nothing if the same order is already open.

        Parameters
        ----------
        endpoint : EndpointInfo
            Engine of this zone.
        action, argument : str
            Requested change; see `EngineOrder`.
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            This process does not hold the zone's lease.
        OrderPendingError
            An earlier order to the endpoint is open, or may still be in flight.
        PlatformUnavailableError
            The store did not answer; the order may still be journaled.
        """
        grant = self._leases.grant(self._scope, now=now)
        remaining = self._in_flight_until.get(endpoint.endpoint_id, 0.0) - now
        if remaining > 0:
            reason = f"the last order was not answered and may still arrive for {remaining:.1f} s"
            raise OrderPendingError(endpoint.endpoint_id, reason)
        open_order = await self._journal.open_order(endpoint.endpoint_id)
        if open_order is not None and (open_order.order.action, open_order.order.argument) == (
            action,
            argument,
        ):
            return
        order = EngineOrderRow(
            new_identifier("ord"), endpoint.endpoint_id, action, argument, grant.fencing
        )
        await self._journal.append(grant, order)
        self._log("order-journaled", "placement decided", order)

    async def open_orders(self) -> list[JournaledOrder[EngineOrderRow]]:
        """Return the open orders of the zone."""
        return await self._journal.open_orders()

    async def advance_orders(self, *, now: float) -> int:
        """Advance every open order by one step and return how many are open.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        if not self._leases.holds(self._scope, now=now):
            return 0
        grant = self._leases.grant(self._scope, now=now)
        orders = await self.open_orders()
        async with anyio.create_task_group() as group:
            for journaled in orders:
                group.start_soon(self.advance_order, grant, journaled)
        return len(orders)

    async def advance_order(
        self, grant: LeaseGrant, journaled: JournaledOrder[EngineOrderRow]
    ) -> None:
        """Advance one open order by one step."""
        order = journaled.order
        endpoint = self._endpoints().get(order.subject)
        unlisted_for = self._record_listed(order.subject, endpoint is not None)
        report = None if endpoint is None else await self._request_report(endpoint.address)
        decision = decide_step(
            order, endpoint, report, fencing=grant.fencing, unlisted_for=unlisted_for
        )
        match decision.step:
            case OrderStep.SETTLE:
                await self._settle(grant, journaled, decision.reason)
            case OrderStep.SEND if endpoint is not None:
                await self._send(grant, journaled, endpoint, decision.reason)
            case OrderStep.STALE:
                self._log("order-held-back", decision.reason, order)

    def _record_listed(self, endpoint_id: str, listed: bool) -> float:
        """Record whether an engine is listed; return the seconds for which it has not been."""
        if listed:
            self._unlisted_since.pop(endpoint_id, None)
            return 0.0
        now = self._clock()
        return now - self._unlisted_since.setdefault(endpoint_id, now)

    async def _send(
        self,
        grant: LeaseGrant,
        journaled: JournaledOrder[EngineOrderRow],
        endpoint: EndpointInfo,
        reason: str,
    ) -> None:
        order = journaled.order
        engine_order = EngineOrder(order.order_id, grant.fencing, order.action, order.argument)
        recheck = self._leases.recheck(grant, clock=self._clock)
        self._log("order-send", reason, order)
        try:
            answer = await self._send_order(endpoint.address, engine_order, recheck)
        except OrderUnansweredError as error:
            self._in_flight_until[order.subject] = self._clock() + self._delivery_limit
            self._log("order-unanswered", str(error), order)
            return
        except LeaseLostError as error:
            self._log("order-held-back", error.detail, order)
            return
        if not answer.accepted:
            await self._settle(grant, journaled, f"refused: {answer.reason}")

    async def _settle(
        self, grant: LeaseGrant, journaled: JournaledOrder[EngineOrderRow], reason: str
    ) -> None:
        try:
            settled = await self._journal.settle(grant, journaled)
        except PlatformUnavailableError:
            return
        if settled:
            self._log("order-settled", reason, journaled.order)

    def _log(self, event: str, reason: str, order: EngineOrderRow) -> None:
        log_decision(
            _log,
            event,
            reason,
            order=order.order_id,
            endpoint=order.subject,
            action=order.action,
            argument=order.argument,
        )
