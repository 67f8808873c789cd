"""Configuration between hosts: who lacks a version asks one peer that holds it."""

import logging

from samphirehall.core.log import log_decision
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.messages import Change, Wanted
from samphirehall.membership.peer import Peer
from samphirehall.membership.transfer import ChangeAssembly, change_pieces

WANTED_SECONDS = 2.0

_log = logging.getLogger(__name__)


def want_newer(mesh: Mesh, *, now: float) -> None:
    """Ask a peer for the newest version, unless one is being asked."""
    held = mesh.gate.held.version
    if mesh.wanted_from is not None and now < mesh.wanted_until:
        return
    holders = [
        peer for peer in mesh.peers.values() if peer.beat is not None and peer.beat.held > held
    ]
    if not holders:
        mesh.wanted_from = None
        return
    chosen = max(holders, key=lambda peer: _preference(mesh, peer))
    mesh.wanted_from = chosen.host
    mesh.wanted_until = now + WANTED_SECONDS
    chosen.assembly = ChangeAssembly()
    chosen.enqueue(Wanted(held))


def _preference(mesh: Mesh, peer: Peer) -> tuple[int, bool, bool]:
    newest = peer.beat.held if peer.beat else 0
    return (newest, peer.host != mesh.wanted_from, peer.zone == mesh.state.zone)


def answer_wanted(mesh: Mesh, peer: Peer, version: int) -> None:
    """Send the change from a peer's version to the one held here."""
    held = mesh.gate.held
    if held.version <= version:
        return
    for piece in change_pieces(mesh.recent.base(version), held):
        peer.enqueue(piece)


def take_change(mesh: Mesh, peer: Peer, piece: Change, *, now: float) -> None:
    """Take a piece of a configuration change from a peer."""
    mesh.wanted_until = now + WANTED_SECONDS
    whole = peer.assembly.add(piece, mesh.gate.held)
    if piece.piece < piece.pieces - 1:
        return
    mesh.wanted_from = None
    if whole is not None and mesh.gate.offer(whole, now=now):
        log_decision(
            _log,
            "configuration",
            "from a peer",
            version=whole.version,
            peer=peer.host,
            parts=len(piece.parts),
        )
    want_newer(mesh, now=now)
