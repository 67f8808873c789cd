"""The faulty table fails as its fault switches say."""

import pytest

from samphirehall.backing.table import ABSENT, Check, Write
from samphirehall.core.errors import PlatformUnavailableError
from tests.support.table import MAX_LATE_OPERATIONS, FaultyTable, TableFaults

INSERT = ([Check("a", ABSENT)], [Write("a", 1)])

pytestmark = pytest.mark.anyio


class TestFaultyTable:
    @pytest.mark.parametrize(
        ("faults", "expected_value"),
        [
            (TableFaults(drop=1.0), None),
            (TableFaults(lose_answer=1.0), 1),
            (TableFaults(late=1.0), None),
            (TableFaults(outage=True), None),
        ],
        ids=["drop", "lose_answer", "late", "outage"],
    )
    async def test_fault_raises(self, faults, expected_value):
        table = FaultyTable(faults=faults)
        with pytest.raises(PlatformUnavailableError):
            await table.transact(*INSERT)
        assert table.value("a") == expected_value

    async def test_late_write_takes_effect_within_bound(self):
        table = FaultyTable(faults=TableFaults(late=1.0))
        with pytest.raises(PlatformUnavailableError):
            await table.transact(*INSERT)
        for _ in range(MAX_LATE_OPERATIONS):
            await table.read(["a"])
        assert table.value("a") == 1

    async def test_late_write_meets_its_checks(self):
        table = FaultyTable(faults=TableFaults(late=1.0))
        with pytest.raises(PlatformUnavailableError):
            await table.transact(*INSERT)
        table.faults = TableFaults()
        await table.transact([Check("a", ABSENT)], [Write("a", 2)])
        table.settle()
        assert table.value("a") == 2

    async def test_duplicate_applies_again(self):
        table = FaultyTable(faults=TableFaults(duplicate=1.0))
        await table.transact([], [Write("a", 1)])
        table.settle()
        assert (await table.read(["a"]))["a"].version == 2
