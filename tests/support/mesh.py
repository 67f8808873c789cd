"""Small meshes on loopback: nodes in one process, with connections that a test can break."""

import contextlib
import itertools
import os
import random

import anyio

from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import HostInfo
from samphirehall.membership.connection import run_connection
from samphirehall.membership.dialing import Dialer
from samphirehall.membership.directory import Directory
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.service import _grant_bulk, _run_maintenance
from samphirehall.membership.transport import listen
from samphirehall.node.facts import FactKind
from samphirehall.node.gate import ConfigurationGate
from samphirehall.node.link_service import EntryLinks
from samphirehall.node.state import NodeState
from samphirehall.settings.tables import MeshTable

KEY = "a key for tests only"
CHECK_INTERVAL_SECONDS = 0.02
LOOPBACK = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.1"
_PORTS = itertools.count(20_000)


async def eventually(condition, seconds=10.0):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(CHECK_INTERVAL_SECONDS)


def next_port() -> int:
    """Return the next port below the ephemeral range, for the loopback address of this process."""
    return next(_PORTS)


def mesh_settings(**changes) -> MeshTable:
    values = {"key": KEY, "heartbeat_seconds": 0.1, "byte_budget_per_second": 1_000_000}
    return MeshTable(**{"acknowledge_seconds": 0.5, **values, **changes})


class Relay:
    """TCP relay in front of a node that can refuse, close or silence connections."""

    def __init__(self, target: int):
        self.port = next_port()
        self.target = target
        self.refuses = False
        self._open = []

    async def run(self):
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK, local_port=self.port)
        await listener.serve(self._serve)

    def cut(self):
        """Close open connections and refuse new ones."""
        self.refuses = True
        for scope in self._open:
            scope.cancel()

    def accept_again(self):
        self.refuses = False

    def silence_open(self):
        """Drop all further data on the connections open now, without closing them."""
        for scope in self._open:
            scope.silent = True

    async def _serve(self, stream):
        async with stream:
            if self.refuses:
                return
            try:
                upstream = await anyio.connect_tcp(LOOPBACK, self.target)
            except OSError:
                return  # the host has stopped; close the connection to its peer
            await self._forward(stream, upstream)

    async def _forward(self, stream, upstream):
        async with upstream:
            if self.refuses:
                return
            with anyio.CancelScope() as scope:
                connection = _RelayedConnection(scope)
                self._open.append(connection)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._pump, stream, upstream, connection)
                    group.start_soon(self._pump, upstream, stream, connection)
            self._open.remove(connection)

    async def _pump(self, source, sink, connection):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for chunk in source:
                if not connection.silent:
                    await sink.send(chunk)
        if not connection.silent:
            connection.cancel()


class _RelayedConnection:
    def __init__(self, scope):
        self._scope = scope
        self.silent = False

    def cancel(self):
        self._scope.cancel()


class _LimitedDialer(Dialer):
    """Dialer that skips the hosts in `unreachable`."""

    unreachable: set[str]

    def targets(self, *, now):
        targets = super().targets(now=now)
        return [info for info in targets if info.host_id not in self.unreachable]


class Node:
    """One host: mesh, dialer and a relay in front of its listener."""

    def __init__(self, host: str, zone: str, settings: MeshTable, *, incarnation: int = 1):
        port = next_port()
        self.relay = Relay(port)
        self.port = port
        self.info = HostInfo(host, zone, f"{LOOPBACK}:{self.relay.port}")
        self.state = NodeState(host, zone, incarnation)
        now = boot_seconds()
        self.gate = ConfigurationGate(self.state, started_at=now)
        self.directory = Directory(self.info, self.state.fact_store)
        self.mesh = Mesh(settings, self.state, self.directory, self.gate, EntryLinks(), now=now)
        self.cancel_scope = anyio.CancelScope()
        self.unreachable: set[str] = set()
        self._settings = settings

    @property
    def host(self):
        return self.info.host_id

    def set_host_list(self, nodes):
        listed = [node.info for node in nodes]
        self.directory.update_list(listed, connected=frozenset(), now=boot_seconds())

    async def run(self):
        async def serve(stream):
            await run_connection(self.mesh, stream, dialled=False)

        dialer = _LimitedDialer(self.mesh, random_source=random.Random(self.host))
        dialer.unreachable = self.unreachable
        with self.cancel_scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.relay.run)
                group.start_soon(listen, f"{LOOPBACK}:{self.port}", self._settings, serve)
                group.start_soon(dialer.run)
                group.start_soon(_grant_bulk, self.mesh)
                group.start_soon(_run_maintenance, self.mesh)

    def withdraw_key(self, digest: str):
        self.state.fact_store.publish(
            FactKind.KEY_WITHDRAWN, digest, None, lifetime=60.0, now=boot_seconds()
        )

    def has_withdrawn_key(self, digest: str) -> bool:
        return self.state.is_withdrawn(digest, now=boot_seconds())


class MeshGroup:
    """Nodes of several zones; each node knows all others at the start."""

    def __init__(self, task_group, zones: dict[str, int], **settings):
        self._task_group = task_group
        self._settings = mesh_settings(**settings)
        self.nodes = [
            Node(f"{zone}-{number}", zone, self._settings)
            for zone, count in zones.items()
            for number in range(count)
        ]

    def __getitem__(self, host: str) -> Node:
        return next(node for node in self.nodes if node.host == host)

    async def start(self):
        for node in self.nodes:
            node.set_host_list(self.nodes)
            self._task_group.start_soon(node.run)
        await eventually(lambda: all(node.mesh.reaches_all() for node in self.nodes))

    def add(self, host: str, zone: str, *, incarnation=1, settings=None, known_hosts=None) -> Node:
        node = Node(host, zone, settings or self._settings, incarnation=incarnation)
        node.set_host_list(self.nodes if known_hosts is None else known_hosts)
        self.nodes.append(node)
        self._task_group.start_soon(node.run)
        return node

    def apply(self, host: str, configuration: Configuration):
        node = self[host]
        node.gate.record_store_answer(now=boot_seconds())
        node.gate.offer(configuration, now=boot_seconds())

    def stop(self):
        for node in self.nodes:
            node.cancel_scope.cancel()
