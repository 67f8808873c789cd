"""Processes that count, flush and freeze over a faulty table; nothing may be lost or doubled."""

import dataclasses
import random
from collections import Counter

from samphirehall.authority.lease import LeaseGrant, LeaseLostError, LeaseRow, lease_key
from samphirehall.backing.client import OrderAnswer
from samphirehall.backing.table import Write
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.usage.book import UsageBook
from samphirehall.usage.flusher import NEXT_KEY, UsageFlusher
from samphirehall.usage.meter import UsageMeter
from samphirehall.usage.reporter import UsageReporter
from samphirehall.usage.rows import Source
from samphirehall.usage.windows import WindowCloser, decode_frozen, frozen_key
from tests.support.steps import Call, SteppedTable, SteppedTask

WINDOW = 10
GRACE = 2.0
START = 1000.0
CUSTOMERS = ("petal-coop", "retakeline")
FATES = ("good", "lost", "late", "unanswered", "paused")


class FakeLeases:
    """Gives every holder its own right, also a former one that does not know yet."""

    def __init__(self, right):
        self._right = right

    def recheck(self, right, *, clock):
        return lambda: None


class Host:
    """The entry and control process of one host; the peer mirrors its counts."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.task = None
        self.fate = "good"
        self.start()

    def start(self):
        self.incarnation += 1
        self.meter = UsageMeter(window_seconds=WINDOW)
        self.book = UsageBook()
        self.flusher = UsageFlusher(self.world.table, self.book, window_seconds=WINDOW)
        self.source = Source(f"{self.name}/entry", self.incarnation)

    def serve(self, customer, tokens):
        """Count one request and tell the control process and the mirror at once."""
        self.meter.record(customer, tokens, tokens, now=self.world.now)
        for cell, counts in self.meter.take_changed().items():
            for host in (self, self.world.peer_of(self)):
                host.book.note(self.source, cell, counts, now=self.world.now)

    async def flush(self):
        for source in self.book.sources:
            own = source == self.source
            before = self.world.now if own else self.world.now - WINDOW
            try:
                done = await self.flusher.flush(source, heard_before=before, now=self.world.now)
            except PlatformUnavailableError:
                continue
            if own:
                self.meter.forget(done)


class UsageWorld:
    """Two hosts, and holders of the platform scope of whom only the last is right."""

    def __init__(self):
        self.table = SteppedTable()
        self.now = START
        self.served = Counter()
        self.posted = {}
        self.table.handlers = {"post": self._post}
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
        """Let a new holder write the lease row; the former goes on for a while."""
        fencing = len(self.holders) + 1
        row = LeaseRow(f"holder-{fencing}", fencing, 6.0)
        write = Write(lease_key("platform"), dataclasses.asdict(row))
        version = self.table.store.transact([], [write]).versions[write.key]
        right = LeaseGrant("platform", row.holder, fencing, 0.0, version)
        self.holders.append(right)
        self.reports = [task for task in self.reports[-1:] if not task.finished]

    def begin_report(self, index):
        right = self.holders[max(0, len(self.holders) - 1 - index)]
        self.reports.append(SteppedTask(self.report(right), self.table))

    async def report(self, right):
        closer = WindowCloser(self.table, window_seconds=WINDOW)
        reporter = UsageReporter(
            FakeLeases(right), self.table, post=self._send_post, window_seconds=WINDOW
        )
        reporter.post_window = self._post_in_turn(reporter)
        try:
            await closer.step(right, grace=GRACE, now=self.now)
            await reporter.step(right)
        except (LeaseLostError, PlatformUnavailableError):
            return

    def _post_in_turn(self, reporter):
        async def post_window(right, window, frozen):
            for customer, figures in frozen.items():
                await reporter.post_one(right, window, customer, figures)

        return post_window

    async def _send_post(self, report, *, recheck=None):
        return await Call("post", (report,))

    def _post(self, report):
        key = (report.window, report.customer)
        held = self.posted.setdefault(key, report.figures)
        assert held == report.figures, "a window was reported with two figures"
        return OrderAnswer(True)

    def go_on(self, task, fate):
        if task is None or task.finished or fate == "paused":
            return
        if fate == "unanswered":
            task.take_effect()
        if fate == "good":
            task.answer()
        else:
            task.lose(late=fate == "late")

    @property
    def has_recovered(self):
        """Whether no crash is left whose counts only one host still holds."""
        live = {host.source for host in self.hosts}
        return all(live.issuperset(host.book.sources) for host in self.hosts)

    def crash(self, host):
        """Lose everything that a host holds; its mirror has the counts."""
        if host.task is not None and not host.task.finished:
            if not host.task.pending.done:
                self.table.late.append(host.task.pending)
            host.task.close()
        mirrored = [source for source in host.book.sources if source != host.source]
        peer = self.peer_of(host)
        host.start()
        for source in mirrored:
            for cell, counts in peer.book.counted(source, heard_before=self.now).items():
                host.book.note(source, cell, counts, now=self.now)

    def finish(self):
        """Let everything end without faults, and compare what was served with the figures."""
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
            if not any(host.book.sources for host in self.hosts):
                break
        self._close_all()
        self._check_figures()

    def _close_all(self):
        end = self.now + 3 * WINDOW
        while self.table.value(NEXT_KEY) < end:
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
    """Run a world on seeded luck, then let it end and check every figure."""
    source = random.Random(seed)
    world = UsageWorld()
    SteppedTask(world.report(world.holders[-1]), world.table).run()
    for _ in range(actions):
        host = source.choice(world.hosts)
        world.now += source.expovariate(1 / 0.2)
        if source.random() < 0.3:
            world.serve(host, source.choice(CUSTOMERS), source.randint(1, 9))
        if source.random() < 0.05:
            host.fate = source.choice((*FATES, "good", "good", "good", "good"))
        if host.task is None or host.task.finished:
            host.task = SteppedTask(host.flush(), world.table)
        else:
            world.go_on(host.task, host.fate)
        if world.table.late and source.random() < 0.1:
            world.table.apply_late(source.randrange(len(world.table.late)))
        world.reports = [task for task in world.reports if not task.finished]
        if len(world.reports) < 2 and source.random() < 0.3:
            world.begin_report(source.choice((0, 0, 1)))
        elif world.reports:
            fate = source.choice((*FATES, *["good"] * 8))
            world.go_on(source.choice(world.reports), fate)
        if source.random() < 0.005:
            world.take_over()
        if source.random() < 0.02 and world.has_recovered:
            world.crash(host)
            world.crashes += 1
    world.finish()
    return world
