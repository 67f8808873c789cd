"""Role decisions: gain and cost, dwell time, and an engine left for each phase in demand."""

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


def engines_with_roles(engine_roles, **changes):
    return [
        EngineRole(f"engine-{number}", role, **changes) for number, role in enumerate(engine_roles)
    ]


def decide(engines, demand, **changes):
    arguments = {"rates": RATES, "rules": RULES, "now": NOW, **changes}
    return decide_role_change(engines, demand, **arguments)


class TestDecideRoleChange:
    def test_moves_an_engine_to_the_phase_that_lacks_capacity(self):
        engines = engines_with_roles([Role.PREFILL, Role.PREFILL, Role.PREFILL, Role.DECODE])
        change = decide(engines, Demand(4000, 2500))
        assert change is not None
        assert change.role in (Role.DECODE, Role.MIXED)

    def test_changes_nothing_while_all_demand_is_served(self):
        engines = engines_with_roles([Role.PREFILL, Role.DECODE])
        assert decide(engines, Demand(7000, 900)) is None

    @pytest.mark.parametrize(
        "reason, engines",
        [
            ("an engine is changing", engines_with_roles([Role.PREFILL] * 3, changing=True)),
            (
                "every engine is within its dwell time",
                engines_with_roles([Role.PREFILL] * 3, changed_at=NOW - 59),
            ),
        ],
    )
    def test_changes_nothing_while(self, reason, engines):
        assert decide(engines, Demand(100, 3000)) is None

    def test_makes_no_change_that_costs_more_than_it_gains(self):
        engines = engines_with_roles([Role.PREFILL, Role.PREFILL, Role.DECODE])
        slow_change = replace(RULES, change_seconds=600)
        assert decide(engines, Demand(100, 3000)) is not None
        assert decide(engines, Demand(100, 3000), rules=slow_change) is None

    @given(roles, demands)
    def test_leaves_an_engine_for_each_phase_in_demand(self, initial_roles, demand):
        engines = engines_with_roles(initial_roles)
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
    def test_every_change_raises_the_served_share(self, initial_roles, demand):
        engines = engines_with_roles(initial_roles)
        change = decide(engines, demand)
        if change is not None:
            after = [
                change.role if engine.endpoint_id == change.endpoint_id else engine.role
                for engine in engines
            ]
            assert served_share(after, demand, RATES) > served_share(initial_roles, demand, RATES)

    @given(roles, demands)
    def test_reaches_a_stable_assignment_under_steady_demand(self, initial_roles, demand):
        engines = engines_with_roles(initial_roles)
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
    def test_more_engines_never_serve_less(self, initial_roles, demand):
        assert served_share([*initial_roles, Role.MIXED], demand, RATES) >= served_share(
            initial_roles, demand, RATES
        )

    def test_dedicated_engines_serve_more_than_mixed_ones_of_a_matching_demand(self):
        demand = Demand(8000, 1000)
        dedicated = served_share([Role.PREFILL, Role.DECODE], demand, RATES)
        mixed = served_share([Role.MIXED, Role.MIXED], demand, RATES)
        assert dedicated > mixed
