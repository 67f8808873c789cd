"""Comparing what two hosts hold, so that a healed partition converges."""

from samphirehall.membership.mesh import Mesh, compared_fingerprints
from samphirehall.membership.messages import Held
from samphirehall.membership.peer import Peer
from samphirehall.membership.wire import encode_fact

MISMATCHES_BEFORE_COMPARISON = 3
MIN_COMPARISON_INTERVAL_SECONDS = 1.0
FINGERPRINT_BYTES = 8


def compare_digests(mesh: Mesh, peer: Peer, *, now: float) -> None:
    """Ask a peer for what this host lacks, if their digests differ for long.

    A new connection is compared at once. Only one peer is asked a second, since
    what the first one sends usually settles the difference with the others.
    """
    if peer.heartbeat is None or peer.heartbeat.digest == mesh.state.board.digest:
        peer.has_been_compared = True
        peer.mismatches = 0
        return
    peer.mismatches += 1
    due = not peer.has_been_compared or peer.mismatches >= MISMATCHES_BEFORE_COMPARISON
    if due and now - mesh.last_comparison_at >= MIN_COMPARISON_INTERVAL_SECONDS:
        mesh.last_comparison_at = now
        peer.has_been_compared = True
        peer.mismatches = 0
        peer.enqueue(Held(compared_fingerprints(mesh.state, now=now)))


def send_missing_facts(mesh: Mesh, peer: Peer, fingerprints: bytes, *, now: float) -> None:
    """Send a peer the facts whose fingerprints it does not hold."""
    peer_fingerprints = {
        int.from_bytes(fingerprints[start : start + FINGERPRINT_BYTES], "big")
        for start in range(0, len(fingerprints), FINGERPRINT_BYTES)
    }
    for held in mesh.state.board.held(now=now):
        if held.fact.kind.kept_in_step and held.fact.fingerprint not in peer_fingerprints:
            peer.push(encode_fact(held.fact, expires_at=held.until))
