"""State of each known host, for the status and for the response to an apply."""

from dataclasses import dataclass

from samphirehall.core.types import HostInfo, HostState
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.zone_report import ZoneReport, current_reports
from samphirehall.node.in_force import HostsInForce


@dataclass(slots=True, frozen=True)
class HostStatus:
    """Status of one host.

    Parameters
    ----------
    host, zone : str
        Name and availability zone.
    state : str
        ``live``, ``leaving``, ``down`` or ``unknown``.
    heard_seconds_ago : float, optional
        Seconds since this host last received a message from it.
    configuration : int
        Configuration version in force on the host; 0 if it is not known.
    mesh_address, operator_address : str
        IP numbers and ports.
    """

    host: str
    zone: str
    state: str
    heard_seconds_ago: float | None
    configuration: int
    mesh_address: str
    operator_address: str


def host_statuses(mesh: Mesh, *, now: float) -> list[HostStatus]:
    """Return the status of every known host, this one included."""
    local_host = mesh.directory.local_host
    known_hosts = [local_host, *mesh.directory.hosts.values()]
    reports_by_zone = current_reports(mesh.state.fact_store, now=now)
    return sorted(
        (_status(mesh, info, reports_by_zone.get(info.zone), now=now) for info in known_hosts),
        key=lambda status: (status.zone, status.host),
    )


def hosts_in_force(mesh: Mesh, version: int, *, now: float) -> HostsInForce:
    """Return which hosts have a version or a later one in force, and which are not known to."""
    statuses = host_statuses(mesh, now=now)
    return HostsInForce(
        [status.host for status in statuses if status.configuration >= version],
        [status.host for status in statuses if status.configuration < version],
        [status.host for status in statuses if status.state == "down"],
    )


def _status(mesh: Mesh, info: HostInfo, report: ZoneReport | None, *, now: float) -> HostStatus:
    reported_version = report.host_version(info.host_id) if report else 0
    peer = mesh.peers.get(info.host_id)
    lost = mesh.lost_peers.get(info.host_id)
    seconds_since_seen: float | None = None
    if info.host_id == mesh.state.host:
        state, version, seconds_since_seen = "live", mesh.version_in_force, 0.0
    elif peer is not None:
        state, version, seconds_since_seen = (
            "live",
            max(peer.version, reported_version),
            now - peer.last_seen,
        )
    else:
        state = _state_from_report(info.host_id, report)
        version = reported_version
        if lost is not None:
            seconds_since_seen = now - lost.last_seen
    if info.state is HostState.LEAVING:
        state = "leaving"
    rounded_seconds = None if seconds_since_seen is None else round(seconds_since_seen, 1)
    return HostStatus(
        info.host_id,
        info.zone,
        state,
        rounded_seconds,
        version,
        info.mesh_address,
        info.operator_address,
    )


def _state_from_report(host: str, report: ZoneReport | None) -> str:
    if report is not None and host in report.hosts:
        return "live"
    if report is not None and host in report.down:
        return "down"
    return "unknown"
