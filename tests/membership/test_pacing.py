"""Byte budget, outbox, encoding of facts, delegates, polling, heartbeats and zone reports."""

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.types import HostInfo
from samphirehall.membership.budget import MAX_BURST_SECONDS, MAX_DEBT_SECONDS, ByteBudget
from samphirehall.membership.directory import Directory
from samphirehall.membership.outbox import Outbox, is_urgent
from samphirehall.membership.pacing import HEARTBEAT_WIRE_BYTES, heartbeat_interval, poll_interval
from samphirehall.membership.wire import decode_fact, encode_fact
from samphirehall.membership.zone_report import choose_report, choose_zone_reporter, summarize_zone
from samphirehall.node.facts import Fact, FactKind, FactStore
from tests.support.mesh import mesh_settings

RATE = 100.0
ROUNDING = 1e-9  # bytes; sums of floating-point times are off by 1e-12
names = st.sets(st.from_regex(r"host-[0-9]{1,3}", fullmatch=True), min_size=1, max_size=40)


def fact(kind, key="k", counter=1):
    return Fact(kind, key, "owner", 1, counter, {"n": counter}, 10.0)


class TestByteBudget:
    @given(st.lists(st.tuples(st.floats(0, 2), st.integers(1, 400)), max_size=40))
    def test_deferrable_bytes_keep_the_rate(self, steps):
        budget = ByteBudget(RATE, now=0.0)
        now = sent = 0.0
        for pause, size in steps:
            now += pause
            now += budget.delay(now=now)
            budget.charge(size, now=now)
            sent += size
            assert sent <= RATE * (now + MAX_BURST_SECONDS) + size + ROUNDING

    @given(st.integers(1, 10_000_000))
    def test_urgent_bytes_delay_deferrable_ones_for_a_bounded_time(self, size):
        budget = ByteBudget(RATE, now=0.0)
        budget.charge(size, now=0.0)
        assert budget.delay(now=0.0) <= MAX_DEBT_SECONDS


class TestOutbox:
    @given(st.lists(st.tuples(st.sampled_from(FactKind), st.integers(1, 3))))
    def test_urgent_kinds_are_sent_first_and_only_the_newest_facts(self, pushed):
        outbox, newest = Outbox(), {}
        for kind, counter in pushed:
            outbox.push(encode_fact(fact(kind, counter=counter), expires_at=100.0))
            newest[kind] = max(newest.get(kind, 0), counter)
        urgent = outbox.pop_urgent(max_bytes=10_000, now=0.0)
        assert [item.fact.kind for item in urgent] == sorted(filter(is_urgent, newest))
        bulk = []
        while outbox.has_bulk:
            bulk += outbox.pop_bulk(max_bytes=10_000, now=0.0)
        sent = {item.fact.kind: item.fact.counter for item in [*urgent, *bulk]}
        assert sent == newest

    def test_bulk_keeps_its_place_when_a_newer_fact_replaces_it(self):
        outbox = Outbox()
        for key, counter in (("a", 1), ("b", 1), ("a", 2)):
            outbox.push(encode_fact(fact(FactKind.DEMAND, key, counter), expires_at=100.0))
        first = outbox.pop_bulk(max_bytes=1, now=0.0)
        assert [(item.fact.key, item.fact.counter) for item in first] == [("a", 2)]

    def test_expired_fact_is_not_sent(self):
        outbox = Outbox()
        outbox.push(encode_fact(fact(FactKind.KEY_WITHDRAWN), expires_at=5.0))
        assert outbox.pop_urgent(max_bytes=100, now=6.0) == []


class TestWire:
    @given(st.builds(fact, st.sampled_from(FactKind), st.text(max_size=20), st.integers(1, 9)))
    def test_fact_survives_its_encoding(self, sent):
        assert decode_fact(encode_fact(sent, expires_at=0.0).payload, 10_000) == sent


class TestDelegates:
    @given(names, names)
    def test_only_changes_where_a_host_came_or_went(self, zone, own):
        first, second = sorted(zone)[0], sorted(own)[-1]
        directory = Directory(HostInfo(second, "own", ""), FactStore(second, 1))
        orders = []
        for members in (zone, zone - {first}):
            listed = [HostInfo(f"far-{name}", "far", "") for name in members]
            directory.update_list(listed, connected=frozenset(), now=0.0)
            orders.append(directory.delegates("far"))
        assert [name for name in orders[0] if name != f"far-{first}"] == orders[1]

    @given(names)
    def test_are_spread_over_the_other_zone(self, own):
        far = [HostInfo(f"far-{number}", "far", "") for number in range(32)]
        chosen = {}
        for name in own:
            directory = Directory(HostInfo(name, "own", ""), FactStore(name, 1))
            directory.update_list(far, connected=frozenset(), now=0.0)
            first = directory.delegates("far")[0]
            chosen[first] = chosen.get(first, 0) + 1
        assert max(chosen.values()) <= 3 + len(own) // 4


class TestPolling:
    @given(names)
    def test_two_hosts_of_a_zone_poll_and_one_more_slowly(self, live):
        intervals = [
            poll_interval(host, live, base_interval=1.0, unverified_for=0.0) for host in live
        ]
        assert intervals.count(1.0) == min(2, len(live))
        assert intervals.count(4.0) == (1 if len(live) > 2 else 0)

    @given(names)
    def test_all_hosts_poll_when_none_is_verified(self, live):
        intervals = [
            poll_interval(host, live, base_interval=1.0, unverified_for=60.0) for host in live
        ]
        assert None not in intervals


class TestBeatInterval:
    @given(st.integers(0, 54))
    def test_keeps_half_of_the_budget(self, peers):
        settings = mesh_settings(byte_budget_per_second=4096, heartbeat_seconds=1.0)
        interval = heartbeat_interval(settings, peers=peers)
        assert peers * 2 * HEARTBEAT_WIRE_BYTES / interval <= 4096 / 2 + 2 * HEARTBEAT_WIRE_BYTES


class TestZoneReport:
    @given(names, st.data())
    def test_report_of_a_host_that_is_down_does_not_count(self, hosts, data):
        down_host = data.draw(st.sampled_from(sorted(hosts)))
        live_hosts = hosts - {down_host}
        if not live_hosts:
            return
        old_report = summarize_zone(dict.fromkeys(hosts, 3), frozenset())
        new_report = summarize_zone(dict.fromkeys(live_hosts, 4), frozenset((down_host,)))
        chosen = choose_report(
            {down_host: old_report, choose_zone_reporter(live_hosts): new_report}
        )
        assert chosen.host_version(down_host) == 0
        assert all(chosen.host_version(host) == 4 for host in live_hosts)
