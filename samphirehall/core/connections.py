"""HTTP/1.1 connection pool for one address.

httpcore implements the protocol. Its own pool is not used: here a connection
serves one request until the response body is read, the number of idle
connections is limited, and the cost of a request does not grow with the number
of open connections.
"""

import math
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpcore
import xxhash

from samphirehall.core.clock import boot_seconds
from samphirehall.core.network import TcpBackend, TcpStream
from samphirehall.core.turns import Turn

MAX_IDLE_SECONDS = 20.0
MAX_IDLE_CONNECTIONS = 1024
TCP_USER_TIMEOUT_MILLISECONDS = 8_000
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
MAX_KEEPALIVE_PROBES = 3
MAX_REQUESTS_PER_CONNECTION = 1024  # bounds the ids that a connection remembers
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
)
MAX_STATUS = 599  # h11 accepts higher ones in a response, uvicorn cannot send them
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
NOT_WRITTEN_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


class CarriedIds:
    """Ids of the requests that a connection has carried, as hashes.

    A late or repeated response to a request matches another request with the same id, so a
    connection is not used for an id that it has carried.
    """

    def __init__(self) -> None:
        self._hashes: set[int] = set()

    def __contains__(self, request_id: str) -> bool:
        return xxhash.xxh3_64_intdigest(request_id.encode()) in self._hashes

    @property
    def is_full(self) -> bool:
        """Whether the connection has carried as many ids as are remembered."""
        return len(self._hashes) >= MAX_REQUESTS_PER_CONNECTION

    def add(self, request_id: str) -> None:
        """Add the id of a request that is about to be sent."""
        self._hashes.add(xxhash.xxh3_64_intdigest(request_id.encode()))


@dataclass(slots=True)
class _Connection:
    """An HTTP connection, the TCP stream that carries it, and the ids of its requests."""

    http: httpcore.AsyncHTTP11Connection
    stream: TcpStream
    carried: CarriedIds = field(default_factory=CarriedIds)


class ConnectionPool:
    """Pool of connections to one address, each used by one request at a time.

    Parameters
    ----------
    address : str
        IP address and port.
    connect_timeout : float
        Seconds to wait for a new connection to be established.
    read_timeout : float
        Seconds without received data after which a request fails; also the timeout
        of each write.
    """

    def __init__(
        self, address: str, *, connect_timeout: float = 1.0, read_timeout: float = 30.0
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host.strip("[]")
        self._origin = httpcore.Origin(b"http", self._host.encode(), int(port))
        self._timeouts: dict[str, float | None] = {
            "connect": connect_timeout,
            "read": read_timeout,
            "write": read_timeout,
        }
        self._idle: deque[tuple[float, _Connection]] = deque()
        self._backend = TcpBackend()
        self._host_header = address.encode()
        self._closed = False

    @property
    def has_idle(self) -> bool:
        """Whether the next request may reuse an idle connection."""
        return bool(self._idle)

    @asynccontextmanager
    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[bytes, bytes] | None = None,
        content: bytes | AsyncIterator[bytes] | None = None,
        read_timeout: float | None = None,
        new_connection: bool = False,
        request_id: str | None = None,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield its response before the body is read.

        Parameters
        ----------
        method, path : str
            Method and target of the request line.
        headers : mapping of bytes to bytes, optional
            Headers besides ``Host``.
        content : bytes or async iterator of bytes, optional
            Body; an iterator is consumed after the request headers have been sent.
        read_timeout : float, optional
            Replaces the pool's read and write timeouts, in seconds; `math.inf`
            disables both, for a request whose timeout is enforced elsewhere.
        new_connection : bool
            Open a new connection even if an idle one is available.
        request_id : str, optional
            Id by which the caller matches the response; a connection that has carried it is not
            used.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            No connection was established; nothing was written.
        httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError
            The request may have been written.
        """
        timeouts: dict[str, float | None] = self._timeouts
        if read_timeout is not None:
            limit = None if read_timeout == math.inf else read_timeout
            timeouts = {**timeouts, "read": limit, "write": limit}
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=self._origin.scheme,
                host=self._origin.host,
                port=self._origin.port,
                target=path.encode(),
            ),
            headers=self._request_headers(headers, content),
            content=content,
            extensions={"timeout": timeouts},
        )
        connection = await self._dial() if new_connection else await self._acquire(request_id)
        if request_id is not None:
            connection.carried.add(request_id)
        connection.stream.set_reset_on_close(True)
        if content is None or isinstance(content, bytes):
            connection.stream.buffer_writes()
        try:
            response = await connection.http.handle_async_request(request)
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            await self._release(connection)

    def remove_idle(self) -> list[httpcore.AsyncHTTP11Connection]:
        """Remove the idle connections from the pool and return them; the caller closes them."""
        connections = [connection.http for _, connection in self._idle]
        self._idle.clear()
        return connections

    async def aclose(self) -> None:
        """Close idle connections now and each connection in use when its request ends."""
        self._closed = True
        for connection in self.remove_idle():
            await connection.aclose()

    def _request_headers(
        self, headers: Mapping[bytes, bytes] | None, content: object
    ) -> list[tuple[bytes, bytes]]:
        request_headers = [(b"Host", self._host_header), *(headers or {}).items()]
        if isinstance(content, bytes):
            request_headers.append((b"Content-Length", str(len(content)).encode()))
        return request_headers

    async def _dial(self) -> _Connection:
        """Open a connection; one that httpcore opens itself acquires a lock for each request."""
        stream = await self._backend.connect_tcp(
            self._host,
            self._origin.port,
            timeout=self._timeouts["connect"],
            socket_options=SOCKET_OPTIONS,
        )
        return _Connection(httpcore.AsyncHTTP11Connection(self._origin, stream), stream)

    async def _acquire(self, request_id: str | None) -> _Connection:
        carriers: list[tuple[float, _Connection]] = []
        try:
            while self._idle:
                idle_since, connection = self._idle.pop()
                recent = boot_seconds() - idle_since < MAX_IDLE_SECONDS
                if not (recent and connection.http.is_idle()) or connection.http.has_expired():
                    await connection.http.aclose()
                elif request_id is not None and request_id in connection.carried:
                    carriers.append((idle_since, connection))
                else:
                    return connection
        finally:
            self._idle.extend(reversed(carriers))
        return await self._dial()

    async def _release(self, connection: _Connection) -> None:
        reusable = connection.http.is_idle() and not self._closed and not connection.carried.is_full
        if connection.http.is_idle():
            connection.stream.set_reset_on_close(False)
        if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((boot_seconds(), connection))
            return
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()


async def body_after_check(content: bytes, recheck: Callable[[], None]) -> AsyncIterator[bytes]:
    """Yield a request body after a check that runs once the headers have been sent.

    Parameters
    ----------
    content : bytes
        The complete body.
    recheck : callable
        Raises if the body must no longer be sent.
    """
    recheck()
    yield content


async def read_body(response: httpcore.Response, *, max_bytes: int) -> bytes:
    """Read and return the whole body of a response.

    Raises
    ------
    ValueError
        The body is longer than `max_bytes`.
    """
    body = bytearray()
    turn = Turn()
    async for chunk in response.aiter_stream():
        await turn.step()
        body += chunk
        if len(body) > max_bytes:
            raise ValueError(f"response body is longer than {max_bytes} bytes")
    return bytes(body)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Return the value of the first header `name` (given in lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def holds_control_character(value: bytes) -> bool:
    """Return whether a header value holds a control character.

    h11 accepts one in a response; uvicorn then sends no response at all.
    """
    return _CONTROL_CHARACTER.search(value) is not None
