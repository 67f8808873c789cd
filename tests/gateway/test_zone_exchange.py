"""Exchange of loads, configurations, endpoints and usage between hosts and their hub."""

import contextlib
import itertools
import json
import logging
import random

import anyio
import pytest

from samphirehall.admission.quota import Quota, Verdict
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.catch_up import MAX_CONCURRENT_ANSWERS, CatchUp
from samphirehall.gateway.crashes import (
    CONFIRMATION_TIMEOUT_SECONDS,
    MIN_CRASHES_FOR_QUARANTINE,
    Crash,
    CrashTracker,
    fingerprint,
)
from samphirehall.gateway.datagrams import DatagramSocket
from samphirehall.gateway.host_directory import HostDirectory, parse_address
from samphirehall.gateway.load import MAX_LOAD_AGE_SECONDS, EndpointLoad
from samphirehall.gateway.rows import (
    ChangeSet,
    RowChange,
    Rows,
    StoreVersion,
    Switch,
    TableFollower,
    TableReplica,
)
from samphirehall.gateway.types import Customer, PromptPart
from samphirehall.gateway.usage_reports import ReportProgress
from samphirehall.gateway.usage_windows import HostCounts, PeerUsage, UsageCounter
from samphirehall.gateway.zone_exchange import ZoneExchange
from samphirehall.gateway.zone_hub import HUB_TIMEOUT_SECONDS
from samphirehall.gateway.zone_members import MEMBER_TIMEOUT_SECONDS
from samphirehall.gateway.zone_messages import (
    MemberUpdate,
    News,
    datagram,
    decode_datagram,
    encode_message,
)
from samphirehall.gateway.zone_updates import decode_changes, encode_changes
from samphirehall.platform.documents import decode_endpoint
from samphirehall.programs.node import FINAL_PUBLISH_SECONDS
from tests.gateway.helpers import MODEL, ROUTES, context, request
from tests.support.ports import free_address
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

CONFIGURATION_SECONDS = 2.0  # in which a configuration has to be in force
ENTRY = {"service": "model", "address": "127.0.0.1:1", "zone": "a", "slots": 6, "stage": "decode"}


class EndpointTable:
    """The endpoint list of a store, with a count of calls and hosts that it turns away."""

    def __init__(self):
        self.era, self.version, self.rows, self.history = 1, 1, {}, []
        self.calls, self.refused = [], set()
        self.configurations = ConfigurationTable(self.refused)
        self.put("d1", state="ready")

    def put(self, key, **fields):
        self.put_value(key, json.dumps({**ENTRY, **fields}).encode() if fields else None)

    def put_value(self, key, value):
        self.version += 1
        change = RowChange(key, StoreVersion(self.era, self.version), value)
        self.history.append(change)
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = change

    @property
    def position(self):
        return StoreVersion(self.era, self.version)

    def source(self, host):
        return _Source(self, host)


class ConfigurationTable(EndpointTable):
    """The configuration of the same store."""

    def __init__(self, refused):
        self.era, self.version, self.rows, self.history = 1, 1, {}, []
        self.calls, self.refused = [], refused


class _Source:
    def __init__(self, table, host):
        self._table, self._host = table, host

    def _call(self):
        self._table.calls.append((boot_seconds(), self._host))
        if self._host in self._table.refused:
            raise PlatformUnavailableError("turned away")

    async def snapshot(self, table):
        self._call()
        return Rows(list(self._table.rows.values()), self._table.position)

    async def changes(self, table, *, after, wait):
        self._call()
        with anyio.move_on_after(wait):
            while self._table.version <= after.number:
                await anyio.sleep(0.01)
        self._call()
        history = self._table.history
        rows = [change for change in history if change.version.number > after.number]
        return Rows(rows, self._table.position)


