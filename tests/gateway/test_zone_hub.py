"""Choice of the hub of a zone, and of the host that reads the store for it."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirehall.core.rendezvous import ranked
from samphirehall.gateway.zone_hub import (
    GREETING_TIMEOUT_SECONDS,
    HUB_TIMEOUT_SECONDS,
    MAX_HUB_TAKEOVER_DELAY_SECONDS,
    READ_SLOT_SECONDS,
    RESUME_TIMEOUT_SECONDS,
    STORE_TIMEOUT_SECONDS,
    HubElection,
    SendBudget,
    hub_should_read,
    may_hold_duty,
    member_should_read,
    update_interval,
)

STEP = 0.1
HEARTBEAT = 0.15
LONGEST_WITHOUT_HUB = HUB_TIMEOUT_SECONDS + MAX_HUB_TAKEOVER_DELAY_SECONDS + 3 * STEP


class Zone:
    """Hosts that decide in steps; a hub is heard by each live host unless a datagram is lost."""

    def __init__(self, count, *, loss=0.0, seed=1):
        self.names = [f"host-{number}" for number in range(count)]
        self.now = 0.0
        self.loss = loss
        self.random = random.Random(seed)
        self.down = set()
        self.cut = set()
        self.elections = {name: HubElection(name, "a", now=0.0) for name in self.names}
        self.heard_at = {}

    def step(self):
        self.now += STEP
        for sender, election in self.elections.items():
            if sender not in self.down and election.is_hub:
                self.send(sender)
        for name, election in self.elections.items():
            if name not in self.down:
                election.decide(self.names, now=self.now)

    def send(self, sender):
        for name, election in self.elections.items():
            reachable = (name in self.cut) == (sender in self.cut)
            if name != sender and name not in self.down and reachable:
                for _ in range(2):
                    if self.random.random() >= self.loss:
                        election.record_hub(sender, now=self.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()

    def hubs(self, among=None):
        live = [name for name in among or self.names if name not in self.down]
        return {self.elections[name].hub for name in live}

    def acting(self):
        return [
            name
            for name, election in self.elections.items()
            if election.is_hub and name not in self.down
        ]


class TestHubElection:
    @pytest.mark.parametrize("count", [1, 2, 8, 40])
    def test_hosts_that_start_together_follow_one_hub(self, count):
        zone = Zone(count)
        zone.run(LONGEST_WITHOUT_HUB)
        assert zone.hubs() == {ranked(zone.names, "a")[0]}

    def test_greeted_hosts_without_a_hub_choose_one_sooner(self):
        zone = Zone(8)
        for election in zone.elections.values():
            election.start(now=zone.now)
        zone.run(GREETING_TIMEOUT_SECONDS + 2 * STEP)
        assert zone.hubs() == {ranked(zone.names, "a")[0]}

    def test_hub_stays_when_a_host_of_higher_rank_starts(self):
        zone = Zone(8)
        first, second, *_ = ranked(zone.names, "a")
        zone.down = {first}
        zone.run(LONGEST_WITHOUT_HUB)
        assert zone.hubs() == {second}
        zone.down = set()
        zone.elections[first] = HubElection(first, "a", now=zone.now)
        zone.run(2.0)
        assert zone.hubs() == {second}

    def test_next_host_takes_over_soon(self):
        zone = Zone(40)
        zone.run(LONGEST_WITHOUT_HUB)
        first, second, *_ = ranked(zone.names, "a")
        zone.down = {first}
        zone.run(HUB_TIMEOUT_SECONDS + 3 * STEP)
        assert zone.hubs() == {second}

    def test_zone_cut_in_two_has_a_hub_on_each_side_and_one_afterwards(self):
        zone = Zone(12)
        zone.run(LONGEST_WITHOUT_HUB)
        (hub,) = zone.hubs()
        rest = [name for name in zone.names if name != hub]
        zone.cut = set(rest[:6])
        zone.run(LONGEST_WITHOUT_HUB)
        assert len(zone.hubs(zone.cut)) == 1 and None not in zone.hubs(zone.cut)
        assert zone.hubs([name for name in zone.names if name not in zone.cut]) == {hub}
        zone.cut = set()
        zone.run(1.0)
        assert len(zone.hubs()) == 1

    def test_followers_of_a_hub_that_gives_way_do_not_wait_until_it_is_silent(self):
        names = [f"host-{number}" for number in range(8)]
        higher, lower, *_, host = ranked(names, "a")
        election = HubElection(host, "a", now=0.0)
        election.record_hub(lower, now=0.1)
        assert election.decide(names, now=0.1).hub == lower
        for name in (lower, higher):
            election.record_hub(name, now=0.2)
        assert election.decide(names, now=0.2).hub == higher

    def test_suspended_host_that_hears_nobody_waits_for_two_heartbeats_only(self):
        zone = Zone(1)
        zone.run(LONGEST_WITHOUT_HUB)
        host = zone.elections["host-0"] = HubElection("host-0", "a", now=zone.now)
        resumed_at = zone.now + 5.0
        assert host.decide(zone.names, now=resumed_at).hub is None
        assert host.decide(zone.names, now=resumed_at + RESUME_TIMEOUT_SECONDS).hub == "host-0"

    def test_suspended_host_does_not_become_hub_when_it_wakes(self):
        zone = Zone(6)
        zone.run(LONGEST_WITHOUT_HUB)
        (hub,) = zone.hubs()
        sleeper = next(name for name in zone.names if name != hub)
        zone.down = {sleeper}
        zone.run(5.0)
        zone.down = set()
        zone.elections[sleeper].decide(zone.names, now=zone.now)
        assert not zone.elections[sleeper].is_hub
        zone.run(0.5)
        assert zone.hubs() == {hub}

    @settings(deadline=None, max_examples=60)
    @given(
        seed=st.integers(0, 1000),
        loss=st.floats(0.0, 0.3),
        events=st.lists(
            st.tuples(st.sampled_from(["down", "up", "restart", "cut", "heal"]), st.integers(0, 9)),
            max_size=12,
        ),
    )
    def test_zone_has_one_hub_again_after_any_faults(self, seed, loss, events):
        zone = Zone(10, loss=loss, seed=seed)
        for event, number in events:
            name = zone.names[number]
            if event == "down":
                zone.down.add(name)
            elif event == "up":
                zone.down.discard(name)
            elif event == "restart":
                zone.down.discard(name)
                zone.elections[name] = HubElection(name, "a", now=zone.now)
            elif event == "cut":
                zone.cut.add(name)
            else:
                zone.cut.clear()
            zone.run(0.7)
        zone.down, zone.cut, zone.loss = set(), set(), 0.0
        zone.run(2 * LONGEST_WITHOUT_HUB)
        assert len(zone.acting()) == 1 and zone.hubs() == set(zone.acting())


HOSTS = tuple(f"host-{number}" for number in range(39))


class TestMemberShouldRead:
    def readers(self, store_age, *, reader="hub", hosts=HOSTS):
        return [
            host
            for host in hosts
            if member_should_read(hosts, host=host, zone="a", reader=reader, store_age=store_age)
        ]

    def test_nobody_else_reads_while_the_store_is_heard(self):
        assert self.readers(STORE_TIMEOUT_SECONDS - 0.01) == []

    def test_reader_in_place_of_the_hub_goes_on(self):
        assert self.readers(0.2, reader="host-3") == ["host-3"]

    def test_one_host_at_a_time_tries_a_store_that_seems_lost(self):
        tried = [
            self.readers(STORE_TIMEOUT_SECONDS + (n + 1.5) * READ_SLOT_SECONDS) for n in range(39)
        ]
        assert all(len(readers) == 1 for readers in tried)
        assert {readers[0] for readers in tried} == set(HOSTS)

    def test_hosts_that_differ_on_who_is_alive_are_few(self):
        """Each host misses another one in its list; slots then overlap by neighbours at most."""
        readers = [
            host
            for number, host in enumerate(HOSTS)
            if member_should_read(
                HOSTS[:number] + HOSTS[number + 1 :],
                host=host,
                zone="a",
                reader=None,
                store_age=STORE_TIMEOUT_SECONDS + 3.5 * READ_SLOT_SECONDS,
            )
        ]
        assert len(readers) <= 2


HUBS = ("hub-a", "hub-b", "hub-c")


class TestHubShouldRead:
    def reads(self, host, *, readers, reads=True, age=0.1):
        return hub_should_read(readers, host=host, reads=reads, own_store_age=age)

    def test_hub_that_hears_no_reader_reads(self):
        assert self.reads("hub-a", readers=[], reads=False, age=1e9)

    def test_of_hubs_that_read_one_goes_on(self):
        going_on = [host for host in HUBS if self.reads(host, readers=set(HUBS) - {host})]
        assert len(going_on) == 1

    def test_hub_does_not_begin_while_another_reads(self):
        assert not any(self.reads(host, readers=set(HUBS) - {host}, reads=False) for host in HUBS)

    def test_reader_that_the_store_turns_away_leaves_it_to_another(self):
        for host in HUBS:
            others = set(HUBS) - {host}
            assert not self.reads(host, readers=others, age=STORE_TIMEOUT_SECONDS)

    def test_two_hubs_are_candidates_for_the_duties(self):
        candidates = [host for host in HOSTS if may_hold_duty(set(HOSTS) - {host}, host=host)]
        assert len(candidates) == 2


class TestSendBudget:
    @pytest.mark.parametrize("large", [1_000, 50_000, 2_000_000])
    def test_small_and_large_messages_keep_to_the_rate_together(self, large):
        budget = SendBudget(300_000.0)
        now = sent = 0.0
        while now < 20.0:
            size = large if budget.allows_large(now=now) else 500
            budget.spend(size, now=now)
            sent += size
            now += budget.pause(shortest=0.01, longest=0.15, now=now)
        assert sent <= 20.0 * 300_000.0 + large + 500

    def test_small_messages_are_not_delayed_by_large_ones(self):
        budget = SendBudget(1_000.0)
        budget.spend(100_000, now=0.0)
        assert budget.pause(shortest=0.01, longest=0.15, now=0.0) == 0.15


class TestUpdateInterval:
    @pytest.mark.parametrize("receivers", [1, 7, 38, 195, 420])
    def test_datagrams_of_a_sender_stay_below_the_rate(self, receivers):
        interval = update_interval(receivers, datagrams_per_second=600.0, shortest=0.015)
        assert interval >= 0.015 and receivers / interval <= 600.0 + 1e-6


class StartingZone(Zone):
    """Hosts that all start at once and get the processor only by turns, as after a loss of power.

    While a host stands still it neither decides nor sends; what it is sent waits for it.
    """

    STILL_SECONDS = 0.65
    EVERY_SECONDS = 1.6
    STARTING_SECONDS = 12.0

    def __init__(self, count, *, seed=1):
        super().__init__(count, seed=seed)
        self.phases = {name: self.random.uniform(0.0, self.EVERY_SECONDS) for name in self.names}
        self.followed_at = dict.fromkeys(self.names, 0.0)
        self.longest_silence = 0.0

    def stands_still(self, name):
        turn = (self.now + self.phases[name]) % self.EVERY_SECONDS
        return self.now < self.STARTING_SECONDS and turn < self.STILL_SECONDS

    def step(self):
        self.down = {name for name in self.names if self.stands_still(name)}
        super().step()
        for name, election in self.elections.items():
            hub = election.hub
            if election.is_hub or (hub is not None and hub not in self.down):
                self.followed_at[name] = self.now
            silence = self.now - self.followed_at[name]
            self.longest_silence = max(self.longest_silence, silence)


class TestStart:
    def test_started_hosts_hear_their_hub_within_the_time_to_drain(self):
        """36 hosts; the drain time of 3 s less 1 s until the reader has heard of it."""
        zones = [StartingZone(36, seed=seed) for seed in range(1, 6)]
        for zone in zones:
            zone.run(20.0)
        assert [zone.longest_silence for zone in zones if zone.longest_silence > 2.0] == []
        assert all(len(zone.hubs()) == 1 for zone in zones)

    def test_started_hosts_that_stand_still_in_turn_hear_their_hub_within_the_time_to_drain(self):
        zone = StartingZone(36, seed=41)
        zone.run(20.0)
        assert zone.longest_silence <= 2.0
