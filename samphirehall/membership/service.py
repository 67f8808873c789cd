"""Control service: the mesh of this host."""

import logging
import random
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from prometheus_client import Gauge

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.types import HostInfo, HostState
from samphirehall.membership.configuration import request_newer_configuration
from samphirehall.membership.connection import run_connection
from samphirehall.membership.dialing import Dialer
from samphirehall.membership.directory import (
    HOST_FACT_LIFETIME_SECONDS,
    HOST_FACT_REFRESH_INTERVAL_SECONDS,
    LEAVING_FACT_LIFETIME_SECONDS,
    Directory,
    encode_host,
)
from samphirehall.membership.hosts import host_statuses, hosts_in_force
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.pacing import choose_endpoint_list_sender, poll_interval
from samphirehall.membership.transport import listen
from samphirehall.membership.zone_report import ZoneReporter
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.link_service import EntryLinks
from samphirehall.node.state import NodeState

MAINTENANCE_INTERVAL_SECONDS = 0.25
PRUNE_INTERVAL_SECONDS = 5.0
MIN_HOST_LIST_INTERVAL_SECONDS = 5.0
ISOLATED_HOST_LIST_INTERVAL_SECONDS = 1.0
LISTED_HOST_BYTES = 150
HOST_LIST_BUDGET_FRACTION = 0.05
LEAVING_GRACE_SECONDS = 0.3

_log = logging.getLogger(__name__)


async def run_membership(context: ControlContext) -> None:
    """Keep this host connected to its peers until cancelled."""
    mesh = await _create_mesh(context)
    context.provide(mesh)
    context.poll_interval = _make_poll_interval(context, mesh)
    context.read_hosts_in_force = lambda version: hosts_in_force(mesh, version, now=boot_seconds())
    context.add_status_section("hosts", lambda: host_statuses(mesh, now=boot_seconds()))
    context.add_stop_action(lambda: _announce_leaving(mesh))
    _register_metrics(context, mesh)

    async def serve(stream: ByteStream) -> None:
        await run_connection(mesh, stream, dialled=False)

    dialer = Dialer(mesh, random_source=random.Random(context.state.incarnation))
    async with anyio.create_task_group() as group:
        group.start_soon(listen, context.settings.control.mesh, context.settings.mesh, serve)
        group.start_soon(_read_host_list, context, mesh)
        group.start_soon(dialer.run)
        group.start_soon(_grant_bulk, mesh)
        group.start_soon(_run_maintenance, mesh)


async def _create_mesh(context: ControlContext) -> Mesh:
    settings, state = context.settings, context.state
    entries = await context.obtain(EntryLinks)
    local_host = HostInfo(
        state.host, state.zone, settings.control.mesh, settings.control.operator, HostState.LIVE
    )
    directory = Directory(local_host, state.fact_store)
    return Mesh(settings.mesh, state, directory, context.gate, entries, now=boot_seconds())


def _make_poll_interval(context: ControlContext, mesh: Mesh) -> Callable[[float], float | None]:
    def interval(now: float) -> float | None:
        chosen = poll_interval(
            mesh.state.host,
            mesh.live_in_zone(now=now),
            base_interval=context.settings.control.poll_seconds,
            unverified_for=now - mesh.state.verification.confirmed_at,
        )
        mesh.reads_endpoint_list = chosen is not None
        return chosen

    return interval


async def _read_host_list(context: ControlContext, mesh: Mesh) -> None:
    """Read the platform's list of hosts periodically, less often the longer it is."""
    while True:
        try:
            listed = await context.platform.hosts()
            connected = frozenset(mesh.peers)
            mesh.directory.update_list(listed, connected=connected, now=boot_seconds())
        except PlatformUnavailableError as error:
            _log.debug("host-list", extra={"reason": str(error)})
        await anyio.sleep(_host_list_interval(mesh))