class Host:
    """A host that exchanges real datagrams on loopback."""

    def __init__(self, name, table, endpoints, *, zone="a", link_bytes_per_second=float("inf")):
        self.context, _ = context()
        self.context.host, self.context.zone = name, zone
        self.agreed = AgreedTime()
        self.version = 1
        self.taken = []
        self.usage = UsageCounter(f"{name}/1", 5.0, lambda: 101.0)
        self.peer_usage = PeerUsage()
        self.progress = ReportProgress()
        address = free_address()
        reading = Switch()
        self.endpoints = TableFollower(
            endpoints.source(name),
            "endpoints",
            self.apply,
            poll_delay=0.1,
            feed_wait=0.2,
            switch=reading,
        )
        self.configurations = TableFollower(
            endpoints.configurations.source(name),
            "configurations",
            lambda change: self.take_configuration(change.value, "store"),
            poll_delay=0.1,
            feed_wait=0.2,
            switch=reading,
        )
        self.catch_up = CatchUp(
            address, lambda: self.version, self.endpoints.replica, self.take_configuration
        )
        self.directory = HostDirectory(table, name, zone, address)
        self.exchange = ZoneExchange(
            self.context,
            self.directory,
            address,
            self.endpoints,
            reading,
            self.catch_up,
            self.agreed,
            lambda: self.version,
            self.usage,
            self.peer_usage,
            self.progress,
            link_bytes_per_second=link_bytes_per_second,
        )
        self.address = address
        self.scope = anyio.CancelScope()

    def take_configuration(self, content, source):
        self.taken.append(content)
        self.version = max(self.version, int(content))
        self.catch_up.set_document(content)

    def apply(self, change):
        if change.value is None:
            self.context.fleet.remove(change.key)
        else:
            listed = decode_endpoint(change.key, change.value)
            if listed is None:
                self.context.fleet.suspend(change.key)
            else:
                self.context.fleet.update(listed, MODEL, now=boot_seconds())

    def state(self, endpoint="d1"):
        found = self.context.fleet.endpoint(endpoint)
        return None if found is None else found.listed.ready

    def load(self, endpoint="d1"):
        return self.context.loads.total_load(endpoint, now=boot_seconds())

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.exchange.run)
                group.start_soon(self.catch_up.run)
                group.start_soon(self.endpoints.run)
                group.start_soon(self.configurations.run)


async def until(condition, seconds=4.0):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


def settled(hosts):
    """Return whether all hosts of a zone follow one hub and have the endpoint list."""
    hubs = {(host.context.zone, host.exchange.hub) for host in hosts}
    zones = {host.context.zone for host in hosts}
    return (
        len(hubs) == len(zones)
        and all(name for _, name in hubs)
        and all(host.state() is not None for host in hosts)
    )


async def start(group, names, *, table=None, endpoints=None, zone="a"):
    table, endpoints = table or FaultyTable(), endpoints or EndpointTable()
    hosts = [Host(name, table, endpoints, zone=zone) for name in names]
    for host in hosts:
        group.start_soon(host.run)
    await until(lambda: settled(hosts))
    return hosts, endpoints


def hub_and_members(hosts):
    hub = next(host for host in hosts if host.exchange.is_hub)
    return hub, [host for host in hosts if host is not hub]


