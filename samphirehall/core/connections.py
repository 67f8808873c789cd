"""HTTP connections to one address, kept in a plain idle list.

The bytes are httpcore's; the pool is ours because a connection must carry one
request until its body is read, idle connections have a limit, and the cost of
a request must not grow with the connections that are open.
"""

import math
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpcore

from samphirehall.core.clock import boot_seconds
from samphirehall.core.network import TcpBackend, TcpStream

IDLE_SECONDS = 20.0
MAX_IDLE_CONNECTIONS = 1024
USER_TIMEOUT_MS = 8_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
NOT_WRITTEN_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


@dataclass(slots=True)
class _Connection:
    """A connection and the stream under it."""

    http: httpcore.AsyncHTTP11Connection
    stream: TcpStream


class ConnectionPool:
    """Connections to one address, each used by one request at a time.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_timeout : float
        Seconds to wait for a new connection.
    read_timeout : float
        Seconds of silence after which an answer is given up.
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
        """Whether the next request may go out on a connection used before."""
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
        fresh: bool = False,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield its answer with the body unread.

        Parameters
        ----------
        method, path : str
            Request line.
        headers : mapping of bytes to bytes, optional
            Headers besides ``Host``.
        content : bytes or async iterator of bytes, optional
            Body; an iterator is asked for it after the head has been sent.
        read_timeout : float, optional
            Seconds of silence allowed, in place of the pool's; `math.inf` for a
            request whose silence is watched in another way.
        fresh : bool
            Dial a new connection even if an idle one is there.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            Nothing was written.
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
            headers=self._head(headers, content),
            content=content,
            extensions={"timeout": timeouts},
        )
        connection = await self._dial() if fresh else await self._take()
        connection.stream.reset_on_close(True)
        if content is None or isinstance(content, bytes):
            connection.stream.hold_writes()
        try:
            response = await connection.http.handle_async_request(request)
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            await self._give_back(connection)

    def close_idle(self) -> list[httpcore.AsyncHTTP11Connection]:
        """Empty the idle list and return its connections for closing."""
        connections = [connection.http for _, connection in self._idle]
        self._idle.clear()
        return connections

    async def aclose(self) -> None:
        """Close all idle connections, and each other one once its request is over."""
        self._closed = True
        for connection in self.close_idle():
            await connection.aclose()

    def _head(
        self, headers: Mapping[bytes, bytes] | None, content: object
    ) -> list[tuple[bytes, bytes]]:
        head = [(b"Host", self._host_header), *(headers or {}).items()]
        if isinstance(content, bytes):
            head.append((b"Content-Length", str(len(content)).encode()))
        return head

    async def _dial(self) -> _Connection:
        """Return a new connection; httpcore's lazy one would take a lock for each request."""
        stream = await self._backend.connect_tcp(
            self._host,
            self._origin.port,
            timeout=self._timeouts["connect"],
            socket_options=SOCKET_OPTIONS,
        )
        return _Connection(httpcore.AsyncHTTP11Connection(self._origin, stream), stream)

    async def _take(self) -> _Connection:
        while self._idle:
            idle_since, connection = self._idle.pop()
            fresh = boot_seconds() - idle_since < IDLE_SECONDS
            if fresh and connection.http.is_idle() and not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return await self._dial()

    async def _give_back(self, connection: _Connection) -> None:
        reusable = connection.http.is_idle() and not self._closed
        if connection.http.is_idle():
            connection.stream.reset_on_close(False)
        if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((boot_seconds(), connection))
            return
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()


async def body_after(content: bytes, recheck: Callable[[], None]) -> AsyncIterator[bytes]:
    """Yield a body after a check that may raise; the head has been sent by then.

    Parameters
    ----------
    content : bytes
        The whole body.
    recheck : callable
        Raises unless the body may still go out.
    """
    recheck()
    yield content


async def read_body(response: httpcore.Response, *, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    ValueError
        The body is longer than `max_bytes`.
    """
    chunks: list[bytes] = []
    length = 0
    async for chunk in response.aiter_stream():
        length += len(chunk)
        if length > max_bytes:
            raise ValueError(f"body over {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Return the first header called `name` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None