def _host_list_interval(mesh: Mesh) -> float:
    if not mesh.peers:
        return ISOLATED_HOST_LIST_INTERVAL_SECONDS
    budget = mesh.settings.byte_budget_per_second * HOST_LIST_BUDGET_FRACTION
    return max(
        MIN_HOST_LIST_INTERVAL_SECONDS, len(mesh.directory.hosts) * LISTED_HOST_BYTES / budget
    )


async def _run_maintenance(mesh: Mesh) -> None:
    """Refresh periodically the state that depends on peers and time."""
    reporter = ZoneReporter(mesh)
    host_fact_published_at = last_pruned_at = float("-inf")
    announced_version = 0
    while True:
        now = boot_seconds()
        if now - host_fact_published_at > HOST_FACT_REFRESH_INTERVAL_SECONDS:
            publish_host(
                mesh.state, mesh.directory.local_host, lifetime=HOST_FACT_LIFETIME_SECONDS, now=now
            )
            host_fact_published_at = now
        if now - last_pruned_at > PRUNE_INTERVAL_SECONDS:
            mesh.state.fact_store.prune(now=now)
            last_pruned_at = now
        mesh.directory.refresh(now=now)
        live = mesh.live_in_zone(now=now)
        mesh.state.zone_hosts = frozenset(live)
        mesh.endpoint_list_sender = choose_endpoint_list_sender(live)
        _confirm_if_only_host(mesh, now)
        if mesh.version_in_force != announced_version:
            announced_version = mesh.version_in_force
            mesh.schedule_heartbeats()
        for peer in mesh.peers.values():
            peer.wake_if_due(now)
        request_newer_configuration(mesh, now=now)
        reporter.publish_if_due(now=now)
        await anyio.sleep(MAINTENANCE_INTERVAL_SECONDS)


def _confirm_if_only_host(mesh: Mesh, now: float) -> None:
    """Confirm the configuration if no other host is known, since none could apply a newer one."""
    if mesh.directory.has_list and not mesh.verifying_zones:
        mesh.state.verification.record_confirmation(now)


def publish_host(state: NodeState, info: HostInfo, *, lifetime: float, now: float) -> None:
    """Publish the fact that describes this host."""
    state.fact_store.publish(
        FactKind.HOST, state.host, encode_host(info), lifetime=lifetime, now=now
    )


async def _announce_leaving(mesh: Mesh) -> None:
    """Publish before a planned stop that this host is leaving."""
    local_host = mesh.directory.local_host
    leaving = HostInfo(
        local_host.host_id,
        local_host.zone,
        local_host.mesh_address,
        local_host.operator_address,
        HostState.LEAVING,
    )
    publish_host(mesh.state, leaving, lifetime=LEAVING_FACT_LIFETIME_SECONDS, now=boot_seconds())
    for peer in mesh.peers.values():
        peer.may_send_bulk = True
        peer.wake()
    await anyio.sleep(LEAVING_GRACE_SECONDS)


async def _grant_bulk(mesh: Mesh) -> None:
    """Let one peer at a time send a batch of bulk facts, as the byte budget allows."""
    while True:
        await anyio.sleep(max(mesh.budget.delay(now=boot_seconds()), 0.01))
        waiting = [peer for peer in mesh.peers.values() if peer.outbox.has_bulk]
        if not waiting:
            await anyio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            continue
        peer = min(waiting, key=lambda peer: peer.bulk_granted_at)
        peer.bulk_granted_at = boot_seconds()
        peer.may_send_bulk = True
        peer.wake()


def _register_metrics(context: ControlContext, mesh: Mesh) -> None:
    peers = Gauge("samphire_mesh_peers", "Connected peers", registry=context.metrics)
    peers.set_function(lambda: len(mesh.peers))
    sent = Gauge("samphire_mesh_sent_bytes", "Bytes sent to peers", registry=context.metrics)
    sent.set_function(lambda: mesh.bytes_sent)
    received = Gauge(
        "samphire_mesh_received_bytes", "Bytes received from peers", registry=context.metrics
    )
    received.set_function(lambda: mesh.bytes_received)
