import contextlib
import random

import pytest

from samphirehall.admission.limit_counts import LimitCounts
from samphirehall.admission.limits import CustomerLimits
from samphirehall.configuration.documents import CustomerPart
from samphirehall.configuration.version import Configuration
from samphirehall.core.errors import SamphireError
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState

PART = CustomerPart(requests_per_second=20.0)


class Hosts:
    """Hosts that tell each other their counts, each half a second."""

    def __init__(self, number, part=PART):
        self.part, self.now = part, 0.0
        self.states = [NodeState(f"h{each}", "z", 1) for each in range(number)]
        self.limits = [CustomerLimits(now=0.0, random_source=random.Random(1)) for _ in self.states]
        self.counts = [
            LimitCounts(state, limits)
            for state, limits in zip(self.states, self.limits, strict=True)
        ]
        for state in self.states:
            state.put_in_force(Configuration(1, {"customers/a": part}))

    def publish(self):
        for counts in self.counts:
            counts.publish(now=self.now)
        for state in self.states:
            for fact in state.fact_store.current(FactKind.LIMIT_COUNTS, now=self.now):
                for other in self.states:
                    other.fact_store.merge(fact, now=self.now)

    def granted(self, host):
        try:
            self.limits[host].acquire("a", self.part, 1.0, hosts=len(self.states), now=self.now)
        except SamphireError:
            return False
        self.limits[host].release("a", excess_tokens=0.0, now=self.now)
        return True

    def offer(self, hosts, seconds, per_second):
        """Return how many requests are granted that come at some hosts in turn."""
        total = 0
        for step in range(int(seconds * per_second)):
            if step % (per_second // 2) == 0:
                self.publish()
            total += self.granted(hosts[step % len(hosts)])
            self.now += 1 / per_second
        return total


def test_limit_is_divided_by_demand_and_not_evenly():
    """Guards against a customer that gets a quarter as its requests come at one of four hosts."""
    hosts = Hosts(4)
    hosts.offer([0], 5, 100)
    assert hosts.offer([0], 10, 100) > 150


@pytest.mark.parametrize("number", [1, 3, 10])
def test_hosts_together_grant_no_more_than_the_limit(number):
    """Guards against counts of other hosts that are not taken into account."""
    hosts = Hosts(number)
    granted = hosts.offer(range(number), 20, 200)
    assert 300 < granted <= 1.1 * (20 * 20 + 2 * 20)


def test_changed_number_of_hosts_gives_no_new_burst():
    """Guards against buckets that are full again whenever a host comes or goes."""
    limits = CustomerLimits(now=0.0, random_source=random.Random(1))
    granted = 0
    for step in range(100):
        try:
            limits.acquire("a", PART, 1.0, hosts=1 + step % 2, now=step / 1000)
            granted += 1
        except SamphireError:
            pass
    assert granted <= 2 * 20 + 3


def test_limits_of_many_customers_hold_for_each():
    """Guards against counts that are left out of a full fact, so that each host grants all."""
    part = CustomerPart(requests_per_second=20.0, tokens_per_second=1e6)
    hosts = Hosts(3, part)
    names = [f"a{number}" for number in range(70)]
    granted = dict.fromkeys(names, 0)
    for step in range(200):
        hosts.now = step / 20
        if step % 10 == 0:
            hosts.publish()
        for limits in hosts.limits:
            for name in names:
                with contextlib.suppress(SamphireError):
                    limits.acquire(name, part, 100.0, hosts=3, now=hosts.now)
                    limits.release(name, excess_tokens=0.0, now=hosts.now)
                    granted[name] += 1
    assert max(granted.values()) <= 1.1 * (10 * 20 + 2 * 20)


def test_counts_of_a_customer_with_any_name_are_taken():
    """Guards against one name by which peers refuse the counts of all customers of a host."""
    hosts, name = Hosts(2), "a customer\n" + "x" * 190
    hosts.limits[0].acquire(name, PART, 1.0, hosts=2, now=0.0)
    hosts.limits[1].acquire("a", PART, 1.0, hosts=2, now=0.0)
    hosts.publish()
    assert hosts.limits[1]._ledger.count_members(now=0.0) == 1


def test_host_without_limits_publishes_nothing():
    hosts = Hosts(2, CustomerPart())
    hosts.publish()
    assert not hosts.states[0].fact_store.current(FactKind.LIMIT_COUNTS, now=0.0)


def test_request_above_the_burst_needs_a_full_bucket():
    """Guards against large prompts that a customer with a low limit could never send."""
    limits, part = CustomerLimits(now=0.0), CustomerPart(tokens_per_second=20.0)
    limits.acquire("a", part, 4000.0, hosts=1, now=0.0)
    with pytest.raises(SamphireError) as caught:
        limits.acquire("a", part, 1.0, hosts=1, now=100.0)
    assert caught.value.retry_after == 10
    limits.acquire("a", part, 1.0, hosts=1, now=300.0)
