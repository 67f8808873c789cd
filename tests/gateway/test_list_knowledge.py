"""Until when a host knows that its endpoint list is whole, without a network."""

import random

import pytest

from samphirehall.gateway.list_knowledge import (
    MAX_TICK_SECONDS,
    SETTLE_SECONDS,
    TRANSIT_SECONDS,
    ListKnowledge,
    StandstillMeter,
)
from samphirehall.gateway.rows import complete_until

NEVER = float("-inf")


class TestFeed:
    def test_answer_without_changes_holds_all_until_the_end_of_the_wait(self):
        assert complete_until(10.0, 10.503, 0.5, has_changes=False) == 10.5

    def test_time_in_which_the_reader_stood_still_does_not_count(self):
        assert complete_until(10.0, 14.0, 0.5, has_changes=False) == 10.5

    def test_answer_with_changes_may_be_as_old_as_its_call(self):
        assert complete_until(10.0, 10.4, 0.5, has_changes=True) == 10.0


class TestStandstillMeter:
    def test_process_that_runs_adds_no_delay(self):
        meter = StandstillMeter(now=0.0)
        for tick in range(1, 20):
            meter.tick(now=tick * 0.1)
            assert meter.delay(now=tick * 0.1 + 0.05) == TRANSIT_SECONDS

    def test_what_is_handled_after_a_standstill_may_be_as_old_as_it(self):
        meter = StandstillMeter(now=0.0)
        assert meter.delay(now=3.0) == 3.0 + TRANSIT_SECONDS
        meter.tick(now=3.0)
        assert meter.delay(now=3.1) == 3.0 + TRANSIT_SECONDS
        assert meter.delay(now=3.0 + SETTLE_SECONDS) == TRANSIT_SECONDS

    def test_second_standstill_adds_to_the_first(self):
        meter = StandstillMeter(now=0.0)
        meter.tick(now=2.0)
        assert meter.delay(now=2.0 + MAX_TICK_SECONDS * 2) >= 2 * MAX_TICK_SECONDS
        meter.tick(now=2.2)
        meter.tick(now=3.2)
        assert meter.delay(now=3.25) >= 1.0


class TestListKnowledge:
    def test_hub_knows_what_all_sources_knew_when_they_were_heard(self):
        knowledge = ListKnowledge()
        knowledge.record_told(4.0)
        knowledge.record_agreement("a", 6.0)
        assert knowledge.complete_until(NEVER, frozenset("ab")) == 4.0
        knowledge.record_agreement("b", 5.0)
        assert knowledge.complete_until(NEVER, frozenset("ab")) == 5.0
        assert knowledge.complete_until(7.0, frozenset("ab")) == 7.0

    @pytest.mark.parametrize("sources", [None, frozenset()])
    def test_host_that_hears_nobody_knows_only_what_it_was_told(self, sources):
        knowledge = ListKnowledge()
        knowledge.record_agreement("a", 9.0)
        knowledge.record_told(3.0)
        assert knowledge.complete_until(NEVER, sources) == 3.0


STEP_SECONDS = 0.05
HUB, READER = 0, 1


class Host:
    """Model of a host: the newest endpoint that it knows, and what waits in its socket."""

    def __init__(self, name):
        self.name = name
        self.position = 0
        self.positions = []  # after each step
        self.inbox = []
        self.read_until = NEVER
        self.knowledge = ListKnowledge()
        self.meter = StandstillMeter(now=0.0)
        self.cut_until = self.still_until = 0.0

    def list_age(self, now, sources):
        return now - self.knowledge.complete_until(self.read_until, sources)


class Zone:
    """Model of a zone whose members hear their hub, one of which reads the store.

    Hosts are cut off and stand still at random while endpoints join. A host that stands still
    handles what has arrived meanwhile when it goes on, before or after its next tick.
    """

    def __init__(self, seed, hosts=5):
        self.random = random.Random(seed)
        self.now = 0.0
        self.store = 0
        self.store_is_away = False
        self.hosts = [Host(name) for name in range(hosts)]
        self.sources = frozenset(str(host.name) for host in self.hosts[1:])

    def runs(self, host):
        return self.now >= host.still_until

    def hears(self, one, other):
        return self.now >= max(one.cut_until, other.cut_until)

    def sources_of(self, host):
        return self.sources if host.name == HUB else None

    def step(self):
        self.now += STEP_SECONDS
        if self.random.random() < 0.05:
            self.store_is_away = not self.store_is_away
        if not self.store_is_away and self.random.random() < 0.3:
            self.store += 1
        for host in self.hosts:
            if self.random.random() < 0.01:
                host.cut_until = self.now + self.random.random() * 3
            if self.random.random() < 0.01:
                host.still_until = self.now + self.random.random() * 3
        for host in filter(self.runs, self.hosts):
            self.run(host)
        for host in self.hosts:
            host.positions.append(host.position)

    def run(self, host):
        ticks_first = self.random.random() < 0.5
        if ticks_first:
            host.meter.tick(now=self.now)
        for message in host.inbox:
            self.handle(host, *message)
        host.inbox.clear()
        host.meter.tick(now=self.now)
        if host.name == READER and not self.store_is_away and self.now >= host.cut_until:
            host.position, host.read_until = self.store, self.now
        if host.name == HUB:
            for member in self.hosts[1:]:
                self.send(host, member)
        elif host.name == READER or self.random.random() < 0.5:
            self.send(host, self.hosts[HUB])

    def send(self, sender, receiver):
        if self.hears(sender, receiver):
            age = sender.list_age(self.now, self.sources_of(sender))
            receiver.inbox.append((sender, sender.position, age))

    def handle(self, host, sender, position, age):
        host.position = max(host.position, position)
        sent_at = self.now - host.meter.delay(now=self.now)
        host.knowledge.record_told(sent_at - age)
        host.knowledge.record_agreement(str(sender.name), sent_at)

    def check(self):
        """Check that no host knew of an endpoint while another knew its list to be whole."""
        for host in filter(self.runs, self.hosts):
            until = host.knowledge.complete_until(host.read_until, self.sources_of(host))
            step = int(until / STEP_SECONDS) if until > 0 else 0
            known = [other.positions[step - 1] for other in self.hosts] if step else [0]
            assert host.position >= max(known), f"host {host.name} at {self.now:.2f} s"
        return until


@pytest.mark.parametrize("seed", range(60))
def test_no_host_takes_its_list_for_whole_while_another_knows_more(seed):
    zone = Zone(seed)
    for _ in range(400):
        zone.step()
        zone.check()


def test_hosts_in_touch_know_their_list_to_be_whole_also_without_the_store():
    zone = Zone(1)
    zone.random.random = lambda: 0.4  # no disruption, and no endpoint joins
    zone.store_is_away = True
    for _ in range(100):
        zone.step()
    for host in zone.hosts:
        until = host.knowledge.complete_until(host.read_until, zone.sources_of(host))
        assert zone.now - until < 0.8
