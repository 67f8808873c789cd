"""Control service: accepts link connections from the entry processes of this host."""

import anyio

from samphirehall.node.context import ControlContext
from samphirehall.node.link import LinkReport, serve_link


class EntryLinks:
    """Tracks the entries that are connected to this control process."""

    def __init__(self) -> None:
        self._reports: list[LinkReport] = []

    @property
    def connected(self) -> int:
        """Number of connected entries."""
        return len(self._reports)

    def version_in_force(self, local_version: int) -> int:
        """Return the lowest version in force in the control process and the connected entries."""
        return min([local_version, *[report.version for report in self._reports]])

    async def serve(self, stream: anyio.abc.SocketStream, context: ControlContext) -> None:
        """Serve one entry until it disconnects."""
        report = LinkReport()
        self._reports.append(report)
        try:
            await serve_link(stream, context.state, report)
        finally:
            self._reports.remove(report)


async def run_link(context: ControlContext) -> None:
    """Serve the entry processes of this host until cancelled."""
    host, _, port = context.settings.control.link.rpartition(":")
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    links = EntryLinks()
    context.provide(links)
    context.add_status_section("link", lambda: {"entries": links.connected})
    async with listener:
        await listener.serve(lambda stream: links.serve(stream, context))
