"""One connection to a peer: a task that receives and a task that sends."""

import logging
import ssl

import anyio
from anyio.abc import ByteStream

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import FrameError, SamphireError
from samphirehall.core.frames import FrameStream
from samphirehall.core.log import log_decision
from samphirehall.membership.comparison import compare_digests, send_missing_facts
from samphirehall.membership.configuration import (
    receive_change_piece,
    request_newer_configuration,
    send_configuration_change,
)
from samphirehall.membership.endpoint_list import next_endpoints_change, receive_endpoints_change
from samphirehall.membership.handshake import HandshakeResult, open_as_dialler, open_as_listener
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.messages import (
    OPENING_MESSAGES,
    PEER_MESSAGES,
    Acknowledged,
    Beat,
    Change,
    EndpointsChange,
    Facts,
    Held,
    Wanted,
)
from samphirehall.membership.peer import TENTHS_PER_SECOND, Peer, SilentPeerError
from samphirehall.membership.wire import MILLISECONDS_PER_SECOND, OutgoingFact, decode_fact
from samphirehall.node.verification import NEVER

MAX_PEER_FRAME_BYTES = 1024 * 1024
SEND_TIMEOUT_SECONDS = 4.0
MAX_URGENT_BATCH_BYTES = 16 * 1024
MAX_BULK_BATCH_BYTES = 1024
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    ssl.SSLError,
)

_log = logging.getLogger(__name__)


async def run_connection(
    mesh: Mesh, stream: ByteStream, *, dialled: bool, fresh: bool = False
) -> bool:
    """Run one connection until it ends; return whether the handshake succeeded.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    stream : ByteStream
        New connection; closed when this returns.
    dialled : bool
        Whether this host opened the connection.
    fresh : bool
        Whether it replaces a connection that went silent.
    """
    frames = FrameStream(
        stream, (*OPENING_MESSAGES, *PEER_MESSAGES), max_bytes=MAX_PEER_FRAME_BYTES
    )
    async with stream:
        try:
            peer = await _open(mesh, frames, dialled=dialled, fresh=fresh)
        except SamphireError as error:
            log_decision(_log, "peer-refused", error.detail, result=error.result.code)
            return False
        except (*CONNECTION_ERRORS, FrameError, TimeoutError) as error:
            _log.info("peer-not-opened", extra={"reason": repr(error)})
            return False
        await _exchange_messages(mesh, peer)
        return True


async def _open(mesh: Mesh, frames: FrameStream, *, dialled: bool, fresh: bool) -> Peer:
    key = mesh.settings.key
    handshake: HandshakeResult
    if dialled:
        handshake = await open_as_dialler(frames, mesh.identity, key, fresh=fresh)
    else:
        handshake = await open_as_listener(frames, mesh.identity, key)
    peer = Peer(
        handshake,
        frames,
        silence_timeout=mesh.silence_timeout,
        acknowledge_seconds=mesh.settings.acknowledge_seconds,
        now=boot_seconds(),
    )
    mesh.add_connection(peer, handshake, now=peer.connected_at)
    return peer


async def _exchange_messages(mesh: Mesh, peer: Peer) -> None:
    silent = False
    reason = "replaced or stopped"
    log_decision(_log, "peer-up", "opened", peer=peer.host, zone=peer.zone, dialler=peer.dialler)
    try:
        with peer.cancel_scope:
            async with anyio.create_task_group() as group:
                group.start_soon(_send_messages, mesh, peer)
                await _receive_messages(mesh, peer)
    except* (*CONNECTION_ERRORS, FrameError) as closed:
        reason = repr(closed.exceptions[0])
    except* (TimeoutError, SilentPeerError) as silence:
        silent = True
        reason = repr(silence.exceptions[0])
    finally:
        mesh.remove_connection(peer, silent=silent, now=boot_seconds())
        log_decision(_log, "peer-down", reason, peer=peer.host, silent=silent)


async def _receive_messages(mesh: Mesh, peer: Peer) -> None:
    while True:
        message = await peer.frames.receive()
        now = boot_seconds()
        peer.last_seen = now
        match message:
            case Beat():
                _receive_heartbeat(mesh, peer, message, now)
            case Facts(number, relay, lifetimes, payloads):
                if len(lifetimes) != len(payloads):
                    raise FrameError(f"{len(lifetimes)} lifetimes of {len(payloads)} facts")
                for lifetime, payload in zip(lifetimes, payloads, strict=True):
                    mesh.receive_fact(peer, decode_fact(payload, lifetime), relay=relay, now=now)
                peer.record_received(number)
            case Acknowledged(number):
                peer.receive_acknowledgement(number)
            case Held(fingerprints):
                send_missing_facts(mesh, peer, fingerprints, now=now)
            case Wanted(version):
                send_configuration_change(mesh, peer, version)
            case Change():
                receive_change_piece(mesh, peer, message, now=now)
            case EndpointsChange():
                receive_endpoints_change(mesh, peer, message)
            case _:
                raise FrameError(f"received {type(message).__name__} after the handshake")


