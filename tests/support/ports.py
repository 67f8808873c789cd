"""Free addresses on loopback."""

import socket


def free_address() -> str:
    """Return an address of loopback whose port is free now."""
    with socket.socket() as item:
        item.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{item.getsockname()[1]}"
