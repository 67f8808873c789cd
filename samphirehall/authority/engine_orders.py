"""Orders to the engines of one availability zone, given by the holder of its lease."""

import enum
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import anyio

from samphirehall.authority.journal import JournaledOrder, OrderJournal, OrderPendingError
from samphirehall.authority.lease import LeaseLostError, Right, engines_scope
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

GONE_AFTER_SECONDS = 10.0

_log = logging.getLogger(__name__)

SendOrder = Callable[[str, EngineOrder, Callable[[], None]], Awaitable[EngineOrderAnswer]]
AskReport = Callable[[str], Awaitable[EngineReport | None]]


@dataclass(slots=True, frozen=True)
class EngineOrderRow:
    """An order to an engine as the journal keeps it.

    Parameters
    ----------
    order_id : str
        Idempotency key.
    subject : str
        Engine that gets the order.
    action, argument : str
        What to do; see `EngineOrder`.
    fencing : int
        Fencing number under which the order was journaled.
    """

    order_id: str
    subject: str
    action: EngineAction
    argument: str
    fencing: int


class OrderStep(enum.StrEnum):
    """What to do next about an open order."""

    SEND = "send"
    WAIT = "wait"
    SETTLE = "settle"
    STALE = "stale"


@dataclass(slots=True, frozen=True)
class OrderDecision:
    """Next step of an open order, and why."""

    step: OrderStep
    reason: str


def decide_step(
    order: EngineOrderRow,
    endpoint: EndpointInfo | None,
    report: EngineReport | None,
    *,
    fencing: int,
    missing_for: float = 0.0,
) -> OrderDecision:
    """Decide what to do about an open order.

    Parameters
    ----------
    order : EngineOrderRow
        The order.
    endpoint : EndpointInfo or None
        The engine as the platform lists it; None if it does not.
    report : EngineReport or None
        What the engine says; None without an answer.
    fencing : int
        Fencing number of this process.
    missing_for : float
        Seconds since the platform stopped listing the engine.
    """
    if endpoint is None and missing_for < GONE_AFTER_SECONDS:
        return OrderDecision(OrderStep.WAIT, "the endpoint is not listed")
    if endpoint is None or endpoint.state in (EndpointState.GONE, EndpointState.OFF):
        return OrderDecision(OrderStep.SETTLE, "the endpoint is gone")
    if report is None:
        return OrderDecision(OrderStep.SEND, "the endpoint gives no report")
    if report.fencing > fencing:
        reason = f"the endpoint knows fencing number {report.fencing}"
        return OrderDecision(OrderStep.STALE, reason)
    if report.order_id != order.order_id:
        return OrderDecision(OrderStep.SEND, "the endpoint has not taken it")
    if report.changing or not _is_reached(order, report):
        return OrderDecision(OrderStep.WAIT, "the endpoint carries it out")
    return OrderDecision(OrderStep.SETTLE, "the endpoint reports the target state")


