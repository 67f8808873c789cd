"""Which peers a host dials, and when."""

import logging
import random
import ssl
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import HostInfo
from samphirehall.membership.connection import converse
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.transport import dial

TICK_SECONDS = 0.25
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
OTHER_SIDE_SECONDS = 1.0
SURPLUS_SECONDS = 30.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Attempts:
    """Dialling of one host: whether it is going on, and when it may be tried again."""

    busy: bool = False
    not_before: float = 0.0
    delay: float = FIRST_RETRY_SECONDS


class Dialer:
    """Keeps a host connected to the peers that it ought to have.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    random_source : random.Random
        Spreads retries.
    """

    def __init__(self, mesh: Mesh, *, random_source: random.Random) -> None:
        self._mesh = mesh
        self._random = random_source
        self._attempts: dict[str, _Attempts] = {}
        self._known_since: dict[str, float] = {}

    async def run(self) -> None:
        """Dial until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._dial_due(group, boot_seconds())
                await anyio.sleep(TICK_SECONDS)

    def _dial_due(self, group: TaskGroup, now: float) -> None:
        for info in self.targets(now=now):
            attempts = self._attempts.setdefault(info.host_id, _Attempts())
            if not attempts.busy and attempts.not_before <= now:
                attempts.busy = True
                group.start_soon(self._keep, info, attempts)
        self._close_surplus(now)

    def targets(self, *, now: float) -> list[HostInfo]:
        """Return the hosts that are to be dialled now."""
        mesh = self._mesh
        mates = mesh.directory.in_zone(mesh.state.zone)
        due = [info for info in mates if self._dials(info.host_id, now)]
        for zone in mesh.directory.other_zones:
            due += [mesh.directory.hosts[host] for host in self._delegates(zone, now)]
        return [info for info in due if info.host_id not in mesh.peers]

    def _dials(self, host: str, now: float) -> bool:
        """Return whether this host dials a host of its zone; the other side does if it fails."""
        if self._mesh.state.host < host:
            return True
        since = self._known_since.setdefault(host, now)
        lost = self._mesh.lost.get(host)
        return now - (lost.at if lost else since) > OTHER_SIDE_SECONDS

    def _delegates(self, zone: str, now: float) -> list[str]:
        usable = [
            host
            for host in self._mesh.directory.delegates(zone)
            if host in self._mesh.peers or not self._has_failed(host, now)
        ]
        chosen = usable or self._mesh.directory.delegates(zone)
        return chosen[: self._mesh.settings.delegates]

    def _has_failed(self, host: str, now: float) -> bool:
        attempts = self._attempts.get(host)
        return attempts is not None and not attempts.busy and attempts.not_before > now

    def _close_surplus(self, now: float) -> None:
        """Close connections to other zones that better ones have replaced."""
        for zone in self._mesh.directory.other_zones:
            chosen = self._delegates(zone, now)
            if not all(host in self._mesh.peers for host in chosen):
                continue
            for peer in self._mesh.peers.values():
                own = peer.zone == zone and peer.dialler == self._mesh.state.host
                if own and peer.host not in chosen and now - peer.connected_at > SURPLUS_SECONDS:
                    peer.scope.cancel()

    async def _keep(self, info: HostInfo, attempts: _Attempts) -> None:
        opened = False
        try:
            lost = self._mesh.lost.get(info.host_id)
            stream = await dial(info.mesh_address, self._mesh.settings)
            fresh = lost is not None and lost.silent
            opened = await converse(self._mesh, stream, dialled=True, fresh=fresh)
        except (OSError, TimeoutError, ssl.SSLError, anyio.BrokenResourceError) as error:
            _log.debug("dial-failed", extra={"peer": info.host_id, "reason": repr(error)})
        finally:
            attempts.busy = False
            attempts.delay = self._next_delay(attempts, opened=opened)
            attempts.not_before = boot_seconds() + attempts.delay * self._random.uniform(0.5, 1.0)

    def _next_delay(self, attempts: _Attempts, *, opened: bool) -> float:
        if opened:
            return FIRST_RETRY_SECONDS
        return min(attempts.delay * 2, MAX_RETRY_SECONDS)
