"""Zone reports: one fact per zone with the configuration version in force on each of its hosts."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.log import RejectionLog
from samphirehall.membership.mesh import Mesh
from samphirehall.membership.pacing import choose_zone_reporter
from samphirehall.node.facts import FactKind, FactStore

REPORT_LIFETIME_SECONDS = 90.0
REPORT_REFRESH_INTERVAL_SECONDS = 30.0
SETTLE_SECONDS = 1.0
RETIRED_REPORT_LIFETIME_SECONDS = 10.0
KEY_PREFIX = "zone/"

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "zone-report-unreadable")
_ENCODED_REPORT: Any = tuple[Unsigned, dict[str, Unsigned], list[str], list[str]]


@dataclass(slots=True, frozen=True)
class ZoneReport:
    """Liveness and configuration versions of the hosts of one zone.

    Parameters
    ----------
    version : int
        Configuration version in force on every live host not in `other_versions`.
    other_versions : mapping of str to int
        Hosts with another version in force.
    down : frozenset of str
        Hosts that are not connected to the reporter.
    hosts : frozenset of str
        All hosts of the zone that are not down.
    """

    version: int
    other_versions: Mapping[str, int]
    down: frozenset[str]
    hosts: frozenset[str]

    def host_version(self, host: str) -> int:
        """Return the version in force on a host of the zone; 0 if it is down or unknown."""
        if host in self.down or host not in self.hosts:
            return 0
        return self.other_versions.get(host, self.version)


RETIRED_REPORT = ZoneReport(0, {}, frozenset(), frozenset())


def summarize_zone(versions: Mapping[str, int], down: frozenset[str]) -> ZoneReport:
    """Return the report of a zone from the version on each live host."""
    newest = max(versions.values())
    other_versions = {host: version for host, version in versions.items() if version != newest}
    return ZoneReport(newest, other_versions, down, frozenset(versions))


def encode_report(report: ZoneReport) -> list[Any]:
    """Return the value of the fact that carries a report."""
    return [report.version, dict(report.other_versions), sorted(report.down), sorted(report.hosts)]


def decode_report(value: Any) -> ZoneReport:
    """Return the report of a fact's value.

    Raises
    ------
    DecodingError
        The value is not a report.
    """
    version, others, down, hosts = convert(value, _ENCODED_REPORT)
    return ZoneReport(version, others, frozenset(down), frozenset(hosts))


def current_reports(fact_store: FactStore, *, now: float) -> dict[str, ZoneReport]:
    """Return the current report of each zone that has one."""
    by_zone: dict[str, dict[str, ZoneReport]] = {}
    for fact in fact_store.current(FactKind.CONFIGURATION, now=now):
        if fact.key.startswith(KEY_PREFIX):
            zone = fact.key.removeprefix(KEY_PREFIX)
            try:
                report = decode_report(fact.value)
            except DecodingError as error:
                _rejections.record(fact.owner, error)
                continue
            by_zone.setdefault(zone, {})[fact.owner] = report
    return {zone: choose_report(by_owner) for zone, by_owner in by_zone.items()}


def choose_report(by_owner: Mapping[str, ZoneReport]) -> ZoneReport:
    """Return the valid report if several hosts of one zone have published one.

    Reports of hosts that another report lists as down and retired reports are
    ignored, unless there are no others; of the rest the one of the host that
    `choose_zone_reporter` returns is valid.
    """
    down = {host for report in by_owner.values() for host in report.down}
    usable = [owner for owner, report in by_owner.items() if owner not in down and report.hosts]
    return by_owner[choose_zone_reporter(usable or by_owner)]


class ZoneReporter:
    """Publishes the report of the zone while this host is the zone's reporter.

    Parameters
    ----------
    mesh : Mesh
        Peers of this host.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._published: ZoneReport | None = None
        self._published_at = 0.0
        self._changed_since: float | None = None

    def publish_if_due(self, *, now: float) -> None:
        """Publish the report if it is due; retire it if another host is the reporter."""
        mesh = self._mesh
        live = mesh.live_in_zone(now=now)
        if choose_zone_reporter(live) != mesh.state.host:
            if self._published is not None:
                self._publish(RETIRED_REPORT, lifetime=RETIRED_REPORT_LIFETIME_SECONDS, now=now)
                self._published = None
            return
        report = self._build_report(live)
        if self._is_due(report, now):
            self._publish(report, lifetime=REPORT_LIFETIME_SECONDS, now=now)
            self._published, self._published_at = report, now

    def _publish(self, report: ZoneReport, *, lifetime: float, now: float) -> None:
        self._mesh.state.fact_store.publish(
            FactKind.CONFIGURATION,
            KEY_PREFIX + self._mesh.state.zone,
            encode_report(report),
            lifetime=lifetime,
            now=now,
        )

    def _build_report(self, live: set[str]) -> ZoneReport:
        mesh = self._mesh
        versions = {peer.host: peer.version for peer in mesh.zone_peers() if peer.host in live}
        versions[mesh.state.host] = mesh.version_in_force
        zone_hosts = {info.host_id for info in mesh.directory.in_zone(mesh.state.zone)}
        return summarize_zone(versions, frozenset(zone_hosts - versions.keys()))

    def _is_due(self, report: ZoneReport, now: float) -> bool:
        if report == self._published:
            self._changed_since = None
            return now - self._published_at > REPORT_REFRESH_INTERVAL_SECONDS
        is_version_step = self._published is not None and (
            report.version > self._published.version
            and not report.other_versions
            and report.down == self._published.down
        )
        if is_version_step:
            self._changed_since = None
            return True
        if self._changed_since is None:
            self._changed_since = now
        if now - self._changed_since <= SETTLE_SECONDS:
            return False
        self._changed_since = None
        return True
