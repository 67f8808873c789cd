"""Simulation of lease holders that send orders to one engine.

The engine does not check fencing numbers, so the lease and the journal alone must
prevent conflicting orders.
"""

import random

from samphirehall.authority.engine_orders import EngineOrders
from samphirehall.authority.lease import LeaseRow, engines_scope, lease_key
from samphirehall.authority.leases import Leases
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.endpoints.orders import OrderUnansweredError
from samphirehall.endpoints.protocol import EngineOrderAnswer, EngineReport
from tests.authority.lease_simulation import (
    CALL_OUTCOMES,
    MAX_DRIFT_FRACTION,
    PROCESS_COUNT,
    TIMES,
    LeaseSimulation,
    SimulatedProcess,
)
from tests.support.steps import Call, SteppedTask

ZONE = "z"
SCOPE = engines_scope(ZONE)
ENGINE = EndpointInfo("engine-1", "10.0.0.1:1", ZONE, EndpointProtocol.ENGINE)
ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
CHANGE_SECONDS = {Role.PREFILL: 4.0, Role.DECODE: 1.0, Role.MIXED: 0.0}


class OrderingProcess(SimulatedProcess):
    """Process that competes for the lease and sends orders while it holds it."""

    scope = SCOPE

    def __init__(self, simulation, name, rate):
        super().__init__(simulation, name, rate)
        self.order_task = None
        self.orders = EngineOrders(
            ZONE,
            Leases([self.manager]),
            simulation.table,
            endpoints=lambda: {ENGINE.endpoint_id: ENGINE},
            send_order=self._send,
            request_report=self._ask,
            delivery_limit=TIMES.delivery_limit,
            clock=self.clock,
        )

    async def submit(self, role):
        try:
            await self.orders.submit(ENGINE, "set-role", role, now=self.clock())
        except (SamphireError, PlatformUnavailableError):
            return

    async def advance_orders(self):
        grant = self.grant()
        if grant is None:
            return
        try:
            for journaled in await self.orders.open_orders():
                await self.orders.advance_order(grant, journaled)
        except PlatformUnavailableError:
            return

    async def _ask(self, address):
        try:
            return await Call("ask", ())
        except PlatformUnavailableError:
            return None

    async def _send(self, address, order, recheck):
        recheck()
        try:
            return await Call("send", (order, self._simulation.now + TIMES.delivery_limit))
        except PlatformUnavailableError as error:
            raise OrderUnansweredError from error


class OrdersSimulation(LeaseSimulation):
    """Asserts that only the holder journals orders and that the engine gets them one by one."""

    process_type = OrderingProcess

    def __init__(self, rates):
        super().__init__(rates)
        self.accepted_order_ids = []
        self.journaled = 0
        self._report = EngineReport(ENGINE.endpoint_id)
        self._changing_until = 0.0
        self.table.handlers = {"ask": self._ask, "send": self._accept_order}
        self.table.watch = self._check_transaction

    def begin_order_task(self, process, coroutine):
        if process.order_task is None or process.order_task.finished:
            process.order_task = SteppedTask(coroutine, self.table)
        else:
            coroutine.close()

    def advance_order_task(self, process, outcome):
        lease_task, process.task = process.task, process.order_task
        self.advance_step(process, outcome)
        process.task = lease_task

    def crash(self, process):
        order_task = process.order_task
        if order_task is not None and not order_task.finished:
            if not order_task.pending.done:
                self.table.late.append(order_task.pending)
            order_task.close()
        super().crash(process)

    def _ask(self):
        self._report.changing = self.now < self._changing_until
        return EngineReport(
            ENGINE.endpoint_id,
            role=self._report.role,
            changing=self._report.changing,
            order_id=self._report.order_id,
        )

    def _accept_order(self, order, until):
        """Accept an order like an engine that does not check fencing numbers."""
        if self.now > until:
            return EngineOrderAnswer(False, "the delivery limit has passed")
        if order.order_id != self._report.order_id:
            assert (
                order.order_id not in self.accepted_order_ids
            ), "an older order arrived after a newer one"
            assert (
                self.now >= self._changing_until
            ), "an order arrived before the previous one was completed"
            self.accepted_order_ids.append(order.order_id)
            self._report.order_id, self._report.role = order.order_id, Role(order.argument)
            self._changing_until = self.now + CHANGE_SECONDS[self._report.role]
        return EngineOrderAnswer(True)

    def _check_transaction(self, checks, writes):
        """Assert that a transaction journals an order only under the current lease."""
        rows = {row.key: row for row in self.table.store.read([check.key for check in checks])}
        checks_pass = all(
            (rows[check.key].version if check.key in rows else 0) == check.version
            for check in checks
        )
        for write in writes if checks_pass else ():
            if write.key.startswith("orders/open/") and write.value is not None:
                lease = LeaseRow(**self.table.value(lease_key(SCOPE)))
                fencing = write.value["order"]["fencing"]
                assert fencing == lease.fencing, "an order was journaled by a former holder"
                assert lease.holder, "an order was journaled after the release"
                assert self.table.value(write.key) is None, "two orders are open at once"
                self.journaled += 1


def run_random_actions(seed, *, actions):
    """Run a simulation with seeded random actions and return it."""
    random_source = random.Random(seed)
    drifts = [
        random_source.choice([-MAX_DRIFT_FRACTION, MAX_DRIFT_FRACTION])
        for _ in range(PROCESS_COUNT)
    ]
    simulation = OrdersSimulation([1 + drift for drift in drifts])
    mean_interval = 0.1
    for _ in range(actions):
        process = random_source.choice(simulation.processes)
        if random_source.random() < 0.02:
            process.outcome = random_source.choice((*CALL_OUTCOMES, *["good"] * len(CALL_OUTCOMES)))
        if random_source.random() < 0.01:
            mean_interval = random_source.choice([0.02, 0.1, 0.3])
        simulation.advance_time(random_source.expovariate(1 / mean_interval))
        if simulation.table.late and random_source.random() < 0.1:
            simulation.table.apply_late(random_source.randrange(len(simulation.table.late)))
        _advance_process(simulation, process, random_source)
        if random_source.random() < 0.002:
            simulation.begin_release(process)
        simulation.advance_release(process, process.outcome)
        if random_source.random() < 0.004:
            simulation.crash(process)
    return simulation


def _advance_process(simulation, process, random_source):
    """Advance the lease or the orders of a process by one step."""
    if random_source.random() < 0.4:
        if process.busy:
            simulation.advance_step(process, process.outcome)
        elif process.outcome != "paused":
            simulation.begin_step(process)
    elif process.order_task is not None and not process.order_task.finished:
        outcome = (
            random_source.choice(CALL_OUTCOMES) if random_source.random() < 0.2 else process.outcome
        )
        simulation.advance_order_task(process, outcome)
    elif process.outcome != "paused" and random_source.random() < 0.4:
        simulation.begin_order_task(process, process.submit(random_source.choice(ROLES)))
    elif process.outcome != "paused":
        simulation.begin_order_task(process, process.advance_orders())
