"""Configurations that hosts hand to each other, for hosts that do not reach the store.

A host that hears of a newer version than its own asks the peer for it. The
document is what the operator stored, so it is checked like one from the store.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import FrameError
from samphirehall.core.frames import FrameStream
from samphirehall.gateway.peers import Peers

LOOK_S = 0.25  # between looks for a newer version; the store's own feed is sooner, if it is heard
CALL_S = 0.5  # an answer within a region takes milliseconds

CALL_ERRORS = (
    OSError,
    TimeoutError,
    FrameError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ConfigurationRequest:
    """Asks for the document in force if its version is above `above`."""

    above: int


@dataclass(slots=True, frozen=True)
class ConfigurationDocument:
    """The operator's document of a version; empty if there is none above."""

    version: int
    content: bytes


_MESSAGES = (ConfigurationRequest, ConfigurationDocument)


class ConfigurationExchange:
    """Serves this host's document to peers and fetches newer ones.

    Parameters
    ----------
    peers : Peers
        Hosts and the versions they have in force.
    take : callable
        Puts a document in force if it is newer; called with its content and source.
    """

    def __init__(self, peers: Peers, take: Callable[[bytes, str], None]) -> None:
        self._peers = peers
        self._take = take
        self._held = ConfigurationDocument(0, b"")

    def keep(self, version: int, content: bytes) -> None:
        """Keep the document in force for peers."""
        self._held = ConfigurationDocument(version, content)

    async def run(self) -> None:
        """Serve and fetch until cancelled."""
        host, _, port = self._peers.address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve)
            while True:
                await anyio.sleep(LOOK_S)
                address = self._peers.with_newer_configuration(now=boot_seconds())
                if address is not None:
                    await self._fetch(address)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                with anyio.fail_after(CALL_S):
                    frames = FrameStream(stream, _MESSAGES)
                    asked = await frames.receive()
                    newer = self._held.version > asked.above
                    await frames.send(self._held if newer else ConfigurationDocument(0, b""))
        except CALL_ERRORS as error:
            _log.warning("peer-call-failed", extra={"reason": repr(error)})

    async def _fetch(self, address: tuple[str, int]) -> None:
        try:
            with anyio.fail_after(CALL_S):
                async with await anyio.connect_tcp(*address) as stream:
                    frames = FrameStream(stream, _MESSAGES)
                    await frames.send(ConfigurationRequest(self._held.version))
                    document = await frames.receive()
        except CALL_ERRORS as error:
            extra = {"peer": f"{address[0]}:{address[1]}", "reason": repr(error)}
            _log.warning("configuration-unfetched", extra=extra)
            return
        if document.content:
            self._take(document.content, f"{address[0]}:{address[1]}")
