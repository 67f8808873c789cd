"""Peers that reset connections at once."""

import socket
import struct
import threading
from contextlib import closing, contextmanager

BACKLOG = 300
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(connection):
    """Close a socket with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


@contextmanager
def resetting_listener():
    """Accept and reset every connection; yields the address."""
    with closing(socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)) as listener:
        threading.Thread(target=_reset_everyone, args=[listener], daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def _reset_everyone(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        reset(connection)


@contextmanager
def unread_listener():
    """Listen with a small window and accept nothing; yields the listener.

    What a client sends stays in the client's own buffers, as it does while a network is cut.
    """
    with closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        yield listener


def read_to_the_end(listener):
    """Accept one connection and return the number of bytes that still arrive on it."""
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
