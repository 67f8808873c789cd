"""Host state that services share: configuration, endpoints and facts."""

from collections.abc import Callable, Iterable

import anyio

from samphirehall.configuration.version import EMPTY_CONFIGURATION, Configuration
from samphirehall.core.types import EndpointInfo
from samphirehall.node.facts import FactKind, FactStore
from samphirehall.node.verification import Verification


class NodeState:
    """Configuration, endpoints and facts known to one process of a host.

    `zone_hosts` are the live hosts of the availability zone, this one included.

    Parameters
    ----------
    host : str
        This host.
    zone : str
        Availability zone of this host.
    incarnation : int
        Start of the process, in milliseconds since the epoch.
    """

    def __init__(self, host: str, zone: str, incarnation: int) -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.fact_store = FactStore(host, incarnation)
        self.verification = Verification(zone)
        self.zone_hosts: frozenset[str] = frozenset((host,))
        self._configuration = EMPTY_CONFIGURATION
        self._highest_known_version = 0
        self._endpoints: dict[str, EndpointInfo] = {}
        self._changed = anyio.Event()
        self._configuration_listeners: list[Callable[[Configuration], None]] = []

    @property
    def configuration(self) -> Configuration:
        """Configuration in force on this host."""
        return self._configuration

    @property
    def highest_known_version(self) -> int:
        """Highest configuration version known to be in force on any host or in the store."""
        return max(self._highest_known_version, self._configuration.version)

    @property
    def endpoints(self) -> dict[str, EndpointInfo]:
        """Endpoints by identifier; the dict is replaced on a change, never modified in place."""
        return self._endpoints

    def add_configuration_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` with each configuration that comes into force."""
        self._configuration_listeners.append(listener)

    def put_in_force(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if configuration.version <= self._configuration.version:
            return False
        self._configuration = configuration
        for listener in self._configuration_listeners:
            listener(configuration)
        self._notify()
        return True

    def record_known_version(self, version: int) -> bool:
        """Record a version in force elsewhere; return whether a newer one than here is known."""
        if version > self.highest_known_version:
            self._highest_known_version = version
            self._notify()
        return self._configuration.version < self._highest_known_version

    def is_withdrawn(self, digest: str, *, now: float) -> bool:
        """Return whether a customer key was withdrawn ahead of the configuration.

        Parameters
        ----------
        digest : str
            Digest of the customer key.
        now : float
            Boot clock in seconds.
        """
        return self.fact_store.contains(FactKind.KEY_WITHDRAWN, digest, now=now)

    def replace_endpoints(self, endpoints: Iterable[EndpointInfo]) -> bool:
        """Replace the endpoint table; return whether it changed."""
        table = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        if table == self._endpoints:
            return False
        self._endpoints = table
        self._notify()
        return True

    async def wait_for_change(self) -> None:
        """Wait for the next change of configuration, highest known version or endpoints."""
        await self._changed.wait()

    def _notify(self) -> None:
        event, self._changed = self._changed, anyio.Event()
        event.set()
