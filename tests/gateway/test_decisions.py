"""Unit tests of routing, planning, admission, scaling, budgets and estimators."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import DEADLINE_NOT_RUN, KEY_MISSING, KEY_UNKNOWN, NO_ROUTE
from samphirehall.gateway.admission import decide_admission
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.cache_model import USABLE_FRACTION, CacheModel
from samphirehall.gateway.endpoint_counts import (
    EngineDemand,
    ZoneSupply,
    desired_counts,
    desired_stage_change,
)
from samphirehall.gateway.events import EventSplitter
from samphirehall.gateway.fleet import MAX_BACKOFF_SECONDS, EndpointState, Fleet
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.generation_plan import EngineView, plan_generation
from samphirehall.gateway.prefill_rate import PrefillRate
from samphirehall.gateway.repeat_budget import RepeatBudget
from samphirehall.gateway.routes import RouteTable, choose_service, request_rank
from samphirehall.gateway.types import Customer, PromptPart, RequestKind, Route, ServiceShare, Stage
from tests.gateway.helpers import (
    ENGINE,
    MODEL,
    ROUTES,
    RecordingCaller,
    configuration,
    context,
    engine,
    prompt,
    request,
)


def view(name, stage=Stage.DECODE, *, requests=0, ahead=0, cached=0, zone="a", rate=40_000.0):
    return EngineView(name, f"{name}:1", zone, stage, requests, ahead, ahead, cached, rate, 0.05)


def plan(engines, planned_prompt, max_event_gap=0.15):
    return plan_generation(
        engines, planned_prompt, ENGINE, kv_transfer_overhead=0.05, max_event_gap=max_event_gap
    )


class TestRoutes:
    def test_longest_prefix_wins(self):
        short = Route("s", "h", "/a/", RequestKind.ONCE, (ServiceShare("x", 1),), 1, 1)
        long = Route("l", "h", "/a/b/", RequestKind.ONCE, (ServiceShare("x", 1),), 1, 1)
        table = RouteTable(configuration(routes=(short, long)))
        assert table.find("h", "/a/b/c") is long
        assert table.find("h", "/a/bc") is short

    def test_unknown_path_has_no_route(self):
        with pytest.raises(SamphireError) as caught:
            RouteTable(configuration()).find("h.example", "/nowhere/")
        assert caught.value.result is NO_ROUTE

    @pytest.mark.parametrize(("key", "result"), [(None, KEY_MISSING), ("old", KEY_UNKNOWN)])
    def test_missing_or_unknown_key_is_refused(self, key, result):
        table = RouteTable(configuration())
        with pytest.raises(SamphireError) as caught:
            table.authenticate(request(key=key), ROUTES[0])
        assert caught.value.result is result

    def test_public_route_needs_no_key(self):
        table = RouteTable(configuration())
        public = next(route for route in ROUTES if route.public)
        assert table.authenticate(request(key=None), public) is None

    def test_services_are_chosen_by_weight_and_deterministically(self):
        route = Route(
            "s", "h", "/", RequestKind.ONCE, (ServiceShare("x", 90), ServiceShare("y", 10)), 1, 1
        )
        chosen = [choose_service(route, f"r{number}") for number in range(4000)]
        assert 0.07 < chosen.count("y") / 4000 < 0.13
        assert chosen == [choose_service(route, f"r{number}") for number in range(4000)]

    def test_priority_of_the_customer_overrides_that_of_the_route(self):
        assert request_rank(ROUTES[0], Customer("acme", 0)) == 0
        assert request_rank(ROUTES[0], Customer("acme")) == ROUTES[0].priority


class TestPlan:
    def test_busy_decode_engine_does_not_prefill_a_long_prompt(self):
        engines = [view("d", requests=5), view("p", Stage.PREFILL)]
        chosen = plan(engines, prompt(8000))
        assert chosen.dedicated_prefill.endpoint_id == "p"

    def test_short_prompt_within_the_event_gap_is_prefilled_on_the_decode_engine(self):
        engines = [view("d", requests=5), view("p", Stage.PREFILL)]
        assert plan(engines, prompt(800)).dedicated_prefill is None

    def test_pending_prefill_counts_towards_the_event_gap(self):
        engines = [view("d", requests=5, ahead=2800), view("p", Stage.PREFILL)]
        assert plan(engines, prompt(800)).dedicated_prefill is not None

    def test_shared_part_is_fetched_instead_of_prefilled(self):
        engines = [view("d", requests=9), view("p", Stage.PREFILL), view("q", cached=13_000)]
        chosen = plan(engines, prompt(16_000, shared=13_000))
        assert chosen.uncached_tokens == 3000
        assert chosen.prefix_source is None or chosen.prefix_source.endpoint_id == "q"

    def test_shorter_queue_wins(self):
        engines = [
            view("d", requests=5),
            view("p", Stage.PREFILL, ahead=40_000),
            view("q", Stage.PREFILL),
        ]
        assert plan(engines, prompt(8000)).dedicated_prefill.endpoint_id == "q"

    def test_no_plan_without_a_decode_engine(self):
        assert plan([view("p", Stage.PREFILL)], prompt()) is None


class TestBurst:
    """Prompts arrive at 1.5 times the prefill rate for three seconds."""

    PREFILL_TOKENS_PER_SECOND = 40_000.0
    LATENCY_TARGET_SECONDS = 0.5

    def count_on_time(self, admit_all):
        """Simulate a FIFO engine; return how many first events are on time."""
        source = random.Random(3)
        free_at = now = on_time = 0.0
        while now < 3.0:
            tokens = source.choice([1000, 3000, 8000])
            wait = max(0.0, free_at - now)
            first = wait + tokens / self.PREFILL_TOKENS_PER_SECOND + 0.05
            decision = decide_admission(
                queue_wait=wait,
                time_to_first_event=first,
                remaining_latency_target=self.LATENCY_TARGET_SECONDS,
                latency_target=self.LATENCY_TARGET_SECONDS,
                time_to_deadline=4.0,
            )
            if admit_all or decision.admit:
                free_at = max(free_at, now) + tokens / self.PREFILL_TOKENS_PER_SECOND
                on_time += first <= self.LATENCY_TARGET_SECONDS
            now += source.expovariate(self.PREFILL_TOKENS_PER_SECOND * 1.5 / 4000)
        return on_time

    def test_admission_control_more_than_doubles_requests_on_time(self):
        assert self.count_on_time(admit_all=False) > 2 * self.count_on_time(admit_all=True)


class TestAdmission:
    @pytest.mark.parametrize("time_to_first_event", [0.05, 0.4, 2.0])
    def test_prompt_of_any_length_is_admitted_without_a_queue(self, time_to_first_event):
        decision = decide_admission(
            queue_wait=0.0,
            time_to_first_event=time_to_first_event,
            remaining_latency_target=0.5,
            latency_target=0.5,
            time_to_deadline=4.0,
        )
        assert decision.admit

    def test_refused_request_gets_retry_after_from_the_queue_wait(self):
        decision = decide_admission(
            queue_wait=1.0,
            time_to_first_event=1.2,
            remaining_latency_target=0.5,
            latency_target=0.5,
            time_to_deadline=4.0,
        )
        assert not decision.admit and 0.5 < decision.retry_after < 1.0

    def test_request_that_cannot_start_before_its_deadline_is_refused(self):
        decision = decide_admission(
            queue_wait=0.1,
            time_to_first_event=0.3,
            remaining_latency_target=0.5,
            latency_target=0.5,
            time_to_deadline=0.2,
        )
        assert not decision.admit


class TestCacheModel:
    def test_part_is_cached_only_together_with_its_prefix(self):
        cache = CacheModel(100_000)
        a, b, c = (PromptPart(name, 1000) for name in "abc")
        cache.record([a, b])
        assert cache.cached_tokens([a, b, c]) == 2000
        assert cache.cached_tokens([c, a, b]) == 0

    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 4000)), max_size=80))
    def test_cached_tokens_never_exceed_the_capacity(self, records):
        cache = CacheModel(20_000)
        for name, tokens in records:
            cache.record([PromptPart(str(name), tokens)])
        cached_tokens = sum(cache._parts.values())
        assert cached_tokens == cache._tokens <= 20_000 * USABLE_FRACTION

    def test_least_recently_used_part_is_evicted(self):
        cache = CacheModel(int(2500 / USABLE_FRACTION))
        for name in ("a", "b", "a", "c"):
            cache.record([PromptPart(name, 1000)])
        assert cache.cached_tokens([PromptPart("a", 1000)]) == 1000
        assert cache.cached_tokens([PromptPart("b", 1000)]) == 0


class TestPrefillRate:
    def test_rate_is_estimated_despite_unknown_queueing_delays(self):
        source = random.Random(1)
        rate = PrefillRate()
        for _ in range(200):
            tokens = source.uniform(500, 15_000)
            queue_delay = source.expovariate(8) if source.random() < 0.5 else 0.0
            rate.record(tokens, 0.05 + tokens / 45_000 + queue_delay)
        assert 30_000 < rate.tokens_per_second < 55_000
        assert rate.overhead < 0.12

    @given(st.lists(st.tuples(st.floats(0, 60_000), st.floats(0, 20)), max_size=60))
    def test_rate_stays_within_bounds(self, samples):
        rate = PrefillRate()
        for tokens, seconds in samples:
            rate.record(tokens, seconds)
            assert rate.tokens_per_second * 1.0001 >= 2000 and rate.overhead >= 0


class TestRepeatBudget:
    @given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
    def test_no_window_has_more_repeats_than_allowed(self, steps):
        budget = RepeatBudget(ratio=0.2, slack=10.0, window=10.0)
        now, requests, repeats = 0.0, [], []
        for passed, is_request in steps:
            now += passed
            if is_request:
                budget.record_request(now=now)
                requests.append(now)
            elif budget.acquire(hosts=2, now=now):
                repeats.append(now)
            recent = [at for at in requests if at > now - 10.0]
            assert sum(at > now - 10.0 for at in repeats) <= 0.2 * len(recent) + 5.0 + 1e-9


class TestAgreedTime:
    def test_clock_jumps_on_a_minority_of_hosts_have_no_effect(self):
        agreed = AgreedTime()
        for peer, ahead in [("b", 0.001), ("c", 5.0), ("d", -0.002), ("e", 0.0)]:
            agreed.record_peer_clock(peer, 100.0 + ahead, wall=100.0, now=1.0)
        assert agreed.estimate(wall=100.0, now=1.0) == pytest.approx(100.0, abs=0.01)

    def test_local_clock_jump_is_corrected_by_peers(self):
        agreed = AgreedTime()
        for peer in "bcde":
            agreed.record_peer_clock(peer, 100.0, wall=102.4, now=1.0)
        assert agreed.estimate(wall=102.4, now=1.0) == pytest.approx(100.0)

    def test_outdated_peer_clocks_are_ignored(self):
        agreed = AgreedTime()
        agreed.record_peer_clock("b", 200.0, wall=100.0, now=1.0)
        agreed.record_peer_clock("c", 200.0, wall=100.0, now=1.0)
        assert agreed.estimate(wall=110.0, now=11.0) == 110.0


class TestEvents:
    @given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
    def test_events_do_not_depend_on_chunk_boundaries(self, cuts):
        data = b"".join(b"id: %d\r\ndata: x\r\n\r\n" % number for number in range(1, 9))
        splitter, events, start = EventSplitter(), [], 0
        for cut in [*cuts, len(data)]:
            events += splitter.feed(data[start : start + cut])
            start += cut
        assert [event.number for event in events] == list(range(1, 9))
        assert b"".join(event.data for event in events) == data and not splitter.remainder


class TestCounts:
    """Cheap engines of a zone are reclaimed while the demand continues."""

    def orders(self, supply, demand):
        return {
            (order.zone, order.cheap): order.count
            for order in desired_counts(MODEL, supply, demand)
        }

    def test_cheap_engines_replace_standard_ones(self):
        supply = {zone: ZoneSupply(standard=1, cheap=2) for zone in "abc"}
        orders = self.orders(supply, EngineDemand(1.0, 0.1))
        assert all(orders[zone, False] == 0 and orders[zone, True] == 3 for zone in "abc")

    def test_standard_engines_replace_refused_cheap_ones(self):
        supply = {"a": ZoneSupply(cheap=3), "b": ZoneSupply(cheap_refused=True), "c": ZoneSupply()}
        orders = self.orders(supply, EngineDemand(2.0, 0.2))
        assert orders["b", False] >= 2

    def test_a_zone_without_cheap_engines_keeps_its_minimum(self):
        orders = self.orders({"a": ZoneSupply(cheap_refused=True)}, EngineDemand(0.0, 0.0))
        assert orders["a", False] >= MODEL.scaling.min_endpoints

    def test_a_place_is_reserved_for_cheap_engines(self):
        supply = {"a": ZoneSupply(standard=3), "b": ZoneSupply(), "c": ZoneSupply()}
        assert self.orders(supply, EngineDemand(5.0, 0.5))["a", False] < MODEL.scaling.max_endpoints


class TestStages:
    def test_spare_decode_engine_becomes_a_prefill_engine_when_those_are_short(self):
        members = [engine(f"d{number}") for number in range(5)]
        change = desired_stage_change(
            [*members, engine("p", Stage.PREFILL)], EngineDemand(2.0, 0.2)
        )
        assert change is not None and change[1] is Stage.PREFILL

    def test_fast_engines_take_up_prefill_and_slow_ones_give_it_up(self):
        speeds = {"d1": 0.7, "d2": 1.7, "p1": 1.7, "p2": 0.7}
        members = [engine(f"d{n}") for n in range(4)]
        members += [engine(f"p{n}", Stage.PREFILL) for n in range(4)]
        change = desired_stage_change(members, EngineDemand(9.0, 0.2), speeds)
        assert change == ("d2", Stage.PREFILL)
        change = desired_stage_change(members, EngineDemand(0.2, 9.0), speeds)
        assert change == ("p2", Stage.DECODE)

    def test_last_decode_engine_of_a_zone_does_not_change(self):
        members = [engine("d", zone="a"), engine("p", Stage.PREFILL, zone="a")]
        assert desired_stage_change(members, EngineDemand(9.0, 0.1)) is None

    @given(st.integers(1, 8), st.integers(1, 8), st.floats(0, 6), st.floats(0, 6))
    def test_a_stage_change_is_not_reverted_at_constant_demand(
        self, prefill_count, decode_count, prefill_load, decode_load
    ):
        demand = EngineDemand(prefill_load, decode_load)
        members = [engine(f"p{number}", Stage.PREFILL) for number in range(prefill_count)]
        members += [engine(f"d{number}") for number in range(decode_count)]
        change = desired_stage_change(members, demand)
        if change is None:
            return
        moved = [
            engine(item.endpoint_id, change[1]) if item.endpoint_id == change[0] else item
            for item in members
        ]
        again = desired_stage_change(moved, demand)
        assert again is None or again[1] is change[1]


class TestBackoff:
    def test_any_number_of_failures_keeps_the_longest_backoff(self):
        state = EndpointState(engine("e"), None)
        for _ in range(2000):
            state.record_failure(now=10.0)
        assert state.backoff_until == 10.0 + MAX_BACKOFF_SECONDS


class TestClientTimeout:
    pytestmark = pytest.mark.anyio

    async def test_request_without_time_left_is_refused_as_not_run(self):
        shared, _ = context()
        gateway = Gateway(shared)
        gateway.apply_configuration(configuration(), source="test")
        late = replace(request(), timeout=0.0)
        with pytest.raises(SamphireError) as raised:
            await gateway.serve(late, RecordingCaller())
        assert raised.value.result is DEADLINE_NOT_RUN


class TestFleet:
    def test_endpoint_whose_entry_expired_is_used_again_once_it_is_listed(self):
        fleet = Fleet()
        fleet.update(engine("e"), MODEL)
        fleet.remove("e")
        assert fleet.candidates("model", now=0.0) == []
        fleet.update(engine("e"), MODEL)
        assert [state.listed.endpoint_id for state in fleet.candidates("model", now=0.0)] == ["e"]

    def test_endpoint_that_announced_its_leaving_is_not_used_again(self):
        fleet = Fleet()
        fleet.update(engine("e"), MODEL)
        fleet.update(replace(engine("e"), ready=False), MODEL)
        fleet.remove("e")
        fleet.update(engine("e"), MODEL)
        assert fleet.candidates("model", now=0.0) == []
