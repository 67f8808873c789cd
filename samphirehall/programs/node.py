"""``samphire-node``: all services of one host on the users' platform, in one process."""

import asyncio
import logging
import os
import signal
import sys
from contextlib import AsyncExitStack
from functools import partial

import anyio
from anyio.abc import TaskGroup
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from samphirehall.admission.quota import QuotaBounds
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.log import configure_logging, dropped_line_count
from samphirehall.core.serving import serving
from samphirehall.core.stopping import StopSchedule
from samphirehall.forwarding.caller_protocol import caller_protocol
from samphirehall.forwarding.connection_limits import limits_of_process
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.catch_up import CatchUp
from samphirehall.gateway.context import GatewayContext, RepeatLimits
from samphirehall.gateway.duty import Duty, current_grant, may_act
from samphirehall.gateway.endpoint_counts import CountOrder
from samphirehall.gateway.engine_rates import count_uneven
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.host_directory import HostDirectory
from samphirehall.gateway.ingress import IngressState, ingress_app, ingress_protocol
from samphirehall.gateway.metrics import GatewayMetrics
from samphirehall.gateway.passing import RequestPassing
from samphirehall.gateway.quarantine_store import QuarantineStore
from samphirehall.gateway.readiness import readiness_app
from samphirehall.gateway.rows import RowChange, Switch, TableFollower, keep_known_rows
from samphirehall.gateway.scaling import EndpointScaler, ScalingCalls, scale_forever
from samphirehall.gateway.stream_store import StreamStore
from samphirehall.gateway.types import ListedEndpoint, Stage
from samphirehall.gateway.usage_reports import ReportProgress, UsageReports, report_periodically
from samphirehall.gateway.usage_windows import (
    SAVE_INTERVAL_SECONDS,
    HostCounts,
    PeerUsage,
    UsageCounter,
)
from samphirehall.gateway.zone_exchange import ZoneExchange
from samphirehall.platform import documents, store, wire
from samphirehall.platform.duties import DutiesClient
from samphirehall.platform.engine_orders import order_stage
from samphirehall.platform.settings import (
    METRICS_PATH,
    METRICS_PORT,
    PRESSURE_CONTRACT,
    READINESS_PATH,
    SCALING_DUTY,
    USAGE_DUTY,
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from samphirehall.programs.running import (
    load_or_exit,
    new_incarnation,
    run_daemon,
    wait_for_stop,
)
from samphirehall.scheduling.fair_shares import FairShareTable
from samphirehall.settings.loading import SettingsError

# Entries change several times a second; a draining endpoint must be noticed within two seconds.
ENDPOINT_POLL_INTERVAL_SECONDS = 0.5
# With the poll interval, shorter than the time after which the store counts as lost.
ENDPOINT_FEED_WAIT_SECONDS = 0.5
LIST_MAX_AGE_SECONDS = 3.0  # of an endpoint list that is taken for the current one
BALANCER_GRACE_SECONDS = 3.0  # two failed probes one second apart, and one second for the answer
STOP_NOTICE_SECONDS = 0.1  # by which a stop may begin later than its signal was sent
HAND_OVER_TIMEOUT_SECONDS = 1.0  # to save usage and release duties before running requests end
EXIT_MARGIN_SECONDS = (
    0.6  # left for the last answers and the exit before the platform kills the process
)
MIN_FINISH_SECONDS = 2.5  # for running requests once new ones are refused; most take 1 to 2 s
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
FINAL_PUBLISH_SECONDS = 0.1  # for the last datagram to be sent; the sender checks every 50 ms
FINAL_SAVE_TIMEOUT_SECONDS = 0.2
MAX_FINAL_SAVES = 3  # the hub may write the same rows meanwhile
IDLE_CHECK_INTERVAL_SECONDS = 0.05
OPERATOR_HEAD_TIMEOUT_SECONDS = 10.0  # of readiness checks and scrapes
OPERATOR_SHARE = 1 / 16  # of the limits on connections, for readiness checks and for scrapes

_log = logging.getLogger(__name__)


class Node:
    """Creates and connects the components of the process of one host."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.incarnation = new_incarnation()
        self.metrics = GatewayMetrics()
        self.store = store.Store(settings.store_address, self.metrics.observe_store_call)
        self.duties = DutiesClient(settings.duties_address, settings.host)
        self.agreed_time = AgreedTime()
        process = f"{settings.host}/{self.incarnation}"
        self.duty = Duty(
            self.store,
            process,
            settings.lease_time,
            lambda: self.exchange.may_hold_duty(),
            first_start=settings.first_start,
        )
        self.usage = UsageCounter(
            process, settings.usage_window, self.agreed_now, lookback=settings.usage_report_timeout
        )
        self.peer_usage = PeerUsage()
        self.report_progress = ReportProgress()
        self.context = GatewayContext(
            settings.host,
            settings.zone,
            wire.WIRE_CODEC,
            RepeatLimits(
                settings.retry_budget_ratio,
                settings.retry_budget_slack,
                settings.retry_budget_window,
            ),
            live_hosts=lambda: self.exchange.most_hosts,
            record_start=self.usage.record,
            clock=boot_seconds,
            zone_hosts=lambda: self.exchange.live_hosts(now=boot_seconds()),
            live_zones=lambda: self.exchange.live_zones(now=boot_seconds()),
            store_age=lambda: self.exchange.store_age(now=boot_seconds()),
        )
        self.context.set_hedging_share(settings.hedging_max_share)
        self.fair_shares = FairShareTable()
        if PRESSURE_CONTRACT in settings.contracts:
            self.context.fair_shares = self.fair_shares
        self.context.quotas.set_bounds(_quota_bounds(settings))
        self.gateway = Gateway(self.context, self.metrics.observe_request)
        self._listed: dict[str, ListedEndpoint | None] = {}
        reading = Switch()
        self.configurations = TableFollower(
            self.store, store.CONFIGURATION_TABLE, self._apply_configuration_row, switch=reading
        )
        self.endpoints = TableFollower(
            self.store,
            store.ENDPOINT_TABLE,
            self._apply_endpoint_row,
            is_relevant=self._is_relevant_row,
            poll_delay=ENDPOINT_POLL_INTERVAL_SECONDS,
            feed_wait=ENDPOINT_FEED_WAIT_SECONDS,
            switch=reading,
            restore=keep_known_rows,
        )
        address = f"{settings.ip}:{settings.min_peer_port}"
        self.catch_up = CatchUp(
            address,
            lambda: self.gateway.version,
            self.endpoints.replica,
            self._receive_configuration,
        )
        directory = HostDirectory(self.store, settings.host, settings.zone, address)
        self.passing = RequestPassing(self.context, directory.load_all, settings.max_peer_port)
        if settings.max_peer_port != settings.min_peer_port:
            self.gateway.passing = self.passing
        self.exchange = ZoneExchange(
            self.context,
            directory,
            address,
            self.endpoints,
            reading,
            self.catch_up,
            self.agreed_time,
            lambda: self.gateway.version,
            self.usage,
            self.peer_usage,
            self.report_progress,
            link_bytes_per_second=settings.link_bytes_per_second,
        )
        self.reports = UsageReports(
            self.store,
            self._report_usage,
            lambda: self.exchange.live_hosts(now=boot_seconds()),
            self._usage_by_process,
            settings.usage_window,
            settings.usage_report_timeout,
            lambda window: self.exchange.view.others_closed(window, now=boot_seconds()),
            first_start=settings.first_start,
            progress=self.report_progress,
            lease_checks=lambda: [current_grant(self.duty).lease_check],
            exclusive_fencing=self.duty.exclusive_fencing,
        )
        self.store.on_restored = lambda: self.reports.observe_era(
            self.agreed_now(), now=boot_seconds()
        )
        self.quarantine_store = QuarantineStore(
            self.store,
            self.context.crashes.parts,
            lambda: self.exchange.is_hub,
            clock=boot_seconds,
            agreed_time=self.agreed_now,
        )
        self.context.streams = StreamStore(
            self.store,
            self.context.fleet,
            process,
            is_hub=lambda: self.exchange.is_hub,
            list_is_current=self._list_is_current,
            list_era=lambda: self.endpoints.replica.position.era,
            list_complete_until=lambda: self.exchange.list_complete_until(now=boot_seconds()),
            clock=boot_seconds,
            agreed_time=self.agreed_now,
        )
        self.streams = self.context.streams
        calls = ScalingCalls(self._order_count, self._order_stage)
        self.scaling = EndpointScaler(self.context, calls)
        self.client_limits = limits_of_process(
            max_connections=settings.max_client_connections,
            max_buffered_bytes=settings.max_client_bytes,
            max_body_bytes=lambda: self.gateway.limits.max_body_bytes,
            observe=partial(self.metrics.observe_refused_connection, "clients"),
        )
        self.ingress = IngressState(
            lambda: self.gateway.limits, connection_limits=self.client_limits
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        gauge = self.metrics.add_gauge
        gauge("configuration_version", "Version in force.", lambda: self.gateway.version)
        gauge("endpoints", "Endpoints listed.", lambda: len(list(self.context.fleet.states())))
        gauge("open_requests", "Requests not answered.", lambda: self.ingress.open_requests)
        gauge(
            "client_connections",
            "Connections of clients that are open.",
            lambda: self.client_limits.connections,
        )
        gauge(
            "client_waiting_bytes",
            "Bytes of clients' requests that do not run yet, and of unread responses.",
            lambda: self.client_limits.buffered_bytes,
        )
        gauge(
            "live_hosts",
            "Hosts of the zone heard lately, this one among them.",
            lambda: len(self.exchange.live_hosts(now=boot_seconds())),
        )
        gauge(
            "hub",
            "Whether this host is the hub of its zone.",
            lambda: self.exchange.may_hold_duty(),
        )
        gauge(
            "reading_store",
            "Whether this host reads the store for its zone.",
            lambda: self.endpoints.reading,
        )
        gauge(
            "endpoint_paths_lost",
            "Whether this host can connect to no endpoint, and passes requests on.",
            lambda: self.context.paths.lost,
        )
        gauge(
            "duty_held",
            "Whether this host holds the duty of usage reports and orders.",
            lambda: self.duty.grant(now=boot_seconds()) is not None,
        )
        gauge(
            "endpoint_list_age_seconds",
            "Seconds since the store last said what the endpoint list is, to any host heard.",
            lambda: self.exchange.store_age(now=boot_seconds()),
        )
        gauge(
            "endpoints_limited",
            "Endpoints that take only a stated rate of requests from all hosts.",
            lambda: self.context.limits.limited_count,
        )
        gauge(
            "engines_slow",
            "Engines whose lasting speed is clearly below that of their service and stage.",
            lambda: count_uneven(self.context)[0],
        )
        gauge(
            "engines_fast",
            "Engines whose lasting speed is clearly above that of their service and stage.",
            lambda: count_uneven(self.context)[1],
        )
        gauge(
            "parts_blocked",
            "Parts of prompts that have crashed engines and are refused.",
            lambda: self.context.crashes.parts.blocked_count,
        )
        gauge(
            "services_short",
            "Services that refuse work and are admitted to by fair shares.",
            lambda: self.fair_shares.short_count(now=boot_seconds()),
        )
        gauge("log_lines_dropped", "Log lines left out since the start.", dropped_line_count)
        gauge("store_era", "Times that the store came back from a copy.", lambda: self.store.era)
        gauge(
            "store_available",
            "Whether the store answered the last calls of this host for both tables.",
            lambda: self.configurations.available and self.endpoints.available,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the host accepts new connections: it has a configuration and is not stopping."""
        return self.gateway.version > 0 and not self.ingress.stopping

    def agreed_now(self) -> float:
        """Return the time agreed with the peers, in seconds since 1970."""
        return self.agreed_time.estimate(wall=wall_seconds(), now=boot_seconds())

    def _list_is_current(self) -> bool:
        """Return whether no host can know of an endpoint that this host has not heard of."""
        now = boot_seconds()
        if not self.endpoints.replica.has_snapshot:
            return False
        if self.exchange.store_age(now=now) < LIST_MAX_AGE_SECONDS:
            return True
        # While the store answers nobody, nobody learns of a new endpoint.
        zones = {state.listed.zone for state in self.context.fleet.states()}
        hears_zones = zones <= set(self.exchange.live_zones(now=now))
        return hears_zones and (
            len(self.exchange.live_hosts(now=now)) > 1 or self.exchange.most_hosts == 1
        )

    def _usage_by_process(self, window: int) -> dict[str, HostCounts]:
        """Return the usage counts of a window, by process: those of peers and of this host."""
        counts = dict(self.peer_usage.counts_by_process(window))
        if local := self.usage.latest_counts().get(window):
            counts[self.usage.process] = local
        return counts

    async def _report_usage(self, window: int, counts: dict[str, int]) -> None:
        await self.duties.report_usage(current_grant(self.duty), window, counts)

    async def _order_count(self, order: CountOrder) -> bool:
        return await self.duties.order_endpoints(current_grant(self.duty), order)

    async def _order_stage(self, engine: ListedEndpoint, stage: Stage) -> bool:
        state = self.context.fleet.endpoint(engine.endpoint_id)
        if state is None:
            return False
        return await order_stage(
            state.connections, engine, stage, host=self.settings.host, duty=self.duty
        )

    async def save_usage(self) -> bool:
        """Save the usage counts that this host is responsible for; return whether all are saved."""
        received = self.exchange.usage_to_store()
        return received is None or await self.usage.save(self.store, received)

    async def save_usage_periodically(self) -> None:
        """Save usage counts until cancelled."""
        while True:
            await anyio.sleep(SAVE_INTERVAL_SECONDS)
            closed = self.exchange.closed_window(now=boot_seconds())
            self.exchange.record_usage_stored(await self.save_usage(), closed)

    def _apply_configuration_row(self, change: RowChange) -> None:
        if change.key == store.CONFIGURATION_KEY and change.value is not None:
            self._receive_configuration(change.value, "store")

    def _receive_configuration(self, content: bytes, source: str) -> None:
        """Apply a configuration document if it can be decoded and is newer."""
        try:
            configuration = documents.decode_configuration(content)
        except ValueError as error:
            _log.error("configuration-unreadable", extra={"reason": str(error)})
            return
        if self.gateway.apply_configuration(configuration, source=source):
            self.catch_up.set_document(content)
            self._update_services()

    def _update_services(self) -> None:
        """Apply the services of a new configuration to the endpoints listed before it."""
        for listed in self._listed.values():
            if listed is not None:
                self._update_endpoint(listed)

    def _is_relevant_row(self, change: RowChange) -> bool:
        """Decode a row of the endpoint list; return whether it says anything new."""
        known = change.key in self._listed
        if change.value is None:
            self._listed.pop(change.key, None)
            return known
        listed = documents.decode_endpoint(change.key, change.value)
        is_new = not known or self._listed[change.key] != listed
        self._listed[change.key] = listed
        return is_new

    def _apply_endpoint_row(self, change: RowChange) -> None:
        if change.value is None:
            self.context.fleet.remove(change.key, now=boot_seconds())
            return
        listed = self._listed[change.key]
        if listed is None:
            self.context.fleet.suspend(change.key)
            return
        self._update_endpoint(listed)

    def _update_endpoint(self, listed: ListedEndpoint) -> None:
        configuration = self.gateway.configuration
        service = configuration.services.get(listed.service) if configuration else None
        self.context.fleet.update(listed, service, now=boot_seconds())

    def reload(self, reason: str) -> None:
        """Apply the settings that may change at run time; an invalid file changes nothing."""
        try:
            settings = load_platform_settings(settings_path())
        except SettingsError as error:
            _log.error("reload-refused", extra={"reason": str(error)})
            return
        limits = RepeatLimits(
            settings.retry_budget_ratio, settings.retry_budget_slack, settings.retry_budget_window
        )
        self.context.set_repeat_limits(limits)
        self.context.set_hedging_share(settings.hedging_max_share)
        self.context.quotas.set_bounds(_quota_bounds(settings))
        self.settings = settings
        _log.info("reload", extra={"reason": reason})

    async def close_retired(self) -> None:
        """Clean up after endpoints that are gone, until cancelled.

        Removes their metrics, confirms the crashes of lost ones and closes their connections.
        """
        while True:
            await anyio.sleep(ENDPOINT_POLL_INTERVAL_SECONDS)
            self.metrics.remove_unlisted_endpoints(self.context.fleet)
            listed = {state.listed.incarnation for state in self.context.fleet.states()}
            self.context.limits.keep_only(listed)
            self.context.speeds.keep_only(listed)
            while self.context.fleet.lost:
                endpoint_id = self.context.fleet.lost.pop()
                self.context.crashes.confirm(endpoint_id, now=boot_seconds())
            while self.context.fleet.retired:
                await self.context.fleet.retired.pop().aclose()


async def serve(settings: PlatformSettings, modified_at: int) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the host.
    modified_at : int
        Modification time of their file in nanoseconds, from before it was read.
    """
    node = Node(settings)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(node.store.aclose)
        stack.push_async_callback(node.duties.aclose)
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(node.configurations.run)
        group.start_soon(node.endpoints.run)
        group.start_soon(node.close_retired)
        group.start_soon(node.exchange.run)
        group.start_soon(node.context.paths.run)
        group.start_soon(node.passing.run)
        group.start_soon(node.catch_up.run)
        group.start_soon(node.duty.run)
        group.start_soon(node.save_usage_periodically)
        group.start_soon(node.quarantine_store.run)
        group.start_soon(node.streams.run)
        group.start_soon(_follow_settings, node, modified_at)
        _start_duties(group, node)
        await _listen(stack, node)
        _log.info("start", extra={"incarnation": node.incarnation, "zone": settings.zone})
        await wait_for_stop()
        await _drain(node)
        group.cancel_scope.cancel()
    _log.info("stop", extra={"open": node.ingress.open_requests})


async def _listen(stack: AsyncExitStack, node: Node) -> None:
    """Open all listeners, readiness last, so that a host reported ready accepts connections."""
    app = ingress_app(node.ingress, wire.decode_request, node.gateway.serve)
    await stack.enter_async_context(
        serving(app, node.settings.client_listen_address, protocol=ingress_protocol(node.ingress))
    )
    if node.gateway.passing is not None:
        serve_passed = partial(node.gateway.serve, passed=True)
        hosts_app = ingress_app(node.ingress, wire.decode_request, serve_passed)
        address = f"{node.settings.ip}:{node.settings.max_peer_port}"
        await stack.enter_async_context(
            serving(hosts_app, address, protocol=ingress_protocol(node.ingress))
        )
    await _serve_metrics(stack, node)
    readiness = readiness_app(lambda: node.is_ready, READINESS_PATH)
    protocol = _operator_protocol(node, "readiness")
    await stack.enter_async_context(
        serving(readiness, node.settings.readiness_listen_address, protocol=protocol)
    )


def _operator_protocol(node: Node, port: str) -> type[HttpToolsProtocol]:
    """Return the protocol class of a port that is not for clients."""
    limits = limits_of_process(
        share=OPERATOR_SHARE,
        observe=partial(node.metrics.observe_refused_connection, port),
        closes_idle=True,
    )
    return caller_protocol(head_timeout=OPERATOR_HEAD_TIMEOUT_SECONDS, limits=limits)


async def _serve_metrics(stack: AsyncExitStack, node: Node) -> None:
    """Serve metrics; a host whose metrics port is in use still serves requests."""
    address = f"{node.settings.ip}:{METRICS_PORT}"
    try:
        protocol = _operator_protocol(node, "metrics")
        await stack.enter_async_context(
            serving(node.metrics.app(METRICS_PATH), address, protocol=protocol)
        )
    except OSError as error:
        extra = {"address": address, "reason": os.strerror(error.errno or 0)}
        _log.warning("metrics-unavailable", extra=extra)


def _start_duties(group: TaskGroup, node: Node) -> None:
    duty_may_act = may_act(node.duty)
    if USAGE_DUTY in node.settings.duties:
        group.start_soon(
            lambda: report_periodically(
                node.reports, may_act=duty_may_act, agreed_now=node.agreed_now
            )
        )
    if SCALING_DUTY in node.settings.duties:
        group.start_soon(
            lambda: scale_forever(
                node.scaling, may_act=duty_may_act, configuration=lambda: node.gateway.configuration
            )
        )


async def _follow_settings(node: Node, last_modified: int) -> None:
    """Reload the settings on SIGHUP and when the modification time of the file changes."""
    async with anyio.create_task_group() as group:
        group.start_soon(_reload_on_signal, node)
        while True:
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
            if _settings_modified_at() != last_modified:
                last_modified = _settings_modified_at()
                node.reload("file has changed")


async def _reload_on_signal(node: Node) -> None:
    """Reload the settings on SIGHUP until cancelled; later ones are ignored as well."""
    requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, requested.set)
    while True:
        await requested.wait()
        requested.clear()
        node.reload("signal")


def _settings_modified_at() -> int:
    """Return the modification time of the settings file in nanoseconds, 0 on an error."""
    try:
        return os.stat(settings_path()).st_mtime_ns
    except OSError:
        return 0


def stop_schedule(stop_timeout: float, *, now: float) -> StopSchedule:
    """Return the times of a stop that begins now.

    Parameters
    ----------
    stop_timeout : float
        Seconds after which the platform kills the process.
    now : float
        Boot clock in seconds.
    """
    finish_by = now + stop_timeout - EXIT_MARGIN_SECONDS
    open_for = BALANCER_GRACE_SECONDS - STOP_NOTICE_SECONDS
    return StopSchedule(min(now + open_for, finish_by - MIN_FINISH_SECONDS), finish_by)


async def _drain(node: Node) -> None:
    """Report not ready, serve until the balancer stops sending, then finish running requests."""
    _log.info("drain", extra={"open": node.ingress.open_requests})
    schedule = stop_schedule(node.settings.stop_timeout, now=boot_seconds())
    node.gateway.stop_schedule = schedule
    node.ingress.stopping = True
    with anyio.move_on_after(schedule.finish_by - boot_seconds() - HAND_OVER_TIMEOUT_SECONDS):
        await anyio.sleep(BALANCER_GRACE_SECONDS)
        node.ingress.close_idle_connections()
        await _wait_until_idle(node)
    node.ingress.refusing = not node.ingress.open_requests
    recorded = node.usage.recorded
    with anyio.move_on_after(HAND_OVER_TIMEOUT_SECONDS):
        await _hand_over(node)
    with anyio.move_on_after(schedule.finish_by - boot_seconds()):
        await _wait_until_idle(node)
    if not node.ingress.refusing:
        node.ingress.refusing = True
        node.gateway.end_running_requests()
        node.exchange.publish_usage()
        await anyio.sleep(FINAL_PUBLISH_SECONDS)
        if node.usage.recorded != recorded:
            with anyio.move_on_after(FINAL_SAVE_TIMEOUT_SECONDS):
                await _save_own_usage(node)


async def _save_own_usage(node: Node) -> None:
    """Save the counts of this host, whether or not its hub has received them."""
    for _ in range(MAX_FINAL_SAVES):
        if await node.usage.save(node.store):
            return


async def _hand_over(node: Node) -> None:
    """Save the usage counts and release the duties."""
    node.exchange.publish_usage()
    await anyio.sleep(FINAL_PUBLISH_SECONDS)
    await node.save_usage()
    await node.duty.release()


async def _wait_until_idle(node: Node) -> None:
    while node.ingress.open_requests:
        await anyio.sleep(IDLE_CHECK_INTERVAL_SECONDS)


def _quota_bounds(settings: PlatformSettings) -> QuotaBounds:
    return QuotaBounds(settings.quota_window, settings.quota_overrun, settings.quota_slack)


def run(check: bool = False) -> None:
    """Run this host with the settings file that the platform has written.

    Parameters
    ----------
    check : bool
        Check the settings and exit.
    """
    modified_at = _settings_modified_at()
    settings = load_or_exit(settings_path(), load_platform_settings, check=check)
    configure_logging("info", host=settings.host, program="samphire-node", to_stdout=True)
    run_daemon(lambda: serve(settings, modified_at))


def main() -> None:
    """Run the command line of ``samphire-node``; without options, just run the host."""
    if len(sys.argv) == 1:
        run()
        return
    import fire

    fire.Fire(run, name="samphire-node")


if __name__ == "__main__":
    main()
