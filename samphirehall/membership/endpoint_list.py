"""Distribution of the platform's endpoint list from a poller to the other hosts of its zone."""

from samphirehall.core.types import EndpointInfo
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.messages import EndpointsChange
from samphirehall.membership.peer import Peer

MAX_ENDPOINTS_PER_MESSAGE = 200


def next_endpoints_change(mesh: Mesh, peer: Peer) -> EndpointsChange | None:
    """Return the next message of changes for a peer, if this host distributes the list."""
    endpoints = mesh.state.endpoints
    if peer.fully_sent_endpoints is endpoints or mesh.endpoint_list_sender != mesh.state.host:
        return None
    if peer.zone != mesh.state.zone or not mesh.reads_endpoint_list:
        return None
    sent = peer.sent_endpoints
    changed = [item for name, item in endpoints.items() if sent.get(name) != item]
    removed = tuple(name for name in sent if name not in endpoints)
    batch = tuple(changed[:MAX_ENDPOINTS_PER_MESSAGE])
    complete = len(batch) == len(changed)
    _apply_change(sent, batch, removed)
    if complete:
        peer.fully_sent_endpoints = endpoints
    return EndpointsChange(batch, removed, complete)


def receive_endpoints_change(mesh: Mesh, peer: Peer, change: EndpointsChange) -> None:
    """Apply changes from a peer; update the endpoints if it distributes the list."""
    _apply_change(peer.received_endpoints, change.changed, change.removed)
    if not change.complete or mesh.reads_endpoint_list:
        return
    if mesh.endpoint_list_sender == peer.host:
        mesh.state.replace_endpoints(peer.received_endpoints.values())


def _apply_change(
    table: dict[str, EndpointInfo], changed: tuple[EndpointInfo, ...], removed: tuple[str, ...]
) -> None:
    for name in removed:
        table.pop(name, None)
    table.update((item.endpoint_id, item) for item in changed)
