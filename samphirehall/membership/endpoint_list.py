"""The platform's endpoint list, read by the pollers of a zone and passed on to the others."""

from samphirehall.core.types import EndpointInfo
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.messages import EndpointsChange
from samphirehall.membership.peer import Peer

ENDPOINTS_A_MESSAGE = 200


def next_endpoints_change(mesh: Mesh, peer: Peer) -> EndpointsChange | None:
    """Return the next message of changes for a peer, if this host passes the list on."""
    endpoints = mesh.state.endpoints
    if peer.endpoints_told is endpoints or mesh.list_sender != mesh.state.host:
        return None
    if peer.zone != mesh.state.zone or not mesh.reads_list:
        return None
    sent = peer.sent_endpoints
    changed = [item for name, item in endpoints.items() if sent.get(name) != item]
    removed = tuple(name for name in sent if name not in endpoints)
    batch = tuple(changed[:ENDPOINTS_A_MESSAGE])
    complete = len(batch) == len(changed)
    _note_sent(sent, batch, removed)
    if complete:
        peer.endpoints_told = endpoints
    return EndpointsChange(batch, removed, complete)


def take_endpoints_change(mesh: Mesh, peer: Peer, change: EndpointsChange) -> None:
    """Take changes from the host that passes the list on."""
    _note_sent(peer.received_endpoints, change.changed, change.removed)
    if not change.complete or mesh.reads_list:
        return
    if mesh.list_sender == peer.host:
        mesh.state.take_endpoints(peer.received_endpoints.values())


def _note_sent(
    table: dict[str, EndpointInfo], changed: tuple[EndpointInfo, ...], removed: tuple[str, ...]
) -> None:
    for name in removed:
        table.pop(name, None)
    table.update((item.endpoint_id, item) for item in changed)
