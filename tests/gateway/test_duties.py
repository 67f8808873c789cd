"""Usage reports by window, endpoint orders, and the lease of the duties."""

import anyio
import pytest

from samphirehall.authority.lease import LeaseLostError, lease_key
from samphirehall.backing.table import Check, Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.gateway import duty as duty_module
from samphirehall.gateway.duty import Duty
from samphirehall.gateway.scaling import (
    RESEND_INTERVAL_SECONDS,
    STAGE_CHANGE_DELAY_SECONDS,
    EndpointScaler,
    ScalingCalls,
)
from samphirehall.gateway.scaling import scale_forever as keep_scaling
from samphirehall.gateway.types import Stage
from samphirehall.gateway.usage_reports import UsageReports, report_periodically, sum_key
from samphirehall.gateway.usage_windows import (
    MAX_ROWS_PER_CALL,
    HostCounts,
    PeerUsage,
    UsageCounter,
    counts_prefix,
    split_counts,
)
from tests.gateway.helpers import MODEL, configuration, context, engine
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

WINDOW = 5.0


class Clock:
    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now

    async def sleep(self, seconds):
        self.now += seconds


class ReportRecorder:
    """Records reported windows; raises while `down`."""

    def __init__(self):
        self.windows = []
        self.down = False

    async def send(self, window, counts):
        if self.down:
            raise PlatformUnavailableError("down")
        self.windows.append((window, counts))


def reports_of(table, sent, hosts=("a", "b"), heard=None):
    heard = heard or PeerUsage()
    return UsageReports(table, sent.send, lambda: hosts, heard.counts_by_process, WINDOW, 10.0)


