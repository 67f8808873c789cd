"""Exchange of loads, configurations, leaving endpoints and crashes between hosts."""

import logging

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.configuration_exchange import ConfigurationExchange
from samphirehall.gateway.crashes import (
    CONFIRMATION_TIMEOUT_SECONDS,
    MIN_CRASHES_FOR_QUARANTINE,
    Crash,
    CrashTracker,
    fingerprint,
)
from samphirehall.gateway.peers import PEER_TIMEOUT_SECONDS, Peers
from samphirehall.gateway.types import PromptPart, Stage
from samphirehall.gateway.usage_windows import HostCounts, PeerUsage, UsageCounter
from samphirehall.programs.node import FINAL_PUBLISH_SECONDS
from tests.gateway.helpers import MODEL, ROUTES, context, engine, request
from tests.support.ports import free_address
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio


class Host:
    """A host that exchanges real datagrams on loopback."""

    def __init__(self, name, table):
        self.context, _ = context()
        self.context.host = name
        self.context.fleet.update(engine("d1"), MODEL)
        self.agreed = AgreedTime()
        self.version = 1
        self.taken = []
        self.usage = UsageCounter(f"{name}/1", 5.0, lambda: 101.0)
        self.peer_usage = PeerUsage()
        self.peers = Peers(
            self.context,
            table,
            free_address(),
            self.agreed,
            lambda: self.version,
            self.usage,
            self.peer_usage,
        )
        self.exchange = ConfigurationExchange(
            self.peers, lambda content, source: self.taken.append(content)
        )


async def until(condition):
    with anyio.fail_after(3):
        while not condition():
            await anyio.sleep(0.02)


async def two_hosts(group, *, exchange=False):
    table = FaultyTable()
    hosts = [Host(name, table) for name in ("a", "b")]
    for host in hosts:
        group.start_soon(host.peers.run)
        if exchange:
            group.start_soon(host.exchange.run)
    await until(lambda: all(len(host.peers.live_hosts(now=boot_seconds())) == 2 for host in hosts))
    return hosts


class TestPeers:
    async def test_usage_counts_reach_other_hosts(self):
        async with anyio.create_task_group() as group:
            one, two = await two_hosts(group)
            one.usage.record("acme")
            expected = {"a/1": HostCounts(False, {"acme": 1})}
            await until(lambda: two.peer_usage.counts_by_process(20) == expected)
            group.cancel_scope.cancel()

    async def test_last_usage_counts_of_a_stopping_host_are_published_at_once(self):
        async with anyio.create_task_group() as group:
            one, two = await two_hosts(group)
            one.usage.record("acme")
            one.peers.publish_usage()
            await anyio.sleep(FINAL_PUBLISH_SECONDS)
            assert two.peer_usage.counts_by_process(20)["a/1"].counts == {"acme": 1}
            group.cancel_scope.cancel()

    async def test_peer_that_is_lost_and_regained_is_logged_once_each(self, caplog):
        caplog.set_level(logging.INFO)
        async with anyio.create_task_group() as group:
            one, _ = await two_hosts(group)
            now = boot_seconds()
            for later in (0.0, PEER_TIMEOUT_SECONDS + 1.0, PEER_TIMEOUT_SECONDS + 2.0):
                one.peers._log_lost_peers(now=now + later)
            events = [record.message for record in caplog.records]
            assert events.count("peer-lost") == 1
            await until(
                lambda: [record.message for record in caplog.records].count("peer-regained") == 1
            )
            group.cancel_scope.cancel()

    async def test_loads_and_cached_prompts_reach_other_hosts(self):
        async with anyio.create_task_group() as group:
            one, two = await two_hosts(group)
            parts = (PromptPart("common", 900), PromptPart("own", 100))
            one.context.record_cached_prompt("d1", parts)
            with (
                one.context.loads.track_request("d1"),
                one.context.loads.track_prefill("d1", 700, 2),
            ):
                await until(
                    lambda: two.context.loads.total_load("d1", now=boot_seconds()).tokens_up_to(2)
                    == 700
                )
            await until(
                lambda: two.context.loads.total_load("d1", now=boot_seconds()).requests == 0
            )
            assert two.context.fleet.endpoint("d1").cache.cached_tokens(parts) == 1000
            group.cancel_scope.cancel()

    async def test_demand_of_a_silent_host_expires(self):
        one = Host("a", FaultyTable())
        one.context.loads.receive(
            "b", {"d1": one.context.loads._local["d1"]}, {"model": 9.0}, now=1.0
        )
        assert one.context.loads.prefill_demand(1.0, "model", now=1.5) == 10.0
        assert one.context.loads.prefill_demand(1.0, "model", now=3.0) == 1.0

    async def test_leaving_endpoint_is_published_without_the_store(self):
        async with anyio.create_task_group() as group:
            one, two = await two_hosts(group)
            gone = engine("d1")
            leaving = gone.__class__(**{name: getattr(gone, name) for name in gone.__slots__})
            object.__setattr__(leaving, "ready", False)
            one.context.fleet.update(leaving, MODEL, now=boot_seconds())
            await until(lambda: not two.context.fleet.endpoint("d1").listed.ready)
            two.context.fleet.update(engine("d1"), MODEL)
            assert not two.context.fleet.candidates("model", now=0.0, stage=Stage.DECODE)
            group.cancel_scope.cancel()

    async def test_newer_configuration_is_fetched_from_a_peer(self):
        async with anyio.create_task_group() as group:
            one, two = await two_hosts(group, exchange=True)
            one.exchange.set_document(7, b"document")
            one.version = 7
            await until(lambda: two.taken)
            assert two.taken[0] == b"document" and not one.taken
            group.cancel_scope.cancel()

    async def test_unreadable_datagram_is_ignored(self):
        async with anyio.create_task_group() as group:
            _, two = await two_hosts(group)
            host, _, port = two.peers.address.rpartition(":")
            async with await anyio.create_udp_socket(local_host=host) as udp:
                await udp.sendto(b"\xc1garbage", host, int(port))
            before = two.peers._peers["a"].last_seen
            await until(lambda: two.peers._peers["a"].last_seen > before)
            group.cancel_scope.cancel()


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

    def test_lost_responses_of_live_endpoints_are_no_crashes(self):
        assert self.tracker("x", "y", "z", confirmed=False).crash_count(1, now=2.0) == 0

    def test_endpoint_that_disappears_much_later_did_not_crash(self):
        tracker = self.tracker("x", confirmed=False)
        tracker.confirm("x", now=CONFIRMATION_TIMEOUT_SECONDS + 1)
        assert tracker.crash_count(1, now=CONFIRMATION_TIMEOUT_SECONDS + 1) == 0

    def test_response_clears_a_request(self):
        tracker = self.tracker("x", "y", "z")
        tracker.clear(1)
        assert tracker.crash_count(1, now=2.0) == 0

    def test_same_request_has_the_same_fingerprint_whatever_its_id(self):
        again = [fingerprint(request(request_id=name, body=b"b"), ROUTES[0]) for name in "xy"]
        other = fingerprint(request(body=b"c"), ROUTES[0])
        assert again[0] == again[1] != other
