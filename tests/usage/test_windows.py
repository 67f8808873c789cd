"""Usage from the meter to the report, under faults: each count is billed exactly once."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.authority.lease import LeaseGrant, lease_key
from samphirehall.backing.table import Write
from samphirehall.core.types import UsageFigures
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.flusher import NEXT_WINDOW_KEY
from samphirehall.usage.rows import Source, UsageRow, closed_key, encode_row, row_key
from samphirehall.usage.windows import WindowCloser, frozen_key, sum_rows
from tests.support.steps import SteppedTask
from tests.support.table import FaultyTable
from tests.usage.world import (
    CALL_OUTCOMES,
    CUSTOMERS,
    GRACE,
    START,
    WINDOW,
    UsageWorld,
    run_long,
)

INDEX = st.integers(0, 1)
CELL = Cell(int(START), "petal-coop")
CALL_OUTCOME = st.sampled_from(CALL_OUTCOMES)


class TestSumRows:
    def test_late_counts_are_part_of_the_figures_and_listed_apart(self):
        rows = [
            UsageRow({"a": Counts(1, 10, 5)}, {Cell(0, "a"): Counts(2, 3, 4)}),
            UsageRow({"a": Counts(1, 1, 1), "b": Counts(1, 2, 3)}),
        ]
        assert sum_rows(rows) == {
            "a": UsageFigures(4, 14, 10, late_requests=2, late_tokens=7),
            "b": UsageFigures(1, 2, 3),
        }


class TestWindowCloser:
    @pytest.mark.parametrize("answered_calls", [1, 2, 3], ids=["close", "sum", "freeze"])
    def test_former_lease_holder_freezes_nothing(self, answered_calls):
        world = world_with_open_window()
        world.now += 2 * WINDOW
        world.begin_report(0)
        report = world.reports[-1]
        for _ in range(answered_calls):
            report.answer()
        world.take_over()
        while not report.finished:
            report.answer()
        assert world.table.value(frozen_key(int(START))) is None

    def test_frozen_figures_are_never_overwritten(self):
        world = world_with_open_window()
        world.table.store.transact([], [Write(frozen_key(int(START)), {})])
        world.serve(world.hosts[0], "petal-coop", 5)
        SteppedTask(world.hosts[0].flush(), world.table).run()
        world.now += 2 * WINDOW
        SteppedTask(world.report(world.holders[-1]), world.table).run()
        assert world.table.value(frozen_key(int(START))) == {}


class TestUsageFlusher:
    def test_late_flush_of_a_mirror_does_not_lower_counts(self):
        world = world_with_open_window()
        host, mirror = world.hosts
        world.serve(host, "petal-coop", 5)
        world.now += WINDOW + 1
        pending = SteppedTask(mirror.flush(), world.table)
        pending.answer()
        host.pending_usage.record(host.source, CELL, Counts(2, 12, 12), now=START)
        SteppedTask(host.flush(), world.table).run()
        pending.run()
        row = world.table.value(row_key(int(START), host.source))
        assert row["direct"] == {"petal-coop": [2, 12, 12]}

    def test_flush_waits_while_no_window_is_open(self):
        world = UsageWorld()
        world.serve(world.hosts[0], "petal-coop", 5)
        SteppedTask(world.hosts[0].flush(), world.table).run()
        assert world.hosts[0].pending_usage.sources


def world_with_open_window():
    """Return a world in which the reporter has set the first window."""
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
    """Steps chosen by hypothesis; `UsageWorld` compares the figures with what was served."""

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

    @rule(index=INDEX, call_outcomes=st.lists(CALL_OUTCOME, min_size=1, max_size=4))
    def flush(self, index, call_outcomes):
        host = self.world.hosts[index]
        if host.task is None or host.task.finished:
            host.task = SteppedTask(host.flush(), self.world.table)
        for call_outcome in call_outcomes:
            self.world.advance(host.task, call_outcome)

    @rule(holder_age=INDEX)
    def begin_report(self, holder_age):
        self.world.begin_report(holder_age)

    @rule(index=st.integers(0, 5), call_outcomes=st.lists(CALL_OUTCOME, min_size=1, max_size=8))
    def advance_report(self, index, call_outcomes):
        if self.world.reports:
            task = self.world.reports[index % len(self.world.reports)]
            for call_outcome in call_outcomes:
                self.world.advance(task, call_outcome)

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


class TestRestoredTable:
    @pytest.mark.anyio
    async def test_window_whose_figures_a_restored_table_has_lost_has_no_other_figures(self):
        window, later = int(START), START + 3 * WINDOW
        table = FaultyTable()
        lease = await table.transact([], [Write(lease_key("platform"), {})])
        grant = LeaseGrant("platform", "a/1", 1, 1e9, lease.versions[lease_key("platform")])
        row = UsageRow({"coop": Counts(1, 10, 5)})
        await table.transact(
            [],
            [
                Write(NEXT_WINDOW_KEY, window),
                Write(row_key(window, Source("a", 1)), encode_row(row)),
            ],
        )
        copy = table.store.copy()
        late = UsageRow({"coop": Counts(2, 20, 10)})
        await table.transact([], [Write(row_key(window, Source("b", 1)), encode_row(late))])
        closer = WindowCloser(table, window_seconds=WINDOW)
        await closer.step(grant, grace=GRACE, now=later)
        frozen = table.value(frozen_key(window))
        table.store.restore(copy)
        for _ in range(4):
            await closer.step(grant, grace=GRACE, now=later)
        assert table.value(frozen_key(window)) in (None, frozen)
        assert table.value(closed_key(window)) is not None
        await table.transact([], [Write(row_key(int(later), Source("a", 1)), encode_row(row))])
        await closer.step(grant, grace=GRACE, now=later + 2 * WINDOW)
        assert table.value(frozen_key(int(later)))
