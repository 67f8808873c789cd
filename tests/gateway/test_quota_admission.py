"""Requests under a quota: refused ones do not run, and unused units are given back."""

import random

import anyio
import msgspec
import pytest

from samphirehall.admission.quota import Quota, QuotaBounds, Verdict
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED, NO_ENDPOINT, SHUTTING_DOWN
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.quota_exchange import HostQuotas
from samphirehall.gateway.types import Customer
from samphirehall.gateway.zone_messages import (
    HubQuotas,
    MemberUpdate,
    News,
    decode_datagram,
    encode_message,
)
from tests.gateway.helpers import (
    DESK,
    RecordingCaller,
    configuration,
    context,
    listed,
    prompt,
    request,
    response_bytes,
    scripted_endpoint,
)

pytestmark = pytest.mark.anyio
QUOTA = Quota(1.0, 4.0)
MEMBER = MemberUpdate("h", "a", "127.0.0.1:1", "h/1", 1, 0.0, 1, None, {}, {}, {}, News())


async def answered(received, writer):
    writer.write(response_bytes(received, b"body"))


def gateway_with(quota, *addresses, is_hub=True):
    shared, _ = context()
    for number, address in enumerate(addresses):
        shared.fleet.update(listed(f"e{number}", address), DESK)
    results = []
    gateway = Gateway(shared, lambda state, result, seconds: results.append((state, result)))
    customers = {"key-1": Customer("acme", None, quota), "key-2": Customer("free")}
    gateway.apply_configuration(configuration(customers=customers), source="test")
    if is_hub:
        shared.quotas.set_role(is_hub=True, now=shared.clock())
    return gateway, results


async def serve(gateway, **fields):
    await gateway.serve(request(**fields), RecordingCaller())


