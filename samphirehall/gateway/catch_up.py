"""Exchange of the configuration and the endpoint list between hosts, on request.

Changes of the endpoint list are sent in datagrams; a host that has missed some, or
learns of a newer configuration, asks the host from which it heard of it. That host may
be too slow for all that ask it. After a failed call, others are asked for a while, and
`CatchUp.late_by` tells for how long no host has delivered. A configuration is the document
that the operator stored, and is validated like one from the store.
"""

import contextlib
import logging
import random
import zlib
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import anyio
import msgspec
from anyio.abc import SocketStream

from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import Address, DecodingError, decode
from samphirehall.core.errors import FrameError
from samphirehall.core.frames import FrameStream
from samphirehall.core.network import is_readable, raw_socket
from samphirehall.gateway.rows import NO_VERSION, RowChange, Rows, StoreVersion, TableReplica

CALL_TIMEOUT_SECONDS = 0.5  # a response within a region takes milliseconds
RETRY_INTERVAL_SECONDS = 0.1  # at most ten calls a second of one host
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # after decompression
COMPRESSION_LEVEL = 1  # an answer goes to each host of a zone at once, on links of a few Mbit/s
# All hosts of a zone may ask at once: answers sent one after the other arrive in time, and the
# datagrams of the hub wait on its link for few of them.
MAX_CONCURRENT_ANSWERS = 4
HOLD_SECONDS = 0.2  # for which a caller that takes its answer slowly keeps others from theirs
SOURCE_BACKOFF_SECONDS = 1.0  # after a failed call, in which other hosts are asked
NEWS_AGE_SECONDS = 2.0  # of what a host has told, unless it tells so again
COUNTS_LOG_INTERVAL_SECONDS = 1.0

