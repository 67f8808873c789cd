"""Decisions of the lease, and the lease as a whole under faults."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.authority.lease import (
    NOBODY,
    LeaseRow,
    LeaseTimes,
    Observation,
    decide_takeover,
)
from samphirehall.core.errors import SamphireError
from tests.authority.lease_world import (
    FATES,
    MAX_DRIFT,
    PROCESSES,
    TIMES,
    LeaseWorld,
    run_long,
)

INDEX = st.integers(0, PROCESSES - 1)
RATES = st.floats(1 - MAX_DRIFT, 1 + MAX_DRIFT)
FATE = st.sampled_from(FATES)


class TestDecideTakeover:
    @pytest.mark.parametrize(
        ("row", "now", "take"),
        [
            (None, 0.0, True),
            (LeaseRow(NOBODY, 4, 6.0), 0.0, True),
            (LeaseRow("me", 4, 6.0), 0.0, True),
            (LeaseRow("other", 4, 6.0), 7.9, False),
            (LeaseRow("other", 4, 6.0), 8.0, True),
            (LeaseRow("other", 4, 12.0), 13.9, False),
            (LeaseRow("other", 4, 12.0), 14.0, True),
        ],
    )
    def test_waits_only_for_a_right_that_may_hold(self, row, now, take):
        seen = Observation(1, 1, since=0.0)
        assert decide_takeover(row, seen, TIMES, candidate="me", now=now).take is take


class TestLeaseTimes:
    @pytest.mark.parametrize("margin", [0.0, 3.0, 7.0])
    def test_margin_out_of_range_is_refused(self, margin):
        with pytest.raises(SamphireError, match="margin_seconds"):
            LeaseTimes(ttl=6.0, margin=margin, delivery_limit=2.0)


class TestLeaseKeeper:
    def test_takeover_counts_from_before_the_send(self):
        world, holder = _world_with_slow_takeover(seconds=4.0)
        assert holder.right().until == pytest.approx(holder.clock() - 4.0 + 5.0)
        world.pass_time(1.0)
        assert holder.right() is None

    def test_takeover_answered_too_late_gives_no_right(self):
        _, holder = _world_with_slow_takeover(seconds=5.0)
        assert holder.right() is None

    @pytest.mark.parametrize(("seconds", "left"), [(1.0, 4.0), (2.5, 2.5)])
    def test_renewal_counts_from_before_the_send(self, seconds, left):
        world, holder = _world_with_slow_takeover(seconds=0.0)
        world.pass_time(2.0)
        world.begin_step(holder)
        world.go_on(holder, "slow")
        world.pass_time(seconds)
        world.go_on(holder, "good")
        assert holder.right().until == pytest.approx(holder.clock() + left)

    @pytest.mark.parametrize("fate", ["lost", "late", "unanswered"])
    def test_unanswered_renewal_is_settled_by_reading(self, fate):
        world, holder = _world_with_slow_takeover(seconds=0.0)
        world.pass_time(2.0)
        world.begin_step(holder)
        world.go_on(holder, fate)
        world.go_on(holder, "good")
        until = 5.0 if fate == "unanswered" else 3.0
        assert holder.right().until == pytest.approx(holder.clock() + until)

    def test_renewal_that_takes_effect_late_gives_no_right_back(self):
        world, holder = _world_with_slow_takeover(seconds=0.0)
        fencing = holder.right().fencing
        world.pass_time(4.9)
        world.begin_step(holder)
        world.go_on(holder, "slow")
        world.pass_time(0.2)
        world.go_on(holder, "good")
        assert holder.right() is None
        _whole_step(world, holder)
        assert holder.right().fencing == fencing + 1


def _whole_step(world, process):
    world.begin_step(process)
    while process.busy:
        world.go_on(process, "good")


def _world_with_slow_takeover(seconds):
    """Return a world whose first process took over with an answer that took `seconds`."""
    world = LeaseWorld([1.0, 1.0])
    holder = world.processes[0]
    world.begin_step(holder)
    world.go_on(holder, "good")
    world.go_on(holder, "slow")
    world.pass_time(seconds)
    world.go_on(holder, "good")
    return world, holder


class TestLongRuns:
    @pytest.mark.parametrize("seed", range(20))
    def test_rights_never_meet(self, seed):
        world = run_long(seed, actions=12_000)
        assert world.takeovers > 0


class LeaseMachine(RuleBasedStateMachine):
    """Hypothesis chooses every step; `LeaseWorld` asserts that rights never meet."""

    @initialize(rates=st.tuples(*[RATES] * PROCESSES))
    def start(self, rates):
        self.world = LeaseWorld(rates)

    @rule(seconds=st.sampled_from([1.0, 2.0, 4.0, 9.0]), fates=st.tuples(*[FATE] * PROCESSES))
    def round(self, seconds, fates):
        """Let time pass, and every process take a step with its own luck."""
        self.world.pass_time(seconds)
        for process, fate in zip(self.world.processes, fates, strict=True):
            if fate != "paused":
                self.world.begin_step(process)
            self.world.go_on(process, fate)
            while process.busy and fate not in ("paused", "slow"):
                self.world.go_on(process, "good")

    @rule(index=INDEX, fate=FATE)
    def go_on(self, index, fate):
        self.world.go_on(self.world.processes[index], fate)

    @precondition(lambda self: self.world.table.late)
    @rule(index=st.integers(0, 5))
    def late_call_takes_effect(self, index):
        self.world.table.apply_late(index)

    @rule(index=INDEX)
    def begin_release(self, index):
        self.world.begin_release(self.world.processes[index])

    @rule(index=INDEX, fate=FATE)
    def go_on_with_release(self, index, fate):
        self.world.go_on_with_release(self.world.processes[index], fate)

    @rule(index=INDEX)
    def crash(self, index):
        self.world.crash(self.world.processes[index])


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=100, stateful_step_count=40)