class TestRoles:
    async def test_only_the_hub_reads_the_store(self):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcdef")
            hub, _ = hub_and_members(hosts)
            await anyio.sleep(1.0)
            endpoints.calls.clear()
            await anyio.sleep(1.0)
            assert {name for _, name in endpoints.calls} == {hub.context.host}
            assert all(len(host.exchange.live_hosts(now=boot_seconds())) == 6 for host in hosts)
            assert all(host.exchange.most_hosts == 6 for host in hosts)
            group.cancel_scope.cancel()

    async def test_one_hub_reads_the_store_for_all_zones(self):
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            here, _ = await start(group, "abc", table=table, endpoints=endpoints)
            there, _ = await start(group, "xyz", table=table, endpoints=endpoints, zone="b")
            hosts = [*here, *there]
            await until(lambda: sum(host.endpoints.reading for host in hosts) == 1)
            await anyio.sleep(0.5)  # a call of a former reader may be under way
            endpoints.calls.clear()
            endpoints.put("d1", state="draining")
            await until(lambda: all(host.state() is False for host in hosts), 1.0)
            assert len({name for _, name in endpoints.calls}) == 1
            reader = next(host for host in hosts if host.endpoints.reading)
            reader.scope.cancel()
            endpoints.put("d2", state="ready")
            left = [host for host in hosts if host is not reader]
            await until(lambda: all(host.state("d2") for host in left), 2.5)
            group.cancel_scope.cancel()

    async def test_reader_does_not_change_without_a_reason(self, caplog):
        caplog.set_level(logging.INFO)
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            hosts = []
            for zone, names in (("a", "abc"), ("b", "xyz"), ("c", "mno")):
                started, _ = await start(group, names, table=table, endpoints=endpoints, zone=zone)
                hosts += started
            await until(lambda: sum(host.endpoints.reading for host in hosts) == 1)
            await anyio.sleep(0.5)
            caplog.clear()
            await anyio.sleep(3.0)
            assert "reader" not in [record.message for record in caplog.records]
            group.cancel_scope.cancel()

    async def test_another_host_takes_over_when_the_hub_ends(self):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcd")
            hub, members = hub_and_members(hosts)
            hub.scope.cancel()
            endpoints.put("d1", state="draining")
            await until(lambda: all(host.state() is False for host in members), 2.0)
            await until(lambda: settled(members) and members[0].exchange.hub != hub.context.host)
            group.cancel_scope.cancel()

    async def test_another_host_reads_when_the_store_turns_the_hub_away(self):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcd")
            hub, members = hub_and_members(hosts)
            endpoints.refused.add(hub.context.host)
            await anyio.sleep(0.3)
            endpoints.put("d1", state="draining")
            await until(lambda: all(host.state() is False for host in hosts), 2.0)
            endpoints.refused.clear()
            await until(lambda: not any(host.endpoints.reading for host in members))
            group.cancel_scope.cancel()

    async def test_store_that_is_down_is_called_by_one_member_at_a_time(self):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcdef")
            hub, members = hub_and_members(hosts)
            endpoints.refused.update(host.context.host for host in hosts)
            await anyio.sleep(2.0)
            endpoints.calls.clear()
            await anyio.sleep(1.0)
            others = [name for _, name in endpoints.calls if name != hub.context.host]
            assert 1 <= len(others) <= 12
            endpoints.refused.clear()
            await until(lambda: not any(host.endpoints.reading for host in members))
            group.cancel_scope.cancel()

    async def test_host_that_starts_later_learns_all_from_the_hub(self):
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            hosts, _ = await start(group, "abc", table=table, endpoints=endpoints)
            hub, _ = hub_and_members(hosts)
            hub.version = 7
            hub.catch_up.set_document(b"7")
            late = Host("late", table, endpoints)
            group.start_soon(late.run)
            await until(lambda: late.state() and late.version == 7, 1.0)
            assert not any(name == "late" for _, name in endpoints.calls)
            group.cancel_scope.cancel()

    async def test_host_that_starts_shares_the_repeat_budget_with_all_listed_hosts(self):
        table, endpoints = FaultyTable(), EndpointTable()
        for name in "bcd":
            await HostDirectory(table, name, "a", free_address()).load()
        host = Host("a", table, endpoints)
        assert host.exchange.most_hosts == 1
        await host.directory.load()
        assert host.exchange.hub is None and host.exchange.most_hosts == 4

    async def test_host_that_hears_nobody_reads_for_itself(self):
        table = FaultyTable()
        table.faults.outage = True
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "a", table=table)
            assert hosts[0].exchange.is_hub
            group.cancel_scope.cancel()


async def stop_answers(host):
    """Let the calls of hosts that catch up wait at a host that goes on to send datagrams."""
    for _ in range(MAX_CONCURRENT_ANSWERS):
        await host.catch_up._answers.acquire()


class TestHubThatDoesNotDeliver:
    async def test_members_behind_a_hub_that_does_not_answer_read_the_configuration_themselves(
        self,
    ):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcdef")
            hub, members = hub_and_members(hosts)
            await stop_answers(hub)
            endpoints.configurations.put_value("configuration", b"7")
            await until(lambda: hub.version == 7, 1.0)
            await until(lambda: all(host.version == 7 for host in members), CONFIGURATION_SECONDS)
            await until(lambda: not any(host.endpoints.reading for host in members), 6.0)
            group.cancel_scope.cancel()

    async def test_members_behind_a_hub_that_does_not_answer_ask_each_other_without_the_store(
        self,
    ):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcdef")
            hub, members = hub_and_members(hosts)
            endpoints.refused.update(host.context.host for host in hosts)
            await stop_answers(hub)
            for host in (hub, members[0]):
                host.take_configuration(b"7", "test")
            await until(lambda: all(host.version == 7 for host in members), CONFIGURATION_SECONDS)
            group.cancel_scope.cancel()


