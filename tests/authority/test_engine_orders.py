"""Orders to engines: decisions, and the journal under faults."""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.authority.engine_orders import (
    GONE_AFTER_SECONDS,
    EngineOrderRow,
    OrderStep,
    decide_step,
)
from samphirehall.core.types import EndpointState, Role
from samphirehall.endpoints.protocol import EngineReport
from tests.authority.lease_world import FATES, PROCESSES
from tests.authority.orders_world import ENGINE, ROLES, SCOPE, OrdersWorld, run_long
from tests.support.steps import SteppedTask

INDEX = st.integers(0, PROCESSES - 1)
FATE = st.sampled_from(FATES)
ORDER = EngineOrderRow("order-1", ENGINE.endpoint_id, "set-role", Role.DECODE, 3)


def report(**changes):
    return EngineReport(ENGINE.endpoint_id, **changes)


def listed(state):
    return dataclasses.replace(ENGINE, state=state)


class TestDecideStep:
    @pytest.mark.parametrize(
        ("endpoint", "said", "step"),
        [
            (ENGINE, None, OrderStep.SEND),
            (ENGINE, report(), OrderStep.SEND),
            (ENGINE, report(order_id="order-0", role=Role.DECODE), OrderStep.SEND),
            (ENGINE, report(order_id="order-1", role=Role.MIXED), OrderStep.WAIT),
            (ENGINE, report(order_id="order-1", role=Role.DECODE, changing=True), OrderStep.WAIT),
            (ENGINE, report(order_id="order-1", role=Role.DECODE), OrderStep.SETTLE),
            (ENGINE, report(fencing=4), OrderStep.STALE),
            (listed(EndpointState.GONE), None, OrderStep.SETTLE),
            (None, None, OrderStep.WAIT),
        ],
    )
    def test_step(self, endpoint, said, step):
        assert decide_step(ORDER, endpoint, said, fencing=3).step is step

    def test_endpoint_that_stays_unlisted_is_gone(self):
        decision = decide_step(ORDER, None, None, fencing=3, unlisted_for=GONE_AFTER_SECONDS)
        assert decision.step is OrderStep.SETTLE

    @pytest.mark.parametrize(
        ("action", "argument", "reached"),
        [
            ("load-model", "a@1", report(order_id="order-1", models=["a@1"])),
            ("unload-model", "a@1", report(order_id="order-1")),
            ("drain", "", report(order_id="order-1", leaving=True)),
        ],
    )
    def test_target_state_settles(self, action, argument, reached):
        order = EngineOrderRow("order-1", ENGINE.endpoint_id, action, argument, 3)
        assert decide_step(order, ENGINE, reached, fencing=3).step is OrderStep.SETTLE


class TestEngineOrders:
    def test_next_order_waits_for_an_unanswered_copy(self):
        world, holder = world_with_holder()
        run(world, holder.submit(Role.MIXED))
        carry_out = SteppedTask(holder.carry_out(), world.table)
        while carry_out.pending.name != "send":
            carry_out.answer()
        carry_out.lose(late=True)
        for _ in range(2):
            run(world, holder.carry_out())
        run(world, holder.submit(Role.DECODE))
        assert world.journaled == 1
        world.pass_time(2.0)
        run(world, holder.submit(Role.DECODE))
        assert world.journaled == 2

    def test_paused_holder_sends_nothing(self):
        world, holder = world_with_holder()
        run(world, holder.submit(Role.DECODE))
        carry_out = SteppedTask(holder.carry_out(), world.table)
        while carry_out.pending.name != "ask":
            carry_out.answer()
        world.pass_time(6.0)
        carry_out.run()
        assert world.taken == []

    def test_next_holder_sends_the_same_order(self):
        world, holder = world_with_holder()
        run(world, holder.submit(Role.DECODE))
        run(world, holder.carry_out())
        next_holder = world.processes[1]
        for seconds in (0.0, 9.0):
            world.pass_time(seconds)
            run(world, next_holder.keeper.step())
        run(world, next_holder.carry_out())
        assert len(world.taken) == 1
        assert world.table.value(f"orders/open/{SCOPE}/{ENGINE.endpoint_id}") is None

    def test_same_order_again_is_the_open_one(self):
        world, holder = world_with_holder()
        for _ in range(2):
            run(world, holder.submit(Role.DECODE))
        assert world.journaled == 1


def world_with_holder():
    world = OrdersWorld([1.0] * PROCESSES)
    holder = world.processes[0]
    run(world, holder.keeper.step())
    return world, holder


def run(world, coroutine):
    SteppedTask(coroutine, world.table).run()


class TestLongRuns:
    @pytest.mark.parametrize("seed", range(12))
    def test_orders_never_conflict(self, seed):
        world = run_long(seed, actions=20_000)
        assert world.takeovers > 0
        assert world.journaled > 0
        assert world.taken


class OrdersMachine(RuleBasedStateMachine):
    """Hypothesis chooses every step; `OrdersWorld` asserts."""

    @initialize()
    def start(self):
        self.world = OrdersWorld([1.0] * PROCESSES)

    @rule(index=INDEX, seconds=st.sampled_from([0.5, 2.0, 9.0]))
    def keep_lease(self, index, seconds):
        self.world.pass_time(seconds)
        process = self.world.processes[index]
        self.world.begin_step(process)
        while process.busy:
            self.world.go_on(process, "good")

    @rule(index=INDEX, role=st.sampled_from(ROLES))
    def submit(self, index, role):
        process = self.world.processes[index]
        self.world.begin_work(process, process.submit(role))

    @rule(index=INDEX)
    def carry_out(self, index):
        process = self.world.processes[index]
        self.world.begin_work(process, process.carry_out())

    @rule(index=INDEX, fates=st.lists(FATE, min_size=1, max_size=5))
    def go_on_with_work(self, index, fates):
        process = self.world.processes[index]
        for fate in fates:
            if process.work is not None and not process.work.finished:
                self.world.go_on_with_work(process, fate)

    @precondition(lambda self: self.world.table.late)
    @rule(index=st.integers(0, 5))
    def late_call_takes_effect(self, index):
        self.world.table.apply_late(index)

    @rule(index=INDEX)
    def crash(self, index):
        self.world.crash(self.world.processes[index])


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(max_examples=80, stateful_step_count=50)
