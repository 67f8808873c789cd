"""Comparison of the facts of two hosts, so that they converge after a partition."""

from samphirehall.membership.mesh import Mesh, compared_fingerprints
from samphirehall.membership.messages import Held
from samphirehall.membership.peer import Peer
from samphirehall.membership.wire import encode_fact

MISMATCHES_BEFORE_COMPARISON = 3
MIN_COMPARISON_INTERVAL_SECONDS = 1.0
FINGERPRINT_BYTES = 8


def compare_digests(mesh: Mesh, peer: Peer, *, now: float) -> None:
    """Request missing facts from a peer if the digests keep differing.

    The first heartbeat of a new connection is compared at once, later ones after
    `MISMATCHES_BEFORE_COMPARISON` mismatches in a row. At most one peer is asked
    per `MIN_COMPARISON_INTERVAL_SECONDS`, since its answer usually removes the
    difference to the other peers as well.
    """
    if peer.heartbeat is None or peer.heartbeat.digest == mesh.state.fact_store.digest:
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
    """Send a peer the compared facts whose fingerprints it did not list."""
    peer_fingerprints = {
        int.from_bytes(fingerprints[start : start + FINGERPRINT_BYTES], "big")
        for start in range(0, len(fingerprints), FINGERPRINT_BYTES)
    }
    for stored in mesh.state.fact_store.unexpired(now=now):
        if stored.fact.kind.is_reconciled and stored.fact.fingerprint not in peer_fingerprints:
            peer.push(encode_fact(stored.fact, expires_at=stored.expires_at))