class TestUpdates:
    async def test_loads_and_cached_prompts_reach_other_hosts(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abc")
            _, (one, _) = hub_and_members(hosts)
            parts = (PromptPart("common", 900), PromptPart("own", 100))
            one.context.record_cached_prompt("d1", parts)
            with (
                one.context.loads.track_request("d1"),
                one.context.loads.track_prefill("d1", 700, 2),
            ):
                for host in hosts:
                    await until(lambda host=host: host.load().tokens_up_to(2) == 700, 0.5)
                    assert host.load().requests == 1
                await anyio.sleep(1.2)
                assert all(host.load().requests == 1 for host in hosts)
            for host in hosts:
                await until(lambda host=host: host.load().requests == 0, 0.5)
                assert host.context.fleet.endpoint("d1").cache.cached_tokens(parts) == 1000
            group.cancel_scope.cancel()

    async def test_loads_reach_other_zones(self):
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            here, _ = await start(group, "abc", table=table, endpoints=endpoints)
            there, _ = await start(group, "xyz", table=table, endpoints=endpoints, zone="b")
            sender = hub_and_members(here)[1][0]
            receiver = hub_and_members(there)[1][0]
            with sender.context.loads.track_request("d1"):
                await until(lambda: receiver.load().requests == 1)
                await until(lambda: receiver.exchange.view.most_hosts == 6)
            await until(lambda: receiver.load().requests == 0, 0.5)
            group.cancel_scope.cancel()

    async def test_demand_of_a_silent_host_expires(self):
        one = Host("a", FaultyTable(), EndpointTable())
        one.context.loads.receive("b", {"d1": EndpointLoad(1)}, {"model": 9.0}, now=1.0)
        assert one.context.loads.prefill_demand(1.0, "model", now=1.5) == 10.0
        assert one.context.loads.prefill_demand(1.0, "model", now=3.0) == 1.0

    async def test_usage_counts_reach_the_hub(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "ab")
            hub, (member,) = hub_and_members(hosts)
            member.usage.record("acme")
            process = f"{member.context.host}/1"
            expected = HostCounts(False, {"acme": 1})
            await until(lambda: hub.peer_usage.counts_by_process(20).get(process) == expected)
            assert hub.exchange.usage_to_store()[20, process] == expected
            assert member.exchange.usage_to_store() is None
            group.cancel_scope.cancel()

    async def test_last_usage_counts_of_a_stopping_host_are_published_at_once(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "ab")
            hub, (member,) = hub_and_members(hosts)
            member.usage.record("acme")
            member.exchange.publish_usage()
            await anyio.sleep(FINAL_PUBLISH_SECONDS)
            counts = hub.peer_usage.counts_by_process(20)[f"{member.context.host}/1"].counts
            assert counts == {"acme": 1}
            group.cancel_scope.cancel()

    async def test_peer_that_is_lost_and_regained_is_logged_once_each(self, caplog):
        caplog.set_level(logging.INFO)
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "ab")
            hub, (member,) = hub_and_members(hosts)
            members = hub.exchange.view.members
            await until(lambda: members.live(now=boot_seconds()))
            later = boot_seconds() + MEMBER_TIMEOUT_SECONDS + 1.0
            assert [name for name, _ in members.remove_silent(now=later)] == [member.context.host]
            assert members.remove_silent(now=later + 1.0) == []
            messages = [record.message for record in caplog.records]
            await until(
                lambda: [record.message for record in caplog.records].count("peer-regained") == 1
            )
            assert "peer-regained" not in messages
            group.cancel_scope.cancel()

    async def test_newer_configuration_is_fetched_from_the_hub(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abc")
            hub, members = hub_and_members(hosts)
            hub.version = 7
            hub.catch_up.set_document(b"7")
            await until(lambda: all(host.version == 7 for host in hosts), 1.0)
            assert [host.taken for host in members] == [[b"7"], [b"7"]] and not hub.taken
            group.cancel_scope.cancel()

    @pytest.mark.parametrize("change", [{}, {"address": "nowhere"}, {"loads": {"d1": []}}])
    async def test_datagram_that_cannot_be_used_is_ignored(self, change):
        fields = {
            "host": "z",
            "zone": "a",
            "address": "127.0.0.1:9",
            "process": "z/1",
            "sequence": 1,
            "wall_time": 0.0,
            "configuration_version": 0,
            "store_age": None,
            "loads": {},
            "demand": {},
            "usage": {},
            "news": News(),
        }
        data = datagram(0, encode_message(MemberUpdate(**fields | change))) if change else b"\xc1"
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "ab")
            hub, (member,) = hub_and_members(hosts)
            sender = DatagramSocket(free_address())
            host, _, port = hub.address.rpartition(":")
            sender.send(data, (host, int(port)))
            sender.close()
            await anyio.sleep(0.1)
            assert hub.load().requests == 0
            with member.context.loads.track_request("d1"):
                await until(lambda: hub.load().requests == 1, 1.0)
            group.cancel_scope.cancel()