def _is_reached(order: EngineOrderRow, report: EngineReport) -> bool:
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
    """Gives orders to the engines of one zone and carries open ones to their end.

    Parameters
    ----------
    zone : str
        Availability zone.
    leases : Leases
        Rights of this process.
    table : Table
        Where the journal is kept.
    endpoints : callable
        Endpoints that the platform lists, by name.
    send, ask : callable
        Send an order to an address; ask an address for its report.
    delivery_limit : float
        Seconds after which a copy of an order without an answer is gone.
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
        send: SendOrder,
        ask: AskReport,
        delivery_limit: float,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self._scope = engines_scope(zone)
        self._leases = leases
        self._journal = OrderJournal(table, self._scope, EngineOrderRow)
        self._endpoints = endpoints
        self._send_order = send
        self._ask = ask
        self._delivery_limit = delivery_limit
        self._clock = clock
        self._quiet_until: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}

    @property
    def scope(self) -> str:
        """Scope of the lease."""
        return self._scope

    async def submit(
        self, endpoint: EndpointInfo, action: EngineAction, argument: str, *, now: float
    ) -> None:
        """Journal an order; it is sent and resent until the endpoint reports the target state.

        Submitting what is open already does nothing.

        Parameters
        ----------
        endpoint : EndpointInfo
            Engine of this zone.
        action, argument : str
            What to do; see `EngineOrder`.
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            This process does not hold the zone's lease.
        OrderPendingError
            An earlier order to the endpoint is not settled.
        PlatformUnavailableError
            The store did not answer; the order may still be journaled.
        """
        right = self._leases.right(self._scope, now=now)
        quiet = self._quiet_until.get(endpoint.endpoint_id, 0.0) - now
        if quiet > 0:
            reason = f"a copy of the last order may be on its way for {quiet:.1f} s"
            raise OrderPendingError(endpoint.endpoint_id, reason)
        held = await self._journal.open_order(endpoint.endpoint_id)
        if held is not None and (held.order.action, held.order.argument) == (action, argument):
            return
        order = EngineOrderRow(
            new_identifier("ord"), endpoint.endpoint_id, action, argument, right.fencing
        )
        await self._journal.append(right, order)
        self._log("order-journaled", "placement decided", order)

    async def open_orders(self) -> list[JournaledOrder[EngineOrderRow]]:
        """Return the orders of the zone that are not settled."""
        return await self._journal.open_orders()

    async def carry_out(self, *, now: float) -> int:
        """Take every open order one step further; return how many there are.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        if not self._leases.holds(self._scope, now=now):
            return 0
        right = self._leases.right(self._scope, now=now)
        orders = await self.open_orders()
        async with anyio.create_task_group() as group:
            for journaled in orders:
                group.start_soon(self.carry_out_one, right, journaled)
        return len(orders)

    async def carry_out_one(self, right: Right, journaled: JournaledOrder[EngineOrderRow]) -> None:
        """Take one open order one step further."""
        order = journaled.order
        endpoint = self._endpoints().get(order.subject)
        missing_for = self._note_listed(order.subject, endpoint is not None)
        report = None if endpoint is None else await self._ask(endpoint.address)
        decision = decide_step(
            order, endpoint, report, fencing=right.fencing, missing_for=missing_for
        )
        match decision.step:
            case OrderStep.SETTLE:
                await self._settle(right, journaled, decision.reason)
            case OrderStep.SEND if endpoint is not None:
                await self._send(right, journaled, endpoint, decision.reason)
            case OrderStep.STALE:
                self._log("order-held-back", decision.reason, order)

    def _note_listed(self, endpoint_id: str, listed: bool) -> float:
        """Return for how long the platform has not listed an engine, in seconds."""
        if listed:
            self._missing_since.pop(endpoint_id, None)
            return 0.0
        now = self._clock()
        return now - self._missing_since.setdefault(endpoint_id, now)

    async def _send(
        self,
        right: Right,
        journaled: JournaledOrder[EngineOrderRow],
        endpoint: EndpointInfo,
        reason: str,
    ) -> None:
        order = journaled.order
        sent = EngineOrder(order.order_id, right.fencing, order.action, order.argument)
        recheck = self._leases.recheck(right, clock=self._clock)
        self._log("order-send", reason, order)
        try:
            answer = await self._send_order(endpoint.address, sent, recheck)
        except OrderUnansweredError as error:
            self._quiet_until[order.subject] = self._clock() + self._delivery_limit
            self._log("order-unanswered", str(error), order)
            return
        except LeaseLostError as error:
            self._log("order-held-back", error.detail, order)
            return
        if not answer.accepted:
            await self._settle(right, journaled, f"refused: {answer.reason}")

    async def _settle(
        self, right: Right, journaled: JournaledOrder[EngineOrderRow], reason: str
    ) -> None:
        try:
            settled = await self._journal.settle(right, journaled)
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
