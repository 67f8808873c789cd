"""TCP relays between processes that can reset connections or discard their data."""

import enum
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.from_thread import BlockingPortal, start_blocking_portal

MAX_CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 4096
LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Condition(enum.Enum):
    """What a relay does with a connection.

    `OPEN` forwards, `CUT` resets open and new connections, `SILENT` keeps
    connections open and discards their data; the discarded data is lost, so
    a silent connection is reset when its condition changes again.
    """

    OPEN = enum.auto()
    CUT = enum.auto()
    SILENT = enum.auto()


@dataclass(slots=True)
class _Connection:
    caller: SocketStream
    scope: anyio.CancelScope
    condition: Condition
    head: bytes = b""

    def set_condition(self, condition: Condition) -> None:
        """Change the condition; reset the connection if it is cut or was silent."""
        if condition is Condition.CUT or self.condition is Condition.SILENT:
            self.reset()
        self.condition = condition

    def reset(self) -> None:
        """Close the caller's side of the connection with a TCP reset."""
        raw = self.caller.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
        self.scope.cancel()


@dataclass(slots=True)
class Relay:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target : str
        IP number and port to accept at and to forward to.
    """

    listen: str
    target: str
    condition: Condition = Condition.OPEN
    conditions_by_name: dict[bytes, Condition] = field(default_factory=dict)
    connections: list[_Connection] = field(default_factory=list)

    def set(self, condition: Condition, *, caller: str = "", existing_only: bool = False) -> None:
        """Change the condition of connections; call it on the event loop thread only.

        Parameters
        ----------
        condition : Condition
            What to do from now on.
        caller : str
            Only for connections whose first bytes carry this name; all if empty.
        existing_only : bool
            Only for connections that are open now; new ones work.
        """
        if caller:
            self.conditions_by_name[caller.encode()] = condition
        elif not existing_only:
            self.condition = condition
            self.conditions_by_name.clear()
        for connection in list(self.connections):
            if caller.encode() in connection.head:
                connection.set_condition(condition)

    async def serve(self, group: TaskGroup, *, task_status: TaskStatus[None]) -> None:
        """Accept and forward until cancelled; started once it listens."""
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with listener:
            task_status.started()
            await listener.serve(self._accept, task_group=group)

    async def _accept(self, caller: SocketStream) -> None:
        with anyio.CancelScope() as scope:
            connection = _Connection(caller, scope, self.condition)
            self.connections.append(connection)
            try:
                async with caller:
                    await self._forward(connection)
            except* CONNECTION_ERRORS:
                pass
            finally:
                self.connections.remove(connection)

    async def _forward(self, connection: _Connection) -> None:
        if connection.condition is Condition.CUT:
            connection.reset()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            connection.reset()
            return
        async with target, anyio.create_task_group() as group:
            group.start_soon(self._copy_stream, connection, connection.caller, target)
            await self._copy_stream(connection, target, connection.caller)

    async def _copy_stream(
        self, connection: _Connection, source: SocketStream, sink: SocketStream
    ) -> None:
        try:
            while True:
                chunk = await source.receive(MAX_CHUNK_BYTES)
                if source is connection.caller and len(connection.head) < MAX_HEAD_BYTES:
                    self._record_head(connection, chunk)
                if connection.condition is not Condition.SILENT:
                    await sink.send(chunk)
        except anyio.EndOfStream:
            if connection.condition is not Condition.SILENT:
                await sink.send_eof()
        except CONNECTION_ERRORS:
            connection.reset()

    def _record_head(self, connection: _Connection, chunk: bytes) -> None:
        connection.head += chunk
        for name, condition in self.conditions_by_name.items():
            if name in connection.head and condition is not connection.condition:
                connection.set_condition(condition)


class Relays:
    """Controls all relays of a run, which share one event loop thread; see `running_relays`.

    Parameters
    ----------
    portal : BlockingPortal
        Portal to the event loop that runs the relays.
    group : TaskGroup
        Task group of the relays.
    """

    def __init__(self, portal: BlockingPortal, group: TaskGroup) -> None:
        self._portal = portal
        self._group = group
        self._relays: dict[str, Relay] = {}

    def add(self, name: str, listen: str, target: str) -> None:
        """Relay `listen` to `target` from now on."""
        relay = self._relays[name] = Relay(listen, target)
        self._portal.call(self._group.start, relay.serve, self._group)

    def set(
        self, name: str, condition: Condition, *, caller: str = "", existing_only: bool = False
    ) -> None:
        """Change the condition of a relay; see `Relay.set`."""
        relay = self._relays[name]
        self._portal.call(lambda: relay.set(condition, caller=caller, existing_only=existing_only))

    def open_all(self) -> None:
        """Let every relay forward again."""
        for name in self._relays:
            self.set(name, Condition.OPEN)


@contextmanager
def running_relays() -> Iterator[Relays]:
    """Run relays inside the context; leaving it closes them."""
    with start_blocking_portal() as portal:
        ended, group = portal.start_task(_run_group)
        try:
            yield Relays(portal, group)
        finally:
            portal.call(group.cancel_scope.cancel)
            ended.result()


async def _run_group(*, task_status: TaskStatus[TaskGroup]) -> None:
    async with anyio.create_task_group() as group:
        task_status.started(group)
        await anyio.sleep_forever()
