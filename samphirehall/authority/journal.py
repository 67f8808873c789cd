"""Journal of orders in the platform's table.

An order is journaled in one transaction that also checks the lease row. Each
subject has at most one open order; the next is refused until that one is settled.
The ``last`` row of a subject is never deleted and its version is the sequence
number of the order, so that a delayed write for an earlier order has no effect.
"""

from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from samphirehall.authority.lease import LeaseGrant, LeaseLostError
from samphirehall.backing.table import ABSENT, Check, Row, Table, Write, readable_rows
from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.results import ORDER_PENDING

MAX_OPEN_ORDERS = 10_000


class OrderRow(Protocol):
    """Interface of a journaled order: a dataclass of JSON values."""

    @property
    def order_id(self) -> str:
        """Idempotency key of the order."""

    @property
    def subject(self) -> str:
        """Object that the order changes; it has at most one open order."""


OrderT = TypeVar("OrderT", bound=OrderRow)


class _StoredOrder(msgspec.Struct):
    """Value of a row; the order is decoded by its own type."""

    order: Any
    sequence: Unsigned


class OrderPendingError(SamphireError):
    """An earlier order for the same subject is not settled yet.

    Parameters
    ----------
    subject : str
        Object that the order changes.
    reason : str
        Why the order cannot be journaled yet.
    """

    def __init__(self, subject: str, reason: str) -> None:
        super().__init__(ORDER_PENDING, f"{subject}: {reason}", retry_after=1.0)
        self.subject = subject


@dataclass(slots=True, frozen=True)
class JournaledOrder(Generic[OrderT]):
    """Order in the journal, with its sequence number.

    Parameters
    ----------
    order : object
        Content of the order.
    sequence : int
        Sequence number of the order among those of its subject, starting at 1.
    """

    order: OrderT
    sequence: int


class OrderJournal(Generic[OrderT]):
    """Journal of the orders of one type.

    Parameters
    ----------
    table : Table
        Table that stores the journal.
    name : str
        Name of the journal, such as ``"engines/prairie-1"``.
    order_type : type
        Dataclass of the orders.
    """

    def __init__(self, table: Table, name: str, order_type: type[OrderT]) -> None:
        self._table = table
        self._name = name
        self._order_type = order_type

    async def open_order(self, subject: str) -> JournaledOrder[OrderT] | None:
        """Return the open order for a subject, or None."""
        key = self._open_key(subject)
        row = (await self._table.read([key])).get(key)
        return None if row is None else self._decode(row)

    async def open_orders(self) -> list[JournaledOrder[OrderT]]:
        """Return the open orders of all subjects."""
        rows = await self._table.scan(self._open_key(""), limit=MAX_OPEN_ORDERS)
        return [order for _, order in readable_rows(rows, self._decode_value)]

    async def append(self, grant: LeaseGrant, order: OrderT) -> None:
        """Journal an order under a grant.

        Raises
        ------
        LeaseLostError
            Another process has taken the lease over.
        OrderPendingError
            An earlier order for the subject is open.
        PlatformUnavailableError
            The outcome is unknown; the order may still be journaled.
        """
        open_key, last_key = self._open_key(order.subject), self._last_key(order.subject)
        rows = await self._table.read([open_key, last_key])
        if open_key in rows:
            open_order = self._decode(rows[open_key]).order
            raise OrderPendingError(order.subject, f"order {open_order.order_id} is not settled")
        version = rows[last_key].version if last_key in rows else ABSENT
        value = msgspec.to_builtins(JournaledOrder(order, version + 1))
        checks = [grant.lease_check, Check(open_key, ABSENT), Check(last_key, version)]
        writes = [Write(open_key, value), Write(last_key, value)]
        try:
            result = await self._table.transact(checks, writes)
        except PlatformUnavailableError:
            if await self._is_last_order(order):
                return
            raise
        if not result.committed:
            _raise_conflict(grant, order, result.conflicts)

    async def settle(self, grant: LeaseGrant, journaled: JournaledOrder[OrderT]) -> bool:
        """Close an open order under a grant; return whether that took effect.

        A lost answer needs no handling: an order that is still open is settled again at
        the next pass over the open orders.
        """
        subject = journaled.order.subject
        checks = [grant.lease_check, Check(self._last_key(subject), journaled.sequence)]
        result = await self._table.transact(checks, [Write(self._open_key(subject), None)])
        return result.committed

    async def _is_last_order(self, order: OrderT) -> bool:
        last_key = self._last_key(order.subject)
        row = (await self._table.read([last_key])).get(last_key)
        return row is not None and self._decode(row).order.order_id == order.order_id

    def _open_key(self, subject: str) -> str:
        return f"orders/open/{self._name}/{subject}"

    def _last_key(self, subject: str) -> str:
        return f"orders/last/{self._name}/{subject}"

    def _decode(self, row: Row) -> JournaledOrder[OrderT]:
        """Decode an order.

        Raises
        ------
        PlatformUnavailableError
            The row holds no order.
        """
        try:
            return self._decode_value(row.value)
        except DecodingError as error:
            raise PlatformUnavailableError(f"row {row.key!r}: {error}") from error

    def _decode_value(self, value: Any) -> JournaledOrder[OrderT]:
        stored = convert(value, _StoredOrder)
        return JournaledOrder(convert(stored.order, self._order_type), stored.sequence)


def _raise_conflict(grant: LeaseGrant, order: OrderRow, conflicts: tuple[Row, ...]) -> None:
    if any(row.key == grant.lease_check.key for row in conflicts):
        raise LeaseLostError(grant.scope, "another process has taken the lease over")
    raise OrderPendingError(order.subject, "another order was journaled first")
