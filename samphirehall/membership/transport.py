"""Connections between hosts: TCP, or TLS if the settings name certificates."""

import socket
import ssl
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import ByteStream
from anyio.streams.tls import TLSListener, TLSStream

from samphirehall.core.connections import SOCKET_OPTIONS
from samphirehall.core.network import raw_socket
from samphirehall.settings.tables import MeshTable

DIAL_TIMEOUT_SECONDS = 2.0
ConnectionHandler = Callable[[ByteStream], Awaitable[None]]


def uses_tls(mesh: MeshTable) -> bool:
    """Return whether the settings ask for TLS."""
    return bool(mesh.tls_certificate)


def tls_context(mesh: MeshTable, *, server: bool) -> ssl.SSLContext:
    """Return the TLS context; both ends need a certificate of the configured authority.

    Host names are not checked, because peers authenticate with the mesh key.
    """
    purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
    context = ssl.create_default_context(purpose, cafile=mesh.tls_authority)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(mesh.tls_certificate, mesh.tls_key)
    return context


async def dial(address: str, mesh: MeshTable) -> ByteStream:
    """Return a new connection to a peer.

    Raises
    ------
    OSError, TimeoutError, ssl.SSLError
        The peer cannot be reached, or its certificate was not issued by the authority.
    """
    host, _, port = address.rpartition(":")
    with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
        stream = await anyio.connect_tcp(host.strip("[]"), int(port))
        _set_options(raw_socket(stream))
        if not uses_tls(mesh):
            return stream
        return await TLSStream.wrap(
            stream,
            server_side=False,
            ssl_context=tls_context(mesh, server=False),
            standard_compatible=False,
        )


async def listen(address: str, mesh: MeshTable, handler: ConnectionHandler) -> None:
    """Accept connections of peers until cancelled; run `handler` on each."""
    host, _, port = address.rpartition(":")
    tcp = await anyio.create_tcp_listener(local_host=host.strip("[]"), local_port=int(port))

    async def serve_one(stream: ByteStream) -> None:
        try:
            _set_options(raw_socket(stream))
        except OSError:
            await stream.aclose()
        else:
            await handler(stream)

    async with tcp:
        if uses_tls(mesh):
            context = tls_context(mesh, server=True)
            tls_listener = TLSListener(
                tcp, context, standard_compatible=False, handshake_timeout=DIAL_TIMEOUT_SECONDS
            )
            await tls_listener.serve(serve_one)
        else:
            await tcp.serve(serve_one)


def _set_options(raw: socket.socket) -> None:
    for level, name, value in SOCKET_OPTIONS:
        raw.setsockopt(level, name, value)
