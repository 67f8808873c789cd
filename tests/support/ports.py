"""Unused loopback addresses."""

import socket


def free_address() -> str:
    """Return a loopback address, HOST:PORT, whose port is currently unused."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
