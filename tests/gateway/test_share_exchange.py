"""Served and refused work in the updates between hosts, and in the decisions of the gateway."""

import asyncio

import anyio
import msgspec
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OVERLOADED
from samphirehall.gateway.admission import decide_admission
from samphirehall.gateway.share_exchange import ShareExchange
from samphirehall.gateway.zone_messages import datagram, decode_datagram, encode_message
from samphirehall.scheduling.fair_shares import CustomerShare, FairShareTable
from tests.gateway import test_generation as streams
from tests.gateway.helpers import prompt, scripted_endpoint
from tests.gateway.test_odd_datagrams import hub_update, member_update
from tests.gateway.test_zone_exchange import EndpointTable, Host, settled, until
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

SHARES = {"model": {"acme": (900, 100)}}
# Tags and fields of the updates before shares were added.
MEMBER_FIELDS, HUB_FIELDS = 17, 16


class TestMessages:
    @pytest.mark.parametrize(
        ("update", "fields"), [(member_update(), MEMBER_FIELDS), (hub_update(), HUB_FIELDS)]
    )
    async def test_update_without_shares_is_as_long_as_before_they_existed(self, update, fields):
        assert len(msgspec.msgpack.decode(encode_message(update)[1:])) == fields
        assert decode_datagram(datagram(0, encode_message(update)))[1] == update

    @pytest.mark.parametrize("make", [member_update, hub_update])
    async def test_shares_are_decoded_within_bounds(self, make):
        update = make(shares=SHARES)
        assert decode_datagram(datagram(0, encode_message(update)))[1].shares == SHARES
        for wrong in ({"acme": (-1, 0)}, {"acme": (2**62, 0)}, {"": (1, 1)}, {"acme": (1.5, 0)}):
            with pytest.raises(ValueError):
                decode_datagram(datagram(0, encode_message(make(shares={"model": wrong}))))


def with_table(host):
    host.context.fair_shares = FairShareTable()
    host.exchange._shares = ShareExchange(host.context.fair_shares)
    return host


def served(host, customer):
    shares = host.context.fair_shares.of("model")
    return shares.total_rates(now=boot_seconds()).get(customer, (0.0, 0.0))[0]


class TestExchange:
    async def test_work_of_each_host_reaches_all_hosts_of_all_zones_once(self):
        table, endpoints = FaultyTable(), EndpointTable()
        async with anyio.create_task_group() as group:
            hosts = [with_table(Host(name, table, endpoints)) for name in "abc"]
            hosts += [with_table(Host(name, table, endpoints, zone="b")) for name in "xyz"]
            for host in hosts:
                group.start_soon(host.run)
            await until(lambda: settled(hosts))
            await until(lambda: all(host.exchange.view.most_hosts == 6 for host in hosts))
            for host in (hosts[0], hosts[3]):
                shares = host.context.fair_shares.of("model")
                shares.record_served("acme", 40_000.0, now=boot_seconds())
                shares.record_refused("other", 8_000.0, now=boot_seconds())
            await until(lambda: min(served(host, "acme") for host in hosts) > 12_000, 3.0)
            assert max(served(host, "acme") for host in hosts) < 20_500
            group.cancel_scope.cancel()

    async def test_new_hub_counts_no_work_twice(self):
        table = FairShareTable()
        exchange = ShareExchange(table)
        exchange.receive_hub({"model": {"acme": (900, 0)}}, now=1.0)
        exchange.receive_member("b", {"model": {"acme": (800, 50)}}, now=1.0)
        exchange.receive_zone("z", {"model": {"acme": (100, 0)}}, now=1.0)
        rates = table.of("model").total_rates(now=1.0)
        assert rates["acme"][0] == pytest.approx(900)
        zone = exchange.for_zones(now=1.0)
        assert zone["model"]["acme"] == (800, 50)

    async def test_hubs_tell_nothing_while_no_work_is_refused(self):
        """Guards against hubs of 75 members whose links are full of shares that nobody needs."""
        exchange = ShareExchange(FairShareTable())
        exchange.receive_member("b", {"model": {"acme": (800, 0)}}, now=1.0)
        assert exchange.for_members(now=1.0) == exchange.for_zones(now=1.0) == {}
        exchange.receive_member("b", {"model": {"acme": (800, 100)}}, now=2.0)
        assert exchange.for_members(now=2.0) == {"model": {"acme": (800, 100)}}
        assert exchange.for_zones(now=2.0) == {"model": {"acme": (800, 100)}}

    async def test_member_takes_its_own_work_out_of_its_hubs_word(self):
        table = FairShareTable()
        exchange = ShareExchange(table)
        table.of("model").record_served("acme", 400.0, now=1.0)
        exchange.receive_hub({"model": {"acme": (500, 7), "b": (1, 1)}}, now=1.0)
        rates = table.of("model").total_rates(now=1.0)
        assert rates["acme"] == pytest.approx((500, 7)) and rates["b"] == pytest.approx((1, 1))

    async def test_host_that_does_not_use_shares_sends_and_keeps_none(self):
        exchange = ShareExchange(None)
        exchange.receive_member("b", SHARES, now=1.0)
        exchange.receive_hub(SHARES, now=1.0)
        exchange.receive_zone("z", SHARES, now=1.0)
        for make in (exchange.for_hub, exchange.for_members, exchange.for_zones):
            assert make(now=1.0) == {}


