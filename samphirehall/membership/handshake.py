"""Handshake of a connection: both ends prove that they hold the mesh key.

Each end sends a nonce and receives an HMAC over the opening messages of both
ends and the role of the sender. A proof can therefore be neither reflected nor
replayed on another connection.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

import anyio
import msgpack

from samphirehall.core.decoding import shorten
from samphirehall.core.errors import FrameError, SamphireError
from samphirehall.core.frames import FrameStream
from samphirehall.core.results import MESH_KEY, MESH_PROTOCOL, Result, by_code
from samphirehall.membership.messages import PROTOCOL, Challenge, Hello, Proof, Refused

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 3.0
_DIALLER, _LISTENER = b"dialler", b"listener"


@dataclass(slots=True, frozen=True)
class HostIdentity:
    """Host, zone and incarnation of one end of a connection.

    Parameters
    ----------
    host, zone : str
        Name of the host and its availability zone.
    incarnation : int
        Start of its process, in milliseconds since the epoch.
    """

    host: str
    zone: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class HandshakeResult:
    """Result of a handshake in which the other end proved that it holds the key.

    Parameters
    ----------
    peer : HostIdentity
        Identity of the other end.
    dialler : str
        Host that opened the connection.
    fresh : bool
        Whether it replaces a connection that went silent.
    """

    peer: HostIdentity
    dialler: str
    fresh: bool


async def open_as_dialler(
    frames: FrameStream, local: HostIdentity, key: str, *, fresh: bool, protocol: int = PROTOCOL
) -> HandshakeResult:
    """Open a connection that this host dialled.

    Raises
    ------
    SamphireError
        One end refused the other.
    """
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(protocol, local.host, local.zone, local.incarnation, nonce, fresh)
        await frames.send(hello)
        answer = await frames.receive()
        if isinstance(answer, Refused):
            raise _refusal(answer)
        if not isinstance(answer, Challenge):
            raise FrameError(f"received {type(answer).__name__}, expected Challenge")
        if answer.protocol != protocol:
            raise SamphireError(MESH_PROTOCOL, _unknown_protocol_text(answer.protocol))
        if not hmac.compare_digest(answer.proof, _compute_proof(key, _LISTENER, hello, answer)):
            await _refuse(frames, MESH_KEY, "the answer was not made with this mesh key")
        await frames.send(Proof(_compute_proof(key, _DIALLER, hello, answer)))
    peer = HostIdentity(answer.host, answer.zone, answer.incarnation)
    return HandshakeResult(peer, local.host, fresh)


async def open_as_listener(frames: FrameStream, local: HostIdentity, key: str) -> HandshakeResult:
    """Open a connection that another host dialled.

    Raises
    ------
    SamphireError
        The peer was refused, or refused this host.
    """
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        hello = await frames.receive()
        if not isinstance(hello, Hello):
            raise FrameError(f"received {type(hello).__name__}, expected Hello")
        if hello.protocol != PROTOCOL:
            await _refuse(frames, MESH_PROTOCOL, _unknown_protocol_text(hello.protocol))
        nonce = secrets.token_bytes(NONCE_BYTES)
        challenge_without_proof = Challenge(
            PROTOCOL, local.host, local.zone, local.incarnation, nonce, b""
        )
        proof = _compute_proof(key, _LISTENER, hello, challenge_without_proof)
        challenge = Challenge(PROTOCOL, local.host, local.zone, local.incarnation, nonce, proof)
        await frames.send(challenge)
        answer = await frames.receive()
        if isinstance(answer, Refused):
            raise _refusal(answer)
        if not isinstance(answer, Proof) or not hmac.compare_digest(
            answer.proof, _compute_proof(key, _DIALLER, hello, challenge)
        ):
            await _refuse(frames, MESH_KEY, "the proof was not made with this mesh key")
    peer = HostIdentity(hello.host, hello.zone, hello.incarnation)
    return HandshakeResult(peer, hello.host, hello.fresh)


def _compute_proof(key: str, role: bytes, hello: Hello, challenge: Challenge) -> bytes:
    transcript = msgpack.packb(
        [
            role,
            [hello.protocol, hello.host, hello.zone, hello.incarnation, hello.nonce, hello.fresh],
            [
                challenge.protocol,
                challenge.host,
                challenge.zone,
                challenge.incarnation,
                challenge.nonce,
            ],
        ]
    )
    return hmac.digest(key.encode(), transcript, hashlib.sha256)


def _refusal(answer: Refused) -> Exception:
    """Return the error that a peer stated, or a `FrameError` if it stated an unknown one."""
    try:
        result = by_code(answer.code)
    except ValueError as error:
        return FrameError(shorten(error))
    return SamphireError(result, f"refused by the peer: {shorten(answer.detail)}")


def _unknown_protocol_text(protocol: int) -> str:
    return f"unknown protocol version {protocol}; known: {PROTOCOL}"


async def _refuse(frames: FrameStream, result: Result, detail: str) -> None:
    await frames.send(Refused(result.code, detail))
    raise SamphireError(result, detail)
