"""Control service that polls engines for their reports and publishes these to the other hosts.

Rendezvous hashing divides the engines of a zone among its hosts, so that one
host polls each of them. The interval grows with the number of engines in the
zone, which bounds the rate of reports that all hosts receive.
"""

import logging
from collections.abc import Iterable

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.decoding import decode
from samphirehall.core.log import log_decision
from samphirehall.core.rendezvous import is_chosen
from samphirehall.core.types import EndpointInfo, EndpointState
from samphirehall.endpoints.compact_report import encode_report
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.endpoints.protocol import REPORT_DECODER, EngineReport
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.placement.views import endpoint_statuses, engines_of_zone

MIN_POLL_INTERVAL_SECONDS = 1.0
MAX_ZONE_REPORTS_PER_SECOND = 40.0
REPORT_LIFETIME_INTERVALS = 4.0  # a report expires after this many poll intervals
DOWN_AFTER_FAILURES = 3
DOWN_LIFETIME_SECONDS = 5.0
LEAVING_LIFETIME_SECONDS = 120.0
LEAVING_PUBLISHER_COUNT = 2  # one of the two hosts may fail
POLL_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 64 * 1024
HTTP_OK = 200

_log = logging.getLogger(__name__)


def poll_interval(endpoints_in_zone: int) -> float:
    """Return the interval in seconds at which each engine of a zone is polled."""
    return max(MIN_POLL_INTERVAL_SECONDS, endpoints_in_zone / MAX_ZONE_REPORTS_PER_SECOND)


def assigned_endpoints(state: NodeState) -> list[EndpointInfo]:
    """Return the engines of the zone that this host polls."""
    return [
        endpoint
        for endpoint in engines_of_zone(state)
        if is_chosen(state.host, state.zone_hosts, endpoint.endpoint_id)
    ]


class ReportPoller:
    """Polls engines and publishes facts about their load and availability.

    Parameters
    ----------
    state : NodeState
        State of this host, to whose facts the reports are published.
    pools : EndpointPools
        Connections to the engines.
    """

    def __init__(self, state: NodeState, pools: EndpointPools) -> None:
        self._state = state
        self._pools = pools
        self._failures: dict[str, int] = {}
        self._leaving_published_at: dict[str, float] = {}

    async def poll(self, endpoint: EndpointInfo, *, interval: float) -> None:
        """Poll one engine; publish its report, or that it is down after repeated failures."""
        report = await _fetch_report(self._pools.pool_for(endpoint.address))
        now = boot_seconds()
        if report is None:
            self._record_failure(endpoint, now)
            return
        self._failures.pop(endpoint.endpoint_id, None)
        self._state.fact_store.publish(
            FactKind.ENGINE_REPORT,
            endpoint.endpoint_id,
            encode_report(report),
            lifetime=interval * REPORT_LIFETIME_INTERVALS,
            now=now,
        )
        if report.leaving:
            self.publish_leaving(endpoint.endpoint_id, "engine says so", now=now)

    def publish_leaving(self, endpoint_id: str, source: str, *, now: float) -> None:
        """Publish to all hosts that an endpoint takes no new work.

        The fact is published again once half of its lifetime has passed, so that it
        does not expire on the other hosts.
        """
        published_at = self._leaving_published_at.get(endpoint_id)
        if published_at is not None and now - published_at < LEAVING_LIFETIME_SECONDS / 2:
            return
        self._leaving_published_at[endpoint_id] = now
        log_decision(_log, "endpoint-leaving", source, endpoint=endpoint_id)
        self._state.fact_store.publish(
            FactKind.ENDPOINT_LEAVING,
            endpoint_id,
            source,
            lifetime=LEAVING_LIFETIME_SECONDS,
            now=now,
        )

    def record_listed_endpoints(self, endpoints: Iterable[EndpointInfo], *, now: float) -> None:
        """Publish which endpoints the platform lists as leaving; reset those that start again.

        Two hosts of the endpoint's zone publish it, so that one of them may fail.
        """
        for endpoint in endpoints:
            if endpoint.state is EndpointState.LEAVING and self._is_leaving_publisher(endpoint):
                self.publish_leaving(endpoint.endpoint_id, "platform lists it", now=now)
            elif endpoint.state is EndpointState.STARTING:
                self._leaving_published_at.pop(endpoint.endpoint_id, None)

    def _is_leaving_publisher(self, endpoint: EndpointInfo) -> bool:
        state = self._state
        if endpoint.zone != state.zone:
            return False
        return is_chosen(
            state.host, state.zone_hosts, endpoint.endpoint_id, count=LEAVING_PUBLISHER_COUNT
        )

    def _record_failure(self, endpoint: EndpointInfo, now: float) -> None:
        failures = self._failures.get(endpoint.endpoint_id, 0) + 1
        self._failures[endpoint.endpoint_id] = failures
        if failures < DOWN_AFTER_FAILURES:
            return
        if failures == DOWN_AFTER_FAILURES:
            log_decision(
                _log, "endpoint-down", f"{failures} polls failed", endpoint=endpoint.endpoint_id
            )
        self._state.fact_store.publish(
            FactKind.ENDPOINT_DOWN,
            endpoint.endpoint_id,
            failures,
            lifetime=DOWN_LIFETIME_SECONDS,
            now=now,
        )


async def _fetch_report(pool: ConnectionPool) -> EngineReport | None:
    try:
        with anyio.fail_after(POLL_TIMEOUT_SECONDS):
            async with pool.request("GET", "/state") as response:
                body = await read_body(response, max_bytes=MAX_REPORT_BYTES)
                if response.status != HTTP_OK:
                    return None
                return decode(body, REPORT_DECODER)
    except (*TRANSPORT_ERRORS, TimeoutError, ValueError):
        return None


async def run_polling(context: ControlContext) -> None:
    """Poll the engines assigned to this host until cancelled."""
    state = context.state
    pools = EndpointPools(connect_timeout=POLL_TIMEOUT_SECONDS, stall_timeout=POLL_TIMEOUT_SECONDS)
    context.stack.push_async_callback(pools.aclose)
    poller = ReportPoller(state, pools)
    context.provide(poller)
    context.add_status_section("endpoints", lambda: endpoint_statuses(state, now=boot_seconds()))
    while True:
        now = boot_seconds()
        poller.record_listed_endpoints(state.endpoints.values(), now=now)
        endpoints = assigned_endpoints(state)
        interval = poll_interval(len(engines_of_zone(state)))
        async with anyio.create_task_group() as group:
            for endpoint in endpoints:
                group.start_soon(_poll_one, poller, endpoint, interval)
        await pools.keep_only(endpoint.address for endpoint in endpoints)
        await anyio.sleep(max(0.0, interval - (boot_seconds() - now)))


async def _poll_one(poller: ReportPoller, endpoint: EndpointInfo, interval: float) -> None:
    await poller.poll(endpoint, interval=interval)
