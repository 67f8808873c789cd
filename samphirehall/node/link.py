"""The link between the control process and the entry of one host.

Loopback TCP, msgpack frames. The control process sends its whole state on
connect and changes after that; the entry sends facts of its own. When the
link is gone the entry goes on with what it has and dials again.
"""

import logging
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import SocketStream

from samphirehall.configuration.documents import decode_part, encode_part
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import FrameError
from samphirehall.core.frames import FrameStream
from samphirehall.core.types import EndpointInfo
from samphirehall.node.facts import Fact
from samphirehall.node.state import NodeState

REDIAL_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 5.0
SEND_SECONDS = 5.0
QUEUE_LENGTH = 10_000
MAX_LINK_FRAME_BYTES = 64 * 1024 * 1024

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """Parts of a configuration, changed against `base`; all of them if `base` is 0."""

    version: int
    base: int
    parts: dict[str, bytes]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndpointsUpdate:
    """The whole endpoint table."""

    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class FactsUpdate:
    """Facts that are new to the sender."""

    facts: tuple[Fact, ...]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Keeps a quiet link alive."""

    sent_at: float


LINK_MESSAGES = (ConfigurationUpdate, EndpointsUpdate, FactsUpdate, Heartbeat)


def configuration_update(old: Configuration, new: Configuration) -> ConfigurationUpdate:
    """Return the change from one configuration to the next."""
    changed = {
        name: encode_part(part) for name, part in new.parts.items() if old.parts.get(name) != part
    }
    removed = tuple(old.parts.keys() - new.parts.keys())
    return ConfigurationUpdate(new.version, old.version, changed, removed)


def apply_update(state: NodeState, update: ConfigurationUpdate) -> bool:
    """Put the configuration of an update in force; return whether it was newer.

    Raises
    ------
    FrameError
        The change was made from another version; a new connection brings everything.
    """
    parts = {name: decode_part(name, content) for name, content in update.parts.items()}
    if update.base == 0:
        return state.take_configuration(Configuration(update.version, parts))
    if update.base != state.configuration.version:
        held = state.configuration.version
        raise FrameError(f"change from version {update.base}, but version {held} is in force")
    return state.take_configuration(
        state.configuration.changed(update.version, parts, update.removed)
    )


async def serve_link(stream: SocketStream, state: NodeState) -> None:
    """Serve one entry until it disconnects; the control process's end."""
    async with stream:
        frames = FrameStream(stream, LINK_MESSAGES, max_bytes=MAX_LINK_FRAME_BYTES)
        await _run_link(frames, state, [_push_state])


async def follow_link(address: str, state: NodeState) -> None:
    """Stay connected to the control process of this host; the entry's end."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                frames = FrameStream(stream, LINK_MESSAGES, max_bytes=MAX_LINK_FRAME_BYTES)
                _log.info("link-up", extra={"address": address})
                await _run_link(frames, state, [])
        except OSError:
            pass
        _log.warning("link-down", extra={"address": address, "retry_seconds": REDIAL_SECONDS})
        await anyio.sleep(REDIAL_SECONDS)


async def _run_link(frames: FrameStream, state: NodeState, pushers: list[Any]) -> None:
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_push_facts, frames, state)
            group.start_soon(_beat, frames)
            for pusher in pushers:
                group.start_soon(pusher, frames, state)
            await _receive(frames, state)
    except* (
        FrameError,
        anyio.EndOfStream,
        anyio.IncompleteRead,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        TimeoutError,
        OSError,
    ) as group_error:
        _log.info("link-closed", extra={"errors": [repr(e) for e in group_error.exceptions]})


async def _receive(frames: FrameStream, state: NodeState) -> None:
    while True:
        with anyio.fail_after(SILENCE_SECONDS):
            message = await frames.receive()
        match message:
            case FactsUpdate(facts):
                for fact in facts:
                    state.board.merge(fact, now=boot_seconds())
            case EndpointsUpdate(endpoints):
                state.take_endpoints(endpoints)
            case ConfigurationUpdate():
                apply_update(state, message)


async def _beat(frames: FrameStream) -> None:
    while True:
        with anyio.fail_after(SEND_SECONDS):
            await frames.send(Heartbeat(boot_seconds()))
        await anyio.sleep(HEARTBEAT_SECONDS)


async def _push_state(frames: FrameStream, state: NodeState) -> None:
    sent = Configuration(0, {})
    sent_endpoints: dict[str, EndpointInfo] = {}
    while True:
        configuration, endpoints = state.configuration, state.endpoints
        if configuration.version > sent.version:
            await frames.send(configuration_update(sent, configuration))
            sent = configuration
        if endpoints != sent_endpoints:
            await frames.send(EndpointsUpdate(tuple(endpoints.values())))
            sent_endpoints = endpoints
        if configuration is state.configuration and endpoints is state.endpoints:
            await state.wait_changed()


async def _push_facts(frames: FrameStream, state: NodeState) -> None:
    send, receive = anyio.create_memory_object_stream[Fact](QUEUE_LENGTH)

    def enqueue(fact: Fact) -> None:
        try:
            send.send_nowait(fact)
        except anyio.WouldBlock:
            _log.warning("link-overflow", extra={"kind": fact.kind.name})

    stop = state.board.listen(enqueue)
    try:
        async with send, receive:
            facts = tuple(state.board.remaining(now=boot_seconds()))
            await frames.send(FactsUpdate(facts))
            async for fact in receive:
                batch = [fact]
                while receive.statistics().current_buffer_used:
                    batch.append(receive.receive_nowait())
                await frames.send(FactsUpdate(tuple(batch)))
    finally:
        stop()
