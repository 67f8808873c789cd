"""Exchange of configuration documents between hosts, for hosts that cannot reach the store.

A host that learns of a newer version on a peer fetches it from that peer. The
document is the one the operator stored, and is validated like one from the store.
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

CHECK_INTERVAL_SECONDS = 0.25  # the change feed of the store is faster while it is available
CALL_TIMEOUT_SECONDS = 0.5  # a response within a region takes milliseconds

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
    """Request for the document in force if its version is above `above`."""

    above: int


@dataclass(slots=True, frozen=True)
class ConfigurationDocument:
    """Configuration document of a version; empty if the peer has none above."""

    version: int
    content: bytes


# Class names and the order of fields go on the wire between hosts.
_MESSAGES = (ConfigurationRequest, ConfigurationDocument)


class ConfigurationExchange:
    """Serves this host's document to peers and fetches newer ones.

    Parameters
    ----------
    peers : Peers
        Hosts and their configuration versions.
    apply : callable
        Applies a document if it is newer; called with its content and its source.
    """

    def __init__(self, peers: Peers, apply: Callable[[bytes, str], None]) -> None:
        self._peers = peers
        self._apply = apply
        self._document = ConfigurationDocument(0, b"")

    def set_document(self, version: int, content: bytes) -> None:
        """Set the document in force, which peers can fetch."""
        self._document = ConfigurationDocument(version, content)

    async def run(self) -> None:
        """Serve and fetch documents until cancelled."""
        host, _, port = self._peers.address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve)
            while True:
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
                address = self._peers.newer_configuration_address(now=boot_seconds())
                if address is not None:
                    await self._fetch(address)

    async def _serve(self, stream: SocketStream) -> None:
        try:
            async with stream:
                with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                    frames = FrameStream(stream, _MESSAGES)
                    request = await frames.receive()
                    is_newer = self._document.version > request.above
                    await frames.send(self._document if is_newer else ConfigurationDocument(0, b""))
        except CALL_ERRORS as error:
            _log.warning("peer-call-failed", extra={"reason": repr(error)})

    async def _fetch(self, address: tuple[str, int]) -> None:
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                async with await anyio.connect_tcp(*address) as stream:
                    frames = FrameStream(stream, _MESSAGES)
                    await frames.send(ConfigurationRequest(self._document.version))
                    document = await frames.receive()
        except CALL_ERRORS as error:
            extra = {"peer": f"{address[0]}:{address[1]}", "reason": repr(error)}
            _log.warning("configuration-unfetched", extra=extra)
            return
        if document.content:
            self._apply(document.content, f"{address[0]}:{address[1]}")
