"""Views of endpoints and engine reports, for placement and for status output."""

from dataclasses import dataclass

from samphirehall.core.types import EndpointInfo, EndpointProtocol, EndpointState, Role
from samphirehall.endpoints.compact_report import decode_report
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState


@dataclass(slots=True, frozen=True)
class EngineView:
    """Holds an engine of the zone and its newest report."""

    info: EndpointInfo
    report: EngineReport

    @property
    def endpoint_id(self) -> str:
        """Name of the endpoint."""
        return self.info.endpoint_id

    @property
    def role(self) -> Role:
        """Role that the engine reports."""
        return self.report.role


def engines_of_zone(state: NodeState) -> list[EndpointInfo]:
    """Return the engines of this host's zone."""
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.zone == state.zone and endpoint.protocol is EndpointProtocol.ENGINE
    ]


@dataclass(slots=True, frozen=True)
class EndpointStatus:
    """Row of ``samphirectl endpoints``; `role`, `running`, `waiting` are None without a report."""

    endpoint_id: str
    zone: str
    protocol: str
    kind: str
    state: str
    role: str | None
    models: list[str]
    running: int | None
    waiting: int | None
    health: str


HEALTHY = "ok"


def endpoint_statuses(state: NodeState, *, now: float) -> list[EndpointStatus]:
    """Return the status of every endpoint as this host knows it."""
    reports = newest_reports(state, now=now)
    down = {fact.key for fact in state.fact_store.current(FactKind.ENDPOINT_DOWN, now=now)}
    leaving = {fact.key for fact in state.fact_store.current(FactKind.ENDPOINT_LEAVING, now=now)}
    return [
        _status(info, reports.get(info.endpoint_id), down=down, leaving=leaving)
        for info in state.endpoints.values()
    ]


def _status(
    info: EndpointInfo, report: EngineReport | None, *, down: set[str], leaving: set[str]
) -> EndpointStatus:
    return EndpointStatus(
        info.endpoint_id,
        info.zone,
        info.protocol,
        info.kind,
        info.state,
        report.role if report else None,
        report.models if report else list(info.models),
        report.load.running if report else None,
        report.load.waiting if report else None,
        _health(info.endpoint_id, report, down=down, leaving=leaving),
    )


def _health(
    endpoint_id: str, report: EngineReport | None, *, down: set[str], leaving: set[str]
) -> str:
    if endpoint_id in down:
        return "down"
    if endpoint_id in leaving:
        return "leaving"
    return "changing" if report is not None and report.changing else HEALTHY


def newest_reports(state: NodeState, *, now: float) -> dict[str, EngineReport]:
    """Return the newest unexpired report of each engine, by endpoint."""
    newest: dict[str, EngineReport] = {}
    for fact in state.fact_store.current(FactKind.ENGINE_REPORT, now=now):
        report = decode_report(fact.key, fact.value)
        if report is None:
            continue
        previous = newest.get(fact.key)
        if previous is None or report.load.measured_at >= previous.load.measured_at:
            newest[fact.key] = report
    return newest


def reported_engines(state: NodeState, *, now: float) -> list[EngineView]:
    """Return the ready engines of the zone that have an unexpired report and are not leaving."""
    newest = newest_reports(state, now=now)
    leaving = {fact.key for fact in state.fact_store.current(FactKind.ENDPOINT_LEAVING, now=now)}
    return [
        EngineView(info, newest[info.endpoint_id])
        for info in engines_of_zone(state)
        if info.state is EndpointState.READY
        and info.endpoint_id in newest
        and info.endpoint_id not in leaving
    ]