def _receive_heartbeat(mesh: Mesh, peer: Peer, heartbeat: Beat, now: float) -> None:
    state = mesh.state
    peer.heartbeat = heartbeat
    peer.silence_timeout = heartbeat.silence_timeout_tenths / TENTHS_PER_SECOND
    state.record_known_version(max(heartbeat.highest_known_version, heartbeat.version))
    if heartbeat.echo_milliseconds == 0:
        peer.heartbeat_due_at = now
        peer.wake()
    elif heartbeat.highest_known_version <= state.configuration.version:
        echo_sent_at = heartbeat.echo_milliseconds / MILLISECONDS_PER_SECOND
        state.verification.record_contact(peer.zone, echo_sent_at)
        if heartbeat.verification_age_tenths >= 0:
            state.verification.record_confirmation(
                echo_sent_at - heartbeat.verification_age_tenths / TENTHS_PER_SECOND
            )
        state.verification.record_confirmation(
            state.verification.verified_at(mesh.verifying_zones, now=echo_sent_at)
        )
    responding_peers = {other.host for other in mesh.zone_peers() if other.heartbeat is not None}
    zone_hosts = {info.host_id for info in mesh.directory.in_zone(state.zone)}
    mesh.gate.record_peer_answer(all_answered=zone_hosts <= responding_peers, now=now)
    request_newer_configuration(mesh, now=now)
    compare_digests(mesh, peer, now=now)


async def _send_messages(mesh: Mesh, peer: Peer) -> None:
    while True:
        now = boot_seconds()
        peer.check_responsive(now)
        message = _next_message(mesh, peer, now)
        if message is None:
            await peer.wait_for_work()
            continue
        with anyio.fail_after(SEND_TIMEOUT_SECONDS):
            sent = await peer.frames.send(message)
        mesh.budget.charge(sent, now=now)


def _next_message(mesh: Mesh, peer: Peer, now: float) -> object | None:
    acknowledgement = peer.pop_acknowledgement()
    if acknowledgement is not None:
        return acknowledgement
    if peer.outbox.has_urgent:
        items = peer.outbox.pop_urgent(max_bytes=MAX_URGENT_BATCH_BYTES, now=now)
        if items:
            number = peer.record_sent(items, now=now)
            return _facts_message(items, number=number, relay=not mesh.reaches_all(), now=now)
    if now >= peer.heartbeat_due_at:
        return _heartbeat_message(mesh, peer, now)
    if peer.message_queue:
        return peer.message_queue.popleft()
    change = next_endpoints_change(mesh, peer)
    if change is not None:
        return change
    if peer.may_send_bulk:
        peer.may_send_bulk = False
        items = peer.outbox.pop_bulk(max_bytes=MAX_BULK_BATCH_BYTES, now=now)
        return _facts_message(items, number=0, relay=False, now=now) if items else None
    return None


def _facts_message(items: list[OutgoingFact], *, number: int, relay: bool, now: float) -> Facts:
    lifetimes = tuple(
        max(1, int((item.expires_at - now) * MILLISECONDS_PER_SECOND)) for item in items
    )
    return Facts(number, relay, lifetimes, tuple(item.payload for item in items))


def _heartbeat_message(mesh: Mesh, peer: Peer, now: float) -> Beat:
    peer.heartbeat_due_at = now + mesh.heartbeat_interval
    state = mesh.state
    verified_at = max(
        state.verification.confirmed_at,
        state.verification.verified_at(mesh.verifying_zones, now=now),
    )
    age = -1 if verified_at == NEVER else int((now - verified_at) * TENTHS_PER_SECOND) + 1
    return Beat(
        sent_milliseconds=int(now * MILLISECONDS_PER_SECOND),
        echo_milliseconds=peer.heartbeat.sent_milliseconds if peer.heartbeat else 0,
        version=mesh.version_in_force,
        available_version=mesh.gate.newest_available.version,
        highest_known_version=state.highest_known_version,
        verification_age_tenths=age,
        digest=state.fact_store.digest,
        silence_timeout_tenths=int(mesh.silence_timeout * TENTHS_PER_SECOND),
    )
