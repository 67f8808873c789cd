"""Quotas of many hosts that know of each other late, in a model without sockets."""

import heapq
import random
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirehall.admission.quota import Quota, QuotaBounds, Verdict
from samphirehall.gateway.quota_exchange import HostQuotas
from samphirehall.gateway.types import Customer

BOUNDS = QuotaBounds(8.0, 0.1, 190_000.0)
LARGE = Quota(954_398.0, 954_398.0, True, 1460.0)
MEDIUM = Quota(200_000.0, 200_000.0, True, 1460.0)
SMALL = Quota(60_000.0, 60_000.0, True, 1460.0)
MAX_WAIT = 0.12  # a quarter of a common latency target
USUAL_PART = 1 / 1.8  # of its quota that a customer usually asks for


class _Host:
    def __init__(self, fleet, name, zone):
        self.name, self.zone = name, zone
        self.process, self.sequence = f"{name}/{next(fleet.numbers)}", 0
        self.heard_sequence = {}
        self.frozen = False
        self.quotas = HostQuotas(name, fleet.random, lambda: fleet.now)
        self.quotas.set_bounds(BOUNDS)
        self.quotas.zone = f"zone:{zone}"
        self.quotas.listed_hosts = fleet.listed
        self.quotas.set_customers([fleet.customer])


