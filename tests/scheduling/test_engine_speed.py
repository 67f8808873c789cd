"""Engines of uneven speed, whose speeds many hosts learn together from late messages."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.gateway.cache_model import CacheModel
from samphirehall.gateway.engine_candidates import decode_candidates, prefill_candidates
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.generation_plan import EngineView, plan_generation
from samphirehall.gateway.prefill_rate import PrefillRate
from samphirehall.gateway.types import Prompt, PromptPart, Stage
from samphirehall.scheduling.engine_speed import (
    DEAD_BAND,
    FRESH_SECONDS,
    LIFETIME_SECONDS,
    MAX_FACTOR,
    MAX_STEP,
    MIN_FACTOR,
    EngineSpeeds,
)
from samphirehall.scheduling.speed_samples import SpeedRange, SpeedReference, speed_range
from tests.gateway.helpers import ENGINE, engine

HOSTS, ZONES, ENGINES = 64, "abcd", 48
NOMINAL = 32_000.0  # tokens per second of a prefill engine; half of it of a decode engine
OVERHEAD = 0.03
LOAD_DELAY, SPEED_DELAY, EXCHANGE_INTERVAL = 0.15, 0.3, 0.15  # seconds
LOST_MESSAGES = 0.1
SECONDS, LEARNING_SECONDS = 60.0, 20.0
LATENCY_TARGET, MAX_GAP = 0.6, 0.15
COMMON = math.log(NOMINAL)
REFERENCE = SpeedReference(COMMON, COMMON, COMMON)
MIN_CALLS = 6


@dataclass
class Engine:
    state: EndpointState
    speed: float
    free_at: float = 0.0
    prefills: list = field(default_factory=list)
    streams: list = field(default_factory=list)


class Host:
    def __init__(self, number):
        self.name, self.zone = f"host-{number}", ZONES[number % len(ZONES)]
        self.speeds = EngineSpeeds()
        self.rates = {s: PrefillRate(prior_fraction=fraction(s)) for s in Stage}
        self.calls = dict.fromkeys(Stage, 0)

    def common(self, stage):
        return math.log(self.rates[stage].tokens_per_second / fraction(stage))


def fraction(stage):
    return 1.0 if stage is Stage.PREFILL else 0.5


class Site:
    """Hosts that see each other's load and samples late, and engines that prefill in order."""

    def __init__(self, speeds, *, seed, learn, rate=50.0, slowdown=lambda number, now: 1.0):
        self.source, self.losses = random.Random(seed), random.Random(seed)
        self.learn, self.rate, self.slowdown = learn, rate, slowdown
        self.hosts = [Host(number) for number in range(HOSTS)]
        self.hubs = {host.zone: host for host in reversed(self.hosts)}
        self.engines = {}
        for number in range(ENGINES):
            stage = Stage.PREFILL if number % 2 else Stage.DECODE
            listed = engine(f"e{number}", stage, zone=ZONES[number % len(ZONES)])
            state = EndpointState(listed, None, CacheModel(ENGINE.kv_cache_tokens))
            self.engines[listed.endpoint_id] = Engine(state, speeds(number // 2))
        self.events, self.order = [], itertools.count()
        self.results, self.sent = [], 0

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self):
        self.at(0.0, self.arrive)
        if self.learn:
            self.at(EXCHANGE_INTERVAL, self.exchange)
        while self.events and self.events[0][0] < SECONDS:
            now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments, now=now)
        return self

    def late_share(self, kind="large"):
        late = [
            seconds > LATENCY_TARGET
            for at, of, seconds in self.results
            if at >= LEARNING_SECONDS and of == kind
        ]
        return sum(late) / len(late)

    def reference(self, host, stage, now):
        names = [item.state.listed.incarnation for item in self.engines.values()]
        return host.speeds.reference(names, host.common(stage), now=now)

    def lasting(self, host, now):
        reference = self.reference(host, Stage.PREFILL, now)
        return {
            item.state.listed.endpoint_id: host.speeds.lasting_factor(
                item.state.listed.incarnation, reference, now=now
            )
            for item in self.engines.values()
            if item.state.listed.stage is Stage.PREFILL
        }

    def factors(self, host):
        return list(self.lasting(host, SECONDS).values())

    def arrive(self, *, now):
        self.at(now + self.source.expovariate(self.rate), self.arrive)
        own = PromptPart(f"own-{next(self.order)}", 3_000)
        if self.source.random() < 0.35:
            shared = PromptPart(f"ledger-{self.source.randrange(400)}", 11_000)
            parts, kind = (shared, own), "large"
        else:
            parts, kind = (PromptPart("greeting", 350), own), "small"
        prompt = Prompt("m", parts, sum(part.tokens for part in parts), 20)
        host = self.source.choice(self.hosts)
        plan = self.plan(host, prompt, now)
        done = self.serve(host, plan, prompt, now)
        self.results.append((now, kind, done - now))

    def plan(self, host, prompt, now):
        states = [item.state for item in self.engines.values()]
        readers = [state for state in states if state.listed.stage is Stage.PREFILL]
        decoders = [state for state in states if state.listed.stage is Stage.DECODE]
        chosen = [
            *prefill_candidates(readers, prompt, speeds=self.lasting(host, now)),
            *decode_candidates(decoders, host=host.name, zone=host.zone),
        ]
        views = [self.view(host, state, prompt, now) for state in chosen]
        return plan_generation(
            views, prompt, ENGINE, kv_transfer_overhead=0.01, max_event_gap=MAX_GAP
        )

    def view(self, host, state, prompt, now):
        listed, item = state.listed, self.engines[state.listed.endpoint_id]
        item.prefills = [entry for entry in item.prefills if entry[1] > now]
        item.streams = [entry for entry in item.streams if entry[1] > now]
        known = [e for e in item.prefills if e[2] is host or e[0] <= now - LOAD_DELAY]
        streams = sum(e[2] is host or e[0] <= now - LOAD_DELAY for e in item.streams)
        pending = sum(entry[3] for entry in known)
        rate, reference = host.rates[listed.stage], self.reference(host, listed.stage, now)
        factor = host.speeds.factor(listed.incarnation, reference, now=now)
        return EngineView(
            listed.endpoint_id,
            listed.address,
            listed.zone,
            listed.stage,
            streams,
            pending,
            pending,
            state.cache.cached_tokens(prompt.parts),
            rate.tokens_per_second * factor,
            rate.overhead,
        )

    def serve(self, host, plan, prompt, now):
        """Carry a plan out; return when its first event comes."""
        item = self.engines[plan.prefill_engine.endpoint_id]
        stage = item.state.listed.stage
        tokens = max(1, plan.uncached_tokens)
        number = int(plan.prefill_engine.endpoint_id[1:])
        speed = NOMINAL * fraction(stage) * item.speed / self.slowdown(number, now)
        read = max(now, item.free_at) + plan.fetch_time + tokens / speed
        item.free_at, done = read, read + OVERHEAD
        item.prefills.append((now, done, host, tokens))
        item.state.cache.record(prompt.parts)
        decoder = self.engines[plan.decode.endpoint_id]
        decoder.streams.append((now, done + 0.5, host))
        self.at(done, self.record, host, plan, done - now)
        return done

    def record(self, host, plan, seconds, *, now):
        engine_view = plan.prefill_engine
        stage, rate = engine_view.stage, host.rates[engine_view.stage]
        if engine_view.tokens_ahead == 0 and plan.prefix_source is None:
            rate.record(plan.uncached_tokens, seconds)
            host.calls[stage] += 1
        if not self.learn or host.calls[stage] < MIN_CALLS:
            return
        scale = 1 / fraction(stage)
        measured = speed_range(
            plan.uncached_tokens * scale,
            engine_view.tokens_ahead * scale,
            seconds,
            rate.overhead,
            fetch_seconds=plan.fetch_time,
        )
        if measured is not None:
            listed = self.engines[engine_view.endpoint_id].state.listed
            host.speeds.record(listed.incarnation, measured, host.common(stage), now=now)

    def exchange(self, *, now):
        """Send samples to the hubs, and their estimates back, with losses and delays."""
        self.at(now + EXCHANGE_INTERVAL, self.exchange)
        for host in self.hosts:
            samples = host.speeds.take_samples(8, now=now)
            self.sent += len(samples)
            for zone, hub in self.hubs.items():
                delay = SPEED_DELAY * (1 if zone == host.zone else 2)
                if samples and hub is not host and self.losses.random() > LOST_MESSAGES:
                    self.at(now + delay, self.give_samples, hub, samples)
        for zone, hub in self.hubs.items():
            names = hub.speeds.shared_engines(now=now)
            self.losses.shuffle(names)
            reports = [hub.speeds.report(name, now=now) for name in names[:12]]
            self.sent += len(reports)
            for host in self.hosts:
                if host.zone == zone and host is not hub and self.losses.random() > LOST_MESSAGES:
                    self.at(now + SPEED_DELAY, self.give_reports, host, reports)

    def common_of(self, host):
        by_name = {
            item.state.listed.incarnation: item.state.listed.stage for item in self.engines.values()
        }
        return lambda name: host.common(by_name[name])

    def give_samples(self, hub, samples, *, now):
        hub.speeds.receive_samples(samples, self.common_of(hub), now=now)

    def give_reports(self, host, reports, *, now):
        host.speeds.receive_reports(reports, self.common_of(host), now=now, min_gain=0.5)


