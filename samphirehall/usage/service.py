"""Control service: flush usage of this host and its mirrored peers, and report windows."""

import logging
import random

import anyio
from prometheus_client import Counter

from samphirehall.authority.lease import PLATFORM_SCOPE, LeaseLostError
from samphirehall.authority.leases import Leases
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.settings.tables import UsageTable
from samphirehall.usage.book import UsageBook
from samphirehall.usage.flusher import UsageFlusher
from samphirehall.usage.reporter import UsageReporter
from samphirehall.usage.rows import Source
from samphirehall.usage.windows import WindowCloser

MIRROR_WAIT_INTERVALS = 3.0
GRACE_INTERVALS = 2.0
REPORT_STEP_SECONDS = 1.0
RECORDED_FACT_SECONDS = 900.0
JITTER = 0.1

_log = logging.getLogger(__name__)


def flush_interval(hosts: int, settings: UsageTable) -> float:
    """Return the seconds between two flushes of one host, which grow with the hosts."""
    return max(settings.least_flush_seconds, hosts / settings.flushes_per_second)


def closing_grace(hosts: int, settings: UsageTable) -> float:
    """Return the seconds after the end of a window in which hosts still flush into it."""
    return max(settings.grace_seconds, GRACE_INTERVALS * flush_interval(hosts, settings))


class UsageService:
    """Usage of one host: flushes, and reports if it holds the platform scope.

    Parameters
    ----------
    context : ControlContext
        Settings, platform and state.
    leases : Leases
        Rights of this process.
    """

    def __init__(self, context: ControlContext, leases: Leases) -> None:
        self._state = context.state
        self._settings = context.settings.usage
        self._leases = leases
        window_seconds = self._settings.window_seconds
        self.book = UsageBook()
        self._flusher = UsageFlusher(context.platform, self.book, window_seconds=window_seconds)
        self._closer = WindowCloser(context.platform, window_seconds=window_seconds)
        self._reporter = UsageReporter(
            leases,
            context.platform,
            post=context.platform.report_usage,
            window_seconds=window_seconds,
        )
        self._random = random.Random(f"{self._state.host}/{self._state.incarnation}")
        self._told: dict[Source, int] = {}
        self._flushes = Counter(
            "samphire_usage_flushes", "Flushes of one process's usage.", registry=context.metrics
        )

    @property
    def refused(self) -> int:
        """Reports that the platform refused since the start."""
        return self._reporter.refused

    async def flush_forever(self) -> None:
        """Flush until cancelled, at an interval that grows with the hosts."""
        mirrored_at = boot_seconds()
        while True:
            interval = flush_interval(_hosts(self._state), self._settings)
            await anyio.sleep(interval * self._random.uniform(1 - JITTER, 1 + JITTER))
            await self.flush_own()
            now = boot_seconds()
            if now - mirrored_at > MIRROR_WAIT_INTERVALS * interval:
                await self.flush_mirrored(heard_before=mirrored_at)
                mirrored_at = now

    async def flush_own(self) -> None:
        """Flush what the entries of this host have counted, and tell them."""
        for source in self.book.sources:
            if self._is_own(source):
                before = await self._flush(source, heard_before=boot_seconds())
                self._tell(source, before)

    async def flush_mirrored(self, *, heard_before: float) -> None:
        """Flush what a peer's entries have counted and the peer has not flushed itself."""
        for source in self.book.sources:
            if not self._is_own(source):
                await self._flush(source, heard_before=heard_before)

    async def report_forever(self) -> None:
        """Close, freeze and report windows while this process holds the platform scope."""
        while True:
            try:
                while await self._report_step():
                    pass
            except LeaseLostError:
                pass
            except PlatformUnavailableError as error:
                _log.warning("platform-unavailable", extra={"reason": str(error)})
            await anyio.sleep(REPORT_STEP_SECONDS)

    async def _report_step(self) -> bool:
        right = self._leases.grant(PLATFORM_SCOPE, now=boot_seconds())
        grace = closing_grace(_hosts(self._state), self._settings)
        froze = await self._closer.step(right, grace=grace, now=wall_seconds())
        reported = await self._reporter.step(right)
        return froze or reported

    async def _flush(self, source: Source, *, heard_before: float) -> int:
        try:
            before = await self._flusher.flush(
                source, heard_before=heard_before, now=wall_seconds()
            )
        except PlatformUnavailableError as error:
            _log.warning("usage-flush-failed", extra={"reason": str(error)})
            return 0
        self._flushes.inc()
        return before

    def _tell(self, source: Source, before: int) -> None:
        """Tell an entry of this host which windows the table has in full."""
        if before <= self._told.get(source, 0):
            return
        self._told[source] = before
        self._state.fact_store.publish(
            FactKind.USAGE_RECORDED,
            str(source.incarnation),
            before,
            lifetime=RECORDED_FACT_SECONDS,
            now=boot_seconds(),
        )

    def _is_own(self, source: Source) -> bool:
        return source.owner.partition("/")[0] == self._state.host


def _hosts(state: NodeState) -> int:
    return max(1, len(state.fact_store.current(FactKind.HOST, now=boot_seconds())))


async def run_usage(context: ControlContext) -> None:
    """Flush and report usage until cancelled."""
    leases = await context.obtain(Leases)
    service = UsageService(context, leases)
    board = context.state.fact_store

    stop = board.subscribe(lambda fact: service.book.take(fact, now=boot_seconds()))
    context.stack.callback(stop)
    for fact in board.current(FactKind.USAGE, now=boot_seconds()):
        service.book.take(fact, now=boot_seconds())
    context.add_stop_action(service.flush_own)
    context.add_status_section(
        "usage", lambda: {"sources": len(service.book.sources), "refused": service.refused}
    )
    async with anyio.create_task_group() as group:
        group.start_soon(service.flush_forever)
        group.start_soon(service.report_forever)
