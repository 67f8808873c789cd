"""What placement knows of a zone: engines with their reports, and demand."""

from dataclasses import dataclass

import msgspec

from samphirehall.core.types import EndpointInfo, EndpointState, Role
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.placement.polling import engines_of_zone


@dataclass(slots=True, frozen=True)
class EngineView:
    """An engine of the zone with its newest report."""

    info: EndpointInfo
    report: EngineReport

    @property
    def endpoint_id(self) -> str:
        """Name of the endpoint."""
        return self.info.endpoint_id

    @property
    def role(self) -> Role:
        """Role in force."""
        return self.report.role


def reported_engines(state: NodeState, *, now: float) -> list[EngineView]:
    """Return the engines of the zone that are ready and have a report that still holds."""
    newest: dict[str, EngineReport] = {}
    for fact in state.board.current(FactKind.ENGINE_REPORT, now=now):
        report = msgspec.convert(fact.value, EngineReport)
        held = newest.get(fact.key)
        if held is None or report.load.measured_at >= held.load.measured_at:
            newest[fact.key] = report
    leaving = {fact.key for fact in state.board.current(FactKind.ENDPOINT_LEAVING, now=now)}
    return [
        EngineView(info, newest[info.endpoint_id])
        for info in engines_of_zone(state)
        if info.state is EndpointState.READY
        and info.endpoint_id in newest
        and info.endpoint_id not in leaving
    ]
