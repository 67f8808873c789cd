"""Quarantine of parts of prompts across the end of all hosts."""

import anyio
import pytest
from hypothesis import given

from samphirehall.backing.table import Write
from samphirehall.gateway.quarantine_store import PREFIX, QuarantineStore
from samphirehall.routing.part_quarantine import MIN_SCORE, PartQuarantine
from tests.support import odd_bytes
from tests.support.odd_rows import leave, odd_values
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio


class Hub:
    def __init__(self, table, *, now):
        self.now = now
        self.is_hub = True
        self.quarantine = PartQuarantine()
        self.store = QuarantineStore(
            table,
            self.quarantine,
            lambda: self.is_hub,
            clock=lambda: self.now,
            agreed_time=lambda: 1e9 + self.now,
        )

    def crash(self):
        for number in range(MIN_SCORE):
            self.quarantine.record_crash(f"e{number}", ["deadly"], at=self.now, now=self.now)
            self.now += 1.0

    @property
    def blocked(self):
        return self.quarantine.blocked(["deadly", "x"], now=self.now)


class TestRestart:
    async def test_deadly_part_is_refused_after_all_hosts_started_anew(self):
        table = FaultyTable()
        hub = Hub(table, now=10.0)
        hub.crash()
        assert hub.blocked
        await hub.store.step()
        await hub.store.step()
        started = Hub(table, now=15.0)
        await started.store.step()
        assert started.blocked == {"deadly"}

    async def test_row_goes_when_the_quarantine_ends(self):
        table = FaultyTable()
        hub = Hub(table, now=10.0)
        hub.crash()
        assert hub.blocked
        await hub.store.step()
        hub.quarantine.record_completion(["deadly"], now=hub.now)
        await hub.store.step()
        assert await table.scan(PREFIX) == []

    async def test_host_that_is_no_hub_does_not_call_the_store(self):
        table = FaultyTable()
        hub = Hub(table, now=10.0)
        hub.is_hub = False
        await hub.store.step()
        assert table.operations == 0

    async def test_row_that_cannot_be_read_is_left_out(self):
        table = FaultyTable()
        await table.transact([], [Write(f"{PREFIX}1", "?"), Write(f"{PREFIX}2", {"parts": ["y"]})])
        hub = Hub(table, now=10.0)
        await hub.store.step()
        assert hub.blocked is None

    async def test_unavailable_store_is_tried_again(self):
        table = FaultyTable()
        hub = Hub(table, now=10.0)
        hub.crash()
        assert hub.blocked
        table.faults = TableFaults(outage=True)
        await hub.store.step()
        table.faults = TableFaults()
        await hub.store.step()
        assert len(await table.scan(PREFIX)) == 1


class TestRestoredStore:
    async def test_quarantine_lost_with_the_rows_of_a_restored_store_is_written_again(self):
        table = FaultyTable()
        copy = table.store.copy()
        hub = Hub(table, now=10.0)
        hub.crash()
        assert hub.blocked
        await hub.store.step()
        table.store.restore(copy)
        await hub.store.step()
        started = Hub(table, now=15.0)
        await started.store.step()
        assert started.blocked == {"deadly"}

    async def test_quarantine_that_ended_before_the_restoration_does_not_come_back(self):
        table = FaultyTable()
        hub = Hub(table, now=10.0)
        hub.crash()
        assert hub.blocked
        await hub.store.step()
        copy = table.store.copy()
        hub.quarantine.record_completion(["deadly"], now=hub.now)
        await hub.store.step()
        table.store.restore(copy)
        await hub.store.step()
        assert hub.blocked is None
        assert await table.scan(PREFIX) == []


class TestOddRows:
    @odd_values
    async def test_odd_row_leaves_the_others(self, value):
        table = FaultyTable()
        leave(table, PREFIX + "a", value)
        good = {"parts": ["deadly"], "last_crash": 1e9}
        table.store.transact([], [Write(PREFIX + "b", good)])
        hub = Hub(table, now=10.0)
        await hub.store.step()
        assert hub.quarantine.blocked_count == 1 and hub.blocked

    @given(odd_bytes.json_values)
    def test_any_value_leaves_the_hub_running(self, value):
        async def play():
            table = FaultyTable()
            leave(table, PREFIX + "a", value)
            hub = Hub(table, now=10.0)
            await hub.store.step()
            await hub.store.step()

        anyio.run(play)
