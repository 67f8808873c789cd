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