CALL_ERRORS = (
    OSError,
    TimeoutError,
    FrameError,
    zlib.error,
    DecodingError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class CatchUpRequest:
    """Request for all that is newer than a configuration version and a position."""

    configuration_version: int
    position: StoreVersion


class ListedRow(msgspec.Struct, array_like=True, frozen=True):
    """Row of the endpoint list, with the version of its latest change."""

    key: str
    version: StoreVersion
    value: bytes


@dataclass(slots=True, frozen=True)
class CatchUpAnswer:
    """What is newer.

    Parameters
    ----------
    configuration : bytes
        Compressed configuration document; empty if there is no newer one.
    position : StoreVersion
        Position of the endpoint list that follows; `NO_VERSION` if it is not newer.
    rows : bytes
        The whole endpoint list as compressed `ListedRow`; empty if there is no newer one.
    """

    configuration: bytes
    position: StoreVersion
    rows: bytes


@dataclass(slots=True)
class AnswerCounts:
    """What a host has answered since the last log line.

    Parameters
    ----------
    calls : int
        Calls received.
    callers_left : int
        Those whose caller had closed the connection before the answer.
    most_open : int
        Most calls open at the same moment.
    longest_wait : float
        Longest time in seconds that a call waited for a place.
    """

    calls: int = 0
    callers_left: int = 0
    most_open: int = 0
    longest_wait: float = 0.0


# Class names and the order of fields go on the wire between hosts.
_MESSAGES = (CatchUpRequest, CatchUpAnswer)
_encode_rows = msgspec.msgpack.Encoder().encode
_rows_decoder = msgspec.msgpack.Decoder(list[ListedRow])


class CatchUp:
    """Answers other hosts, and asks them when this host is behind.

    Parameters
    ----------
    address : str
        IP address and port on which this host answers.
    configuration_version : callable
        Returns the version of the configuration in force.
    endpoints : TableReplica
        The endpoint list.
    apply_configuration : callable
        Applies a document if it is newer; called with its content and its source.

    Attributes
    ----------
    other_hosts : callable
        Returns the addresses of hosts that may have what the host that told of it does not deliver.
    """

    def __init__(
        self,
        address: str,
        configuration_version: Callable[[], int],
        endpoints: TableReplica,
        apply_configuration: Callable[[bytes, str], None],
    ) -> None:
        self._address = address
        self._configuration_version = configuration_version
        self._endpoints = endpoints
        self._apply_configuration = apply_configuration
        self._document = b""
        self._source: Address | None = None
        self._told_version = 0
        self._told_position = NO_VERSION
        self._version_told_at = self._position_told_at = float("-inf")
        self._late_since = float("-inf")
        self._source_failed_at = float("-inf")
        self._random = random.Random()
        self._requested = anyio.Event()
        self.other_hosts: Callable[[], Sequence[Address]] = tuple
        self._answers = anyio.Semaphore(MAX_CONCURRENT_ANSWERS)
        self._open_calls = 0
        self._counts = AnswerCounts()
        self._counts_logged_at = float("-inf")

    def set_document(self, content: bytes) -> None:
        """Set the document in force, which other hosts can fetch."""
        self._document = zlib.compress(content, COMPRESSION_LEVEL)

    def request(
        self, address: Address, *, version: int = 0, position: StoreVersion = NO_VERSION, now: float
    ) -> None:
        """Ask a host soon; called again while this host is behind it.

        Parameters
        ----------
        address : tuple of str and int
            Address of the host.
        version : int
            Version of the configuration that the host has in force.
        position : StoreVersion
            Position of its endpoint list, if changes up to it are missing here.
        now : float
            Boot clock in seconds.
        """
        if not self._is_behind(now):
            self._late_since = now
        if address != self._source:
            self._source, self._source_failed_at = address, float("-inf")
        if version:
            self._told_version, self._version_told_at = version, now
        if position > NO_VERSION:
            self._told_position, self._position_told_at = position, now
        self._requested.set()

    def late_by(self, *, now: float) -> float:
        """Return the seconds for which other hosts have had something newer; 0 if none has."""
        return now - self._late_since if self._is_behind(now) else 0.0

    def _is_behind(self, now: float) -> bool:
        """Return whether a host has told lately of something that this host still lacks."""
        lacks_version = self._configuration_version() < self._told_version
        lacks_list = (
            not self._endpoints.has_snapshot or self._endpoints.position < self._told_position
        )
        return (lacks_version and now - self._version_told_at < NEWS_AGE_SECONDS) or (
            lacks_list and now - self._position_told_at < NEWS_AGE_SECONDS
        )

    def _next_source(self, now: float) -> Address:
        """Return the host that told of the newest state, or another one after a failed call."""
        assert self._source is not None
        if now - self._source_failed_at >= SOURCE_BACKOFF_SECONDS:
            return self._source
        others = [address for address in self.other_hosts() if address != self._source]
        return self._random.choice(others) if others else self._source

    async def run(self) -> None:
        """Answer and ask until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve)
            while True:
                await self._requested.wait()
                self._requested = anyio.Event()
                while self._is_behind(boot_seconds()):
                    await self._fetch(self._next_source(boot_seconds()))
                    await anyio.sleep(RETRY_INTERVAL_SECONDS)

    async def _serve(self, stream: SocketStream) -> None:
        self._open_calls += 1
        try:
            async with stream:
                with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                    await self._serve_call(stream)
        except CALL_ERRORS as error:
            _log.warning("peer-call-failed", extra={"reason": repr(error)})
        finally:
            self._open_calls -= 1
            self._log_counts(now=boot_seconds())

    async def _serve_call(self, stream: SocketStream) -> None:
        frames = FrameStream(stream, _MESSAGES)
        request = await frames.receive()
        if not isinstance(request, CatchUpRequest):
            raise FrameError(f"{type(request).__name__} is no request")
        self._counts.calls += 1
        self._counts.most_open = max(self._counts.most_open, self._open_calls)
        waits_since = boot_seconds()
        async with self._answers:
            waited = boot_seconds() - waits_since
            self._counts.longest_wait = max(self._counts.longest_wait, waited)
            if is_readable(raw_socket(stream)):
                self._counts.callers_left += 1
                return
            with anyio.move_on_after(HOLD_SECONDS), contextlib.suppress(anyio.EndOfStream):
                await frames.send(self._answer(request))
                await stream.receive()  # the peer closes once it has the answer

    def _log_counts(self, *, now: float) -> None:
        if now - self._counts_logged_at < COUNTS_LOG_INTERVAL_SECONDS:
            return
        self._counts_logged_at = now
        counts, self._counts = self._counts, AnswerCounts()
        extra = {**asdict(counts), "longest_wait": round(counts.longest_wait, 4)}
        _log.info("catch-up-answers", extra=extra)

    def _answer(self, request: CatchUpRequest) -> CatchUpAnswer:
        is_newer = self._configuration_version() > request.configuration_version
        document = self._document if is_newer else b""
        if not self._endpoints.has_snapshot or self._endpoints.position <= request.position:
            return CatchUpAnswer(document, NO_VERSION, b"")
        snapshot = self._endpoints.snapshot()
        rows = [
            ListedRow(row.key, row.version, row.value)
            for row in snapshot.rows
            if row.value is not None
        ]
        packed = zlib.compress(_encode_rows(rows), COMPRESSION_LEVEL)
        return CatchUpAnswer(document, snapshot.version, packed)

    async def _fetch(self, address: tuple[str, int]) -> None:
        source = f"{address[0]}:{address[1]}"
        try:
            answer = await self._call(address)
            document = _decompress(answer.configuration) if answer.configuration else b""
            listed = decode(_decompress(answer.rows), _rows_decoder) if answer.rows else []
        except CALL_ERRORS as error:
            _log.warning("catch-up-failed", extra={"peer": source, "reason": repr(error)})
            if address == self._source:
                self._source_failed_at = boot_seconds()
            return
        sizes = {"document_bytes": len(answer.configuration), "row_bytes": len(answer.rows)}
        _log.info("caught-up", extra={"peer": source, "rows": len(listed), **sizes})
        if document:
            self._apply_configuration(document, source)
        if answer.position > NO_VERSION:
            rows = [RowChange(row.key, row.version, row.value) for row in listed]
            self._endpoints.apply_snapshot(Rows(rows, answer.position), now=boot_seconds())

    async def _call(self, address: tuple[str, int]) -> CatchUpAnswer:
        position = self._endpoints.position if self._endpoints.has_snapshot else NO_VERSION
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            async with await anyio.connect_tcp(*address) as stream:
                frames = FrameStream(stream, _MESSAGES)
                await frames.send(CatchUpRequest(self._configuration_version(), position))
                answer = await frames.receive()
        if not isinstance(answer, CatchUpAnswer):
            raise FrameError(f"{type(answer).__name__} is no answer")
        return answer


def _decompress(content: bytes) -> bytes:
    """Decompress a document.

    Raises
    ------
    FrameError
        The document is longer than `MAX_DOCUMENT_BYTES` or cut off.
    zlib.error
        It is not compressed.
    """
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(content, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise FrameError(f"document over {MAX_DOCUMENT_BYTES} bytes, or cut off")
    return document
