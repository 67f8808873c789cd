"""Control service: the link's listener for the entry of this host."""

import anyio

from samphirehall.node.context import ControlContext
from samphirehall.node.link import serve_link


async def run_link(context: ControlContext) -> None:
    """Serve the entry processes of this host until cancelled."""
    host, _, port = context.settings.control.link.rpartition(":")
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    connected = 0

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal connected
        connected += 1
        try:
            await serve_link(stream, context.state)
        finally:
            connected -= 1

    context.report_status("link", lambda: {"entries": connected})
    async with listener:
        await listener.serve(serve)
