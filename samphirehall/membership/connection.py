"""The life of one connection: a task that reads and a task that writes."""

import logging
import ssl

import anyio
from anyio.abc import ByteStream

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import FrameError, SamphireError
from samphirehall.core.frames import FrameStream
from samphirehall.core.log import log_decision
from samphirehall.membership.comparison import answer_held, compare_digests
from samphirehall.membership.configuration import answer_wanted, take_change, want_newer
from samphirehall.membership.endpoint_list import next_endpoints_change, take_endpoints_change
from samphirehall.membership.handshake import Opened, open_as_dialler, open_as_listener
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
from samphirehall.membership.peer import TENTHS, Peer, SilentPeerError
from samphirehall.membership.wire import MILLISECONDS, Outgoing, decode_fact
from samphirehall.node.verification import NEVER

MAX_PEER_FRAME_BYTES = 1024 * 1024
SEND_SECONDS = 4.0
URGENT_BATCH_BYTES = 16 * 1024
BULK_BATCH_BYTES = 1024
CLOSED_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    ssl.SSLError,
)

_log = logging.getLogger(__name__)


async def converse(mesh: Mesh, stream: ByteStream, *, dialled: bool, fresh: bool = False) -> bool:
    """Run one connection until it ends; return whether it was opened.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    stream : ByteStream
        New connection; closed in the end.
    dialled : bool
        Whether this host dialled.
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
        except (*CLOSED_ERRORS, FrameError, TimeoutError) as error:
            _log.info("peer-not-opened", extra={"reason": repr(error)})
            return False
        await _run(mesh, peer)
        return True


async def _open(mesh: Mesh, frames: FrameStream, *, dialled: bool, fresh: bool) -> Peer:
    key = mesh.settings.key
    opened: Opened
    if dialled:
        opened = await open_as_dialler(frames, mesh.identity, key, fresh=fresh)
    else:
        opened = await open_as_listener(frames, mesh.identity, key)
    peer = Peer(
        opened,
        frames,
        patience=mesh.patience,
        acknowledge_seconds=mesh.settings.acknowledge_seconds,
        now=boot_seconds(),
    )
    mesh.admit(peer, opened, now=peer.connected_at)
    return peer


async def _run(mesh: Mesh, peer: Peer) -> None:
    silent = False
    reason = "replaced or stopped"
    log_decision(_log, "peer-up", "opened", peer=peer.host, zone=peer.zone, dialler=peer.dialler)
    try:
        with peer.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(_write, mesh, peer)
                await _read(mesh, peer)
    except* (*CLOSED_ERRORS, FrameError) as closed:
        reason = repr(closed.exceptions[0])
    except* (TimeoutError, SilentPeerError) as timeout:
        silent = True
        reason = repr(timeout.exceptions[0])
    finally:
        mesh.drop(peer, silent=silent, now=boot_seconds())
        log_decision(_log, "peer-down", reason, peer=peer.host, silent=silent)


async def _read(mesh: Mesh, peer: Peer) -> None:
    while True:
        message = await peer.frames.receive()
        now = boot_seconds()
        peer.last_heard = now
        match message:
            case Beat():
                _take_beat(mesh, peer, message, now)
            case Facts(number, relay, lifetimes, payloads):
                for lifetime, payload in zip(lifetimes, payloads, strict=True):
                    mesh.receive(peer, decode_fact(payload, lifetime), relay=relay, now=now)
                peer.note_received(number)
            case Acknowledged(number):
                peer.take_acknowledged(number)
            case Held(fingerprints):
                answer_held(mesh, peer, fingerprints, now=now)
            case Wanted(version):
                answer_wanted(mesh, peer, version)
            case Change():
                take_change(mesh, peer, message, now=now)
            case EndpointsChange():
                take_endpoints_change(mesh, peer, message)
            case _:
                raise FrameError(f"{type(message).__name__} after the opening")


def _take_beat(mesh: Mesh, peer: Peer, beat: Beat, now: float) -> None:
    state = mesh.state
    peer.beat = beat
    peer.patience = beat.patience / TENTHS
    state.hear_version(max(beat.heard, beat.version))
    if beat.echo == 0:
        peer.beat_due = now
        peer.wake()
    elif beat.heard <= state.configuration.version:
        stated_at = beat.echo / MILLISECONDS
        state.verification.contact(peer.zone, stated_at)
        if beat.age >= 0:
            state.verification.confirm(stated_at - beat.age / TENTHS)
        state.verification.confirm(
            state.verification.verified_at(mesh.verifying_zones, now=stated_at)
        )
    asked = {other.host for other in mesh.zone_peers() if other.beat is not None}
    known = {info.host_id for info in mesh.directory.in_zone(state.zone)}
    mesh.gate.peer_answered(all_answered=known <= asked, now=now)
    want_newer(mesh, now=now)
    compare_digests(mesh, peer, now=now)


async def _write(mesh: Mesh, peer: Peer) -> None:
    while True:
        now = boot_seconds()
        peer.check_answers(now)
        message = _next_message(mesh, peer, now)
        if message is None:
            await peer.wait_for_work()
            continue
        with anyio.fail_after(SEND_SECONDS):
            sent = await peer.frames.send(message)
        mesh.budget.spend(sent, now=now)


def _next_message(mesh: Mesh, peer: Peer, now: float) -> object | None:
    acknowledgement = peer.take_acknowledgement()
    if acknowledgement is not None:
        return acknowledgement
    if peer.outbox.has_urgent:
        items = peer.outbox.take_urgent(max_bytes=URGENT_BATCH_BYTES, now=now)
        if items:
            number = peer.number_sent(items, now=now)
            return _facts(items, number=number, relay=not mesh.reaches_all(), now=now)
    if now >= peer.beat_due:
        return _beat(mesh, peer, now)
    if peer.queue:
        return peer.queue.popleft()
    change = next_endpoints_change(mesh, peer)
    if change is not None:
        return change
    if peer.bulk_granted:
        peer.bulk_granted = False
        items = peer.outbox.take_bulk(max_bytes=BULK_BATCH_BYTES, now=now)
        return _facts(items, number=0, relay=False, now=now) if items else None
    return None


def _facts(items: list[Outgoing], *, number: int, relay: bool, now: float) -> Facts:
    lifetimes = tuple(max(1, int((item.until - now) * MILLISECONDS)) for item in items)
    return Facts(number, relay, lifetimes, tuple(item.payload for item in items))


def _beat(mesh: Mesh, peer: Peer, now: float) -> Beat:
    peer.beat_due = now + mesh.beat_interval
    state = mesh.state
    verified_at = max(
        state.verification.confirmed_at,
        state.verification.verified_at(mesh.verifying_zones, now=now),
    )
    age = -1 if verified_at == NEVER else int((now - verified_at) * TENTHS) + 1
    return Beat(
        sent=int(now * MILLISECONDS),
        echo=peer.beat.sent if peer.beat else 0,
        version=mesh.version_in_force,
        held=mesh.gate.held.version,
        heard=state.heard_version,
        age=age,
        digest=state.board.digest,
        patience=int(mesh.patience * TENTHS),
    )
