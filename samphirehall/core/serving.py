"""Serve an ASGI application with uvicorn on a socket that this module binds."""

import asyncio
import contextlib
import math
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import anyio
import uvicorn

BACKLOG = 4096
START_CHECK_INTERVAL_SECONDS = 0.005
KEEP_ALIVE_TIMEOUT_SECONDS = 75
SHUTDOWN_TIMEOUT_SECONDS = 1.0
TCP_USER_TIMEOUT_MILLISECONDS = 20_000
KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
MAX_KEEPALIVE_PROBES = 3
# Accepted connections inherit these options, which close them if the peer stops responding.
LISTENER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
)


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the process has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers unchanged."""
        yield


def bind(address: str) -> socket.socket:
    """Return a socket that listens on an address (IP address and port)."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    for level, option, value in LISTENER_OPTIONS:
        listener.setsockopt(level, option, value)
    listener.bind((host.strip("[]"), int(port)))
    listener.listen(BACKLOG)
    return listener


@contextlib.asynccontextmanager
async def serving(
    app: Any,
    address: str,
    *,
    backlog: int = BACKLOG,
    protocol: type[asyncio.Protocol] | None = None,
    shutdown_timeout: float = SHUTDOWN_TIMEOUT_SECONDS,
) -> AsyncIterator[None]:
    """Serve `app` at `address` until the context exits.

    Parameters
    ----------
    app : ASGI application
        Application that handles the requests.
    address : str
        IP address and port.
    backlog : int
        Maximum number of connections waiting to be accepted.
    protocol : type, optional
        uvicorn protocol class for the connections, in place of the default.
    shutdown_timeout : float
        Seconds that open requests have to finish after the context exits; rounded up.
    """
    config = uvicorn.Config(
        app,
        http=protocol or "httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=backlog,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
        timeout_graceful_shutdown=math.ceil(shutdown_timeout),
    )
    server = _Server(config)
    with bind(address) as listener:
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve, [listener])
            while not server.started:
                await anyio.sleep(START_CHECK_INTERVAL_SECONDS)
            try:
                yield
            finally:
                server.should_exit = True
