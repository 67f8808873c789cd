"""UDP socket of a host for datagrams to and from other hosts."""

import logging
import os
import socket
from collections.abc import AsyncIterator, Iterator

import anyio

from samphirehall.core.decoding import Address, parse_address

MAX_DATAGRAM_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 1024 * 1024  # a hub may receive from all members at the same moment

_log = logging.getLogger(__name__)


class DatagramSocket:
    """Sends without waiting and yields what arrives; a datagram that cannot be sent is lost.

    Parameters
    ----------
    address : str
        IP address and port to bind.

    Raises
    ------
    OSError
        The address is invalid or in use.
    """

    def __init__(self, address: str) -> None:
        parsed = parse_address(address)
        if parsed is None:
            raise OSError(f"{address!r} is no IP address and port")
        self._received = 0
        self._longest_batch = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.bind(parsed)
        except OSError:
            self._socket.close()
            raise

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; log a failure."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            reason = os.strerror(error.errno or 0)
            _log.warning("peer-unreachable", extra={"peer": address[0], "reason": reason})

    def take_received(self) -> tuple[int, int]:
        """Return the datagrams received since the last call, and the most taken at one go."""
        counts = self._received, self._longest_batch
        self._received = self._longest_batch = 0
        return counts

    async def receive(self) -> AsyncIterator[bytes]:
        """Yield datagrams as they arrive."""
        while True:
            await anyio.wait_readable(self._socket)
            for batch, data in enumerate(self._pending(), 1):
                self._received += 1
                self._longest_batch = max(self._longest_batch, batch)
                yield data

    def _pending(self) -> Iterator[bytes]:
        while True:
            try:
                yield self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _log.warning("peer-unreachable", extra={"reason": os.strerror(error.errno or 0)})
                return
