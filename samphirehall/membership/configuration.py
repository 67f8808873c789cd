"""Exchange of configurations: a host that lacks a version requests it from one peer."""

import logging

from samphirehall.core.log import log_decision
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.messages import Change, Wanted
from samphirehall.membership.peer import Peer
from samphirehall.membership.transfer import ChangeAssembly, split_change

REQUEST_TIMEOUT_SECONDS = 2.0

_log = logging.getLogger(__name__)


def request_newer_configuration(mesh: Mesh, *, now: float) -> None:
    """Request the newest version from a peer, unless a request is open."""
    held_version = mesh.gate.newest_available.version
    if mesh.configuration_source is not None and now < mesh.configuration_request_expires_at:
        return
    candidates = [
        peer
        for peer in mesh.peers.values()
        if peer.heartbeat is not None and peer.heartbeat.available_version > held_version
    ]
    if not candidates:
        mesh.configuration_source = None
        return
    chosen = max(candidates, key=lambda peer: _source_preference(mesh, peer))
    mesh.configuration_source = chosen.host
    mesh.configuration_request_expires_at = now + REQUEST_TIMEOUT_SECONDS
    chosen.change_assembly = ChangeAssembly()
    chosen.enqueue(Wanted(held_version))


def _source_preference(mesh: Mesh, peer: Peer) -> tuple[int, bool, bool]:
    newest = peer.heartbeat.available_version if peer.heartbeat else 0
    return (newest, peer.host != mesh.configuration_source, peer.zone == mesh.state.zone)


def send_configuration_change(mesh: Mesh, peer: Peer, version: int) -> None:
    """Send the change from a peer's version to the newest version of this host."""
    newest = mesh.gate.newest_available
    if newest.version <= version:
        return
    for piece in split_change(mesh.recent_configurations.get(version), newest):
        peer.enqueue(piece)


def receive_change_piece(mesh: Mesh, peer: Peer, piece: Change, *, now: float) -> None:
    """Add a piece of a configuration change; offer the configuration after the last one."""
    mesh.configuration_request_expires_at = now + REQUEST_TIMEOUT_SECONDS
    configuration = peer.change_assembly.add(piece, mesh.gate.newest_available)
    if piece.piece < piece.pieces - 1:
        return
    mesh.configuration_source = None
    if configuration is not None and mesh.gate.offer(configuration, now=now):
        log_decision(
            _log,
            "configuration",
            "from a peer",
            version=configuration.version,
            peer=peer.host,
            parts=len(piece.parts),
        )
    request_newer_configuration(mesh, now=now)