class TestRefusal:
    async def test_request_over_the_quota_does_not_run(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, results = gateway_with(QUOTA, endpoint.address)
            with pytest.raises(SamphireError) as caught:
                for _ in range(10):
                    await serve(gateway)
            assert caught.value.result is LIMIT_REACHED
            assert 0.1 <= caught.value.retry_after <= 10
            assert len(endpoint.received) == len(results) - 1 < 6
            quota = results[-1][0].extra_log_fields["quota"]
            assert quota["verdict"] == "refused" and quota["level"] < 4
            assert quota["level_age"] == 0

    async def test_customer_without_a_quota_is_not_refused(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(QUOTA, endpoint.address)
            for _ in range(20):
                await serve(gateway, key="key-2")
            assert len(endpoint.received) == 20

    async def test_unused_units_are_given_back(self):
        gateway, _ = gateway_with(QUOTA)
        before = gateway.context.quotas.knowledge("acme").level
        for _ in range(20):
            with pytest.raises(SamphireError) as caught:
                await serve(gateway)
            assert caught.value.result is NO_ENDPOINT
        assert gateway.context.quotas.knowledge("acme").level >= before

    @pytest.mark.parametrize(("described", "units"), [(prompt(1000), 1020), (None, 300)])
    async def test_request_counts_for_its_tokens(self, described, units):
        quota = Quota(10_000.0, 10_000.0, True, 300.0)
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(quota, endpoint.address)
            before = gateway.context.quotas.knowledge("acme").level
            await serve(gateway, prompt=described)
            used = before - gateway.context.quotas.knowledge("acme").level
            assert units - 200 < used <= units

    async def test_client_that_leaves_while_its_request_waits_uses_nothing(self):
        gateway, _ = gateway_with(QUOTA, is_hub=False)
        with anyio.move_on_after(0.005):
            await serve(gateway)
        assert gateway.context.quotas._customers["acme"].granted == 0


class TestWait:
    async def test_request_waits_for_the_hub_no_longer_than_it_may(self):
        gateway, results = gateway_with(Quota(0.001, 4.0), is_hub=False)
        started = gateway.context.clock()
        with pytest.raises(SamphireError):
            await serve(gateway)
        assert 0.02 < gateway.context.clock() - started < 0.2  # a quarter of 0.1 s
        assert results[-1][0].extra_log_fields["quota"]["regime"] == "alone"

    async def test_request_that_waits_as_the_host_stops_does_not_run(self):
        """Guards against a request that begins after all running ones were ended."""
        async with scripted_endpoint(answered) as endpoint:
            gateway, results = gateway_with(QUOTA, endpoint.address, is_hub=False)
            with pytest.raises(ExceptionGroup):
                async with anyio.create_task_group() as group:
                    group.start_soon(serve, gateway)
                    await anyio.sleep(0.005)
                    gateway.end_running_requests()
                    now, quotas = gateway.context.clock(), gateway.context.quotas
                    assert quotas.member_counts(1, now=now)
                    quotas.receive_hub(HubQuotas("h/1", 1, 1, 1), 1, delay=0.0, now=now)
            assert results[-1][1] is SHUTTING_DOWN and not endpoint.received
            assert quotas._customers["acme"].granted == 0

    async def test_update_of_the_hub_ends_the_wait(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(QUOTA, endpoint.address, is_hub=False)
            state = HubQuotas("h/1", 1, 1, 1)
            async with anyio.create_task_group() as group:
                group.start_soon(serve, gateway)
                await anyio.sleep(0.005)
                now, quotas = gateway.context.clock(), gateway.context.quotas
                assert quotas.member_counts(1, now=now)
                quotas.receive_hub(state, 1, delay=0.0, now=now)
            assert len(endpoint.received) == 1


def test_units_given_back_and_acknowledged_hide_no_later_grants():
    """Guards against grants that neither the host nor a new hub counts after a failed endpoint."""
    customer = Customer("acme", None, Quota(100.0, 100.0))
    member, hub = (HostQuotas(name, random.Random(1), lambda: 100.0) for name in "mh")
    for quotas in (member, hub):
        quotas.set_customers([customer])
    hub.set_role(is_hub=True, now=100.0)

    def exchange(sequence):
        hub.receive_member("m", "m/1", member.member_counts(sequence, now=100.0), now=100.0)
        state = hub.state_for_members(has_load=True, now=100.0)
        member.receive_hub(state, sequence, delay=0.0, now=100.0)

    exchange(1)
    assert member.decide(customer, 5.0, waited=True).verdict is Verdict.GRANT
    exchange(2)
    member.give_back(customer, 5.0)
    exchange(3)
    assert member.decide(customer, 5.0, waited=True).verdict is Verdict.GRANT
    assert member._customers["acme"].outstanding == 5


class TestMessages:
    """Hosts without quotas send more than before, or peers cannot read what hosts send."""

    def test_update_without_quotas_is_encoded_as_before(self):
        encoded = msgspec.msgpack.decode(encode_message(MEMBER)[1:])
        optional = ("shares", "quotas", "speed_samples", "settled_era")
        sent_before = MemberUpdate.__struct_fields__[: -len(optional)]
        assert len(encoded) == len(("tag", *sent_before))
        assert decode_datagram(b"\0\0\0\0" + encode_message(MEMBER))[1] == MEMBER

    def test_update_with_quotas_survives_encoding(self):
        update = msgspec.structs.replace(MEMBER, quotas=[("acme", 5.0, 1.0, 2.5)])
        assert decode_datagram(b"\0\0\0\0" + encode_message(update))[1] == update

    @pytest.mark.parametrize("counts", [("", 1, 1, 1), ("a", -1, 0, 0), ("a", 1e16, 0, 0)])
    def test_odd_counts_are_rejected(self, counts):
        update = msgspec.structs.replace(MEMBER, quotas=[counts])
        with pytest.raises(ValueError):
            decode_datagram(b"\0\0\0\0" + encode_message(update))

    def test_host_without_quotas_sends_none(self):
        quotas = HostQuotas("h", random.Random(1), lambda: 0.0)
        quotas.set_customers([Customer("free")])
        assert quotas.member_counts(1, now=0.0) is None
        quotas.set_role(is_hub=True, now=0.0)
        assert quotas.state_for_members(has_load=True, now=0.0) is None
        assert quotas.state_for_hubs(now=0.0) is None

    def test_sixteen_customers_fit_one_packet(self):
        names = [f"customer-{number:02}" for number in range(16)]
        customers = [Customer(name, None, Quota(954_398.0, 954_398.0, True)) for name in names]
        clock = [100.0]
        member, hub = (HostQuotas(name, random.Random(1), lambda: clock[0]) for name in "mh")
        for quotas in (member, hub):
            quotas.set_bounds(QuotaBounds(8, 0.1, 190_000))
            quotas.set_customers(customers)
        hub.set_role(is_hub=True, now=clock[0])
        for customer in customers:
            member.offer(customer, 17_000.0)
            member.decide(customer, 17_000.0, waited=True)
            hub.offer(customer, 17_000.0)
            hub.decide(customer, 17_000.0, waited=True)
        counts = member.member_counts(1, now=clock[0])
        hub.receive_member("m", "m/1", counts, now=clock[0])
        sent = hub.state_for_members(has_load=True, now=clock[0])
        for message in (counts, sent, hub.state_for_hubs(now=clock[0])):
            assert len(msgspec.msgpack.encode(message)) < 700
        member.receive_hub(sent, 1, delay=0.0, now=clock[0])
        assert member.member_counts(2, now=clock[0]) == []
