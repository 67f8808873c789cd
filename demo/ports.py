"""TCP ports of loopback for systems that are started side by side on one machine."""

import random
import socket
from collections.abc import Iterator

SERVER_PORTS = range(10_000, 32_000)
BLOCK_PORTS = 100


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that no other process is given meanwhile.

    The ports are below those given out for outgoing connections.
    """
    return [next(_ports) for _ in range(count)]


def _free_ports() -> Iterator[int]:
    """Yield the free ports of one block after the other, each claimed by its first port."""
    claims = []
    for block in _blocks():
        claim = _bound(block[0])
        if claim is None:
            continue
        claims.append(claim)
        for port in block[1:]:
            probe = _bound(port)
            if probe is not None:
                probe.close()
                yield port
    raise OSError(f"no free ports from {SERVER_PORTS[0]} to {SERVER_PORTS[-1]}")


def _blocks() -> list[range]:
    starts = SERVER_PORTS[::BLOCK_PORTS]
    blocks = [range(start, start + BLOCK_PORTS) for start in starts]
    random.SystemRandom().shuffle(blocks)
    return blocks


def _bound(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if the port is taken."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


_ports = _free_ports()
