"""Choice of the peers that a host dials, and retries."""

import logging
import random
import ssl
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import HostInfo
from samphirehall.membership.connection import run_connection
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.transport import dial

DIAL_INTERVAL_SECONDS = 0.25
INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0
FALLBACK_DIAL_DELAY_SECONDS = 1.0
MIN_SURPLUS_AGE_SECONDS = 30.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _DialState:
    """Whether a host is being dialled or connected, and when it may be dialled again."""

    in_progress: bool = False
    not_before: float = 0.0
    delay: float = INITIAL_RETRY_SECONDS


class Dialer:
    """Keeps a host connected to its zone and to delegates of the other zones.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    random_source : random.Random
        Adds jitter to the retry delays.
    """

    def __init__(self, mesh: Mesh, *, random_source: random.Random) -> None:
        self._mesh = mesh
        self._random = random_source
        self._dial_states: dict[str, _DialState] = {}
        self._known_since: dict[str, float] = {}

    async def run(self) -> None:
        """Dial until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._dial_due(group, boot_seconds())
                await anyio.sleep(DIAL_INTERVAL_SECONDS)

    def _dial_due(self, group: TaskGroup, now: float) -> None:
        for info in self.targets(now=now):
            dial_state = self._dial_states.setdefault(info.host_id, _DialState())
            if not dial_state.in_progress and dial_state.not_before <= now:
                dial_state.in_progress = True
                group.start_soon(self._connect, info, dial_state)
        self._close_surplus(now)

    def targets(self, *, now: float) -> list[HostInfo]:
        """Return the hosts that this host should be connected to and is not."""
        mesh = self._mesh
        zone_hosts = mesh.directory.in_zone(mesh.state.zone)
        due = [info for info in zone_hosts if self._should_dial(info.host_id, now)]
        for zone in mesh.directory.other_zones:
            due += [mesh.directory.hosts[host] for host in self._delegates(zone, now)]
        return [info for info in due if info.host_id not in mesh.peers]

    def _should_dial(self, host: str, now: float) -> bool:
        """Return whether this host dials a host of its zone.

        Of two hosts the one with the smaller name dials; the other one does so
        too after `FALLBACK_DIAL_DELAY_SECONDS` without a connection.
        """
        if self._mesh.state.host < host:
            return True
        since = self._known_since.setdefault(host, now)
        lost = self._mesh.lost_peers.get(host)
        return now - (lost.lost_at if lost else since) > FALLBACK_DIAL_DELAY_SECONDS

    def _delegates(self, zone: str, now: float) -> list[str]:
        usable = [
            host
            for host in self._mesh.directory.delegates(zone)
            if host in self._mesh.peers or not self._has_failed(host, now)
        ]
        chosen = usable or self._mesh.directory.delegates(zone)
        return chosen[: self._mesh.settings.delegates]

    def _has_failed(self, host: str, now: float) -> bool:
        dial_state = self._dial_states.get(host)
        return dial_state is not None and not dial_state.in_progress and dial_state.not_before > now

    def _close_surplus(self, now: float) -> None:
        """Close dialled connections to hosts that are no longer the chosen delegates."""
        for zone in self._mesh.directory.other_zones:
            chosen = self._delegates(zone, now)
            if not all(host in self._mesh.peers for host in chosen):
                continue
            for peer in self._mesh.peers.values():
                is_outgoing = peer.zone == zone and peer.dialler == self._mesh.state.host
                if (
                    is_outgoing
                    and peer.host not in chosen
                    and now - peer.connected_at > MIN_SURPLUS_AGE_SECONDS
                ):
                    peer.cancel_scope.cancel()

    async def _connect(self, info: HostInfo, dial_state: _DialState) -> None:
        opened = False
        try:
            lost = self._mesh.lost_peers.get(info.host_id)
            stream = await dial(info.mesh_address, self._mesh.settings)
            fresh = lost is not None and lost.silent
            opened = await run_connection(self._mesh, stream, dialled=True, fresh=fresh)
        except (OSError, TimeoutError, ssl.SSLError, anyio.BrokenResourceError) as error:
            _log.debug("dial-failed", extra={"peer": info.host_id, "reason": repr(error)})
        finally:
            dial_state.in_progress = False
            dial_state.delay = self._next_delay(dial_state, opened=opened)
            dial_state.not_before = boot_seconds() + dial_state.delay * self._random.uniform(
                0.5, 1.0
            )

    def _next_delay(self, dial_state: _DialState, *, opened: bool) -> float:
        if opened:
            return INITIAL_RETRY_SECONDS
        return min(dial_state.delay * 2, MAX_RETRY_SECONDS)