class TestUsage:
    async def counted(self, table, clock, host, count, customer="acme"):
        counter = UsageCounter(f"{host}/1", WINDOW, clock)
        for _ in range(count):
            counter.record(customer)
        await counter.save(table)
        return counter

    async def test_window_is_reported_once_all_hosts_have_closed_it(self):
        table, clock, sent = FaultyTable(), Clock(101.0), ReportRecorder()
        counters = [await self.counted(table, clock, host, n) for host, n in (("a", 3), ("b", 4))]
        reports = reports_of(table, sent)
        reports.next_window = 20
        clock.now = 105.5
        await counters[0].save(table)
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == []
        await counters[1].save(table)
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 7})]

    async def test_window_is_reported_in_time_without_a_host_that_never_closes_it(self):
        table, clock, sent = FaultyTable(), Clock(101.0), ReportRecorder()
        counter = await self.counted(table, clock, "a", 3)
        reports = reports_of(table, sent)
        reports.next_window = 20
        clock.now = 105.5
        await counter.save(table)
        await reports.report_due(109.0, now=0.0)
        assert sent.windows == []
        await reports.report_due(110.5, now=0.0)
        assert sent.windows[0] == (20, {"acme": 3})

    async def test_counts_that_only_peers_know_are_reported(self):
        """A host is killed during a store outage, so its stored rows lag behind its updates."""
        table, clock, sent, heard = FaultyTable(), Clock(101.0), ReportRecorder(), PeerUsage()
        killed = await self.counted(table, clock, "b", 2)
        table.faults.outage = True
        for _ in range(4):
            killed.record("acme")
        killed.record("zeta")
        for window, counts in killed.latest_counts().items():
            heard.receive(killed.process, window, counts)
        table.faults.outage = False
        clock.now = 105.5
        await self.counted(table, Clock(101.0), "a", 3)
        reports = reports_of(table, sent, ["a"], heard)
        reports.next_window = 20
        await reports.report_due(111.0, now=0.0)
        assert sent.windows[0] == (20, {"acme": 9, "zeta": 1})

    async def test_host_without_store_access_closes_its_window_through_peers(self):
        table, clock, sent, heard = FaultyTable(), Clock(101.0), ReportRecorder(), PeerUsage()
        cut_off = FaultyTable()
        counter = await self.counted(cut_off, clock, "a", 3)
        cut_off.faults.outage = True
        clock.now = 105.5
        await counter.save(cut_off)
        for window, counts in counter.latest_counts().items():
            heard.receive(counter.process, window, counts)
        reports = reports_of(table, sent, ["a"], heard)
        reports.next_window = 20
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]

    async def test_restarted_host_closes_the_windows_it_missed(self):
        """The previous process did not close its window; the report must not wait for it."""
        table, clock, sent = FaultyTable(), Clock(101.0), ReportRecorder()
        await self.counted(table, clock, "a", 3)
        clock.now = 105.5
        again = UsageCounter("a/2", WINDOW, clock, lookback=10.0)
        await again.save(table)
        reports = reports_of(table, sent, ["a"])
        reports.next_window = 20
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]

    @pytest.mark.parametrize("customers", [0, 1, 59, 60, 61, 750])
    def test_counts_of_many_customers_are_sent_in_parts_that_add_up(self, customers):
        clock, heard = Clock(101.0), PeerUsage()
        counter = UsageCounter("a/1", WINDOW, clock)
        for number in range(customers):
            counter.record(f"c{number}")
        clock.now = 105.5
        counter.record("c0")
        parts = split_counts(counter.latest_counts(), max_customers=60)
        for part in parts:
            assert sum(len(host.counts) for host in part.values()) <= 60
            for window, counts in part.items():
                heard.receive("a/1", window, counts)
        assert heard.counts_by_process(20)["a/1"] == counter.latest_counts()[20]
        assert heard.counts_by_process(21)["a/1"] == counter.latest_counts()[21]

    def test_lost_part_of_a_window_leaves_it_open(self):
        clock, heard = Clock(101.0), PeerUsage()
        counter = UsageCounter("a/1", WINDOW, clock)
        for number in range(61):
            counter.record(f"c{number}")
        clock.now = 105.5
        first, *_ = split_counts(counter.latest_counts(), max_customers=60)
        heard.receive("a/1", 20, first[20])
        assert not heard.counts_by_process(20)["a/1"].closed

    async def test_next_holder_repeats_the_stored_sum_whatever_was_counted_since(self):
        table, clock, sent = FaultyTable(), Clock(101.0), ReportRecorder()
        counter = await self.counted(table, clock, "a", 3)
        first, sent.down = reports_of(table, sent, ["a"]), True
        first.next_window = 20
        clock.now = 105.5
        await counter.save(table)
        with pytest.raises(PlatformUnavailableError):
            await first.report_due(clock.now, now=0.0)
        await self.counted(table, Clock(101.0), "late", 5)
        sent.down = False
        second = reports_of(table, sent, ["a"])
        await second.report_due(clock.now, now=0.0)
        assert (20, {"acme": 3}) in sent.windows
        assert {counts["acme"] for window, counts in sent.windows if window == 20} == {3}

    async def settled_and_lost(self, *, hosts=("a",), fencing=None, restores=True):
        """Report window 20 with the count 3, then lose its sum and rows of it."""
        table, clock, sent = FaultyTable(), Clock(101.0), ReportRecorder()
        table.store.era = 1
        counter = await self.counted(table, clock, "a", 3)
        copy = table.store.copy()
        reports = reports_of(table, sent, hosts)
        reports.exclusive_fencing = lambda *, now: fencing
        reports.observe_era(clock.now, now=0.0)
        if fencing is None:
            reports.next_window = 20
        clock.now = 105.5
        await counter.save(table)
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]
        if restores:
            table.store.restore(copy)
            await self.counted(table, Clock(101.0), "late", 5)
        return table, clock, sent, reports

    async def test_host_that_settled_a_window_reports_the_same_sum_after_a_restoration(self):
        table, clock, sent, reports = await self.settled_and_lost()
        reports.next_window = 20
        await reports.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 3})] * 2
        assert (await table.read([sum_key(20)]))[sum_key(20)].value["counts"] == {"acme": 3}

    async def test_window_settled_by_another_host_is_not_reported_with_other_counts(self):
        table, clock, sent, former = await self.settled_and_lost()
        reports = reports_of(table, sent, ["a"])
        reports.progress.record(former.progress.settled_window)
        reports.observe_era(clock.now, now=0.0)
        await self.counted(table, Clock(106.0), "a", 1)
        await reports.report_due(110.5 + 10.0, now=0.0)
        assert [window for window, _ in sent.windows].count(20) == 1
        assert 21 in [window for window, _ in sent.windows]

    async def test_started_host_leaves_out_windows_that_a_lost_holder_may_have_reported(self):
        table, clock, sent, _ = await self.settled_and_lost()
        reports = reports_of(table, sent, ["a"])
        await reports.report_due(clock.now, now=0.0)
        assert [window for window, _ in sent.windows].count(20) == 1
        await self.counted(table, Clock(106.0), "a", 1)
        await reports.report_due(110.5 + 10.0, now=0.0)
        assert 21 in [window for window, _ in sent.windows]

    # Guards against a second report with other counts by a host that knows of earlier reports only.
    async def test_host_that_missed_the_last_report_leaves_it_out_after_a_restoration(self):
        table, _, sent, former = await self.settled_and_lost()
        reports = reports_of(table, sent, ())
        reports.progress.record(former.progress.settled_window - 1)
        await reports.report_due(106.0, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]

    # Guards against the loss of reports for windows that no earlier holder can have reported.
    async def test_window_that_ended_after_a_restoration_was_seen_is_reported_once(self):
        table, clock, sent, _ = await self.settled_and_lost()
        reports = reports_of(table, sent, ())
        reports.observe_era(clock.now, now=0.0)
        await self.counted(table, Clock(106.0), "a", 1)
        await reports.report_due(110.5, now=0.0)
        assert sent.windows == [(20, {"acme": 3}), (21, {"acme": 1})]

    # Guards against the loss of reports for windows that had ended, but were not reported yet.
    @pytest.mark.parametrize("survives", [True, False])
    async def test_next_holder_reports_what_a_surviving_holder_had_not(self, survives):
        table, _, sent, former = await self.settled_and_lost(fencing=7, restores=False)
        copy = table.store.copy()
        await self.counted(table, Clock(106.0), "a", 1)
        if not survives:
            former.exclusive_fencing = lambda *, now: None
        table.store.restore(copy)
        former.observe_era(110.2, now=0.0)
        await self.counted(table, Clock(106.0), "a", 1)
        reports = reports_of(table, sent, ())
        reports.observe_era(110.2, now=0.0)
        reports.progress.merge(former.progress.settled_window, former.progress.settled_era)
        await reports.report_due(115.4, now=0.0)
        assert (21 in [window for window, _ in sent.windows]) is survives
        assert {counts["acme"] for window, counts in sent.windows if window == 20} == {3}

    # Guards against a sum that is stored again and hides that the sums after it are lost.
    async def test_sums_lost_behind_one_that_was_stored_again_are_left_out(self):
        table, clock, sent, former = await self.settled_and_lost(hosts=())
        former.next_window = 20
        await former.report_due(clock.now, now=0.0)
        assert sent.windows == [(20, {"acme": 3})] * 2
        await self.counted(table, Clock(106.0), "a", 1)
        await reports_of(table, sent, ()).report_due(110.5, now=0.0)
        assert {window for window, _ in sent.windows} == {20}

    # Guards against a second report of the first window of a system, before which no sum is stored.
    async def test_first_report_of_a_system_is_not_repeated_after_a_restoration(self):
        table, sent = FaultyTable(), ReportRecorder()
        table.store.era = 1
        first, second = reports_of(table, sent, ()), reports_of(table, sent, ())
        first.first_start = second.first_start = True
        second.observe_era(104.0, now=0.0)
        copy = table.store.copy()
        await self.counted(table, Clock(101.0), "a", 3)
        await first.report_due(105.5, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]
        table.store.restore(copy)
        await self.counted(table, Clock(101.0), "late", 5)
        await second.report_due(106.0, now=0.0)
        assert sent.windows == [(20, {"acme": 3})]

    # Guards against a sum with other counts by a host that stood still while another one reported.
    async def test_host_whose_lease_was_taken_over_stores_no_sum(self):
        table, sent = FaultyTable(), ReportRecorder()
        key = lease_key("duties")
        await table.transact([], [Write(key, "a")])
        await table.transact([], [Write(key, "b")])
        await self.counted(table, Clock(101.0), "a", 3)
        reports = reports_of(table, sent, ())
        reports.next_window, reports.lease_checks = 20, lambda: [Check(key, 1)]
        with pytest.raises(LeaseLostError):
            await reports.report_due(105.5, now=0.0)
        assert await table.read([sum_key(20)]) == {} and sent.windows == []

    async def test_sum_stored_by_an_earlier_version_is_reported(self):
        table, sent = FaultyTable(), ReportRecorder()
        await table.transact([], [Write(sum_key(20), {"acme": 7})])
        await reports_of(table, sent, ["a"]).report_due(105.5, now=0.0)
        assert sent.windows == [(20, {"acme": 7})]

    async def test_late_write_does_not_revert_a_row(self):
        table, clock = FaultyTable(), Clock(101.0)
        counter = await self.counted(table, clock, "a", 2)
        table.faults.late = 1.0
        counter.record("acme")
        await counter.save(table)
        table.faults.late = 0.0
        clock.now = 105.5
        await counter.save(table)
        table.settle()
        await counter.save(table)
        rows = await table.scan(counts_prefix(20))
        assert rows[0].value == {"closed": True, "counts": {"acme": 3}}

    async def test_counts_are_saved_after_a_write_whose_answer_was_lost(self):
        table, clock = FaultyTable(), Clock(101.0)
        table.faults.lose_answer = 1.0
        counter = await self.counted(table, clock, "a", 2)
        table.faults.lose_answer = 0.0
        counter.record("acme")
        for _ in range(2):
            await counter.save(table)
        rows = await table.scan(counts_prefix(20))
        assert rows[0].value["counts"] == {"acme": 3}

    async def test_counts_are_saved_after_their_row_was_removed(self):
        table, clock = FaultyTable(), Clock(101.0)
        counter = await self.counted(table, clock, "a", 2)
        await table.transact([], [Write(counts_prefix(20) + "a/1", None)])
        counter.record("acme")
        for _ in range(2):
            await counter.save(table)
        rows = await table.scan(counts_prefix(20))
        assert rows[0].value["counts"] == {"acme": 3}

    async def test_counts_of_all_windows_are_saved_again_after_the_store_was_restored(self):
        table, clock = FaultyTable(), Clock(101.0)
        copy = table.store.copy()
        counter = await self.counted(table, clock, "a", 2)
        clock.now = 106.0
        counter.record("acme")
        await counter.save(table)
        table.store.restore(copy)
        for _ in range(2):
            await counter.save(table)
        saved = {row.key: row.value["counts"] for row in await table.scan("usage/counts/")}
        assert saved == {
            counts_prefix(20) + "a/1": {"acme": 2},
            counts_prefix(21) + "a/1": {"acme": 1},
        }

    async def test_rows_in_conflict_do_not_keep_other_rows_from_being_saved(self):
        table, clock = FaultyTable(), Clock(101.0)
        counter = await self.counted(table, clock, "a", 1)
        received = {(20, f"m{n}/1"): HostCounts(True, {"acme": n}) for n in range(100)}
        await table.transact(
            [], [Write(counts_prefix(20) + "m0/1", {"closed": False, "counts": {}})]
        )
        assert not await counter.save(table, received)
        assert len(await table.scan(counts_prefix(20))) > MAX_ROWS_PER_CALL

    async def test_counts_that_could_not_be_saved_are_saved_later(self):
        table, clock = FaultyTable(), Clock(101.0)
        table.faults.outage = True
        counter = await self.counted(table, clock, "a", 2)
        table.faults.outage = False
        await counter.save(table)
        rows = await table.scan("usage/counts/")
        assert rows[0].value["counts"] == {"acme": 2}

    async def test_lease_lost_during_a_report_does_not_end_the_loop(self):
        table, clock = FaultyTable(), Clock(120.0)

        async def lost(window, counts):
            raise LeaseLostError("duties", "lost")

        reports = UsageReports(table, lost, lambda: (), PeerUsage().counts_by_process, WINDOW, 10.0)
        with anyio.move_on_after(1.3) as scope:
            await report_periodically(reports, may_act=lambda now: True, agreed_now=clock)
        assert scope.cancelled_caught
        assert (await table.read([sum_key(22)])) or reports.next_window is not None


