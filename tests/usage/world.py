"""Hosts that count, flush and freeze usage on a faulty table; no count may be lost or doubled.

A test advances one table call at a time and chooses its outcome from `CALL_OUTCOMES`.
"""

import dataclasses
import random
from collections import Counter

from samphirehall.authority.lease import LeaseGrant, LeaseLostError, LeaseRow, lease_key
from samphirehall.backing.client import OrderAnswer
from samphirehall.backing.table import Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.usage.flusher import NEXT_WINDOW_KEY, UsageFlusher
from samphirehall.usage.meter import UsageMeter
from samphirehall.usage.pending_usage import PendingUsage
from samphirehall.usage.reporter import UsageReporter
from samphirehall.usage.rows import Source
from samphirehall.usage.windows import WindowCloser, decode_frozen, frozen_key
from tests.support.steps import Call, SteppedTable, SteppedTask

WINDOW = 10
GRACE = 2.0
START = 1000.0
CUSTOMERS = ("petal-coop", "retakeline")
CALL_OUTCOMES = ("good", "lost", "late", "unanswered", "paused")


class FakeLeases:
    """Leases whose recheck always passes, also for a holder that lost the lease."""

    def __init__(self, grant):
        self._grant = grant

    def recheck(self, grant, *, clock):
        return lambda: None


class Host:
    """Entry and control process of one host, whose peer mirrors its counts."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.task = None
        self.call_outcome = "good"
        self.start()

    def start(self):
        self.incarnation += 1
        self.meter = UsageMeter(window_seconds=WINDOW)
        self.pending_usage = PendingUsage()
        self.flusher = UsageFlusher(self.world.table, self.pending_usage, window_seconds=WINDOW)
        self.source = Source(f"{self.name}/entry", self.incarnation)

    def serve(self, customer, tokens):
        """Count one request and pass the counts to this host and its mirror without delay."""
        self.meter.record(customer, tokens, tokens, now=self.world.now)
        for cell, counts in self.meter.pop_changed().items():
            for host in (self, self.world.peer_of(self)):
                host.pending_usage.record(self.source, cell, counts, now=self.world.now)

    async def flush(self):
        for source in self.pending_usage.sources:
            is_local = source == self.source
            changed_before = self.world.now if is_local else self.world.now - WINDOW
            try:
                recorded_before = await self.flusher.flush(
                    source, changed_before=changed_before, now=self.world.now
                )
            except PlatformUnavailableError:
                continue
            if is_local:
                self.meter.forget(recorded_before)


class UsageWorld:
    """Two hosts, and successive lease holders of the platform scope; only the last is valid."""

    def __init__(self):
        self.table = SteppedTable()
        self.now = START
        self.served = Counter()
        self.posted = {}
        self.table.handlers = {"post": self._accept_post}
        self.hosts = [Host(self, "a"), Host(self, "b")]
        self.holders = []
        self.crashes = 0
        self.reports = []
        self.take_over()

    def peer_of(self, host):
        return self.hosts[1 - self.hosts.index(host)]

    def serve(self, host, customer, tokens):
        host.serve(customer, tokens)
        self.served[customer] += tokens

    def take_over(self):
        """Let a new holder write the lease row; the former holder's last report goes on."""
        fencing = len(self.holders) + 1
        row = LeaseRow(f"holder-{fencing}", fencing, 6.0)
        write = Write(lease_key("platform"), dataclasses.asdict(row))
        version = self.table.store.transact([], [write]).versions[write.key]
        grant = LeaseGrant("platform", row.holder, fencing, 0.0, version)
        self.holders.append(grant)
        self.reports = [task for task in self.reports[-1:] if not task.finished]

    def begin_report(self, holder_age):
        grant = self.holders[max(0, len(self.holders) - 1 - holder_age)]
        self.reports.append(SteppedTask(self.report(grant), self.table))

    async def report(self, grant):
        closer = WindowCloser(self.table, window_seconds=WINDOW)
        reporter = UsageReporter(
            FakeLeases(grant), self.table, post=self._send_post, window_seconds=WINDOW
        )
        reporter.post_window = self._post_sequentially(reporter)
        try:
            await closer.step(grant, grace=GRACE, now=self.now)
            await reporter.step(grant)
        except (LeaseLostError, PlatformUnavailableError):
            return

    def _post_sequentially(self, reporter):
        async def post_window(grant, window, frozen):
            for customer, figures in frozen.items():
                await reporter.post_one(grant, window, customer, figures)

        return post_window

    async def _send_post(self, report, *, recheck=None):
        return await Call("post", (report,))

    def _accept_post(self, report):
        key = (report.window, report.customer)
        first_posted = self.posted.setdefault(key, report.figures)
        assert first_posted == report.figures, "a window was reported with two figures"
        return OrderAnswer(True)

    def advance(self, task, call_outcome):
        if task is None or task.finished or call_outcome == "paused":
            return
        if call_outcome == "unanswered":
            task.take_effect()
        if call_outcome == "good":
            task.answer()
        else:
            task.lose(late=call_outcome == "late")

    @property
    def has_recovered(self):
        """Whether no host holds counts of a crashed process, which another crash could lose."""
        live = {host.source for host in self.hosts}
        return all(live.issuperset(host.pending_usage.sources) for host in self.hosts)

    def crash(self, host):
        """Restart a host without its state; its peer still has the counts of both."""
        if host.task is not None and not host.task.finished:
            if not host.task.pending.done:
                self.table.late.append(host.task.pending)
            host.task.close()
        mirrored = [source for source in host.pending_usage.sources if source != host.source]
        peer = self.peer_of(host)
        host.start()
        for source in mirrored:
            for cell, counts in peer.pending_usage.counted(source, changed_before=self.now).items():
                host.pending_usage.record(source, cell, counts, now=self.now)

    def finish(self):
        """Finish all work without faults, and compare the reported figures with what was served."""
        while self.table.late:
            self.table.apply_late(0)
        for host in self.hosts:
            if host.task is not None and not host.task.finished:
                host.task.run()
        for _ in range(60):
            self.now += WINDOW
            for host in self.hosts:
                SteppedTask(host.flush(), self.table).run()
            for _ in range(3):
                SteppedTask(self.report(self.holders[-1]), self.table).run()
            if not any(host.pending_usage.sources for host in self.hosts):
                break
        self._close_all()
        self._check_figures()

    def _close_all(self):
        end = self.now + 3 * WINDOW
        while self.table.value(NEXT_WINDOW_KEY) < end:
            self.now += WINDOW
            for _ in range(40):
                SteppedTask(self.report(self.holders[-1]), self.table).run()

    def _check_figures(self):
        billed = Counter()
        for (_, customer), figures in self.posted.items():
            billed[customer] += figures.completion_tokens
        assert billed == self.served
        for (window, customer), figures in self.posted.items():
            row = self.table.store.read([frozen_key(window)])[0]
            assert decode_frozen(row)[customer] == figures


