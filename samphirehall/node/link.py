"""The link between the control process and the entry of one host.

The link is loopback TCP with msgpack frames. On connect, both ends send the
facts they store, and after that every new one, except to the end it was
received from. The control process also sends the configuration and the
endpoints. When the connection breaks, the entry keeps serving with its last
state and reconnects.
"""

import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import anyio
from anyio.abc import SocketStream

from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import FrameError
from samphirehall.core.frames import FrameStream
from samphirehall.core.types import EndpointInfo
from samphirehall.node.facts import Fact
from samphirehall.node.link_messages import (
    LINK_MESSAGES,
    ConfigurationUpdate,
    EndpointsUpdate,
    FactsUpdate,
    Heartbeat,
    apply_update,
    configuration_update,
)
from samphirehall.node.state import NodeState

RECONNECT_INTERVAL_SECONDS = 0.5
HEARTBEAT_INTERVAL_SECONDS = 1.0
RECEIVE_TIMEOUT_SECONDS = 5.0
SEND_TIMEOUT_SECONDS = 5.0
MAX_FACTS_PER_MESSAGE = 1000
MAX_LINK_FRAME_BYTES = 64 * 1024 * 1024

_log = logging.getLogger(__name__)
StateSender = Callable[[FrameStream, NodeState], Coroutine[Any, Any, None]]


class LinkReport:
    """State that the process at the other end of a link reported.

    Attributes
    ----------
    version : int
        Configuration version in force in that process; 0 before its first heartbeat.
    """

    def __init__(self) -> None:
        self.version = 0


async def serve_link(stream: SocketStream, state: NodeState, report: LinkReport) -> None:
    """Serve one connected entry until it disconnects; runs in the control process."""
    async with stream:
        frames = FrameStream(stream, LINK_MESSAGES, max_bytes=MAX_LINK_FRAME_BYTES)
        await _run_link(frames, state, report, [_send_state])


async def maintain_link(address: str, state: NodeState) -> None:
    """Keep a connection to the control process of this host; runs in the entry."""
    host, _, port = address.rpartition(":")
    async with anyio.create_task_group() as group:
        group.start_soon(_detect_pauses, state)
        while True:
            try:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    frames = FrameStream(stream, LINK_MESSAGES, max_bytes=MAX_LINK_FRAME_BYTES)
                    _log.info("link-up", extra={"address": address})
                    await _run_link(frames, state, LinkReport(), [])
            except OSError:
                pass
            _log.warning(
                "link-down", extra={"address": address, "retry_seconds": RECONNECT_INTERVAL_SECONDS}
            )
            await anyio.sleep(RECONNECT_INTERVAL_SECONDS)


async def _detect_pauses(state: NodeState) -> None:
    while True:
        if state.verification.tick(boot_seconds()):
            _log.warning(
                "paused",
                extra={"reason": "this process was suspended or its event loop was blocked"},
            )
        await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)


async def _run_link(
    frames: FrameStream, state: NodeState, report: LinkReport, state_senders: Iterable[StateSender]
) -> None:
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_send_facts, frames, state)
            group.start_soon(_send_heartbeats, frames, state)
            for state_sender in state_senders:
                group.start_soon(state_sender, frames, state)
            await _receive(frames, state, report)
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


async def _receive(frames: FrameStream, state: NodeState, report: LinkReport) -> None:
    while True:
        with anyio.fail_after(RECEIVE_TIMEOUT_SECONDS):
            message = await frames.receive()
        match message:
            case FactsUpdate(facts):
                for fact in facts:
                    state.fact_store.merge(fact, now=boot_seconds(), source=frames)
            case EndpointsUpdate(endpoints):
                state.replace_endpoints(endpoints)
            case ConfigurationUpdate():
                apply_update(state, message)
            case Heartbeat(version, confirmed_at):
                report.version = version
                state.record_known_version(version)
                if version == state.configuration.version:
                    state.verification.record_confirmation(confirmed_at)


async def _send_heartbeats(frames: FrameStream, state: NodeState) -> None:
    while True:
        heartbeat = Heartbeat(state.configuration.version, state.verification.confirmed_at)
        with anyio.fail_after(SEND_TIMEOUT_SECONDS):
            await frames.send(heartbeat)
        with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
            while state.configuration.version == heartbeat.version:
                await state.wait_for_change()


async def _send_state(frames: FrameStream, state: NodeState) -> None:
    sent_configuration = Configuration(0, {})
    sent_endpoints: dict[str, EndpointInfo] = {}
    while True:
        configuration, endpoints = state.configuration, state.endpoints
        if configuration.version > sent_configuration.version:
            await frames.send(configuration_update(sent_configuration, configuration))
            sent_configuration = configuration
        if endpoints != sent_endpoints:
            await frames.send(EndpointsUpdate(tuple(endpoints.values())))
            sent_endpoints = endpoints
        if configuration is state.configuration and endpoints is state.endpoints:
            await state.wait_for_change()


async def _send_facts(frames: FrameStream, state: NodeState) -> None:
    pending: dict[tuple[int, str, str], Fact] = {}
    arrived = anyio.Event()

    def enqueue(fact: Fact) -> None:
        if fact.kind.is_host_local and fact.owner != state.fact_store.owner:
            return
        pending[fact.identity] = fact
        arrived.set()

    unsubscribe = state.fact_store.subscribe(enqueue, source=frames)
    try:
        for fact in state.fact_store.unexpired_with_remaining_lifetime(now=boot_seconds()):
            if fact.identity not in pending:
                enqueue(fact)
        while True:
            while pending:
                batch = sorted(pending.values(), key=lambda fact: fact.kind)[:MAX_FACTS_PER_MESSAGE]
                for fact in batch:
                    del pending[fact.identity]
                with anyio.fail_after(SEND_TIMEOUT_SECONDS):
                    await frames.send(FactsUpdate(tuple(batch)))
            arrived = anyio.Event()
            await arrived.wait()
    finally:
        unsubscribe()
