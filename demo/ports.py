"""Free TCP ports on loopback for systems that run at the same time on one machine."""

import random
import socket
from collections.abc import Iterator

SERVER_PORTS = range(10_000, 32_000)
PORTS_PER_BLOCK = 100


def free_ports(count: int) -> list[int]:
    """Return free ports that no other process that uses this module gets meanwhile.

    The ports are below the range that the system uses for outgoing connections.
    """
    return [next(_port_iterator) for _ in range(count)]


def _generate_free_ports() -> Iterator[int]:
    """Yield the free ports of one block after another.

    A process claims a block by keeping a socket bound to the first port of the block.
    """
    claims = []
    for block in _shuffled_blocks():
        claim = _bind(block[0])
        if claim is None:
            continue
        claims.append(claim)
        for port in block[1:]:
            probe = _bind(port)
            if probe is not None:
                probe.close()
                yield port
    raise OSError(f"no free ports from {SERVER_PORTS[0]} to {SERVER_PORTS[-1]}")


def _shuffled_blocks() -> list[range]:
    starts = SERVER_PORTS[::PORTS_PER_BLOCK]
    blocks = [range(start, start + PORTS_PER_BLOCK) for start in starts]
    random.SystemRandom().shuffle(blocks)
    return blocks


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if the port is taken."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


_port_iterator = _generate_free_ports()
