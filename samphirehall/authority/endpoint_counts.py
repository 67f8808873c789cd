"""Orders for numbers of endpoints.

The holder of a zone's lease journals them; the holder of the platform lease sends
them to the platform.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from samphirehall.authority.journal import JournaledOrder, OrderJournal
from samphirehall.authority.lease import PLATFORM_SCOPE, LeaseGrant, LeaseLostError, engines_scope
from samphirehall.authority.leases import Leases
from samphirehall.backing.client import EndpointOrder, OrderAnswer
from samphirehall.backing.table import Table
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.identifiers import new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.types import EndpointKind

JOURNAL_NAME = "endpoints"

_log = logging.getLogger(__name__)


class SendEndpointOrder(Protocol):
    """Sends an order to the platform; see `Platform.order_endpoints`."""

    def __call__(
        self, order: EndpointOrder, *, recheck: Callable[[], None] | None = None
    ) -> Awaitable[OrderAnswer]:
        """Send the order and return the platform's answer."""


@dataclass(slots=True, frozen=True)
class EndpointCountRow:
    """Journal entry of an order for a number of endpoints.

    Parameters
    ----------
    order_id : str
        Idempotency key.
    subject : str
        Zone and kind, separated by a slash; one open order for each.
    zone : str
        Availability zone.
    kind : EndpointKind
        Standard or cheap.
    count : int
        Total number of endpoints wanted, existing ones included.
    fencing : int
        Fencing number of the zone's lease under which the order was journaled.
    """

    order_id: str
    subject: str
    zone: str
    kind: EndpointKind
    count: int
    fencing: int


class EndpointCountOrders:
    """Journals orders for endpoints of a zone and sends those of all zones.

    Parameters
    ----------
    leases : Leases
        Lease grants of this process.
    table : Table
        Table that stores the journal.
    send_order : callable
        Sends an order to the platform.
    clock : callable
        Boot clock in seconds.
    """

    def __init__(
        self,
        leases: Leases,
        table: Table,
        *,
        send_order: SendEndpointOrder,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self._leases = leases
        self._journal = OrderJournal(table, JOURNAL_NAME, EndpointCountRow)
        self._send_order = send_order
        self._clock = clock

    async def submit(self, zone: str, kind: EndpointKind, count: int, *, now: float) -> None:
        """Journal an order for endpoints of a zone; the holder of the platform lease sends it.

        Parameters
        ----------
        zone : str
            Availability zone whose lease this process holds.
        kind : EndpointKind
            Standard or cheap.
        count : int
            Total number of endpoints wanted, existing ones included.
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            This process does not hold the zone's lease.
        OrderPendingError
            The platform has not accepted the earlier order of this zone and kind yet.
        PlatformUnavailableError
            The store did not answer; the order may still be journaled.
        """
        grant = self._leases.grant(engines_scope(zone), now=now)
        subject = f"{zone}/{kind}"
        open_order = await self._journal.open_order(subject)
        if open_order is not None and open_order.order.count == count:
            return
        order = EndpointCountRow(new_identifier("ord"), subject, zone, kind, count, grant.fencing)
        await self._journal.append(grant, order)
        self._log("endpoint-order-journaled", "placement decided", order)

    async def send_open_orders(self, *, now: float) -> int:
        """Send every open order to the platform and return how many are open.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        if not self._leases.holds(PLATFORM_SCOPE, now=now):
            return 0
        grant = self._leases.grant(PLATFORM_SCOPE, now=now)
        orders = await self._journal.open_orders()
        for journaled in orders:
            await self._send_open_order(grant, journaled)
        return len(orders)

    async def _send_open_order(
        self, grant: LeaseGrant, journaled: JournaledOrder[EndpointCountRow]
    ) -> None:
        row = journaled.order
        order = EndpointOrder(
            row.order_id, grant.fencing, grant.holder, row.zone, row.kind, row.count
        )
        recheck = self._leases.recheck(grant, clock=self._clock)
        try:
            answer = await self._send_order(order, recheck=recheck)
        except PlatformUnavailableError as error:
            self._log("endpoint-order-unanswered", str(error), row)
            return
        except LeaseLostError as error:
            self._log("endpoint-order-held-back", error.detail, row)
            return
        if not answer.accepted:
            self._log("endpoint-order-refused", answer.reason, row)
            return
        if await self._journal.settle(grant, journaled):
            self._log("endpoint-order-settled", "the platform accepted the order", row)

    def _log(self, event: str, reason: str, order: EndpointCountRow) -> None:
        log_decision(
            _log,
            event,
            reason,
            order=order.order_id,
            zone=order.zone,
            kind=order.kind,
            count=order.count,
        )