class CallRecorder:
    """Records orders; refuses those for cheap endpoints in the zones of `refusing_zones`."""

    def __init__(self):
        self.counts, self.stages, self.refusing_zones = [], [], set()
        self.error = None
        self.accepts_stages = True

    async def order_count(self, order):
        if self.error is not None:
            raise self.error
        self.counts.append(order)
        return not (order.cheap and order.zone in self.refusing_zones)

    async def order_stage(self, member, stage):
        self.stages.append((member.endpoint_id, stage))
        return self.accepts_stages


def scaling_with(*members):
    shared, _ = context()
    for member in members:
        shared.fleet.update(member, MODEL)
    calls = CallRecorder()
    return shared, calls, EndpointScaler(shared, ScalingCalls(calls.order_count, calls.order_stage))


class TestScaling:
    async def test_fulfilled_order_is_not_sent_again(self):
        members = [engine(f"{zone}{n}", zone=zone) for zone in "abc" for n in range(3)]
        _, calls, scaling = scaling_with(*members)
        for step in range(5):
            await scaling.step(configuration(), now=float(step))
        assert len(calls.counts) == 6

    async def test_order_is_sent_again_if_endpoints_are_missing(self):
        _, calls, scaling = scaling_with(engine("a0", zone="a"))
        await scaling.step(configuration(), now=0.0)
        sent = len(calls.counts)
        await scaling.step(configuration(), now=RESEND_INTERVAL_SECONDS / 2)
        assert len(calls.counts) == sent
        await scaling.step(configuration(), now=RESEND_INTERVAL_SECONDS)
        assert len(calls.counts) > sent

    async def test_standard_engines_are_ordered_where_cheap_ones_are_refused(self):
        shared, calls, scaling = scaling_with(engine("c0", zone="c"), engine("c1", zone="c"))
        calls.refusing_zones = {"a", "b"}
        shared.prefill_demand("model").record(200_000, now=shared.clock())
        for step in range(2):
            await scaling.step(configuration(), now=shared.clock() + step * 0.5)
        standard = {order.zone: order.count for order in calls.counts if not order.cheap}
        assert standard["a"] + standard["b"] >= 3

    async def test_one_stage_changes_at_a_time_and_only_after_the_delay(self):
        members = [engine(f"{zone}{n}", zone=zone) for zone in "abc" for n in range(3)]
        shared, calls, scaling = scaling_with(*members)
        now = shared.clock()
        for step in range(3):
            shared.prefill_demand("model").record(300_000, now=now)
            await scaling.step(configuration(), now=now + step * STAGE_CHANGE_DELAY_SECONDS / 4)
        assert calls.stages == []
        await scaling.step(configuration(), now=now + STAGE_CHANGE_DELAY_SECONDS)
        assert [stage for _, stage in calls.stages] == [Stage.PREFILL]
        changing = shared.fleet.endpoint(calls.stages[0][0])
        assert changing not in shared.fleet.candidates(
            "model", now=now + STAGE_CHANGE_DELAY_SECONDS
        )

    async def test_holder_that_returns_waits_for_the_delay_again(self):
        members = [engine(f"{zone}{n}", zone=zone) for zone in "abc" for n in range(3)]
        shared, calls, scaling = scaling_with(*members)
        now = shared.clock()
        shared.prefill_demand("model").record(300_000, now=now)
        await scaling.step(configuration(), now=now)
        scaling.reset()
        shared.prefill_demand("model").record(300_000, now=now)
        await scaling.step(configuration(), now=now + STAGE_CHANGE_DELAY_SECONDS)
        assert calls.stages == []

    @pytest.mark.parametrize(
        "error", [LeaseLostError("duties", "lost"), PlatformUnavailableError("down")]
    )
    async def test_failed_order_does_not_end_the_loop(self, error, monkeypatch):
        monkeypatch.setattr("samphirehall.gateway.scaling.CHECK_INTERVAL_SECONDS", 0.01)
        _, calls, scaling = scaling_with()
        calls.error = error
        with anyio.move_on_after(0.1) as scope:
            await keep_scaling(scaling, may_act=lambda now: True, configuration=configuration)
        assert scope.cancelled_caught


