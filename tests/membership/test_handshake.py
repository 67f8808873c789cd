"""The opening of a connection, against peers that do not follow it."""

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


class Wire:
    """Both ends of one connection; the listening end opens as the code does."""

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
async def wire():
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
            yield Wire(stream, accepted[0])
        group.cancel_scope.cancel()


class TestListener:
    async def test_both_ends_learn_who_is_there(self, wire):
        async with anyio.create_task_group() as group:
            group.start_soon(wire.listen)
            opened = await open_as_dialler(wire.dialler, DIALLER, KEY, fresh=True)
        assert opened.peer == LISTENER
        assert wire.outcome.peer == DIALLER
        assert wire.outcome.fresh

    async def test_proof_without_the_key_is_refused(self, wire):
        async with anyio.create_task_group() as group:
            group.start_soon(wire.listen)
            await wire.dialler.send(HELLO)
            challenge = await wire.dialler.receive()
            await wire.dialler.send(Proof(challenge.proof))
            refused = await wire.dialler.receive()
        assert isinstance(refused, Refused)
        assert refused.code == MESH_KEY.code
        assert wire.outcome.result is MESH_KEY

    async def test_unknown_protocol_is_refused_in_words(self, wire):
        async with anyio.create_task_group() as group:
            group.start_soon(wire.listen)
            with pytest.raises(SamphireError, match="unknown protocol version 99; known: 1"):
                await open_as_dialler(wire.dialler, DIALLER, KEY, fresh=False, protocol=99)
        assert wire.outcome.result is MESH_PROTOCOL

    async def test_nothing_is_heard_before_the_opening(self, wire):
        async with anyio.create_task_group() as group:
            group.start_soon(wire.listen)
            await wire.dialler.send(Beat(1, 0, 9, 9, 9, 0, 0, 30))
        assert isinstance(wire.outcome, FrameError)


class TestDialler:
    async def test_listener_without_the_key_is_refused(self, wire):
        async with anyio.create_task_group() as group:
            group.start_soon(self._answer_falsely, wire)
            with pytest.raises(SamphireError) as refused:
                await open_as_dialler(wire.dialler, DIALLER, KEY, fresh=False)
        assert refused.value.result is MESH_KEY

    async def _answer_falsely(self, wire):
        await wire.listener.receive()
        await wire.listener.send(Challenge(PROTOCOL, "host-a", "zone-1", 1, b"n" * 16, b"p" * 32))
