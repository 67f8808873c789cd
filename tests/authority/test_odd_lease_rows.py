"""Lease rows that another writer has left."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.authority.lease import (
    UNKNOWN_HOLDER,
    LeaseTimes,
    decode_lease,
    lease_key,
    next_fencing,
    renewal_key,
)
from samphirehall.authority.lease_manager import LeaseManager
from samphirehall.backing.table import Row, Write
from tests.support import odd_bytes
from tests.support.odd_rows import leave, odd_values
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

LEASE = {"holder": "other", "fencing": 4, "ttl": 3.0}
TIMES = LeaseTimes(ttl=3.0, margin=0.6, delivery_limit=1.0)


class TestLeases:
    @given(st.one_of(odd_bytes.json_values, odd_bytes.changed(LEASE)), st.integers(1, 2**70))
    def test_any_value_gives_a_lease_whose_next_fencing_number_fits_its_era(self, value, version):
        lease = decode_lease(Row("k", version, value), era=3)
        assert 0 <= lease.ttl < 1e6
        assert 3 << 32 <= next_fencing(lease, era=3) < 4 << 32

    def test_fencing_number_after_an_odd_row_is_above_all_that_were_given(self):
        table = FaultyTable()
        for number in range(5):
            table.store.transact([], [Write("k", {**LEASE, "fencing": number + 1})])
        leave(table, "k", "odd")
        (row,) = table.store.read(["k"])
        assert next_fencing(decode_lease(row, era=0), era=0) > 5

    @odd_values
    async def test_odd_lease_row_is_waited_for_and_taken_over(self, value):
        table, now = FaultyTable(), 100.0
        leave(table, lease_key("s"), value)
        leave(table, renewal_key("s"), value)
        manager = LeaseManager(table, "s", holder="me", times=TIMES, clock=lambda: now)
        await manager.step()
        assert manager.lease_row.holder == UNKNOWN_HOLDER
        now += TIMES.ttl + TIMES.delivery_limit
        await manager.step()
        assert manager.grant(now=now).fencing > 1
