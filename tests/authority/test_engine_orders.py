"""Next steps of orders to engines, and their delivery under faults."""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from samphirehall.authority.engine_orders import (
    UNLISTED_TIMEOUT_SECONDS,
    EngineOrderRow,
    OrderStep,
    decide_step,
)
from samphirehall.core.types import EndpointState, Role
from samphirehall.endpoints.protocol import EngineReport
from tests.authority.lease_simulation import CALL_OUTCOMES, PROCESS_COUNT
from tests.authority.orders_simulation import (
    ENGINE,
    ROLES,
    SCOPE,
    OrdersSimulation,
    run_random_actions,
)
from tests.support.steps import SteppedTask

INDEX = st.integers(0, PROCESS_COUNT - 1)
OUTCOME = st.sampled_from(CALL_OUTCOMES)
ORDER = EngineOrderRow("order-1", ENGINE.endpoint_id, "set-role", Role.DECODE, 3)


def report(**changes):
    return EngineReport(ENGINE.endpoint_id, **changes)


def listed_engine(state):
    return dataclasses.replace(ENGINE, state=state)


class TestDecideStep:
    @pytest.mark.parametrize(
        ("endpoint", "received_report", "step"),
        [
            (ENGINE, None, OrderStep.SEND),
            (ENGINE, report(), OrderStep.SEND),
            (ENGINE, report(order_id="order-0", role=Role.DECODE), OrderStep.SEND),
            (ENGINE, report(order_id="order-1", role=Role.MIXED), OrderStep.WAIT),
            (ENGINE, report(order_id="order-1", role=Role.DECODE, changing=True), OrderStep.WAIT),
            (ENGINE, report(order_id="order-1", role=Role.DECODE), OrderStep.SETTLE),
            (ENGINE, report(fencing=4), OrderStep.STALE),
            (listed_engine(EndpointState.GONE), None, OrderStep.SETTLE),
            (None, None, OrderStep.WAIT),
        ],
    )
    def test_step(self, endpoint, received_report, step):
        assert decide_step(ORDER, endpoint, received_report, fencing=3).step is step

    def test_endpoint_unlisted_for_long_is_gone(self):
        decision = decide_step(ORDER, None, None, fencing=3, unlisted_for=UNLISTED_TIMEOUT_SECONDS)
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
    def test_next_order_waits_while_an_unanswered_one_may_arrive(self):
        simulation, holder = simulation_with_holder()
        run(simulation, holder.submit(Role.MIXED))
        advance_orders = SteppedTask(holder.advance_orders(), simulation.table)
        while advance_orders.pending.name != "send":
            advance_orders.answer()
        advance_orders.lose(late=True)
        for _ in range(2):
            run(simulation, holder.advance_orders())
        run(simulation, holder.submit(Role.DECODE))
        assert simulation.journaled == 1
        simulation.advance_time(2.0)
        run(simulation, holder.submit(Role.DECODE))
        assert simulation.journaled == 2

    def test_holder_sends_nothing_after_its_grant_expired(self):
        simulation, holder = simulation_with_holder()
        run(simulation, holder.submit(Role.DECODE))
        advance_orders = SteppedTask(holder.advance_orders(), simulation.table)
        while advance_orders.pending.name != "ask":
            advance_orders.answer()
        simulation.advance_time(6.0)
        advance_orders.run()
        assert simulation.accepted_order_ids == []

    def test_next_holder_sends_the_same_order(self):
        simulation, holder = simulation_with_holder()
        run(simulation, holder.submit(Role.DECODE))
        run(simulation, holder.advance_orders())
        next_holder = simulation.processes[1]
        for seconds in (0.0, 9.0):
            simulation.advance_time(seconds)
            run(simulation, next_holder.manager.step())
        run(simulation, next_holder.advance_orders())
        assert len(simulation.accepted_order_ids) == 1
        assert simulation.table.value(f"orders/open/{SCOPE}/{ENGINE.endpoint_id}") is None

    def test_resubmitting_an_open_order_does_nothing(self):
        simulation, holder = simulation_with_holder()
        for _ in range(2):
            run(simulation, holder.submit(Role.DECODE))
        assert simulation.journaled == 1


def simulation_with_holder():
    simulation = OrdersSimulation([1.0] * PROCESS_COUNT)
    holder = simulation.processes[0]
    run(simulation, holder.manager.step())
    return simulation, holder


def run(simulation, coroutine):
    SteppedTask(coroutine, simulation.table).run()


class TestRandomRuns:
    @pytest.mark.parametrize("seed", range(12))
    def test_orders_never_conflict(self, seed):
        simulation = run_random_actions(seed, actions=20_000)
        assert simulation.takeovers > 0
        assert simulation.journaled > 0
        assert simulation.accepted_order_ids


class OrdersMachine(RuleBasedStateMachine):
    """Hypothesis chooses every action; `OrdersSimulation` asserts."""

    @initialize()
    def start(self):
        self.simulation = OrdersSimulation([1.0] * PROCESS_COUNT)

    @rule(index=INDEX, seconds=st.sampled_from([0.5, 2.0, 9.0]))
    def step_lease(self, index, seconds):
        self.simulation.advance_time(seconds)
        process = self.simulation.processes[index]
        self.simulation.begin_step(process)
        while process.busy:
            self.simulation.advance_step(process, "good")

    @rule(index=INDEX, role=st.sampled_from(ROLES))
    def submit(self, index, role):
        process = self.simulation.processes[index]
        self.simulation.begin_order_task(process, process.submit(role))

    @rule(index=INDEX)
    def advance_orders(self, index):
        process = self.simulation.processes[index]
        self.simulation.begin_order_task(process, process.advance_orders())

    @rule(index=INDEX, outcomes=st.lists(OUTCOME, min_size=1, max_size=5))
    def advance_order_task(self, index, outcomes):
        process = self.simulation.processes[index]
        for outcome in outcomes:
            if process.order_task is not None and not process.order_task.finished:
                self.simulation.advance_order_task(process, outcome)

    @precondition(lambda self: self.simulation.table.late)
    @rule(index=st.integers(0, 5))
    def delayed_call_takes_effect(self, index):
        self.simulation.table.apply_late(index)

    @rule(index=INDEX)
    def crash(self, index):
        self.simulation.crash(self.simulation.processes[index])


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(max_examples=80, stateful_step_count=50)