class ManyMembers:
    """Members of one zone that report the load of many engines, and what their hub sends them."""

    COUNT = 30
    ENGINES = 160
    INTERVAL_SECONDS = 0.1

    def __init__(self, hub):
        self.hub = hub
        self.address = free_address()
        numbers = random.Random(1)
        self.loads = {
            f"i-{numbers.getrandbits(40):010x}": [numbers.randrange(60)]
            + [numbers.randrange(20_000) for _ in range(3)]
            + [0] * 7
            for _ in range(self.ENGINES)
        }
        self.received = []  # time, length and whether it carries the load of the zone

    async def send(self, udp):
        for sequence in itertools.count(1):
            for number in range(self.COUNT):
                name = f"member-{number}"
                loads = self.loads if number == 0 else {}
                fields = (name, "a", self.address, f"{name}/1", sequence, 101.0, 1, None)
                update = MemberUpdate(*fields, loads, {}, {}, News())
                udp.send(datagram(0, encode_message(update)), parse_address(self.hub.address))
            await anyio.sleep(self.INTERVAL_SECONDS)

    async def receive(self, udp):
        async for data in udp.receive():
            _, update = decode_datagram(data)
            has_loads = len(update.summary.loads) == self.ENGINES
            self.received.append((boot_seconds(), len(data), has_loads))

    async def run(self):
        with contextlib.closing(DatagramSocket(self.address)) as udp:
            async with anyio.create_task_group() as group:
                group.start_soon(self.send, udp)
                group.start_soon(self.receive, udp)


class TestTraffic:
    LINK_BYTES_PER_SECOND = 625_000.0
    SECONDS = 3.0

    async def test_hub_of_many_members_and_engines_leaves_half_of_its_link_free(self):
        hub = Host(
            "hub",
            FaultyTable(),
            EndpointTable(),
            link_bytes_per_second=self.LINK_BYTES_PER_SECOND,
        )
        members = ManyMembers(hub)
        async with anyio.create_task_group() as group:
            group.start_soon(hub.run)
            await until(lambda: hub.exchange.is_hub)
            group.start_soon(members.run)
            await until(lambda: any(has_loads for _, _, has_loads in members.received))
            members.received.clear()
            await anyio.sleep(self.SECONDS)
            group.cancel_scope.cancel()
        sent = sum(length for _, length, _ in members.received)
        largest = members.COUNT * max(length for _, length, _ in members.received)
        assert sent <= self.SECONDS * self.LINK_BYTES_PER_SECOND / 2 + largest
        assert longest_gap([at for at, _, _ in members.received]) < HUB_TIMEOUT_SECONDS
        with_loads = [at for at, _, has_loads in members.received if has_loads]
        assert longest_gap(with_loads) < MAX_LOAD_AGE_SECONDS


def longest_gap(times):
    return max(later - earlier for earlier, later in itertools.pairwise(times))


class TestCrashes:
    def tracker(self, *endpoints, confirmed=True):
        tracker = CrashTracker()
        for endpoint in endpoints:
            tracker.record_unconfirmed(endpoint, Crash(1, endpoint), now=0.0)
            if confirmed:
                tracker.confirm(endpoint, now=1.0)
        return tracker

    def test_request_that_crashed_several_endpoints_is_counted(self):
        assert self.tracker("x", "y", "z").crash_count(1, now=2.0) == MIN_CRASHES_FOR_QUARANTINE

    def test_each_crash_is_logged_once_however_often_it_is_heard(self, caplog):
        caplog.set_level(logging.INFO)
        tracker = self.tracker("x")
        for _ in range(3):
            tracker.record(Crash(1, "y"), source="seen by a peer", now=2.0)
        crashes = [record for record in caplog.records if record.message == "crash"]
        assert [(line.endpoint, line.reason, line.crashed) for line in crashes] == [
            ("x", "seen here", 1),
            ("y", "seen by a peer", 2),
        ]

    def test_lost_responses_of_live_endpoints_are_no_crashes(self):
        assert self.tracker("x", "y", "z", confirmed=False).crash_count(1, now=2.0) == 0

    def test_endpoint_that_disappears_much_later_did_not_crash(self):
        tracker = self.tracker("x", confirmed=False)
        tracker.confirm("x", now=CONFIRMATION_TIMEOUT_SECONDS + 1)
        assert tracker.crash_count(1, now=CONFIRMATION_TIMEOUT_SECONDS + 1) == 0

    def test_response_clears_a_request(self):
        tracker = self.tracker("x", "y", "z")
        tracker.clear(1, now=2.0)
        assert tracker.crash_count(1, now=2.0) == 0

    def test_same_request_has_the_same_fingerprint_whatever_its_id(self):
        again = [fingerprint(request(request_id=name, body=b"b"), ROUTES[0]) for name in "xy"]
        other = fingerprint(request(body=b"c"), ROUTES[0])
        assert again[0] == again[1] != other


