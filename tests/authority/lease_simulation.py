"""Simulation of processes with drifting clocks that compete for one lease.

Each table call of a process has one of several outcomes: it is answered, it takes
effect before a slow answer, it or its answer is lost, it takes effect late, or the
process pauses.
"""

import random

from samphirehall.authority.lease import LeaseLostError, LeaseTimes
from samphirehall.authority.lease_manager import LeaseManager
from tests.support.steps import SteppedTable, SteppedTask, sleep_call

TIMES = LeaseTimes(ttl=6.0, margin=1.0, delivery_limit=2.0)
PROCESS_COUNT = 2
MAX_DRIFT_FRACTION = 0.01
MIN_GAP_SECONDS = TIMES.delivery_limit * (1 - MAX_DRIFT_FRACTION) - 1e-6
CALL_OUTCOMES = ("good", "slow", "lost", "late", "unanswered", "paused")


class SimulatedProcess:
    """Process that is stepped by hand and has a drifting clock."""

    scope = "s"

    def __init__(self, simulation, name, rate):
        self.rate = rate
        self.task = None
        self.releasing = None
        self.release_until = 0.0
        self.outcome = "good"
        self._simulation = simulation
        self._offset = 1000.0 * len(name)
        self.manager = LeaseManager(
            simulation.table,
            self.scope,
            holder=name,
            times=TIMES,
            clock=self.clock,
            sleep=sleep_call,
        )

    @property
    def busy(self):
        return self.task is not None and not self.task.finished

    def clock(self):
        return self._simulation.now * self.rate + self._offset

    def grant(self):
        try:
            return self.manager.grant(now=self.clock())
        except LeaseLostError:
            return None


class LeaseSimulation:
    """Advances time and resolves calls; asserts that grants of two holders never overlap."""

    process_type = SimulatedProcess

    def __init__(self, rates):
        self.table = SteppedTable()
        self.now = 0.0
        self.takeovers = 0
        self._started_processes = 0
        self._last_grant = None
        self.processes = [self._new_process(rate) for rate in rates]

    def begin_step(self, process):
        if not process.busy:
            process.task = SteppedTask(process.manager.step(), self.table)
            self._record_process_grant(process)

    def advance_step(self, process, outcome):
        """Resolve the pending call of a process with one of `CALL_OUTCOMES`."""
        if not process.busy or outcome == "paused":
            return
        if outcome in ("slow", "unanswered"):
            process.task.take_effect()
        if outcome == "good":
            process.task.answer()
        elif outcome in ("lost", "late", "unanswered"):
            process.task.lose(late=outcome == "late")
        self._record_process_grant(process)

    def advance_time(self, seconds):
        """Advance time and record each grant up to its expiry."""
        before = [(process, process.grant()) for process in self.processes]
        start = self.now
        for process, grant in before:
            if grant is not None:
                remaining = (grant.expires_at - process.clock()) / process.rate
                self._record_grant(grant, start + min(seconds, remaining))
        self.now = start + seconds

    def begin_release(self, process):
        self._record_process_grant(process)
        if process.releasing is None:
            process.releasing = SteppedTask(process.manager.release(), self.table)
            pending_sleep = process.releasing.pending
            seconds = 0.0 if pending_sleep is None else pending_sleep.arguments[0]
            process.release_until = self.now + seconds / process.rate

    def advance_release(self, process, outcome):
        release = process.releasing
        if release is None or release.finished or self.now < process.release_until:
            return
        if release.pending.name == "sleep" or outcome == "good":
            release.answer()
        else:
            release.lose(late=True)

    def crash(self, process):
        """Replace a process by a new incarnation; its pending calls may still take effect."""
        for task in (process.task, process.releasing):
            if task is not None and not task.finished:
                if task.pending.name != "sleep" and not task.pending.done:
                    self.table.late.append(task.pending)
                task.close()
        index = self.processes.index(process)
        self.processes[index] = self._new_process(process.rate)

    def _new_process(self, rate):
        self._started_processes += 1
        return self.process_type(self, "p" * self._started_processes, rate)

    def _record_process_grant(self, process):
        grant = process.grant()
        if grant is not None:
            self._record_grant(grant, self.now)

    def _record_grant(self, grant, valid_at):
        if self._last_grant is not None:
            holder, fencing, last_valid_at = self._last_grant
            assert grant.fencing >= fencing, "a fencing number decreased"
            if grant.holder != holder:
                gap = self.now - last_valid_at
                assert grant.fencing > fencing, "two holders with the same fencing number"
                assert gap >= MIN_GAP_SECONDS, f"a gap of {gap:.2f} s between two holders"
                self.takeovers += 1
            valid_at = max(valid_at, last_valid_at)
        self._last_grant = (grant.holder, grant.fencing, valid_at)


def run_random_actions(seed, *, actions):
    """Run a simulation with seeded random actions and return it.

    The outcome of the calls of a process changes rarely, as faults last in practice.
    """
    random_source = random.Random(seed)
    drifts = [
        random_source.choice([-MAX_DRIFT_FRACTION, MAX_DRIFT_FRACTION])
        for _ in range(PROCESS_COUNT)
    ]
    simulation = LeaseSimulation([1 + drift for drift in drifts])
    mean_interval = 0.1
    for _ in range(actions):
        process = random_source.choice(simulation.processes)
        if random_source.random() < 0.02:
            mean_interval = random_source.choice([0.02, 0.1, 0.5])
        if random_source.random() < 0.08:
            process.outcome = random_source.choice(CALL_OUTCOMES)
        simulation.advance_time(random_source.expovariate(1 / mean_interval))
        if simulation.table.late and random_source.random() < 0.05:
            simulation.table.apply_late(random_source.randrange(len(simulation.table.late)))
        if process.busy:
            simulation.advance_step(process, process.outcome)
            if process.outcome == "good" and random_source.random() < 0.03:
                process.outcome = "paused"
        elif process.outcome != "paused":
            simulation.begin_step(process)
        simulation.advance_release(process, process.outcome)
        if random_source.random() < 0.002:
            simulation.begin_release(process)
        if random_source.random() < 0.004:
            simulation.crash(process)
    return simulation
