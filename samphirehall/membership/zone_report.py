"""One fact a zone that tells all hosts which of its hosts have which configuration in force."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from samphirehall.membership.mesh import Mesh
from samphirehall.membership.pacing import zone_reporter
from samphirehall.node.facts import FactBoard, FactKind

LIFETIME_SECONDS = 90.0
REFRESH_SECONDS = 30.0
SETTLE_SECONDS = 1.0
RETIRED_SECONDS = 10.0
KEY_PREFIX = "zone/"


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """How the hosts of one zone are.

    Parameters
    ----------
    version : int
        Configuration version in force on every host that is not named below.
    others : mapping of str to int
        Hosts with another version in force.
    down : frozenset of str
        Hosts that are not connected to the reporter.
    hosts : frozenset of str
        All hosts of the zone that are not down.
    """

    version: int
    others: Mapping[str, int]
    down: frozenset[str]
    hosts: frozenset[str]

    def version_of(self, host: str) -> int:
        """Return the version in force on a host of the zone; 0 if it is down."""
        if host in self.down or host not in self.hosts:
            return 0
        return self.others.get(host, self.version)


RETIRED = ZoneReport(0, {}, frozenset(), frozenset())


def summarize(versions: Mapping[str, int], down: frozenset[str]) -> ZoneReport:
    """Return the report of a zone from the version on each live host."""
    newest = max(versions.values())
    others = {host: version for host, version in versions.items() if version != newest}
    return ZoneReport(newest, others, down, frozenset(versions))


def encode_report(report: ZoneReport) -> list[Any]:
    """Return the value of the fact that carries a report."""
    return [report.version, dict(report.others), sorted(report.down), sorted(report.hosts)]


def decode_report(value: Any) -> ZoneReport:
    """Return the report of a fact's value.

    Raises
    ------
    ValueError
        The value is not a report.
    """
    try:
        version, others, down, hosts = value
        return ZoneReport(int(version), dict(others), frozenset(down), frozenset(hosts))
    except TypeError as error:
        raise ValueError(f"not a zone report: {error}") from error


def reports(board: FactBoard, *, now: float) -> dict[str, ZoneReport]:
    """Return the report of each zone from which one holds."""
    by_zone: dict[str, dict[str, ZoneReport]] = {}
    for fact in board.current(FactKind.CONFIGURATION, now=now):
        if fact.key.startswith(KEY_PREFIX):
            zone = fact.key.removeprefix(KEY_PREFIX)
            by_zone.setdefault(zone, {})[fact.owner] = decode_report(fact.value)
    return {zone: choose_report(by_owner) for zone, by_owner in by_zone.items()}


def choose_report(by_owner: Mapping[str, ZoneReport]) -> ZoneReport:
    """Return the report that counts while several of one zone hold.

    A reporter that another one reports as down no longer counts, nor one that
    has retired; among the others the one whose turn it is does.
    """
    down = {host for report in by_owner.values() for host in report.down}
    usable = [owner for owner, report in by_owner.items() if owner not in down and report.hosts]
    return by_owner[zone_reporter(usable or by_owner)]


class ZoneReporter:
    """Publishes the report of this host's zone while this host is its reporter.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._published: ZoneReport | None = None
        self._published_at = 0.0
        self._differs_since: float | None = None

    def tick(self, *, now: float) -> None:
        """Publish the report if it is due."""
        mesh = self._mesh
        live = mesh.live_in_zone(now=now)
        if zone_reporter(live) != mesh.state.host:
            if self._published is not None:
                self._publish(RETIRED, lifetime=RETIRED_SECONDS, now=now)
                self._published = None
            return
        report = self._current(live)
        if self._is_due(report, now):
            self._publish(report, lifetime=LIFETIME_SECONDS, now=now)
            self._published, self._published_at = report, now

    def _publish(self, report: ZoneReport, *, lifetime: float, now: float) -> None:
        self._mesh.state.board.publish(
            FactKind.CONFIGURATION,
            KEY_PREFIX + self._mesh.state.zone,
            encode_report(report),
            lifetime=lifetime,
            now=now,
        )

    def _current(self, live: set[str]) -> ZoneReport:
        mesh = self._mesh
        versions = {peer.host: peer.version for peer in mesh.zone_peers() if peer.host in live}
        versions[mesh.state.host] = mesh.version_in_force
        mates = {info.host_id for info in mesh.directory.in_zone(mesh.state.zone)}
        return summarize(versions, frozenset(mates - versions.keys()))

    def _is_due(self, report: ZoneReport, now: float) -> bool:
        if report == self._published:
            self._differs_since = None
            return now - self._published_at > REFRESH_SECONDS
        is_step = self._published is not None and (
            report.version > self._published.version
            and not report.others
            and report.down == self._published.down
        )
        if is_step:
            self._differs_since = None
            return True
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since <= SETTLE_SECONDS:
            return False
        self._differs_since = None
        return True
