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
from samphirehall.usage.flusher import UsageFlusher
from samphirehall.usage.pending_usage import PendingUsage
from samphirehall.usage.reporter import UsageReporter
from samphirehall.usage.rows import Source
from samphirehall.usage.windows import WindowCloser

MIRROR_FLUSH_INTERVALS = 3.0
GRACE_INTERVALS = 2.0
REPORT_INTERVAL_SECONDS = 1.0
RECORDED_FACT_LIFETIME_SECONDS = 900.0
JITTER_FRACTION = 0.1

_log = logging.getLogger(__name__)


def flush_interval(hosts: int, settings: UsageTable) -> float:
    """Return the seconds between two flushes of one host.

    The interval grows with the number of hosts, to bound the flushes per second of all hosts.
    """
    return max(settings.least_flush_seconds, hosts / settings.flushes_per_second)


def closing_grace(hosts: int, settings: UsageTable) -> float:
    """Return the seconds after the end of a window in which hosts still flush into it."""
    return max(settings.grace_seconds, GRACE_INTERVALS * flush_interval(hosts, settings))


class UsageService:
    """Flushes the usage of one host, and reports windows if it holds the platform scope.

    Parameters
    ----------
    context : ControlContext
        Settings, platform and state of the control process.
    leases : Leases
        Leases of this process.
    """

    def __init__(self, context: ControlContext, leases: Leases) -> None:
        self._state = context.state
        self._settings = context.settings.usage
        self._leases = leases
        window_seconds = self._settings.window_seconds
        self.pending_usage = PendingUsage()
        self._flusher = UsageFlusher(
            context.platform, self.pending_usage, window_seconds=window_seconds
        )
        self._closer = WindowCloser(context.platform, window_seconds=window_seconds)
        self._reporter = UsageReporter(
            leases,
            context.platform,
            post=context.platform.report_usage,
            window_seconds=window_seconds,
        )
        self._random = random.Random(f"{self._state.host}/{self._state.incarnation}")
        self._published_before: dict[Source, int] = {}
        self._flushes = Counter(
            "samphire_usage_flushes", "Flushes of one process's usage.", registry=context.metrics
        )

    @property
    def refused(self) -> int:
        """Number of reports that the platform has refused since the start."""
        return self._reporter.refused

    async def flush_forever(self) -> None:
        """Flush until cancelled, at an interval that grows with the number of hosts."""
        mirrored_at = boot_seconds()
        while True:
            interval = flush_interval(_count_hosts(self._state), self._settings)
            await anyio.sleep(
                interval * self._random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
            )
            await self.flush_local()
            now = boot_seconds()
            if now - mirrored_at > MIRROR_FLUSH_INTERVALS * interval:
                await self.flush_mirrored(changed_before=mirrored_at)
                mirrored_at = now

    async def flush_local(self) -> None:
        """Flush the counts of the entry processes of this host, and publish what is recorded."""
        for source in self.pending_usage.sources:
            if self._is_local(source):
                recorded_before = await self._flush(source, changed_before=boot_seconds())
                self._publish_recorded(source, recorded_before)

    async def flush_mirrored(self, *, changed_before: float) -> None:
        """Flush the counts of peers' entry processes that the peers have not flushed themselves."""
        for source in self.pending_usage.sources:
            if not self._is_local(source):
                await self._flush(source, changed_before=changed_before)

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
            await anyio.sleep(REPORT_INTERVAL_SECONDS)

    async def _report_step(self) -> bool:
        grant = self._leases.grant(PLATFORM_SCOPE, now=boot_seconds())
        grace = closing_grace(_count_hosts(self._state), self._settings)
        froze = await self._closer.step(grant, grace=grace, now=wall_seconds())
        reported = await self._reporter.step(grant)
        return froze or reported

    async def _flush(self, source: Source, *, changed_before: float) -> int:
        try:
            recorded_before = await self._flusher.flush(
                source, changed_before=changed_before, now=wall_seconds()
            )
        except PlatformUnavailableError as error:
            _log.warning("usage-flush-failed", extra={"reason": str(error)})
            return 0
        self._flushes.inc()
        return recorded_before

    def _publish_recorded(self, source: Source, recorded_before: int) -> None:
        """Publish to an entry process of this host the window before which all is recorded."""
        if recorded_before <= self._published_before.get(source, 0):
            return
        self._published_before[source] = recorded_before
        self._state.fact_store.publish(
            FactKind.USAGE_RECORDED,
            str(source.incarnation),
            recorded_before,
            lifetime=RECORDED_FACT_LIFETIME_SECONDS,
            now=boot_seconds(),
        )

    def _is_local(self, source: Source) -> bool:
        return source.owner.partition("/")[0] == self._state.host


def _count_hosts(state: NodeState) -> int:
    return max(1, len(state.fact_store.current(FactKind.HOST, now=boot_seconds())))


async def run_usage(context: ControlContext) -> None:
    """Flush and report usage until cancelled."""
    leases = await context.obtain(Leases)
    service = UsageService(context, leases)
    fact_store = context.state.fact_store

    stop = fact_store.subscribe(
        lambda fact: service.pending_usage.apply_fact(fact, now=boot_seconds())
    )
    context.stack.callback(stop)
    for fact in fact_store.current(FactKind.USAGE, now=boot_seconds()):
        service.pending_usage.apply_fact(fact, now=boot_seconds())
    context.add_stop_action(service.flush_local)
    context.add_status_section(
        "usage", lambda: {"sources": len(service.pending_usage.sources), "refused": service.refused}
    )
    async with anyio.create_task_group() as group:
        group.start_soon(service.flush_forever)
        group.start_soon(service.report_forever)
