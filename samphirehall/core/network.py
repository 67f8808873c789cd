"""TCP streams for httpcore, on anyio, without a timer for each read.

httpcore's own streams start a timer for each read. These streams start one only
if the request has a timeout, so a caller with its own timeout avoids the cost.
"""

import contextlib
import select
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketStream

MAX_READ_BYTES = 16_384  # parsed in one turn of the event loop by httpcore, which does not yield
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # close sends a reset and discards unsent data
NO_RESET_ON_CLOSE = struct.pack("ii", 0, 0)
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def raw_socket(stream: anyio.abc.ByteStream) -> socket.socket:
    """Return the socket of a stream, to set its options.

    Raises
    ------
    ConnectionResetError
        The peer reset the connection at once, and the event loop has closed the socket.
    """
    try:
        raw: socket.socket | None = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except AttributeError:
        raw = None
    if raw is None:
        raise ConnectionResetError("the connection was reset at once")
    return raw


def is_readable(raw: socket.socket) -> bool:
    """Return whether data or an end of stream has arrived that has not been read."""
    poll = select.poll()
    poll.register(raw, select.POLLIN)
    return bool(poll.poll(0))


class TcpStream(httpcore.AsyncNetworkStream):
    """A TCP connection as a network stream of httpcore.

    Parameters
    ----------
    stream : SocketStream
        The connection; `aclose` closes it.

    Attributes
    ----------
    before_read : callable, optional
        Awaited before each read from the socket, when all received bytes are consumed.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = raw_socket(stream)
        self._buffered_writes: list[bytes] | None = None
        self.before_read: Callable[[], Awaitable[None]] | None = None

    def buffer_writes(self) -> None:
        """Buffer writes until the next read, so that headers and body are sent together."""
        self._buffered_writes = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or ``b""`` at the end of the stream.

        They are at most `max_bytes` and `MAX_READ_BYTES`.
        """
        max_bytes = min(max_bytes, MAX_READ_BYTES)
        if self._buffered_writes is not None:
            buffered, self._buffered_writes = self._buffered_writes, None
            await self.write(b"".join(buffered), timeout)
        if self.before_read is not None:
            await self.before_read()
        try:
            if timeout is None:
                return await self._stream.receive(max_bytes)
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except STREAM_ERRORS as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write the whole buffer, or keep it if writes are being buffered."""
        if not buffer:
            return
        if self._buffered_writes is not None:
            self._buffered_writes.append(buffer)
            return
        try:
            if timeout is None:
                await self._stream.send(buffer)
                return
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except STREAM_ERRORS as error:
            raise httpcore.WriteError(str(error)) from error

    def set_reset_on_close(self, reset: bool) -> None:
        """Set whether `aclose` resets the connection and discards data not yet delivered.

        After an ordinary close the kernel keeps retransmitting: an abandoned request
        could arrive seconds later, when a network failure ends.
        """
        with contextlib.suppress(OSError):  # the stream is already closed
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE if reset else NO_RESET_ON_CLOSE
            )

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable; an idle connection is if the peer closed it."""
        return is_readable(self._socket) if info == "is_readable" else None


class TcpBackend(httpcore.AnyIOBackend):
    """Opens TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> TcpStream:
        """Open a connection.

        Raises
        ------
        httpcore.ConnectError, httpcore.ConnectTimeout
            The connection failed; nothing was written.
        """
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port, local_host=local_address)
            raw = raw_socket(stream)
            for option in socket_options or ():
                raw.setsockopt(*option)
            return TcpStream(stream)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except (OSError, anyio.BrokenResourceError) as error:
            raise httpcore.ConnectError(str(error)) from error
