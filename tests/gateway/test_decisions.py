"""Decisions without a network: routes, plans, admission, counts, budgets and estimates."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import KEY_MISSING, KEY_UNKNOWN, NO_ROUTE
from samphirehall.gateway.admission import decide_admission
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.cache_model import USABLE_SHARE, CacheModel
from samphirehall.gateway.endpoint_counts import (
    Demand,
    ZoneSupply,
    wanted_counts,
    wanted_stage_change,
)
from samphirehall.gateway.events import EventSplitter
from samphirehall.gateway.generation_plan import EngineView, plan_generation
from samphirehall.gateway.reading_rate import ReadingRate
from samphirehall.gateway.repeat_budget import RepeatBudget
from samphirehall.gateway.routes import RouteTable, choose_service, urgency
from samphirehall.gateway.types import Customer, PromptPart, RequestKind, Route, Share, Stage
from tests.gateway.helpers import ENGINE, MODEL, ROUTES, configuration, engine, prompt, request


def view(name, stage=Stage.DECODE, *, requests=0, ahead=0, cached=0, zone="a", rate=40_000.0):
    return EngineView(name, f"{name}:1", zone, stage, requests, ahead, ahead, cached, rate, 0.05)


def plan(engines, of, pause=0.15):
    return plan_generation(engines, of, ENGINE, hand_over=0.05, pause=pause)


class TestRoutes:
    def test_longest_prefix_wins(self):
        short = Route("s", "h", "/a/", RequestKind.ONCE, (Share("x", 1),), 1, 1)
        long = Route("l", "h", "/a/b/", RequestKind.ONCE, (Share("x", 1),), 1, 1)
        table = RouteTable(configuration(routes=(short, long)))
        assert table.find("h", "/a/b/c") is long
        assert table.find("h", "/a/bc") is short

    def test_unknown_path_has_no_route(self):
        with pytest.raises(SamphireError) as caught:
            RouteTable(configuration()).find("h.example", "/nowhere/")
        assert caught.value.result is NO_ROUTE

    @pytest.mark.parametrize(("key", "result"), [(None, KEY_MISSING), ("old", KEY_UNKNOWN)])
    def test_a_key_is_needed(self, key, result):
        table = RouteTable(configuration())
        with pytest.raises(SamphireError) as caught:
            table.authenticate(request(key=key), ROUTES[0])
        assert caught.value.result is result

    def test_public_route_needs_none(self):
        table = RouteTable(configuration())
        public = next(route for route in ROUTES if route.public)
        assert table.authenticate(request(key=None), public) is None

    def test_split_follows_the_weights_on_every_host_alike(self):
        route = Route("s", "h", "/", RequestKind.ONCE, (Share("x", 90), Share("y", 10)), 1, 1)
        chosen = [choose_service(route, f"r{number}") for number in range(4000)]
        assert 0.07 < chosen.count("y") / 4000 < 0.13
        assert chosen == [choose_service(route, f"r{number}") for number in range(4000)]

    def test_priority_of_the_customer_goes_first(self):
        assert urgency(ROUTES[0], Customer("acme", 0)) == 0
        assert urgency(ROUTES[0], Customer("acme")) == ROUTES[0].priority


class TestPlan:
    def test_busy_generating_engine_does_not_read_a_long_prompt(self):
        engines = [view("d", requests=5), view("p", Stage.PREFILL)]
        chosen = plan(engines, prompt(8000))
        assert chosen.prefill.endpoint_id == "p"

    def test_short_prompt_that_fits_the_pause_is_read_where_it_is_generated(self):
        engines = [view("d", requests=5), view("p", Stage.PREFILL)]
        assert plan(engines, prompt(800)).prefill is None

    def test_short_prompts_do_not_add_up_beyond_the_pause(self):
        engines = [view("d", requests=5, ahead=2800), view("p", Stage.PREFILL)]
        assert plan(engines, prompt(800)).prefill is not None

    def test_shared_part_is_fetched_instead_of_read(self):
        engines = [view("d", requests=9), view("p", Stage.PREFILL), view("q", cached=13_000)]
        chosen = plan(engines, prompt(16_000, shared=13_000))
        assert chosen.unread_tokens == 3000
        assert chosen.fetch_from is None or chosen.fetch_from.endpoint_id == "q"

    def test_shorter_queue_wins(self):
        engines = [
            view("d", requests=5),
            view("p", Stage.PREFILL, ahead=40_000),
            view("q", Stage.PREFILL),
        ]
        assert plan(engines, prompt(8000)).prefill.endpoint_id == "q"

    def test_without_generating_engine_there_is_no_plan(self):
        assert plan([view("p", Stage.PREFILL)], prompt()) is None


class TestBurst:
    """Prompts that arrive one and a half times faster than they can be read, for three seconds."""

    RATE = 40_000.0
    GOAL = 0.5

    def played(self, admit_all):
        """Return how many first events are on time, on a first-come engine."""
        source = random.Random(3)
        free_at = now = on_time = 0.0
        while now < 3.0:
            tokens = source.choice([1000, 3000, 8000])
            wait = max(0.0, free_at - now)
            first = wait + tokens / self.RATE + 0.05
            decision = decide_admission(
                wait=wait, first_event=first, goal_left=self.GOAL, goal=self.GOAL, time_left=4.0
            )
            if admit_all or decision.admit:
                free_at = max(free_at, now) + tokens / self.RATE
                on_time += first <= self.GOAL
            now += source.expovariate(self.RATE * 1.5 / 4000)
        return on_time

    def test_more_callers_are_served_on_time_than_without_a_bound(self):
        assert self.played(admit_all=False) > 2 * self.played(admit_all=True)


class TestAdmission:
    @pytest.mark.parametrize("own", [0.05, 0.4, 2.0])
    def test_prompt_of_any_length_is_taken_if_it_meets_no_queue(self, own):
        decision = decide_admission(
            wait=0.0, first_event=own, goal_left=0.5, goal=0.5, time_left=4.0
        )
        assert decision.admit

    def test_refused_request_is_told_when_the_queue_is_short_again(self):
        decision = decide_admission(
            wait=1.0, first_event=1.2, goal_left=0.5, goal=0.5, time_left=4.0
        )
        assert not decision.admit and 0.5 < decision.retry_after < 1.0

    def test_request_that_cannot_start_in_time_is_refused(self):
        decision = decide_admission(
            wait=0.1, first_event=0.3, goal_left=0.5, goal=0.5, time_left=0.2
        )
        assert not decision.admit


class TestCacheModel:
    def test_part_counts_only_after_all_before_it(self):
        cache = CacheModel(100_000)
        a, b, c = (PromptPart(name, 1000) for name in "abc")
        cache.note([a, b])
        assert cache.cached_tokens([a, b, c]) == 2000
        assert cache.cached_tokens([c, a, b]) == 0

    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 4000)), max_size=80))
    def test_never_holds_more_than_fits(self, notes):
        cache = CacheModel(20_000)
        for name, tokens in notes:
            cache.note([PromptPart(str(name), tokens)])
        held = sum(cache._parts.values())
        assert held == cache._tokens <= 20_000 * USABLE_SHARE

    def test_least_recently_used_part_yields(self):
        cache = CacheModel(int(2500 / USABLE_SHARE))
        for name in ("a", "b", "a", "c"):
            cache.note([PromptPart(name, 1000)])
        assert cache.cached_tokens([PromptPart("a", 1000)]) == 1000
        assert cache.cached_tokens([PromptPart("b", 1000)]) == 0


class TestReadingRate:
    def test_finds_the_rate_below_calls_that_met_hidden_queues(self):
        source = random.Random(1)
        rate = ReadingRate()
        for _ in range(200):
            tokens = source.uniform(500, 15_000)
            hidden = source.expovariate(8) if source.random() < 0.5 else 0.0
            rate.note(tokens, 0.05 + tokens / 45_000 + hidden)
        assert 30_000 < rate.tokens_per_second < 55_000
        assert rate.overhead < 0.12

    @given(st.lists(st.tuples(st.floats(0, 60_000), st.floats(0, 20)), max_size=60))
    def test_stays_within_bounds(self, samples):
        rate = ReadingRate()
        for tokens, seconds in samples:
            rate.note(tokens, seconds)
            assert rate.tokens_per_second * 1.0001 >= 2000 and rate.overhead >= 0


class TestRepeatBudget:
    @given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
    def test_no_window_has_more_repeats_than_allowed(self, steps):
        budget = RepeatBudget(ratio=0.2, slack=10.0, window=10.0)
        now, requests, repeats = 0.0, [], []
        for passed, is_request in steps:
            now += passed
            if is_request:
                budget.note_request(now=now)
                requests.append(now)
            elif budget.take(hosts=2, now=now):
                repeats.append(now)
            recent = [at for at in requests if at > now - 10.0]
            assert sum(at > now - 10.0 for at in repeats) <= 0.2 * len(recent) + 5.0 + 1e-9


class TestAgreedTime:
    def test_a_few_jumping_clocks_move_nothing(self):
        agreed = AgreedTime()
        for peer, ahead in [("b", 0.001), ("c", 5.0), ("d", -0.002), ("e", 0.0)]:
            agreed.hear(peer, 100.0 + ahead, wall=100.0, now=1.0)
        assert agreed.at(wall=100.0, now=1.0) == pytest.approx(100.0, abs=0.01)

    def test_own_jump_is_corrected_by_the_others(self):
        agreed = AgreedTime()
        for peer in "bcde":
            agreed.hear(peer, 100.0, wall=102.4, now=1.0)
        assert agreed.at(wall=102.4, now=1.0) == pytest.approx(100.0)

    def test_peers_not_heard_lately_do_not_count(self):
        agreed = AgreedTime()
        agreed.hear("b", 200.0, wall=100.0, now=1.0)
        agreed.hear("c", 200.0, wall=100.0, now=1.0)
        assert agreed.at(wall=110.0, now=11.0) == 110.0


class TestEvents:
    @given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
    def test_cuts_anywhere_give_the_same_events(self, cuts):
        data = b"".join(b"id: %d\r\ndata: x\r\n\r\n" % number for number in range(1, 9))
        splitter, events, start = EventSplitter(), [], 0
        for cut in [*cuts, len(data)]:
            events += splitter.feed(data[start : start + cut])
            start += cut
        assert [event.number for event in events] == list(range(1, 9))
        assert b"".join(event.data for event in events) == data and not splitter.remainder


class TestCounts:
    """A zone whose cheap engines are reclaimed while prompts keep coming."""

    def orders(self, supply, demand):
        return {
            (order.zone, order.cheap): order.count for order in wanted_counts(MODEL, supply, demand)
        }

    def test_cheap_engines_take_the_place_of_standard_ones(self):
        supply = {zone: ZoneSupply(standard=1, cheap=2) for zone in "abc"}
        orders = self.orders(supply, Demand(1.0, 0.1))
        assert all(orders[zone, False] == 0 and orders[zone, True] == 3 for zone in "abc")

    def test_standard_engines_stand_in_where_cheap_ones_are_not_to_be_had(self):
        supply = {"a": ZoneSupply(cheap=3), "b": ZoneSupply(cheap_refused=True), "c": ZoneSupply()}
        orders = self.orders(supply, Demand(2.0, 0.2))
        assert orders["b", False] >= 2

    def test_a_zone_without_cheap_engines_keeps_its_minimum(self):
        orders = self.orders({"a": ZoneSupply(cheap_refused=True)}, Demand(0.0, 0.0))
        assert orders["a", False] >= MODEL.scaling.minimum

    def test_standing_in_leaves_a_place_for_cheap_engines_to_return(self):
        supply = {"a": ZoneSupply(standard=3), "b": ZoneSupply(), "c": ZoneSupply()}
        assert self.orders(supply, Demand(5.0, 0.5))["a", False] < MODEL.scaling.maximum


class TestStages:
    def test_engine_that_can_be_spared_reads_when_readers_are_short(self):
        members = [engine(f"d{number}") for number in range(5)]
        change = wanted_stage_change([*members, engine("p", Stage.PREFILL)], Demand(2.0, 0.2))
        assert change is not None and change[1] is Stage.PREFILL

    def test_last_generating_engine_of_a_zone_stays(self):
        members = [engine("d", zone="a"), engine("p", Stage.PREFILL, zone="a")]
        assert wanted_stage_change(members, Demand(9.0, 0.1)) is None

    @given(st.integers(1, 8), st.integers(1, 8), st.floats(0, 6), st.floats(0, 6))
    def test_a_change_never_calls_for_its_own_reversal(self, reads, generates, reading, generating):
        demand = Demand(reading, generating)
        members = [engine(f"p{number}", Stage.PREFILL) for number in range(reads)]
        members += [engine(f"d{number}") for number in range(generates)]
        change = wanted_stage_change(members, demand)
        if change is None:
            return
        moved = [
            engine(item.endpoint_id, change[1]) if item.endpoint_id == change[0] else item
            for item in members
        ]
        again = wanted_stage_change(moved, demand)
        assert again is None or again[1] is change[1]