class Fleet:
    """Hosts of three zones in virtual time, with late and lost messages."""

    def __init__(self, quota, *, hosts=79, seed=1, loss=0.01):
        self.random, self.now, self.numbers, self.loss = random.Random(seed), 0.0, count(), loss
        self.customer, self.quota, self.listed = Customer("c", None, quota), quota, hosts
        self.events, self.granted, self.refused, self.offered = [], [], [], 0
        self.cut_links = set()  # pairs of zones
        self.cut_zones, self.silent_hosts, self.unheard_hosts = set(), set(), set()
        self.hosts = [_Host(self, f"h{number}", number % 3) for number in range(hosts)]
        self.hubs = {}
        for zone in range(3):
            self.elect(zone)
        for host in self.hosts:
            self.every(0.1 + 0.3 * self.random.random(), lambda name=host.name: self.member(name))
        for zone in range(3):
            self.every(0.15, lambda zone=zone: self.to_members(zone))
            self.every(0.26, lambda zone=zone: self.to_hubs(zone))

    def at(self, time, call):
        heapq.heappush(self.events, (time, next(self.numbers), call))

    def every(self, interval, call):
        def tick():
            call()
            self.at(self.now + interval, tick)

        self.at(self.now + interval * self.random.random(), tick)

    def send(self, call):
        if self.random.random() >= self.loss:
            self.at(self.now + 0.01 + 0.08 * self.random.random(), call)

    def host(self, name):
        return next(host for host in self.hosts if host.name == name)

    def elect(self, zone, hub=None):
        members = [host for host in self.hosts if host.zone == zone]
        self.hubs[zone] = hub or members[0]
        for host in members:
            host.quotas.set_role(is_hub=host is self.hubs[zone], now=self.now)

    def member(self, name):
        host = self.host(name)
        hub = self.hubs[host.zone]
        if host is hub or host.frozen:
            return
        host.sequence += 1
        sequence, counts = host.sequence, host.quotas.member_counts(host.sequence, now=self.now)

        def receive():
            if not hub.frozen and hub.heard_sequence.get(host.process, 0) < sequence:
                hub.heard_sequence[host.process] = sequence
                hub.quotas.receive_member(host.name, host.process, counts, now=self.now)

        if name not in self.silent_hosts | self.unheard_hosts:
            self.send(receive)

    def to_members(self, zone):
        hub = self.hubs[zone]
        state = hub.quotas.state_for_members(has_load=True, now=self.now)
        for host in self.hosts:
            if host.zone == zone and host is not hub and not hub.frozen:
                heard = hub.heard_sequence.get(host.process, 0)
                self.send(lambda host=host, heard=heard: self.receive_hub(host, state, heard))

    def receive_hub(self, host, state, heard):
        if not host.frozen and host.name not in self.silent_hosts:
            host.quotas.receive_hub(state, heard, delay=0.0, now=self.now)

    def to_hubs(self, zone):
        state = self.hubs[zone].quotas.state_for_hubs(now=self.now)
        for other, hub in self.hubs.items():
            is_cut = {zone, other} & self.cut_zones or frozenset((zone, other)) in self.cut_links
            if other != zone and not is_cut and not hub.frozen:
                self.send(lambda hub=hub: self.receive_zone(hub, f"zone:{zone}", state))

    def receive_zone(self, hub, zone, state):
        hub.quotas.receive_zone(zone, state, now=self.now)

    def replace(self, host):
        """Restart the process of a host."""
        new = _Host(self, host.name, host.zone)
        self.hosts[self.hosts.index(host)] = new
        hub = self.hubs[host.zone]
        if hub is host:
            self.elect(host.zone, new)
        new.quotas.set_role(is_hub=self.hubs[host.zone] is new, now=self.now)
        return new

    def load(self, factor, start, end, *, hosts=None, offered=USUAL_PART):
        """Offer a multiple of a part of the quota, spread over hosts, as a Poisson process."""
        names = [host.name for host in hosts or self.hosts]
        time = start
        while True:
            units = self.random.choice((1460, 3000, 6000, 9000, 17_000))
            if not self.quota.counts_tokens:
                units = 1
            mean = 7292 if self.quota.counts_tokens else 1
            time += self.random.expovariate(factor * offered * self.quota.rate / mean)
            if time >= end:
                return
            name = self.random.choice(names)
            self.at(time, lambda units=units, name=name: self.request(name, units))

    def request(self, name, units):
        host = self.host(name)
        if host.frozen:
            return
        self.offered += 1
        host.quotas.offer(self.customer, units)
        self.attempt(host, units, self.now + MAX_WAIT)

    def attempt(self, host, units, latest):
        decision = host.quotas.decide(self.customer, units, waited=self.now >= latest)
        if decision.verdict is Verdict.GRANT:
            self.granted.append((self.now, units))
        elif decision.verdict is Verdict.REFUSE:
            self.refused.append((self.now, units, decision))
        else:
            self.at(min(latest, self.now + 0.03), lambda: self.attempt(host, units, latest))

    def run(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    def set_quota(self, quota):
        self.customer, self.quota = Customer("c", None, quota), quota
        for host in self.hosts:
            host.quotas.set_customers([self.customer])

    def goodput(self, start, end):
        """Return what was granted within a time, as a part of the rate."""
        granted = sum(units for time, units in self.granted if start <= time < end)
        return granted / (end - start) / self.quota.rate

    def worst_window(self, *, since=0.0):
        """Return the largest amount of any window, as a part of the bound."""
        quota, worst, total, first = self.quota, 0.0, 0.0, 0
        granted = [entry for entry in self.granted if entry[0] >= since]
        for time, units in granted:
            total += units
            while granted[first][0] < time - BOUNDS.window:
                total -= granted[first][1]
                first += 1
            worst = max(worst, total)
        permitted = quota.rate * BOUNDS.window + quota.burst
        return worst / (permitted * (1 + BOUNDS.overrun) + BOUNDS.slack)


def fleet(quota=LARGE, **fields):
    """Return a fleet of which all hosts have heard each other."""
    created = Fleet(quota, **fields)
    created.run(1.0)
    return created


def surge(model, start=8.0, **fields):
    """Offer the usual load, eight times as much for ten seconds, and the usual load again."""
    model.load(1, start - 5, start, **fields)
    model.load(8, start, start + 10, **fields)
    model.load(1, start + 10, start + 20, **fields)
    return model


QUOTAS = pytest.mark.parametrize("quota", [LARGE, MEDIUM, SMALL], ids=["large", "medium", "small"])


class TestLoads:
    """The bound is broken, or requests below the limit are refused, without any failure."""

    @QUOTAS
    @pytest.mark.parametrize("seed", [1, 2])
    def test_usual_load_is_not_refused(self, quota, seed):
        model = fleet(quota, seed=seed)
        model.load(1, 1, 25)
        model.run(25)
        assert not model.refused

    @QUOTAS
    def test_surge_at_all_hosts_stays_within_the_bound(self, quota):
        model = surge(fleet(quota))
        model.run(28)
        assert model.worst_window() <= 1
        assert model.goodput(10, 18) > 0.6
        assert not [time for time, _, _ in model.refused if time < 8 or time > 21]

    def test_shares_in_the_first_moments_of_a_surge_add_up_to_one(self):
        model = surge(fleet(), 8.0)
        for step in range(80):
            model.run(8 + step / 20)
            shares = [
                quota._share(0.0, host.quotas.knowledge("c"), model.now)
                for host in model.hosts
                if (quota := host.quotas._customers.get("c"))
            ]
            assert sum(shares) <= 1 + BOUNDS.overrun

    def test_hot_customer_in_one_zone_and_then_in_another(self):
        model = fleet()
        zones = [[host for host in model.hosts if host.zone == zone] for zone in range(2)]
        model.load(8, 3, 10, hosts=zones[0])
        model.load(1, 10, 16, hosts=zones[1])
        model.load(8, 16, 24, hosts=zones[1])
        model.run(24)
        assert model.worst_window() <= 1
        assert model.goodput(4, 10) > 0.8 and model.goodput(17, 24) > 0.8
        assert not [time for time, _, _ in model.refused if 12 < time < 16]

    def test_lone_host_may_use_nearly_the_whole_quota(self):
        model = fleet()
        model.load(1.5, 3, 25, hosts=model.hosts[5:6])
        model.run(25)
        assert len(model.refused) < 0.01 * model.offered

    def test_hundred_hosts_with_a_request_a_second_each(self):
        quota = Quota(100.0 * 7292 * 1.8, 100.0 * 7292 * 1.8, True, 1460.0)
        model = fleet(quota, hosts=100)
        model.load(1, 1, 20)
        model.run(20)
        assert not model.refused

    def test_retry_after_is_about_when_a_request_is_granted(self):
        model = surge(fleet())
        model.run(18)
        waits = [decision.retry_after for _, _, decision in model.refused]
        assert min(waits) >= 0.1 and max(waits) <= 10
        # A host's share of the rate is 1.6 mean requests a second.
        assert sum(waits) / len(waits) < 1.5


class TestFailures:
    """One failure during a surge lets hosts grant more than the bound."""

    @QUOTAS
    def test_zones_cut_off_from_each_other(self, quota):
        model = surge(fleet(quota))
        model.at(8.0, lambda: model.cut_zones.update(range(3)))
        model.at(16.0, model.cut_zones.clear)
        model.run(28)
        assert model.worst_window() <= 1

    @QUOTAS
    def test_two_zones_cut_off_from_each_other_but_not_from_the_third(self, quota):
        """Guards against two zones that both use the part of a third which hears them both."""
        model = fleet(quota)
        surge(model, hosts=[host for host in model.hosts if host.zone != 1])
        model.at(6.0, lambda: model.cut_links.add(frozenset((0, 2))))
        model.run(28)
        assert model.worst_window() <= 1

    def test_usual_load_while_a_zone_is_cut_off(self):
        """Guards against hosts that refuse far below the limit as another zone is gone."""
        model = fleet()
        model.load(1, 1, 20, hosts=[host for host in model.hosts if host.zone != 2])
        model.at(8.0, lambda: model.cut_zones.add(2))
        model.run(20)
        assert len(model.refused) <= 0.01 * model.offered

    @QUOTAS
    def test_half_of_the_hosts_silent(self, quota):
        model = surge(fleet(quota))
        hubs = [hub.name for hub in model.hubs.values()]
        silent = [host.name for host in model.hosts[::2] if host.name not in hubs]
        model.at(9.0, lambda: model.silent_hosts.update(silent))
        model.at(16.0, model.silent_hosts.clear)
        model.run(28)
        assert model.worst_window() <= 1
        # Requests of up to 17,000 tokens take a silent host's part of the small quota 22 s.
        assert model.goodput(11, 16) > (0.4 if quota is LARGE else 0.25)

    def test_hosts_that_their_hub_does_not_hear(self):
        model = surge(fleet())
        hubs = [hub.name for hub in model.hubs.values()]
        unheard = [host.name for host in model.hosts[::2] if host.name not in hubs]
        model.at(7.0, lambda: model.unheard_hosts.update(unheard))
        model.run(18)
        assert model.worst_window() <= 1

    @QUOTAS
    def test_half_of_the_hosts_frozen(self, quota):
        model = surge(fleet(quota))

        def freeze(frozen):
            for host in model.hosts[1::2]:
                host.frozen = frozen

        model.at(9.0, lambda: freeze(True))
        model.at(12.0, lambda: freeze(False))
        model.run(28)
        assert model.worst_window() <= 1

    @QUOTAS
    def test_all_hosts_restarted_at_once(self, quota):
        model = surge(fleet(quota))
        model.at(11.0, lambda: [model.replace(host) for host in list(model.hosts)])
        model.run(28)
        assert model.worst_window() <= 1

    @QUOTAS
    def test_hubs_change_again_and_again(self, quota):
        model = surge(fleet(quota))
        for time in (9.0, 11.0, 13.0, 15.0):
            for zone in range(3):
                hub = model.hosts[zone + 3 * int(time)]
                model.at(time, lambda zone=zone, hub=hub: model.elect(zone, hub))
        model.run(28)
        assert model.worst_window() <= 1

    def test_usual_load_while_hubs_change(self):
        model = fleet()
        model.load(1, 1, 20)
        for time in (9.0, 11.0, 13.0):
            for zone in range(3):
                hub = model.hosts[zone + 3 * int(time)]
                model.at(time, lambda zone=zone, hub=hub: model.elect(zone, hub))
        model.run(20)
        assert not model.refused

    @QUOTAS
    def test_lowered_and_raised_limit(self, quota):
        model = surge(fleet(quota))
        lower = Quota(quota.rate / 4, quota.burst / 4, True, 1460.0)
        model.at(10.0, lambda: model.set_quota(lower))
        model.run(18)
        assert model.worst_window(since=10.0) <= 1
        model.set_quota(quota)
        model.run(28)
        assert not [time for time, _, _ in model.refused if time > 22]


@settings(max_examples=12, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    hosts=st.integers(3, 40),
    rate=st.sampled_from([20.0, 200.0, 60_000.0, 954_398.0]),
    bursts=st.lists(st.tuples(st.floats(2, 20), st.floats(0.2, 6), st.floats(0.5, 12)), max_size=4),
    loss=st.floats(0, 0.15),
)
def test_random_schedules_never_exceed_the_bound(seed, hosts, rate, bursts, loss):
    """Guards against schedules of load and lost messages under which hosts grant too much."""
    quota = Quota(rate, rate, rate >= 1000, 1460.0)
    model = fleet(quota, hosts=hosts, seed=seed, loss=loss)
    for start, length, factor in bursts:
        chosen = model.random.sample(model.hosts, model.random.randint(1, hosts))
        model.load(factor, start, start + length, hosts=chosen)
    model.run(22)
    assert model.worst_window() <= 1


@settings(max_examples=8, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), hosts=st.integers(3, 60), number=st.integers(0, 59))
def test_lone_caller_below_its_limit_is_never_refused(seed, hosts, number):
    """Guards against refusals of a caller whose requests are spread evenly below its limit."""
    model = fleet(LARGE, hosts=hosts, seed=seed, loss=0.0)
    host = model.hosts[number % hosts]
    for step in range(1000):
        model.at(2 + step * 0.01, lambda: model.request(host.name, 9000))
    model.run(12)
    assert not model.refused
