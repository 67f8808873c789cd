"""Endpoints as the entry sees them: what the platform lists, corrected by its own calls."""

from collections import Counter
from dataclasses import dataclass, field

from samphirehall.core.types import EndpointInfo, EndpointProtocol, EndpointState
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState

SUSPECT_SECONDS = 2.0


@dataclass(slots=True)
class EndpointView:
    """One endpoint as a candidate.

    Parameters
    ----------
    info : EndpointInfo
        What the platform lists.
    in_flight : int
        Requests of this host on the endpoint.
    report : EngineReport, optional
        What the engine last said about itself.
    """

    info: EndpointInfo
    in_flight: int = 0
    report: EngineReport | None = None


@dataclass(slots=True)
class RoutingRequest:
    """What a routing policy knows of a request.

    Parameters
    ----------
    target : str
        Model, adapter or service.
    zone : str
        Availability zone of the host.
    deadline : float
        Boot clock in seconds.
    block_hashes : list of int
        Hashes of the prompt's blocks, each covering all before it.
    prompt_tokens, output_tokens : int
        Estimates.
    """

    target: str
    zone: str
    deadline: float
    block_hashes: list[int] = field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0


class Fleet:
    """Endpoints of all zones with this host's own calls.

    Parameters
    ----------
    state : NodeState
        What this host knows.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._in_flight: Counter[str] = Counter()
        self._suspect_until: dict[str, float] = {}

    def candidates(
        self,
        target: str,
        protocol: EndpointProtocol,
        *,
        excluded: frozenset[str] | set[str],
        now: float,
    ) -> list[EndpointView]:
        """Return the endpoints that serve `target` and take new work.

        Suspected endpoints are left out unless no other is there.
        """
        leaving = self._named(FactKind.ENDPOINT_LEAVING, now)
        views = [
            self._view(info)
            for info in self._state.endpoints.values()
            if info.protocol is protocol
            and info.state is EndpointState.READY
            and target in info.models
            and info.endpoint_id not in excluded
            and info.endpoint_id not in leaving
        ]
        trusted = [view for view in views if not self.is_suspect(view.info.endpoint_id, now=now)]
        return trusted or views

    def is_suspect(self, endpoint_id: str, *, now: float) -> bool:
        """Return whether a recent call to the endpoint failed."""
        return self._suspect_until.get(endpoint_id, 0.0) > now

    def suspect(self, endpoint_id: str, *, now: float) -> None:
        """Avoid an endpoint for a while."""
        self._suspect_until[endpoint_id] = now + SUSPECT_SECONDS

    def trust(self, endpoint_id: str) -> None:
        """Stop avoiding an endpoint that answered."""
        self._suspect_until.pop(endpoint_id, None)

    def begin(self, endpoint_id: str) -> None:
        """Count a call that is about to be made."""
        self._in_flight[endpoint_id] += 1

    def end(self, endpoint_id: str) -> None:
        """Count a call that is over."""
        self._in_flight[endpoint_id] -= 1

    def in_flight(self, endpoint_id: str) -> int:
        """Return this host's calls in flight on an endpoint."""
        return self._in_flight[endpoint_id]

    def _view(self, info: EndpointInfo) -> EndpointView:
        return EndpointView(info, self._in_flight[info.endpoint_id])

    def _named(self, kind: FactKind, now: float) -> set[str]:
        facts: list[Fact] = self._state.board.current(kind, now=now)
        return {fact.key for fact in facts}
