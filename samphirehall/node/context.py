"""Context that is passed to the services of a control process, and their registry.

A service is an async function of one `ControlContext` that runs until it is
cancelled. It registers itself by an entry point of the group
``samphirehall.control_service``.
"""

from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any, TypeVar, cast

import anyio
from prometheus_client import CollectorRegistry

from samphirehall.backing import Platform
from samphirehall.configuration.store import Pointer
from samphirehall.core.clock import boot_seconds
from samphirehall.core.registry import Registry
from samphirehall.node.gate import ConfigurationGate
from samphirehall.node.in_force import HostsInForce, ReadHostsInForce
from samphirehall.node.state import NodeState
from samphirehall.settings import ControlSettings

T = TypeVar("T")
ControlService = Callable[["ControlContext"], Coroutine[Any, Any, None]]
CONTROL_SERVICES: Registry[ControlService] = Registry("control_service")


class ControlContext:
    """Settings, platform, state and metrics of one control process.

    `poll_interval` returns the seconds between polls of the platform, or None
    while other hosts poll; `read_hosts_in_force` returns the hosts on which a
    configuration version is in force. Services may replace both. `newest_pointer` is that
    of the newest version that this host has seen in the store or has stored, if any.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    platform : Platform
        Client of the platform.
    state : NodeState
        Configuration, endpoints and facts of this host.
    metrics : CollectorRegistry
        Registry of the process's metrics.
    stack : AsyncExitStack
        Closes resources when the process ends.
    """

    def __init__(
        self,
        settings: ControlSettings,
        platform: Platform,
        state: NodeState,
        metrics: CollectorRegistry,
        stack: AsyncExitStack,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.state = state
        self.metrics = metrics
        self.stack = stack
        self.gate = ConfigurationGate(state, started_at=boot_seconds())
        self.newest_pointer: Pointer | None = None
        self.poll_interval: Callable[[float], float | None] = self._default_poll_interval
        self.read_hosts_in_force: ReadHostsInForce = self._read_local_host_in_force
        self.stopping = anyio.Event()
        self._stop_actions: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._provided: dict[type, Any] = {}
        self._provided_changed = anyio.Event()
        self._status: dict[str, Callable[[], object]] = {}

    def add_stop_action(self, action: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Register an action for a planned stop, such as releasing a lease."""
        self._stop_actions.append(action)

    async def stop(self, timeout: float) -> None:
        """Run the actions registered for a planned stop, for at most `timeout` seconds."""
        self.stopping.set()
        with anyio.move_on_after(timeout):
            async with anyio.create_task_group() as group:
                for action in self._stop_actions:
                    group.start_soon(action)

    def provide(self, instance: object) -> None:
        """Make an object available to other services under its class."""
        self._provided[type(instance)] = instance
        event, self._provided_changed = self._provided_changed, anyio.Event()
        event.set()

    async def obtain(self, instance_type: type[T]) -> T:
        """Wait until another service provides an object of a class, and return it."""
        while instance_type not in self._provided:
            await self._provided_changed.wait()
        return cast(T, self._provided[instance_type])

    def add_status_section(self, section: str, read: Callable[[], object]) -> None:
        """Register `read` as the source of a section of ``samphirectl status``."""
        self._status[section] = read

    def status(self) -> dict[str, object]:
        """Return all registered sections of the status."""
        return {section: read() for section, read in self._status.items()}

    def _default_poll_interval(self, now: float) -> float | None:
        return self.settings.control.poll_seconds

    def _read_local_host_in_force(self, version: int) -> HostsInForce:
        in_force = self.state.configuration.version >= version
        hosts = [self.state.host]
        return HostsInForce(hosts, []) if in_force else HostsInForce([], hosts)
