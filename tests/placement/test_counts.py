"""Endpoint counts: floor, cheap endpoints first, standard endpoints as fallback, budget."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.configuration.documents import FleetPart
from samphirehall.placement.counts import CountRules, ZoneCounts, decide_counts

FLEET = FleetPart(standard_floor=2, max_endpoints=20, cheap_share=0.5)
RULES = CountRules(
    target_utilisation=0.75, cheap_start_timeout_seconds=30, min_decrease_interval_seconds=300
)
CURRENT = ZoneCounts(standard=2, cheap=2, standard_ordered=2, cheap_ordered=2)
NOW = 1000.0


def decide(counts=CURRENT, *, load=3.0, uninterruptible_share=0.3, fleet=FLEET, now=NOW):
    return decide_counts(
        counts,
        load=load,
        uninterruptible_share=uninterruptible_share,
        fleet=fleet,
        rules=RULES,
        now=now,
    )


class TestDecideCounts:
    def test_plans_interruptible_work_on_cheap_endpoints(self):
        decision = decide(load=6.0)
        assert (decision.standard, decision.cheap) == (4, 4)

    def test_replaces_cheap_endpoints_that_do_not_start_by_standard_ones(self):
        shortfall = replace(CURRENT, cheap=0, cheap_shortfall_since=NOW - 31)
        assert decide(shortfall, load=6.0).standard == 8

    def test_waits_for_cheap_endpoints_before_replacing_them(self):
        shortfall = replace(CURRENT, cheap=0, cheap_shortfall_since=NOW - 29)
        assert decide(shortfall, load=6.0).standard == 4

    def test_decreases_only_after_the_minimum_interval(self):
        current = ZoneCounts(6, 6, 6, 6, decreased_at=NOW - 299)
        assert decide(current).standard == 6
        assert decide(current, now=NOW + 2).standard < 6

    @pytest.mark.parametrize("budget", [8.0, 10.0, 16.0])
    def test_stays_within_the_budget_or_at_the_floor(self, budget):
        fleet = replace(FLEET, budget_per_hour=budget)
        decision = decide(load=12.0, fleet=fleet)
        cost = decision.standard * 4.0 + decision.cheap * 1.2
        assert cost <= budget or decision.standard == FLEET.standard_floor

    @given(
        st.floats(0, 100),
        st.floats(0, 1),
        st.integers(0, 5),
        st.floats(0, 1),
    )
    def test_standard_endpoints_cover_the_floor_and_uninterruptible_work(
        self, load, uninterruptible_share, floor, cheap_share
    ):
        fleet = FleetPart(standard_floor=floor, max_endpoints=20, cheap_share=cheap_share)
        empty = ZoneCounts(0, 0, 0, 0)
        decision = decide(
            empty, load=load, uninterruptible_share=uninterruptible_share, fleet=fleet
        )
        total = decision.standard + decision.cheap
        assert decision.standard >= floor
        assert decision.standard >= total * uninterruptible_share - 1e-9
        assert total <= max(20, floor)
