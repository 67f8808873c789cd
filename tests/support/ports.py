"""Unused loopback addresses."""

from demo.ports import free_ports


def free_address() -> str:
    """Return a loopback address, HOST:PORT, that no other caller gets."""
    return f"127.0.0.1:{free_ports(1)[0]}"