class TestLongRows:
    async def test_changes_with_a_row_too_long_for_a_datagram_make_receivers_fetch_the_list(self):
        position, newest = StoreVersion(0, 5), StoreVersion(0, 9)
        row = RowChange("odd", newest, b"x" * 65_536)
        encoded = encode_changes(ChangeSet(position, newest, [row]))
        replica = TableReplica(lambda change: None)
        replica.has_snapshot, replica.position = True, position
        assert encoded.changes == []
        assert not replica.apply_change_set(decode_changes(encoded), now=0.0)
        assert replica.position == position

    async def test_odd_long_entry_in_the_list_leaves_members_with_their_hub(self):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, ["h1", "h2", "h3"])
            hub, _ = hub_and_members(hosts)
            endpoints.put("odd", zone="z" * 65_536)
            endpoints.put("d2", state="ready")
            began = boot_seconds()
            await until(lambda: all(host.state("d2") for host in hosts))
            assert boot_seconds() - began < 0.6
            assert {host.exchange.hub for host in hosts} == {hub.context.host}
            group.cancel_scope.cancel()


class TestListKnowledge:
    async def test_hosts_in_touch_know_their_list_to_be_whole_without_the_store(self):
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            here, _ = await start(group, "abc", table=table, endpoints=endpoints)
            there, _ = await start(group, "xyz", table=table, endpoints=endpoints, zone="b")
            hosts = [*here, *there]
            await until(lambda: sum(host.endpoints.reading for host in hosts) == 1)
            endpoints.refused = set("abcxyz")
            await anyio.sleep(0.5)
            moment = boot_seconds()
            await until(lambda: all(_whole_until(host) >= moment for host in hosts), 2.0)
            group.cancel_scope.cancel()

    @pytest.mark.parametrize("is_hub", [True, False])
    async def test_host_that_hears_nobody_does_not_know_its_list_to_be_whole(self, is_hub):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, "abcd")
            hub, members = hub_and_members(hosts)
            left = hub if is_hub else members[0]
            await until(lambda: _whole_until(left) > float("-inf"))
            endpoints.refused = {left.context.host}
            for host in hosts:
                if host is not left:
                    host.scope.cancel()
            moment = boot_seconds()
            await anyio.sleep(2.0)
            assert _whole_until(left) <= moment + 0.1
            group.cancel_scope.cancel()


def _whole_until(host):
    return host.exchange.list_complete_until(now=boot_seconds())


class TestQuotas:
    async def test_grants_of_a_member_reach_the_hosts_of_all_zones(self):
        """Guards against counters and levels that are filled in but not sent or not applied."""
        customer = Customer("acme", None, Quota(10.0, 100.0))
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), EndpointTable()
            here, _ = await start(group, "abc", table=table, endpoints=endpoints)
            there, _ = await start(group, "xyz", table=table, endpoints=endpoints, zone="b")
            hosts = [*here, *there]
            for host in hosts:
                host.context.quotas.set_customers([customer])

            def knowledge():
                return [host.context.quotas.knowledge("acme") for host in hosts]

            await until(lambda: all(each.in_touch and each.heard == 6 for each in knowledge()))
            await anyio.sleep(3.0)
            before = min(each.level for each in knowledge())
            _, members = hub_and_members(here)
            quotas = members[0].context.quotas
            quotas.offer(customer, 25.0)
            assert quotas.decide(customer, 25.0, waited=True).verdict is Verdict.GRANT
            await until(lambda: all(each.level < before - 10 for each in knowledge()), 1.0)
            await until(lambda: all(each.demand > 5 for each in knowledge()), 0.5)
            await until(lambda: quotas._customers["acme"].outstanding == 0, 1.0)
            group.cancel_scope.cancel()
