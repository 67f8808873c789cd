"""Rows of usage counts and sums that another writer has left."""

import anyio
import pytest
from hypothesis import given

from samphirehall.backing.table import Row, Write
from samphirehall.gateway.usage_reports import UsageReports, report_periodically, sum_key
from samphirehall.gateway.usage_windows import (
    HostCounts,
    PeerUsage,
    UsageRows,
    counts_prefix,
    decode_counts,
)
from tests.support import odd_bytes
from tests.support.odd_rows import leave, odd_values
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

WINDOW = 5.0


class TestUsage:
    def reports(self, table, sent):
        async def send(window, counts):
            sent.append((window, counts))

        return UsageReports(table, send, lambda: (), PeerUsage().counts_by_process, WINDOW, 10.0)

    @odd_values
    async def test_odd_counts_of_one_process_leave_those_of_the_others(self, value):
        table, sent = FaultyTable(), []
        leave(table, counts_prefix(20) + "a/1", value)
        good = {"closed": True, "counts": {"acme": 3}}
        table.store.transact([], [Write(counts_prefix(20) + "b/1", good)])
        reports = self.reports(table, sent)
        reports.next_window = 20
        await reports.report_due(105.5, now=0.0)
        assert sent == [(20, {"acme": 3})]

    @odd_values
    async def test_window_with_an_odd_sum_is_left_out(self, value):
        table, sent = FaultyTable(), []
        leave(table, sum_key(20), value)
        reports = self.reports(table, sent)
        reports.next_window = 20
        await reports.report_due(110.5, now=0.0)
        assert [window for window, _ in sent] in ([20, 21], [21])
        assert all(n >= 0 for _, counts in sent for n in counts.values())

    async def test_sum_that_this_host_stored_is_reported_although_its_row_is_odd(self):
        table, sent = FaultyTable(), []
        reports = self.reports(table, sent)
        reports.next_window = 20
        await reports.report_due(105.5, now=0.0)
        leave(table, sum_key(20), "odd")
        reports.next_window = 20
        await reports.report_due(105.5, now=0.0)
        assert sent == [(20, {}), (20, {})]

    @pytest.mark.parametrize(
        "key",
        [
            "usage/sums/odd",
            "usage/sums/999999999999",
            "usage/sums/" + "9" * 5_000,
            "usage/counts/000000000000/a/1",
            "usage/counts/odd",
            "usage/counts/" + "1" * 5_000,
        ],
        ids=lambda key: key[:30],
    )
    async def test_odd_key_names_no_window_to_report_first(self, key):
        table, sent = FaultyTable(), []
        leave(table, key, {"era": 0, "counts": {}})
        reports = self.reports(table, sent)
        await reports.report_due(50_005.5, now=0.0)
        assert [window for window, _ in sent] == [10_000]

    @odd_values
    async def test_reports_go_on_beside_odd_rows(self, value):
        table, sent = FaultyTable(), []
        for key in (sum_key(19), sum_key(20), counts_prefix(21) + "a/1", "usage/sums/x"):
            leave(table, key, value)
        reports = self.reports(table, sent)
        with anyio.move_on_after(1.2) as scope:
            await report_periodically(reports, may_act=lambda now: True, agreed_now=lambda: 115.5)
        assert scope.cancelled_caught and sent[-1][0] == 22

    @odd_values
    async def test_odd_row_under_an_own_key_is_overwritten(self, value):
        table, rows = FaultyTable(), UsageRows()
        leave(table, counts_prefix(20) + "a/1", value)
        counts = {(20, "a/1"): HostCounts(True, {"acme": 3})}
        assert not await rows.save(table, counts)
        assert await rows.save(table, counts)
        assert decode_counts(table.store.read([counts_prefix(20) + "a/1"])[0]) == counts[20, "a/1"]

    @given(odd_bytes.json_values)
    def test_any_value_gives_bounded_counts_or_none(self, value):
        found = decode_counts(Row("k", 1, value))
        assert found is None or all(0 <= n < 2**63 for n in found.counts.values())
