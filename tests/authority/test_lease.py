"""Takeover decisions, and the lease manager under faults."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.authority.lease import (
    NO_HOLDER,
    LeaseObservation,
    LeaseRow,
    LeaseTimes,
    decide_takeover,
)
from samphirehall.backing.table import NO_ERA
from samphirehall.core.errors import SamphireError
from tests.authority.lease_simulation import (
    CALL_OUTCOMES,
    MAX_DRIFT_FRACTION,
    PROCESS_COUNT,
    TIMES,
    LeaseSimulation,
    run_random_actions,
)

INDEX = st.integers(0, PROCESS_COUNT - 1)
RATES = st.floats(1 - MAX_DRIFT_FRACTION, 1 + MAX_DRIFT_FRACTION)
OUTCOME = st.sampled_from(CALL_OUTCOMES)


class TestDecideTakeover:
    @pytest.mark.parametrize(
        ("row", "now", "take"),
        [
            (None, 0.0, True),
            (LeaseRow(NO_HOLDER, 4, 6.0), 0.0, True),
            (LeaseRow("me", 4, 6.0), 0.0, True),
            (LeaseRow("other", 4, 6.0), 7.9, False),
            (LeaseRow("other", 4, 6.0), 8.0, True),
            (LeaseRow("other", 4, 12.0), 13.9, False),
            (LeaseRow("other", 4, 12.0), 14.0, True),
        ],
    )
    def test_waits_only_while_another_grant_may_be_valid(self, row, now, take):
        observation = LeaseObservation(NO_ERA, 1, 1, unchanged_since=0.0)
        assert decide_takeover(row, observation, TIMES, candidate="me", now=now).take_over is take


class TestLeaseTimes:
    @pytest.mark.parametrize("margin", [0.0, 3.0, 7.0])
    def test_margin_out_of_range_is_refused(self, margin):
        with pytest.raises(SamphireError, match="margin_seconds"):
            LeaseTimes(ttl=6.0, margin=margin, delivery_limit=2.0)


class TestLeaseManager:
    def test_grant_of_takeover_starts_before_the_request_is_sent(self):
        simulation, holder = _simulation_with_slow_takeover(seconds=4.0)
        assert holder.grant().expires_at == pytest.approx(holder.clock() - 4.0 + 5.0)
        simulation.advance_time(1.0)
        assert holder.grant() is None

    def test_takeover_answered_after_expiry_gives_no_grant(self):
        _, holder = _simulation_with_slow_takeover(seconds=5.0)
        assert holder.grant() is None

    @pytest.mark.parametrize(("seconds", "remaining"), [(1.0, 4.0), (2.5, 2.5)])
    def test_renewed_grant_starts_before_the_request_is_sent(self, seconds, remaining):
        simulation, holder = _simulation_with_slow_takeover(seconds=0.0)
        simulation.advance_time(2.0)
        simulation.begin_step(holder)
        simulation.advance_step(holder, "slow")
        simulation.advance_time(seconds)
        simulation.advance_step(holder, "good")
        assert holder.grant().expires_at == pytest.approx(holder.clock() + remaining)

    @pytest.mark.parametrize("outcome", ["lost", "late", "unanswered"])
    def test_unanswered_renewal_is_resolved_by_reading(self, outcome):
        simulation, holder = _simulation_with_slow_takeover(seconds=0.0)
        simulation.advance_time(2.0)
        simulation.begin_step(holder)
        simulation.advance_step(holder, outcome)
        simulation.advance_step(holder, "good")
        expires_in = 5.0 if outcome == "unanswered" else 3.0
        assert holder.grant().expires_at == pytest.approx(holder.clock() + expires_in)

    def test_renewal_after_expiry_does_not_restore_the_grant(self):
        simulation, holder = _simulation_with_slow_takeover(seconds=0.0)
        fencing = holder.grant().fencing
        simulation.advance_time(4.9)
        simulation.begin_step(holder)
        simulation.advance_step(holder, "slow")
        simulation.advance_time(0.2)
        simulation.advance_step(holder, "good")
        assert holder.grant() is None
        _complete_step(simulation, holder)
        assert holder.grant().fencing == fencing + 1


def _complete_step(simulation, process):
    simulation.begin_step(process)
    while process.busy:
        simulation.advance_step(process, "good")


def _simulation_with_slow_takeover(seconds):
    """Return a simulation whose first process took the lease with an answer after `seconds`."""
    simulation = LeaseSimulation([1.0, 1.0])
    holder = simulation.processes[0]
    simulation.begin_step(holder)
    simulation.advance_step(holder, "good")
    simulation.advance_step(holder, "slow")
    simulation.advance_time(seconds)
    simulation.advance_step(holder, "good")
    return simulation, holder


class TestRandomRuns:
    @pytest.mark.parametrize("seed", range(20))
    def test_grants_never_overlap(self, seed):
        simulation = run_random_actions(seed, actions=12_000)
        assert simulation.takeovers > 0


class LeaseMachine(RuleBasedStateMachine):
    """Hypothesis chooses every action; `LeaseSimulation` asserts that grants never overlap."""

    @initialize(rates=st.tuples(*[RATES] * PROCESS_COUNT))
    def start(self, rates):
        self.simulation = LeaseSimulation(rates)

    @rule(
        seconds=st.sampled_from([1.0, 2.0, 4.0, 9.0]),
        outcomes=st.tuples(*[OUTCOME] * PROCESS_COUNT),
    )
    def step_every_process(self, seconds, outcomes):
        """Advance time, and let every process take a step with an outcome of its own."""
        self.simulation.advance_time(seconds)
        for process, outcome in zip(self.simulation.processes, outcomes, strict=True):
            if outcome != "paused":
                self.simulation.begin_step(process)
            self.simulation.advance_step(process, outcome)
            while process.busy and outcome not in ("paused", "slow"):
                self.simulation.advance_step(process, "good")

    @rule(index=INDEX, outcome=OUTCOME)
    def advance_step(self, index, outcome):
        self.simulation.advance_step(self.simulation.processes[index], outcome)

    @precondition(lambda self: self.simulation.table.late)
    @rule(index=st.integers(0, 5))
    def delayed_call_takes_effect(self, index):
        self.simulation.table.apply_late(index)

    @rule(index=INDEX)
    def begin_release(self, index):
        self.simulation.begin_release(self.simulation.processes[index])

    @rule(index=INDEX, outcome=OUTCOME)
    def advance_release(self, index, outcome):
        self.simulation.advance_release(self.simulation.processes[index], outcome)

    @rule(index=INDEX)
    def crash(self, index):
        self.simulation.crash(self.simulation.processes[index])


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=100, stateful_step_count=40)