class TestDuty:
    async def two_holders(self, monkeypatch, clock, lease_time=3.0):
        table = FaultyTable()
        monkeypatch.setattr("samphirehall.authority.lease_manager.boot_seconds", clock)
        holders = [Duty(table, name, lease_time) for name in ("a/1", "b/1")]
        for holder in holders:
            holder._lease_manager._clock = clock
            holder._lease_manager._sleep = clock.sleep
        await holders[0]._lease_manager.step()
        assert holders[0].grant(now=clock.now).fencing == 1
        await holders[1]._lease_manager.step()
        return holders

    async def last_and_first_call(self, one, two, clock, *, step=0.05):
        """Return when the last call of `one` may end and when the first of `two` may start."""
        last = clock.now
        while (grant := two.grant(now=clock.now)) is None:
            if one.grant(now=clock.now) is not None:
                last = clock.now + duty_module.MAX_CALL_SECONDS
            clock.now += step
            await two._lease_manager.step()
            assert clock.now < 100.0
        assert grant.fencing == 2
        return last, clock.now

    @pytest.mark.parametrize("lease_time", [3.0, 10.0])
    async def test_gap_between_holders_is_over_half_a_lease(self, monkeypatch, lease_time):
        clock = Clock(0.0)
        one, two = await self.two_holders(monkeypatch, clock, lease_time)
        last, first = await self.last_and_first_call(one, two, clock)
        assert first - last > lease_time / 2

    async def test_gap_after_a_release_is_over_half_a_lease(self, monkeypatch):
        clock = Clock(0.0)
        one, two = await self.two_holders(monkeypatch, clock)
        last = clock.now + duty_module.MAX_CALL_SECONDS
        await one.release()
        _, first = await self.last_and_first_call(one, two, clock)
        assert first - last > 1.5

    async def test_duty_of_a_stopped_host_is_taken_over_within_two_leases(self, monkeypatch):
        clock = Clock(0.0)
        one, two = await self.two_holders(monkeypatch, clock)
        _, first = await self.last_and_first_call(one, two, clock)
        assert first < 6.0

    async def test_holder_that_reacquires_its_own_lease_continues_at_once(self, monkeypatch):
        """The store was unavailable for longer than a lease, and no other host acquired it."""
        table, clock = FaultyTable(), Clock(0.0)
        one = Duty(table, "a/1", 3.0)
        one._lease_manager._clock = clock
        await one._lease_manager.step()
        assert one.grant(now=0.0).fencing == 1
        clock.now = 10.0
        await one._lease_manager.step()
        assert one.grant(now=10.0) is None
        await one._lease_manager.step()
        assert one.grant(now=10.0).fencing == 2

    async def test_right_that_ends_within_a_call_does_not_count(self):
        table, clock = FaultyTable(), Clock(0.0)
        holder = Duty(table, "a/1", 3.0)
        holder._lease_manager._clock = clock
        await holder._lease_manager.step()
        end = holder._lease_manager._grant.expires_at
        assert holder.grant(now=end - duty_module.MAX_CALL_SECONDS - 0.01) is not None
        assert holder.grant(now=end - duty_module.MAX_CALL_SECONDS + 0.01) is None
