"""The order journal over a table with delayed writes and lost answers."""

from dataclasses import dataclass

import pytest

from samphirehall.authority.journal import JournaledOrder, OrderJournal, OrderPendingError
from samphirehall.authority.lease import LeaseGrant, LeaseLostError, lease_key
from samphirehall.backing.table import ABSENT, Check, Write
from samphirehall.core.errors import PlatformUnavailableError
from tests.support.steps import SteppedTable, SteppedTask
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio


GRANT = LeaseGrant("s", "me", 1, 5.0, version=1)


@dataclass(slots=True, frozen=True)
class Order:
    order_id: str
    subject: str = "engine-1"


async def new_journal():
    table = FaultyTable()
    await table.transact([Check(lease_key("s"), ABSENT)], [Write(lease_key("s"), "me")])
    return table, OrderJournal(table, "s", Order), GRANT


class TestAppend:
    async def test_open_order_blocks_the_next(self):
        _, journal, grant = await new_journal()
        await journal.append(grant, Order("a"))
        with pytest.raises(OrderPendingError, match="order a"):
            await journal.append(grant, Order("b"))

    async def test_former_holder_cannot_journal(self):
        table, journal, grant = await new_journal()
        await table.transact([], [Write(lease_key("s"), "other")])
        with pytest.raises(LeaseLostError):
            await journal.append(grant, Order("a"))
        assert await journal.open_orders() == []

    def test_lost_answer_is_resolved_by_reading(self):
        table = SteppedTable()
        table.store.transact([], [Write(lease_key("s"), "me")])
        append = SteppedTask(OrderJournal(table, "s", Order).append(GRANT, Order("a")), table)
        append.answer()
        append.take_effect()
        append.lose(late=False)
        append.run()
        assert table.value("orders/open/s/engine-1")["order"]["order_id"] == "a"

    def test_delayed_append_has_no_effect_after_a_newer_order(self):
        table = SteppedTable()
        table.store.transact([], [Write(lease_key("s"), "me")])
        journal = OrderJournal(table, "s", Order)
        delayed_append = SteppedTask(journal.append(GRANT, Order("a")), table)
        delayed_append.answer()
        delayed_append.lose(late=True)
        with pytest.raises(PlatformUnavailableError):
            delayed_append.run()
        SteppedTask(journal.append(GRANT, Order("b")), table).run()
        assert SteppedTask(journal.settle(GRANT, JournaledOrder(Order("b"), 1)), table).run()
        table.apply_late(0)
        assert SteppedTask(journal.open_orders(), table).run() == []


class TestSettle:
    async def test_delayed_settlement_keeps_a_newer_order(self):
        table, journal, grant = await new_journal()
        await journal.append(grant, Order("a"))
        journaled = (await journal.open_orders())[0]
        table.faults = TableFaults(late=1.0)
        with pytest.raises(PlatformUnavailableError):
            await journal.settle(grant, journaled)
        table.faults = TableFaults()
        assert await journal.settle(grant, journaled)
        await journal.append(grant, Order("b"))
        table.settle()
        assert [item.order.order_id for item in await journal.open_orders()] == ["b"]

    async def test_former_holder_cannot_settle(self):
        table, journal, grant = await new_journal()
        await journal.append(grant, Order("a"))
        journaled = (await journal.open_orders())[0]
        await table.transact([], [Write(lease_key("s"), "other")])
        assert not await journal.settle(grant, journaled)
        assert await journal.open_orders() == [journaled]
