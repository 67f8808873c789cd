"""Usage from the meter to the report, under faults: each count billed once."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.backing.table import Write
from samphirehall.core.types import UsageFigures
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.rows import UsageRow, row_key
from samphirehall.usage.windows import frozen_key, sum_rows
from tests.support.steps import SteppedTask
from tests.usage.world import CUSTOMERS, FATES, START, WINDOW, UsageWorld, run_long

INDEX = st.integers(0, 1)
CELL = Cell(int(START), "petal-coop")
FATE = st.sampled_from(FATES)


class TestSumRows:
    def test_late_counts_are_part_of_the_figures_and_marked(self):
        rows = [
            UsageRow({"a": Counts(1, 10, 5)}, {Cell(0, "a"): Counts(2, 3, 4)}),
            UsageRow({"a": Counts(1, 1, 1), "b": Counts(1, 2, 3)}),
        ]
        assert sum_rows(rows) == {
            "a": UsageFigures(4, 14, 10, late_requests=2, late_tokens=7),
            "b": UsageFigures(1, 2, 3),
        }


class TestWindowCloser:
    @pytest.mark.parametrize("answered", [1, 2, 3], ids=["close", "sum", "freeze"])
    def test_former_holder_freezes_nothing(self, answered):
        world = begun_world()
        world.now += 2 * WINDOW
        world.begin_report(0)
        report = world.reports[-1]
        for _ in range(answered):
            report.answer()
        world.take_over()
        while not report.finished:
            report.answer()
        assert world.table.value(frozen_key(int(START))) is None

    def test_frozen_figures_stay(self):
        world = begun_world()
        world.table.store.transact([], [Write(frozen_key(int(START)), {})])
        world.serve(world.hosts[0], "petal-coop", 5)
        SteppedTask(world.hosts[0].flush(), world.table).run()
        world.now += 2 * WINDOW
        SteppedTask(world.report(world.holders[-1]), world.table).run()
        assert world.table.value(frozen_key(int(START))) == {}


class TestUsageFlusher:
    def test_late_flush_of_a_mirror_takes_nothing_away(self):
        world = begun_world()
        host, mirror = world.hosts
        world.serve(host, "petal-coop", 5)
        world.now += WINDOW + 1
        pending = SteppedTask(mirror.flush(), world.table)
        pending.answer()
        host.book.note(host.source, CELL, Counts(2, 12, 12), now=START)
        SteppedTask(host.flush(), world.table).run()
        pending.run()
        row = world.table.value(row_key(int(START), host.source))
        assert row["direct"] == {"petal-coop": [2, 12, 12]}

    def test_flush_waits_while_no_window_is_open(self):
        world = UsageWorld()
        world.serve(world.hosts[0], "petal-coop", 5)
        SteppedTask(world.hosts[0].flush(), world.table).run()
        assert world.hosts[0].book.sources


def begun_world():
    """Return a world in which the first window is open."""
    world = UsageWorld()
    SteppedTask(world.report(world.holders[-1]), world.table).run()
    return world


class TestLongRuns:
    @pytest.mark.parametrize("seed", range(10))
    def test_every_token_is_billed_once(self, seed):
        world = run_long(seed, actions=4_000)
        assert len(world.posted) > 20
        assert world.crashes > 0
        assert any(figures.late_requests for figures in world.posted.values())


class UsageMachine(RuleBasedStateMachine):
    """Hypothesis chooses every step; `UsageWorld` compares figures with what was served."""

    @initialize()
    def start(self):
        self.world = UsageWorld()
        SteppedTask(self.world.report(self.world.holders[-1]), self.world.table).run()

    @rule(index=INDEX, customer=st.sampled_from(CUSTOMERS), tokens=st.integers(1, 9))
    def serve(self, index, customer, tokens):
        self.world.serve(self.world.hosts[index], customer, tokens)

    @rule(seconds=st.sampled_from([0.5, 5.0, 12.0]))
    def time_passes(self, seconds):
        self.world.now += seconds

    @rule(index=INDEX, fates=st.lists(FATE, min_size=1, max_size=4))
    def flush(self, index, fates):
        host = self.world.hosts[index]
        if host.task is None or host.task.finished:
            host.task = SteppedTask(host.flush(), self.world.table)
        for fate in fates:
            self.world.go_on(host.task, fate)

    @rule(former=INDEX)
    def begin_report(self, former):
        self.world.begin_report(former)

    @rule(index=st.integers(0, 5), fates=st.lists(FATE, min_size=1, max_size=8))
    def go_on_with_report(self, index, fates):
        if self.world.reports:
            task = self.world.reports[index % len(self.world.reports)]
            for fate in fates:
                self.world.go_on(task, fate)

    @precondition(lambda self: self.world.table.late)
    @rule(index=st.integers(0, 5))
    def late_call_takes_effect(self, index):
        self.world.table.apply_late(index)

    @rule()
    def take_over(self):
        self.world.take_over()

    @precondition(lambda self: self.world.has_recovered)
    @rule(index=INDEX)
    def crash(self, index):
        self.world.crash(self.world.hosts[index])

    def teardown(self):
        if hasattr(self, "world"):
            self.world.finish()


TestUsage = UsageMachine.TestCase
TestUsage.settings = settings(max_examples=60, stateful_step_count=40)