def run_long(seed, *, actions):
    """Run a world with seeded random actions and faults, then finish it and check every figure."""
    source = random.Random(seed)
    world = UsageWorld()
    SteppedTask(world.report(world.holders[-1]), world.table).run()
    for _ in range(actions):
        host = source.choice(world.hosts)
        world.now += source.expovariate(1 / 0.2)
        if source.random() < 0.3:
            world.serve(host, source.choice(CUSTOMERS), source.randint(1, 9))
        if source.random() < 0.05:
            host.call_outcome = source.choice((*CALL_OUTCOMES, "good", "good", "good", "good"))
        if host.task is None or host.task.finished:
            host.task = SteppedTask(host.flush(), world.table)
        else:
            world.advance(host.task, host.call_outcome)
        if world.table.late and source.random() < 0.1:
            world.table.apply_late(source.randrange(len(world.table.late)))
        world.reports = [task for task in world.reports if not task.finished]
        if len(world.reports) < 2 and source.random() < 0.3:
            world.begin_report(source.choice((0, 0, 1)))
        elif world.reports:
            call_outcome = source.choice((*CALL_OUTCOMES, *["good"] * 8))
            world.advance(source.choice(world.reports), call_outcome)
        if source.random() < 0.005:
            world.take_over()
        if source.random() < 0.02 and world.has_recovered:
            world.crash(host)
            world.crashes += 1
    world.finish()
    return world
