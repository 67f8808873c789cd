"""Holders of a lease that order one engine which checks no fencing numbers."""

import random

from samphirehall.authority.engine_orders import EngineOrders
from samphirehall.authority.lease import LeaseRow, engines_scope, lease_key
from samphirehall.authority.leases import Leases
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.endpoints.orders import OrderUnansweredError
from samphirehall.endpoints.protocol import EngineOrderAnswer, EngineReport
from tests.authority.lease_world import FATES, MAX_DRIFT, PROCESSES, TIMES, LeaseWorld, Process
from tests.support.steps import Call, SteppedTask

ZONE = "z"
SCOPE = engines_scope(ZONE)
ENGINE = EndpointInfo("engine-1", "10.0.0.1:1", ZONE, EndpointProtocol.ENGINE)
ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
CHANGE_SECONDS = {Role.PREFILL: 4.0, Role.DECODE: 1.0, Role.MIXED: 0.0}


class OrdersProcess(Process):
    """A process that keeps the lease and gives orders under it."""

    scope = SCOPE

    def __init__(self, world, name, rate):
        super().__init__(world, name, rate)
        self.work = None
        self.orders = EngineOrders(
            ZONE,
            Leases([self.keeper]),
            world.table,
            endpoints=lambda: {ENGINE.endpoint_id: ENGINE},
            send=self._send,
            request_report=self._ask,
            delivery_limit=TIMES.delivery_limit,
            clock=self.clock,
        )

    async def submit(self, role):
        try:
            await self.orders.submit(ENGINE, "set-role", role, now=self.clock())
        except (SamphireError, PlatformUnavailableError):
            return

    async def carry_out(self):
        right = self.right()
        if right is None:
            return
        try:
            for journaled in await self.orders.open_orders():
                await self.orders.carry_out_one(right, journaled)
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
            return await Call("send", (order, self._world.now + TIMES.delivery_limit))
        except PlatformUnavailableError as error:
            raise OrderUnansweredError from error


class OrdersWorld(LeaseWorld):
    """Asserts that orders are journaled by the holder and reach the engine one by one."""

    process_type = OrdersProcess

    def __init__(self, rates):
        super().__init__(rates)
        self.taken = []
        self.journaled = 0
        self._report = EngineReport(ENGINE.endpoint_id)
        self._changing_until = 0.0
        self.table.handlers = {"ask": self._ask, "send": self._take}
        self.table.watch = self._watch

    def begin_work(self, process, coroutine):
        if process.work is None or process.work.finished:
            process.work = SteppedTask(coroutine, self.table)
        else:
            coroutine.close()

    def go_on_with_work(self, process, fate):
        work, process.task = process.task, process.work
        self.go_on(process, fate)
        process.task = work

    def crash(self, process):
        work = process.work
        if work is not None and not work.finished:
            if not work.pending.done:
                self.table.late.append(work.pending)
            work.close()
        super().crash(process)

    def _ask(self):
        self._report.changing = self.now < self._changing_until
        return EngineReport(
            ENGINE.endpoint_id,
            role=self._report.role,
            changing=self._report.changing,
            order_id=self._report.order_id,
        )

    def _take(self, order, until):
        """Take an order as an engine does that checks no fencing numbers."""
        if self.now > until:
            return EngineOrderAnswer(False, "the read is closed")
        if order.order_id != self._report.order_id:
            assert order.order_id not in self.taken, "an old order came after a newer one"
            assert self.now >= self._changing_until, "an order came before the last was done"
            self.taken.append(order.order_id)
            self._report.order_id, self._report.role = order.order_id, Role(order.argument)
            self._changing_until = self.now + CHANGE_SECONDS[self._report.role]
        return EngineOrderAnswer(True)

    def _watch(self, checks, writes):
        """Look at a transaction that is about to take effect, if its checks hold."""
        rows = {row.key: row for row in self.table.store.read([check.key for check in checks])}
        holds = all(
            (rows[check.key].version if check.key in rows else 0) == check.version
            for check in checks
        )
        for write in writes if holds else ():
            if write.key.startswith("orders/open/") and write.value is not None:
                lease = LeaseRow(**self.table.value(lease_key(SCOPE)))
                fencing = write.value["order"]["fencing"]
                assert fencing == lease.fencing, "an order was journaled by a former holder"
                assert lease.holder, "an order was journaled after the release"
                assert self.table.value(write.key) is None, "two orders are open at once"
                self.journaled += 1


def run_long(seed, *, actions):
    """Run a world on seeded luck and return it."""
    source = random.Random(seed)
    drifts = [source.choice([-MAX_DRIFT, MAX_DRIFT]) for _ in range(PROCESSES)]
    world = OrdersWorld([1 + drift for drift in drifts])
    pace = 0.1
    for _ in range(actions):
        process = source.choice(world.processes)
        if source.random() < 0.02:
            process.fate = source.choice((*FATES, *["good"] * len(FATES)))
        if source.random() < 0.01:
            pace = source.choice([0.02, 0.1, 0.3])
        world.pass_time(source.expovariate(1 / pace))
        if world.table.late and source.random() < 0.1:
            world.table.apply_late(source.randrange(len(world.table.late)))
        _act(world, process, source)
        if source.random() < 0.002:
            world.begin_release(process)
        world.go_on_with_release(process, process.fate)
        if source.random() < 0.004:
            world.crash(process)
    return world


def _act(world, process, source):
    """Take one step of the process's lease, or of its orders."""
    if source.random() < 0.4:
        if process.busy:
            world.go_on(process, process.fate)
        elif process.fate != "paused":
            world.begin_step(process)
    elif process.work is not None and not process.work.finished:
        fate = source.choice(FATES) if source.random() < 0.2 else process.fate
        world.go_on_with_work(process, fate)
    elif process.fate != "paused" and source.random() < 0.4:
        world.begin_work(process, process.submit(source.choice(ROLES)))
    elif process.fate != "paused":
        world.begin_work(process, process.carry_out())
