"""Listeners that reset connections or never accept them."""

import socket
import struct
import threading
from contextlib import closing, contextmanager

BACKLOG = 300
LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(connection):
    """Close a socket with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
    connection.close()


def reset_on_close(writer):
    """Close a connection with a TCP reset."""
    option = (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
    writer.get_extra_info("socket").setsockopt(*option)
    writer.transport.abort()


@contextmanager
def resetting_listener():
    """Accept and reset every connection; yield the address."""
    with closing(socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)) as listener:
        threading.Thread(target=_reset_connections, args=[listener], daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def _reset_connections(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        reset_connection(connection)


@contextmanager
def non_accepting_listener():
    """Listen with a small receive buffer and accept nothing; yield the listener.

    What a client sends stays in the client's send buffer, as it does during a network partition.
    """
    with closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        yield listener


def count_received_bytes(listener):
    """Accept one connection, read it until it ends and return the number of bytes received."""
    connection, _ = listener.accept()
    received = 0
    with closing(connection):
        connection.settimeout(3)
        try:
            while data := connection.recv(65_536):
                received += len(data)
        except ConnectionResetError:
            pass
    return received
