"""Entries of hosts and hubs in the store."""

import pytest

from samphirehall.backing.table import Write
from samphirehall.gateway.host_directory import HOST_PREFIX, HUB_PREFIX, HostDirectory
from tests.support.odd_rows import ODD_VALUES, leave
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio


def directory(table, host):
    return HostDirectory(table, host, "a", f"10.0.0.{host[-1]}:7000")


class TestRestoredStore:
    async def test_host_whose_entry_the_restored_store_lacks_is_registered_by_its_hub(self):
        table = FaultyTable()
        hub = directory(table, "host-1")
        await hub.load()
        copy = table.store.copy()
        await directory(table, "host-2").load()
        table.store.restore(copy)
        live = {"host-1": "10.0.0.1:7000", "host-2": "10.0.0.2:7000"}
        assert await hub.refresh_as_hub(live)
        started = directory(table, "host-3")
        await started.load()
        assert set(started.hosts) == {"host-1", "host-2"}

    async def test_listed_hosts_are_not_written_again(self):
        table = FaultyTable()
        hub = directory(table, "host-1")
        await hub.load()
        before = table.store.read([f"{HOST_PREFIX}a/host-1"])
        await hub.refresh_as_hub({"host-1": "10.0.0.1:7000"})
        assert table.store.read([f"{HOST_PREFIX}a/host-1"]) == before

    async def test_unavailable_store_is_reported(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        assert not await directory(table, "host-1").refresh_as_hub({})


class TestOddEntries:
    @pytest.mark.parametrize(
        "value",
        [*ODD_VALUES, "10.0.0.9:0", "10.0.0.9:" + "1" * 5_000, "host:80", ["h", "10.0.0.9:²"]],
        ids=lambda value: str(value)[:40],
    )
    async def test_odd_entry_leaves_the_others(self, value):
        table = FaultyTable()
        leave(table, f"{HOST_PREFIX}a/host-2", value)
        leave(table, f"{HUB_PREFIX}b", value)
        table.store.transact(
            [],
            [
                Write(f"{HOST_PREFIX}a/host-3", "10.0.0.3:7000"),
                Write(f"{HUB_PREFIX}c", ["host-4", "10.0.0.4:7000"]),
            ],
        )
        directory = HostDirectory(table, "host-1", "a", "10.0.0.1:7000")
        assert await directory.refresh_as_hub({})
        assert directory.hosts == {"host-3": ("10.0.0.3", 7000)}
        assert directory.hubs == {"c": ("host-4", ("10.0.0.4", 7000))}
