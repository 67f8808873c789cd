"""Processes with drifting clocks that race for one lease over a faulty table."""

import random

from samphirehall.authority.keeper import LeaseKeeper
from samphirehall.authority.lease import LeaseLostError, LeaseTimes
from tests.support.steps import SteppedTable, SteppedTask, sleep_call

TIMES = LeaseTimes(ttl=6.0, margin=1.0, delivery_limit=2.0)
PROCESSES = 2
MAX_DRIFT = 0.01
LEAST_GAP = TIMES.delivery_limit * (1 - MAX_DRIFT) - 1e-6
FATES = ("good", "slow", "lost", "late", "unanswered", "paused")


class Process:
    """One stepped process with a clock of its own."""

    scope = "s"

    def __init__(self, world, name, rate):
        self.rate = rate
        self.task = None
        self.releasing = None
        self.release_until = 0.0
        self.fate = "good"
        self._world = world
        self._offset = 1000.0 * len(name)
        self.keeper = LeaseKeeper(
            world.table, self.scope, holder=name, times=TIMES, clock=self.clock, sleep=sleep_call
        )

    @property
    def busy(self):
        return self.task is not None and not self.task.finished

    def clock(self):
        return self._world.now * self.rate + self._offset

    def right(self):
        try:
            return self.keeper.right(now=self.clock())
        except LeaseLostError:
            return None


class LeaseWorld:
    """Lets time pass and calls fail; asserts that rights never meet."""

    process_type = Process

    def __init__(self, rates):
        self.table = SteppedTable()
        self.now = 0.0
        self.takeovers = 0
        self._names = 0
        self._last = None
        self.processes = [self._new_process(rate) for rate in rates]

    def begin_step(self, process):
        if not process.busy:
            process.task = SteppedTask(process.keeper.step(), self.table)
            self._note(process)

    def go_on(self, process, fate):
        """Bring the pending call of a process to one of the fates."""
        if not process.busy or fate == "paused":
            return
        if fate in ("slow", "unanswered"):
            process.task.take_effect()
        if fate == "good":
            process.task.answer()
        elif fate in ("lost", "late", "unanswered"):
            process.task.lose(late=fate == "late")
        self._note(process)

    def pass_time(self, seconds):
        """Let time pass and note each right up to the moment it ends."""
        before = [(process, process.right()) for process in self.processes]
        start = self.now
        for process, right in before:
            if right is not None:
                left = (right.until - process.clock()) / process.rate
                self._note_right(right, start + min(seconds, left))
        self.now = start + seconds

    def begin_release(self, process):
        self._note(process)
        if process.releasing is None:
            process.releasing = SteppedTask(process.keeper.release(), self.table)
            slept = process.releasing.pending
            seconds = 0.0 if slept is None else slept.arguments[0]
            process.release_until = self.now + seconds / process.rate

    def go_on_with_release(self, process, fate):
        release = process.releasing
        if release is None or release.finished or self.now < process.release_until:
            return
        if release.pending.name == "sleep" or fate == "good":
            release.answer()
        else:
            release.lose(late=True)

    def crash(self, process):
        """Replace a process by a new incarnation; its calls may still take effect."""
        for task in (process.task, process.releasing):
            if task is not None and not task.finished:
                if task.pending.name != "sleep" and not task.pending.done:
                    self.table.late.append(task.pending)
                task.close()
        index = self.processes.index(process)
        self.processes[index] = self._new_process(process.rate)

    def _new_process(self, rate):
        self._names += 1
        return self.process_type(self, "p" * self._names, rate)

    def _note(self, process):
        right = process.right()
        if right is not None:
            self._note_right(right, self.now)

    def _note_right(self, right, held_at):
        if self._last is not None:
            holder, fencing, last_held_at = self._last
            assert right.fencing >= fencing, "an old fencing number after a newer one"
            if right.holder != holder:
                gap = self.now - last_held_at
                assert right.fencing > fencing, "two holders with one fencing number"
                assert gap >= LEAST_GAP, f"a gap of {gap:.2f} s between two holders"
                self.takeovers += 1
            held_at = max(held_at, last_held_at)
        self._last = (right.holder, right.fencing, held_at)


def run_long(seed, *, actions):
    """Run a world on seeded luck and return it; fates change rarely, as faults do."""
    source = random.Random(seed)
    drifts = [source.choice([-MAX_DRIFT, MAX_DRIFT]) for _ in range(PROCESSES)]
    world = LeaseWorld([1 + drift for drift in drifts])
    pace = 0.1
    for _ in range(actions):
        process = source.choice(world.processes)
        if source.random() < 0.02:
            pace = source.choice([0.02, 0.1, 0.5])
        if source.random() < 0.08:
            process.fate = source.choice(FATES)
        world.pass_time(source.expovariate(1 / pace))
        if world.table.late and source.random() < 0.05:
            world.table.apply_late(source.randrange(len(world.table.late)))
        if process.busy:
            world.go_on(process, process.fate)
            if process.fate == "good" and source.random() < 0.03:
                process.fate = "paused"
        elif process.fate != "paused":
            world.begin_step(process)
        world.go_on_with_release(process, process.fate)
        if source.random() < 0.002:
            world.begin_release(process)
        if source.random() < 0.004:
            world.crash(process)
    return world
