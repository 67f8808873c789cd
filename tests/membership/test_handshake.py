"""Handshake of a connection, with peers that violate it."""

import anyio
import pytest

from samphirehall.core.errors import FrameError, SamphireError
from samphirehall.core.frames import FrameStream
from samphirehall.core.results import MESH_KEY, MESH_PROTOCOL
from samphirehall.membership.handshake import HostIdentity, open_as_dialler, open_as_listener
from samphirehall.membership.messages import (
    OPENING_MESSAGES,
    PROTOCOL,
    Beat,
    Challenge,
    Hello,
    Proof,
    Refused,
)
from tests.support.mesh import KEY, LOOPBACK

pytestmark = pytest.mark.anyio
LISTENER = HostIdentity("host-a", "zone-1", 1)
DIALLER = HostIdentity("host-b", "zone-2", 2)
HELLO = Hello(PROTOCOL, "host-b", "zone-2", 2, b"n" * 16, False)


class ConnectionEnds:
    """Both ends of one connection; `listen` runs the handshake of the listening end."""

    def __init__(self, dialler, listener):
        self.dialler = FrameStream(dialler, (*OPENING_MESSAGES, Beat))
        self.listener = FrameStream(listener, (*OPENING_MESSAGES, Beat))
        self.outcome = None

    async def listen(self):
        try:
            self.outcome = await open_as_listener(self.listener, LISTENER, KEY)
        except (SamphireError, FrameError) as error:
            self.outcome = error


@pytest.fixture
async def ends():
    listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    accepted = []

    async def accept(stream):
        accepted.append(stream)
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, accept)
        async with await anyio.connect_tcp(LOOPBACK, port) as stream:
            while not accepted:
                await anyio.sleep(0.01)
            yield ConnectionEnds(stream, accepted[0])
        group.cancel_scope.cancel()


class TestListener:
    async def test_both_ends_learn_the_peer_identity(self, ends):
        async with anyio.create_task_group() as group:
            group.start_soon(ends.listen)
            opened = await open_as_dialler(ends.dialler, DIALLER, KEY, fresh=True)
        assert opened.peer == LISTENER
        assert ends.outcome.peer == DIALLER
        assert ends.outcome.fresh

    async def test_proof_without_the_key_is_refused(self, ends):
        async with anyio.create_task_group() as group:
            group.start_soon(ends.listen)
            await ends.dialler.send(HELLO)
            challenge = await ends.dialler.receive()
            await ends.dialler.send(Proof(challenge.proof))
            refused = await ends.dialler.receive()
        assert isinstance(refused, Refused)
        assert refused.code == MESH_KEY.code
        assert ends.outcome.result is MESH_KEY

    async def test_unknown_protocol_is_refused_with_a_reason(self, ends):
        async with anyio.create_task_group() as group:
            group.start_soon(ends.listen)
            with pytest.raises(SamphireError, match="unknown protocol version 99; known: 1"):
                await open_as_dialler(ends.dialler, DIALLER, KEY, fresh=False, protocol=99)
        assert ends.outcome.result is MESH_PROTOCOL

    async def test_heartbeat_before_the_handshake_is_rejected(self, ends):
        async with anyio.create_task_group() as group:
            group.start_soon(ends.listen)
            await ends.dialler.send(Beat(1, 0, 9, 9, 9, 0, 0, 30))
        assert isinstance(ends.outcome, FrameError)


class TestDialler:
    async def test_listener_without_the_key_is_refused(self, ends):
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_wrong_proof, ends)
            with pytest.raises(SamphireError) as refused:
                await open_as_dialler(ends.dialler, DIALLER, KEY, fresh=False)
        assert refused.value.result is MESH_KEY

    async def _send_wrong_proof(self, ends):
        await ends.listener.receive()
        await ends.listener.send(Challenge(PROTOCOL, "host-a", "zone-1", 1, b"n" * 16, b"p" * 32))
