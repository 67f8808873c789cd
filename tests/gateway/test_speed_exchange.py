"""Engine speeds that hosts exchange through their hubs."""

import math

import anyio
import msgspec
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.gateway.engine_rates import common_speed, lasting_factors
from samphirehall.gateway.speed_exchange import (
    MEMBER_REFRESH_SECONDS,
    REPORTS_PER_DATAGRAM,
    SAMPLES_PER_DATAGRAM,
    ReportChannel,
    SpeedExchange,
)
from samphirehall.gateway.types import Stage
from samphirehall.gateway.zone_messages import MemberUpdate, decode_datagram
from samphirehall.scheduling.speed_samples import SpeedRange
from tests.gateway.helpers import MODEL, context, engine
from tests.gateway.test_odd_datagrams import member_update
from tests.gateway.test_zone_exchange import EndpointTable, Host, hub_and_members, start, until
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio


def teach(gateway_context, name="d1", *, factor=0.4, count=30):
    """Record calls that show an engine to be faster or slower than others."""
    listed = gateway_context.fleet.endpoint(name).listed
    common = common_speed(gateway_context)(listed.incarnation)
    speed = common + math.log(factor)
    for _ in range(count):
        measured = SpeedRange(speed, speed, 1.0)
        gateway_context.speeds.record(listed.incarnation, measured, common, now=boot_seconds())


def lasting_factor(gateway_context, name="d1"):
    listed = gateway_context.fleet.endpoint(name).listed
    return lasting_factors(gateway_context, [listed])[name]


def factor_of(host):
    return lasting_factor(host.context)


def several_engines():
    endpoints = EndpointTable()
    for name in ("d2", "d3"):
        endpoints.put(name, state="ready")
    return endpoints


async def taught_by(teacher, hosts):
    """Let one host measure calls until all hosts know that the engine is slow."""
    with anyio.fail_after(8.0):
        while not all(factor_of(host) < 0.7 for host in hosts):
            teach(teacher.context, count=3)
            await anyio.sleep(0.05)


def site(count=30):
    gateway_context, _ = context()
    for number in range(count):
        gateway_context.fleet.update(engine(f"e{number}", Stage.PREFILL), MODEL)
    return gateway_context


class TestExchange:
    async def test_speed_reaches_all_hosts_of_all_zones_and_one_that_starts(self):
        async with anyio.create_task_group() as group:
            table, endpoints = FaultyTable(), several_engines()
            here, _ = await start(group, "abc", table=table, endpoints=endpoints)
            there, _ = await start(group, "xyz", table=table, endpoints=endpoints, zone="b")
            _, members = hub_and_members(here)
            for host in (members[0], *here, *there):
                assert factor_of(host) == 1.0
            await taught_by(members[0], [*here, *there])
            late = Host("late", table, endpoints)
            group.start_soon(late.run)
            await until(lambda: late.state() is not None)
            await until(lambda: factor_of(late) < 0.7, seconds=1.5)
            group.cancel_scope.cancel()

    async def test_estimates_outlive_the_hub(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abcd", endpoints=several_engines())
            hub, members = hub_and_members(hosts)
            await taught_by(members[0], hosts)
            hub.scope.cancel()
            await until(lambda: any(host.exchange.is_hub for host in members))
            await anyio.sleep(0.5)
            assert all(factor_of(host) < 0.7 for host in members)
            group.cancel_scope.cancel()


class TestDatagrams:
    def test_equal_engines_add_nothing(self):
        gateway_context = site()
        exchange = SpeedExchange(gateway_context)
        for number in range(30):
            teach(gateway_context, f"e{number}", factor=1.1, count=3)
        now = boot_seconds()
        assert exchange.samples_for_hub(now=now) == exchange.samples_for_hubs(now=now) == []
        assert exchange.reports_for_members(now=now) == exchange.reports_for_hubs(now=now) == []

    def test_many_engines_take_several_datagrams_of_bounded_size(self):
        gateway_context = site()
        exchange = SpeedExchange(gateway_context)
        for number in range(30):
            teach(gateway_context, f"e{number}")
        now, reported, sampled = boot_seconds(), set(), set()
        for _ in range(4):
            reports, samples = exchange.reports_for_members(now=now), exchange.samples_for_hub(
                now=now
            )
            assert len(reports) <= REPORTS_PER_DATAGRAM and len(samples) <= SAMPLES_PER_DATAGRAM
            encoded = msgspec.msgpack.encode(member_update(speed_samples=samples))
            assert len(encoded) - len(msgspec.msgpack.encode(member_update())) <= 200
            reported.update(name for name, *_ in reports)
            sampled.update(name for name, *_ in samples)
        assert len(reported) == len(sampled) == 30

    def test_unchanged_estimates_are_repeated_in_intervals_and_for_a_new_member(self):
        gateway_context, channel = site(1), ReportChannel(MEMBER_REFRESH_SECONDS)
        teach(gateway_context, "e0")
        now = boot_seconds() + 1.5  # the temporary slowness is over
        assert len(channel.choose(gateway_context.speeds, now=now)) == 1
        assert channel.choose(gateway_context.speeds, now=now + 0.1) == []
        channel.restart()
        assert len(channel.choose(gateway_context.speeds, now=now + 0.2)) == 1
        later = now + 0.2 + MEMBER_REFRESH_SECONDS
        assert len(channel.choose(gateway_context.speeds, now=later)) == 1

    def test_estimate_survives_encoding(self):
        one, other = site(1), site(1)
        teach(one, "e0")
        now = boot_seconds()
        reports = SpeedExchange(one).reports_for_members(now=now)
        SpeedExchange(other).receive_from_own_hub(reports, now=now)
        assert lasting_factor(other, "e0") == pytest.approx(lasting_factor(one, "e0"), rel=0.03)

    def test_update_of_an_earlier_version_has_no_speeds(self):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(member_update()))
        _, message = decode_datagram(bytes(5) + msgspec.msgpack.encode(fields[:-1]))
        assert isinstance(message, MemberUpdate) and message.speed_samples == []
