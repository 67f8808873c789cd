"""Endpoint counts: floor, cheap kind first, fallback, budget."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.configuration.documents import FleetPart
from samphirehall.placement.counts import CountRules, ZoneCounts, decide_counts

FLEET = FleetPart(standard_floor=2, max_endpoints=20, cheap_share=0.5)
RULES = CountRules(utilisation=0.75, cheap_patience_seconds=30, lower_seconds=300)
HERE = ZoneCounts(standard=2, cheap=2, standard_ordered=2, cheap_ordered=2)
NOW = 1000.0


def decide(counts=HERE, *, load=3.0, firm_share=0.3, fleet=FLEET, now=NOW):
    return decide_counts(
        counts, load=load, firm_share=firm_share, fleet=fleet, rules=RULES, now=now
    )


class TestDecideCounts:
    def test_gives_what_can_wait_to_the_cheap_kind(self):
        decision = decide(load=6.0)
        assert (decision.standard, decision.cheap) == (4, 4)

    def test_standard_kind_stands_in_for_cheap_endpoints_that_do_not_come(self):
        short = replace(HERE, cheap=0, cheap_short_since=NOW - 31)
        assert decide(short, load=6.0).standard == 8

    def test_waits_for_cheap_endpoints_before_it_falls_back(self):
        short = replace(HERE, cheap=0, cheap_short_since=NOW - 29)
        assert decide(short, load=6.0).standard == 4

    def test_lowers_only_after_a_while(self):
        many = ZoneCounts(6, 6, 6, 6, lowered_at=NOW - 299)
        assert decide(many).standard == 6
        assert decide(many, now=NOW + 2).standard < 6

    @pytest.mark.parametrize("budget", [8.0, 10.0, 16.0])
    def test_keeps_within_the_budget(self, budget):
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
    def test_floor_covers_what_must_not_stop(self, load, firm_share, floor, cheap_share):
        fleet = FleetPart(standard_floor=floor, max_endpoints=20, cheap_share=cheap_share)
        none = ZoneCounts(0, 0, 0, 0)
        decision = decide(none, load=load, firm_share=firm_share, fleet=fleet)
        total = decision.standard + decision.cheap
        assert decision.standard >= floor
        assert decision.standard >= total * firm_share - 1e-9
        assert total <= max(20, floor)
