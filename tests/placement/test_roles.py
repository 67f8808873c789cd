"""Role decisions: they pay, dwell, and never leave a phase without an engine."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.types import Role
from samphirehall.placement.capacity import EngineRates, served_share
from samphirehall.placement.demand import Demand
from samphirehall.placement.roles import EngineRole, RoleRules, decide_role_change

RATES = EngineRates(prefill_tokens_per_second=8000, decode_tokens_per_second=1000)
RULES = RoleRules(dwell_seconds=60, change_seconds=5)
NOW = 1000.0

roles = st.lists(st.sampled_from(Role), min_size=1, max_size=8)
demands = st.builds(
    Demand,
    st.floats(0, 100_000),
    st.floats(0, 20_000),
    st.integers(0, 10),
)


def engines_of(names, **changes):
    return [EngineRole(f"engine-{number}", role, **changes) for number, role in enumerate(names)]


def decide(engines, demand, **changes):
    arguments = {"rates": RATES, "rules": RULES, "now": NOW, **changes}
    return decide_role_change(engines, demand, **arguments)


class TestDecideRoleChange:
    def test_moves_an_engine_to_the_phase_that_lacks_capacity(self):
        engines = engines_of([Role.PREFILL, Role.PREFILL, Role.PREFILL, Role.DECODE])
        change = decide(engines, Demand(4000, 2500))
        assert change is not None
        assert change.role in (Role.DECODE, Role.MIXED)

    def test_changes_nothing_while_all_is_served(self):
        engines = engines_of([Role.PREFILL, Role.DECODE])
        assert decide(engines, Demand(7000, 900)) is None

    @pytest.mark.parametrize(
        "reason, engines",
        [
            ("a change is under way", engines_of([Role.PREFILL] * 3, changing=True)),
            ("each engine changed lately", engines_of([Role.PREFILL] * 3, changed_at=NOW - 59)),
        ],
    )
    def test_waits_while(self, reason, engines):
        assert decide(engines, Demand(100, 3000)) is None

    def test_makes_no_change_that_costs_more_than_it_wins(self):
        engines = engines_of([Role.PREFILL, Role.PREFILL, Role.DECODE])
        slow = replace(RULES, change_seconds=600)
        assert decide(engines, Demand(100, 3000)) is not None
        assert decide(engines, Demand(100, 3000), rules=slow) is None

    @given(roles, demands)
    def test_leaves_every_phase_in_demand_an_engine(self, names, demand):
        engines = engines_of(names)
        change = decide(engines, demand)
        if change is None:
            return
        after = [
            change.role if engine.endpoint_id == change.endpoint_id else engine.role
            for engine in engines
        ]
        if Role.MIXED not in after:
            assert Role.PREFILL in after or demand.prefill_tokens_per_second <= 0
            assert Role.DECODE in after or demand.decode_tokens_per_second <= 0

    @given(roles, demands)
    def test_every_change_raises_the_served_share(self, names, demand):
        engines = engines_of(names)
        change = decide(engines, demand)
        if change is not None:
            after = [
                change.role if engine.endpoint_id == change.endpoint_id else engine.role
                for engine in engines
            ]
            assert served_share(after, demand, RATES) > served_share(names, demand, RATES)

    @given(roles, demands)
    def test_settles_under_steady_demand(self, names, demand):
        engines = engines_of(names)
        for step in range(3 * len(engines)):
            change = decide(engines, demand, now=NOW + step * 100)
            if change is None:
                break
            engines = [
                (
                    replace(engine, role=change.role, changed_at=NOW + step * 100)
                    if engine.endpoint_id == change.endpoint_id
                    else engine
                )
                for engine in engines
            ]
        assert decide(engines, demand, now=NOW + 100_000) is None


class TestServedShare:
    @given(roles, demands)
    def test_more_engines_never_serve_less(self, names, demand):
        assert served_share([*names, Role.MIXED], demand, RATES) >= served_share(
            names, demand, RATES
        )

    def test_split_engines_beat_mixed_ones_on_a_matching_mix(self):
        demand = Demand(8000, 1000)
        split = served_share([Role.PREFILL, Role.DECODE], demand, RATES)
        mixed = served_share([Role.MIXED, Role.MIXED], demand, RATES)
        assert split > mixed