def uneven(number):
    return 1.7 if number % 3 == 0 else 0.7


def slow_in_turn(number, now):
    """Return 2.5 for 15% of the engines, others every 600 ms."""
    return 2.5 if random.Random(f"{number}/{int(now / 0.6)}").random() < 0.15 else 1.0


class TestManyHosts:
    """64 hosts whose samples and estimates are lost at times and late always."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_large_prompts_are_late_less_than_half_as_often(self, seed):
        plain = Site(uneven, seed=seed, learn=False).run()
        learned = Site(uneven, seed=seed, learn=True).run()
        assert learned.late_share() <= 0.5 * plain.late_share()
        assert learned.late_share("small") <= plain.late_share("small")
        host = learned.hosts[17]
        factors = learned.factors(host)
        fast, slow = (
            [f for n, f in enumerate(factors) if (n % 3 == 0) is is_fast]
            for is_fast in (True, False)
        )
        assert sorted(slow)[-3] < min(fast)  # this host alone has sampled few of them

    def test_temporary_slowness_does_not_hide_the_lasting_speed(self):
        plain = Site(uneven, seed=3, learn=False, slowdown=slow_in_turn).run()
        learned = Site(uneven, seed=3, learn=True, slowdown=slow_in_turn).run()
        assert learned.late_share() <= 0.75 * plain.late_share()

    # At 120 requests a second, most prompts wait in queues that other hosts do not know of yet.
    @pytest.mark.parametrize(("rate", "messages_per_host"), [(50.0, 1.5), (120.0, 4.0)])
    def test_equal_engines_are_served_as_before(self, rate, messages_per_host):
        plain = Site(lambda number: 1.0, seed=4, learn=False, rate=rate).run()
        learned = Site(lambda number: 1.0, seed=4, learn=True, rate=rate).run()
        assert learned.late_share() <= plain.late_share() + 0.02
        assert (
            learned.sent / SECONDS <= messages_per_host * HOSTS
        )  # full reports would be 10 a host
        factors = [factor for host in learned.hosts for factor in learned.factors(host)]
        assert sum(factor != 1.0 for factor in factors) <= 0.05 * len(factors)

    def test_one_slow_engine_is_known_to_all_hosts(self):
        site = Site(lambda number: 0.4 if number == 5 else 1.0, seed=5, learn=True).run()
        known = [site.factors(host)[5] < 0.75 for host in site.hosts]
        assert sum(known) >= 0.9 * HOSTS

    def test_slowness_of_all_engines_lowers_the_common_rate_only(self):
        site = Site(lambda number: 0.6, seed=6, learn=True).run()
        rates = [host.rates[Stage.PREFILL].tokens_per_second for host in site.hosts]
        assert 0.45 * NOMINAL <= sorted(rates)[HOSTS // 2] <= 0.7 * NOMINAL
        factors = [factor for host in site.hosts for factor in site.factors(host)]
        assert sum(factor != 1.0 for factor in factors) <= 0.1 * len(factors)


def measured(factor, *, queued=1.0):
    speed = COMMON + math.log(factor)
    return SpeedRange(speed, speed + math.log(queued), 1.0)


def taught(factor, *, count=24, name="e/1"):
    speeds = EngineSpeeds()
    for _ in range(count):
        speeds.record(name, measured(factor), COMMON, now=0.0)
    return speeds


def common(name):
    return COMMON


class TestEstimate:
    @pytest.mark.parametrize("factor", [0.5, 0.7, 1.4, 1.7])
    def test_lasting_speed_is_learned(self, factor):
        assert taught(factor).lasting_factor("e/1", REFERENCE, now=1.0) == pytest.approx(
            factor, rel=0.15
        )

    def test_small_differences_are_ignored(self):
        for factor in (0.85, 1.0, 1.18):
            assert taught(factor).factor("e/1", REFERENCE, now=0.0) == 1.0

    def test_one_sample_changes_no_lasting_speed(self):
        for factor in (0.1, 0.5):
            assert taught(factor, count=1).lasting_factor("e/1", REFERENCE, now=0.0) == 1.0

    def test_estimate_stays_right_when_the_common_rate_moves(self):
        speeds = taught(0.5)
        before = speeds.lasting_factor("e/1", REFERENCE, now=0.0)
        moved = SpeedReference(COMMON - math.log(2) / 2, COMMON, COMMON)
        after = speeds.lasting_factor("e/1", moved, now=0.0)
        assert after == pytest.approx(before * math.sqrt(2), rel=0.1)

    def test_temporary_slowness_is_over_after_a_second(self):
        speeds = taught(1.0, count=1)
        for _ in range(2):
            speeds.record("e/1", measured(0.4), COMMON, now=5.0)
        assert speeds.factor("e/1", REFERENCE, now=5.0) < 0.5
        assert speeds.factor("e/1", REFERENCE, now=6.5) >= 0.7

    def test_queue_that_was_shorter_than_expected_looks_like_no_fast_engine(self):
        speeds = EngineSpeeds()
        for _ in range(20):
            speeds.record("e/1", measured(0.9, queued=4.0), COMMON, now=0.0)
        assert speeds.factor("e/1", REFERENCE, now=0.0) == 1.0

    def test_queue_that_was_longer_than_expected_looks_like_no_slow_engine(self):
        speeds = EngineSpeeds()
        for number in range(60):
            is_misjudged = number % 5 == 0
            call = measured(0.3, queued=2.0) if is_misjudged else measured(1.0)
            speeds.record("e/1", call, COMMON, now=number / 10)
            assert speeds.factor("e/1", REFERENCE, now=number / 10) == 1.0

    @pytest.mark.parametrize("claimed", [1e-6, 1e6])
    def test_lying_engine_is_believed_within_bounds(self, claimed):
        speeds = taught(claimed, count=200)
        assert MIN_FACTOR <= speeds.factor("e/1", REFERENCE, now=0.0) <= MAX_FACTOR

    def test_restarted_engine_starts_at_the_common_speed(self):
        speeds = taught(0.5)
        assert speeds.factor("e/2", REFERENCE, now=0.0) == 1.0
        speeds.keep_only({"e/2"})
        assert len(speeds) == 0

    def test_estimate_without_samples_returns_to_the_common_speed(self):
        speeds = taught(0.5)
        assert speeds.factor("e/1", REFERENCE, now=FRESH_SECONDS - 1) < 0.6
        assert 0.6 < speeds.factor("e/1", REFERENCE, now=FRESH_SECONDS + 10) < 0.9
        assert speeds.factor("e/1", REFERENCE, now=FRESH_SECONDS + 40) == 1.0
        assert speeds.shared_engines(now=LIFETIME_SECONDS + 1) == [] and len(speeds) == 0

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.05, 20), st.floats(1, 5))))
    def test_samples_move_no_other_estimate_and_each_by_a_bounded_step(self, calls):
        speeds, names = EngineSpeeds(), "abc"
        for number, (name, factor, queued) in enumerate(calls):
            before = {n: speeds.lasting_factor(n, REFERENCE, now=number) for n in names}
            speeds.record(name, measured(factor, queued=queued), COMMON, now=number)
            for n in names:
                after = speeds.lasting_factor(n, REFERENCE, now=number)
                if n != name:
                    assert after == before[n]
                else:
                    assert abs(math.log(after / before[n])) <= 2 * MAX_STEP + DEAD_BAND

    def test_too_short_calls_say_nothing(self):
        assert speed_range(100, 0, 0.1, 0.03) is None
        assert speed_range(5000, 0, 0.0, 0.03) is None


class TestMessages:
    def test_samples_of_an_engine_that_differs_are_sent_once(self):
        speeds = taught(0.5)
        [(name, speed, weight)] = speeds.take_samples(8, now=0.0)
        assert name == "e/1" and speed < COMMON and weight > 0
        assert speeds.take_samples(8, now=0.0) == []

    def test_samples_of_equal_engines_are_not_sent(self):
        assert taught(1.1).take_samples(8, now=0.0) == []

    def test_hub_that_has_started_replaces_no_better_estimate(self):
        speeds, started = taught(0.5), taught(0.9, count=1)
        before = speeds.factor("e/1", REFERENCE, now=5.0)
        started.receive_samples([("e/1", COMMON, 0.4)], common, now=5.0)
        report = started.report("e/1", now=5.0)
        speeds.receive_reports([report], common, now=5.0, min_gain=0.5)
        assert speeds.factor("e/1", REFERENCE, now=5.0) == before
        fresh = EngineSpeeds()
        fresh.receive_reports([speeds.report("e/1", now=5.0)], common, now=5.0, min_gain=0.5)
        assert fresh.factor("e/1", REFERENCE, now=5.0) == before

    def test_sharing_ends_when_the_difference_does(self):
        hub, member = taught(0.5), EngineSpeeds()
        for second in range(100):
            reports = [hub.report(name, now=second) for name in hub.shared_engines(now=second)]
            member.receive_reports(reports, common, now=second, min_gain=0.5)
            member.record("e/1", measured(1.0), COMMON, now=second)
            hub.receive_samples(member.take_samples(8, now=second), common, now=second)
        assert hub.shared_engines(now=100) == member.shared_engines(now=100) == []

    def test_engines_that_are_not_listed_take_no_memory(self):
        speeds = taught(0.5)
        other = EngineSpeeds()
        other.receive_samples(speeds.take_samples(8, now=0.0), lambda name: None, now=0.0)
        other.receive_reports(
            [speeds.report("e/1", now=0.0)], lambda name: None, now=0.0, min_gain=0.5
        )
        assert len(other) == 0


class TestCandidates:
    states = tuple(EndpointState(engine(f"e{n}", Stage.PREFILL), None) for n in range(30))

    def prompt(self, number):
        return Prompt("m", (PromptPart("s", 600), PromptPart(f"p{number}", 600)), 1200, 5)

    def speed(self, state):
        return uneven(int(state.listed.endpoint_id[1:]))

    def speeds(self):
        return {state.listed.endpoint_id: self.speed(state) for state in self.states}

    def test_one_candidate_is_fast_and_fast_engines_own_more_prompts(self):
        owners = 0
        for number in range(600):
            prompt = Prompt("m", (PromptPart(f"s{number}", 600), PromptPart("x", 600)), 1200, 5)
            chosen = prefill_candidates(self.states, prompt, speeds=self.speeds())
            assert len(set(map(id, chosen))) == 3
            assert any(self.speed(state) > 1 for state in chosen)
            owners += self.speed(chosen[0]) > 1
        assert 0.45 < owners / 600 < 0.65  # their part of all speed is 0.55

    def test_prompts_that_share_a_part_keep_their_candidates(self):
        one, other = (
            prefill_candidates(self.states, self.prompt(n), speeds=self.speeds()) for n in (1, 2)
        )
        assert one == other

    def test_hosts_whose_estimates_differ_agree_on_the_owner_of_a_shared_part(self):
        """Else a shared part is read again at each of its owners."""
        source = random.Random(1)
        for number in range(50):
            prompt = Prompt("m", (PromptPart(f"s{number}", 600), PromptPart("x", 600)), 1200, 5)
            owners = {
                prefill_candidates(
                    self.states,
                    prompt,
                    speeds={
                        name: f * source.uniform(0.9, 1.1) for name, f in self.speeds().items()
                    },
                )[0].listed.endpoint_id
                for _ in range(20)
            }
            assert len(owners) == 1

    def test_equal_speeds_give_the_same_candidates_as_none(self):
        chosen = prefill_candidates(
            self.states, self.prompt(1), speeds=dict.fromkeys(map(str, range(9)), 1.0)
        )
        assert chosen == prefill_candidates(self.states, self.prompt(1))