class TestGateway:
    def gateway(self, decode, *, pending):
        gateway, _ = streams.gateway_with(d1=decode)
        gateway.context.fair_shares = FairShareTable()
        gateway.context.loads._local["d1"].pending_prefill_tokens[0] = pending
        return gateway, gateway.context.fair_shares.of("model")

    async def test_served_work_is_counted_when_a_stream_begins_and_ends(self):
        async with scripted_endpoint(streams.generate) as decode:
            gateway, shares = self.gateway(decode, pending=0)
            await streams.serve(gateway, of=prompt(1000))
        served_rate, refused = shares.own_rates(now=boot_seconds())["acme"]
        assert 0.9 * 1005 < served_rate * 4 <= 1005 and refused == 0

    async def test_customer_above_its_share_is_refused_where_another_is_admitted(self, caplog):
        async with scripted_endpoint(streams.generate) as decode:
            gateway, shares = self.gateway(decode, pending=3_000)
            await streams.serve(gateway)
            now = boot_seconds()
            shares.receive("zone/b", {"acme": (9e5, 9e5), "other": (1e5, 9e5)}, now=now)
            assert shares.share("acme", now=now + 1.0).use > 1
            await asyncio.sleep(0.06)
            with pytest.raises(SamphireError) as caught:
                for _ in range(20):
                    await streams.serve(gateway)
            assert caught.value.result is OVERLOADED
            assert caught.value.detail == "above its fair share"
            assert shares.own_rates(now=boot_seconds())["acme"][1] > 0
            (line,) = [record for record in caplog.records if record.message == "request"]
            assert line.admission == caught.value.detail and line.share["use"] > 1
            shares.receive("zone/b", {"acme": (1e5, 9e5), "other": (9e5, 9e5)}, now=now)
            await asyncio.sleep(0.06)
            for _ in range(20):
                await streams.serve(gateway)

    async def test_nothing_is_refused_at_a_free_engine(self):
        async with scripted_endpoint(streams.generate) as decode:
            gateway, shares = self.gateway(decode, pending=0)
            shares.receive("zone/b", {"acme": (9e5, 9e5), "b": (1.0, 9e5)}, now=boot_seconds())
            for _ in range(20):
                await streams.serve(gateway)


class TestShare:
    async def test_retries_of_refused_requests_are_spread(self):
        waits = {
            decide_admission(
                queue_wait=0.4,
                time_to_first_event=0.5,
                remaining_latency_target=0.5,
                latency_target=0.5,
                time_to_deadline=4.0,
                share=CustomerShare(30.0, 60.0, 10.0),
                chance=0.9,
                spread=number / 10,
            ).retry_after
            for number in range(10)
        }
        assert len(waits) == 10 and max(waits) > 1.8 * min(waits) >= 0.18
