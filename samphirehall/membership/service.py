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
from samphirehall.membership.configuration import want_newer
from samphirehall.membership.connection import converse
from samphirehall.membership.dialing import Dialer
from samphirehall.membership.directory import (
    HOST_FACT_REFRESH_SECONDS,
    HOST_FACT_SECONDS,
    LEAVING_FACT_SECONDS,
    Directory,
    host_value,
)
from samphirehall.membership.hosts import host_statuses, hosts_in_force
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.pacing import list_sender, poll_interval
from samphirehall.membership.transport import listen
from samphirehall.membership.zone_report import ZoneReporter
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.link_service import EntryLinks
from samphirehall.node.state import NodeState

TICK_SECONDS = 0.25
PRUNE_SECONDS = 5.0
LEAST_LIST_SECONDS = 5.0
ALONE_LIST_SECONDS = 1.0
LISTED_HOST_BYTES = 150
LIST_BUDGET_SHARE = 0.05
LEAVING_GRACE_SECONDS = 0.3

_log = logging.getLogger(__name__)


async def run_membership(context: ControlContext) -> None:
    """Keep this host connected to its peers until cancelled."""
    mesh = await _new_mesh(context)
    context.provide(mesh)
    context.poll_interval = _poll_interval(context, mesh)
    context.read_hosts_in_force = lambda version: hosts_in_force(mesh, version, now=boot_seconds())
    context.report_status("hosts", lambda: host_statuses(mesh, now=boot_seconds()))
    context.before_stop(lambda: _announce_leaving(mesh))
    _measure(context, mesh)

    async def serve(stream: ByteStream) -> None:
        await converse(mesh, stream, dialled=False)

    dialer = Dialer(mesh, random_source=random.Random(context.state.incarnation))
    async with anyio.create_task_group() as group:
        group.start_soon(listen, context.settings.control.mesh, context.settings.mesh, serve)
        group.start_soon(_read_host_list, context, mesh)
        group.start_soon(dialer.run)
        group.start_soon(_pace_bulk, mesh)
        group.start_soon(_tick, mesh)


async def _new_mesh(context: ControlContext) -> Mesh:
    settings, state = context.settings, context.state
    entries = await context.obtain(EntryLinks)
    own = HostInfo(
        state.host, state.zone, settings.control.mesh, settings.control.operator, HostState.LIVE
    )
    directory = Directory(own, state.board)
    return Mesh(settings.mesh, state, directory, context.gate, entries, now=boot_seconds())


def _poll_interval(context: ControlContext, mesh: Mesh) -> Callable[[float], float | None]:
    def interval(now: float) -> float | None:
        chosen = poll_interval(
            mesh.state.host,
            mesh.live_in_zone(now=now),
            base=context.settings.control.poll_seconds,
            unverified_for=now - mesh.state.verification.confirmed_at,
        )
        mesh.reads_list = chosen is not None
        return chosen

    return interval


async def _read_host_list(context: ControlContext, mesh: Mesh) -> None:
    """Read the platform's list, the more rarely the longer it is."""
    while True:
        try:
            listed = await context.platform.hosts()
            connected = frozenset(mesh.peers)
            mesh.directory.take_list(listed, connected=connected, now=boot_seconds())
        except PlatformUnavailableError as error:
            _log.debug("host-list", extra={"reason": str(error)})
        await anyio.sleep(_list_seconds(mesh))


def _list_seconds(mesh: Mesh) -> float:
    if not mesh.peers:
        return ALONE_LIST_SECONDS
    budget = mesh.settings.byte_budget_per_second * LIST_BUDGET_SHARE
    return max(LEAST_LIST_SECONDS, len(mesh.directory.hosts) * LISTED_HOST_BYTES / budget)


async def _tick(mesh: Mesh) -> None:
    """Keep what follows from peers and time up to date."""
    reporter = ZoneReporter(mesh)
    presented_at = pruned_at = float("-inf")
    told_version = 0
    while True:
        now = boot_seconds()
        if now - presented_at > HOST_FACT_REFRESH_SECONDS:
            present(mesh.state, mesh.directory.own, lifetime=HOST_FACT_SECONDS, now=now)
            presented_at = now
        if now - pruned_at > PRUNE_SECONDS:
            mesh.state.board.prune(now=now)
            pruned_at = now
        mesh.directory.refresh(now=now)
        live = mesh.live_in_zone(now=now)
        mesh.state.zone_hosts = frozenset(live)
        mesh.list_sender = list_sender(live)
        _verify_when_alone(mesh, now)
        if mesh.version_in_force != told_version:
            told_version = mesh.version_in_force
            mesh.wake_beats()
        for peer in mesh.peers.values():
            peer.tick(now)
        want_newer(mesh, now=now)
        reporter.tick(now=now)
        await anyio.sleep(TICK_SECONDS)


def _verify_when_alone(mesh: Mesh, now: float) -> None:
    """A host that is the only one cannot miss what others apply."""
    if mesh.directory.has_list and not mesh.verifying_zones:
        mesh.state.verification.confirm(now)


def present(state: NodeState, own: HostInfo, *, lifetime: float, now: float) -> None:
    """Publish the fact in which a host presents itself."""
    state.board.publish(FactKind.HOST, state.host, host_value(own), lifetime=lifetime, now=now)


async def _announce_leaving(mesh: Mesh) -> None:
    """Tell the others at a planned stop that this host leaves."""
    own = mesh.directory.own
    leaving = HostInfo(
        own.host_id, own.zone, own.mesh_address, own.operator_address, HostState.LEAVING
    )
    present(mesh.state, leaving, lifetime=LEAVING_FACT_SECONDS, now=boot_seconds())
    for peer in mesh.peers.values():
        peer.bulk_granted = True
        peer.wake()
    await anyio.sleep(LEAVING_GRACE_SECONDS)


async def _pace_bulk(mesh: Mesh) -> None:
    """Let peers' waiting facts go one batch at a time, as the byte budget allows."""
    while True:
        await anyio.sleep(max(mesh.budget.wait(now=boot_seconds()), 0.01))
        waiting = [peer for peer in mesh.peers.values() if peer.outbox.has_bulk]
        if not waiting:
            await anyio.sleep(TICK_SECONDS)
            continue
        peer = min(waiting, key=lambda peer: peer.granted_at)
        peer.granted_at = boot_seconds()
        peer.bulk_granted = True
        peer.wake()


def _measure(context: ControlContext, mesh: Mesh) -> None:
    peers = Gauge("samphire_mesh_peers", "Connected peers", registry=context.metrics)
    peers.set_function(lambda: len(mesh.peers))
    sent = Gauge("samphire_mesh_sent_bytes", "Bytes sent to peers", registry=context.metrics)
    sent.set_function(lambda: mesh.bytes_sent)
    received = Gauge(
        "samphire_mesh_received_bytes", "Bytes received from peers", registry=context.metrics
    )
    received.set_function(lambda: mesh.bytes_received)
