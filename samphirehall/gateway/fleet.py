"""Endpoints that may take work, and what this host has seen of each."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, replace

from samphirehall.core.log import log_decision
from samphirehall.gateway.cache_model import CacheModel
from samphirehall.gateway.connections import EndpointConnections
from samphirehall.gateway.types import ListedEndpoint, Service, Stage

INITIAL_BACKOFF_SECONDS = 0.5  # first pause after a failure; a crashed process resets at once
MAX_BACKOFF_SECONDS = 4.0  # longest pause; crashed endpoints are back in seconds
MAX_FAILURE_PENALTY_SECONDS = (
    0.5  # added to an estimate for an endpoint that fails all of its requests
)
STAGE_CHANGE_TIMEOUT_SECONDS = (
    6.0  # an ordered engine finishes its work and is away for some seconds
)
FAILURE_RATE_DECAY = 0.8  # weight of earlier outcomes when a new one is seen

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class EndpointState:
    """One incarnation of an endpoint.

    Parameters
    ----------
    listed : ListedEndpoint
        What it says of itself.
    connections : EndpointConnections
        Connections of this host.
    cache : CacheModel or None
        What an engine keeps of prompts.
    """

    listed: ListedEndpoint
    connections: EndpointConnections
    cache: CacheModel | None = None
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    backoff_until: float = 0.0
    unreachable_until: float = 0.0
    changing_since: float = float("-inf")
    leaving_since: float = float("-inf")

    def record_success(self) -> None:
        """Take note of an answer."""
        self.consecutive_failures = 0
        self.failure_rate *= FAILURE_RATE_DECAY
        self.backoff_until = 0.0
        self.unreachable_until = 0.0

    def record_error_answer(self) -> None:
        """Take note of a failure that the endpoint itself answered; it stays in use."""
        self.failure_rate = FAILURE_RATE_DECAY * self.failure_rate + 1 - FAILURE_RATE_DECAY

    def record_failure(self, *, now: float, unreachable: bool = False) -> None:
        """Take note of a failure of the endpoint or of the way to it.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        unreachable : bool
            Whether there was no connection.
        """
        self.consecutive_failures += 1
        self.failure_rate = FAILURE_RATE_DECAY * self.failure_rate + 1 - FAILURE_RATE_DECAY
        backoff = min(
            INITIAL_BACKOFF_SECONDS * 2 ** (self.consecutive_failures - 1), MAX_BACKOFF_SECONDS
        )
        self.backoff_until = now + backoff
        if unreachable:
            self.unreachable_until = self.backoff_until

    def is_changing(self, *, now: float) -> bool:
        """Return whether the engine has been ordered to change and is not back."""
        return now - self.changing_since < STAGE_CHANGE_TIMEOUT_SECONDS

    def failure_penalty(self) -> float:
        """Return the seconds by which failures make this endpoint less attractive."""
        return MAX_FAILURE_PENALTY_SECONDS * self.failure_rate


class Fleet:
    """All endpoints of the list, by id."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._left_identities: set[tuple[str, int, str]] = set()
        self.retired: list[EndpointConnections] = []
        self.lost: list[str] = []

    def __contains__(self, endpoint_id: object) -> bool:
        return endpoint_id in self._states

    def endpoint(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint of the list."""
        return self._states.get(endpoint_id)

    def states(self) -> Iterable[EndpointState]:
        """Return all endpoints of the list."""
        return self._states.values()

    def update(
        self, listed: ListedEndpoint, service: Service | None, *, now: float = float("-inf")
    ) -> None:
        """Add or change an endpoint.

        An incarnation that has said that it leaves is never ready again.
        """
        if not listed.ready:
            self._left_identities.add(listed.identity)
        elif self.has_left(listed.identity):
            listed = replace(listed, ready=False)
        engine_limits = service.engine if service else None
        known = self._states.get(listed.endpoint_id)
        if known is not None and known.listed.identity == listed.identity:
            if known.listed != listed:
                self._log_change("endpoint-changed", listed)
            if known.listed.ready and not listed.ready:
                known.leaving_since = now
            if known.listed.stage is not listed.stage:
                known.changing_since = float("-inf")
            known.listed = listed
            if known.cache is None and engine_limits is not None:
                known.cache = CacheModel(engine_limits.kv_cache_tokens)
            return
        if known is not None:
            self._retire(known)
        cache = CacheModel(engine_limits.kv_cache_tokens) if engine_limits else None
        connections = EndpointConnections(listed.address)
        self._states[listed.endpoint_id] = EndpointState(listed, connections, cache)
        self._log_change("endpoint-listed", listed)

    def mark_leaving(self, endpoint_id: str, *, now: float) -> None:
        """Take a peer's word that an endpoint leaves; it is never ready again."""
        state = self._states.get(endpoint_id)
        if state is not None and state.listed.ready:
            self._left_identities.add(state.listed.identity)
            state.listed = replace(state.listed, ready=False)
            state.leaving_since = now
            self._log_change("endpoint-leaving-heard", state.listed)

    def suspend(self, endpoint_id: str) -> None:
        """Give an endpoint no work until its entry can be read again."""
        state = self._states.get(endpoint_id)
        if state is not None and state.listed.ready:
            state.listed = replace(state.listed, ready=False)
            self._log_change("endpoint-suspended", state.listed)

    def remove(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone from the list."""
        state = self._states.pop(endpoint_id, None)
        if state is None:
            return
        self._left_identities.add(state.listed.identity)
        self._retire(state)
        self._log_change("endpoint-gone", state.listed)

    def _retire(self, state: EndpointState) -> None:
        """Hand connections over for closing; an endpoint that never said it leaves is lost."""
        self.retired.append(state.connections)
        if state.listed.ready:
            self.lost.append(state.listed.endpoint_id)

    def has_left(self, identity: tuple[str, int, str]) -> bool:
        """Return whether an incarnation has said that it leaves, or is gone from the list."""
        return identity in self._left_identities

    def candidates(
        self,
        service: str,
        *,
        now: float,
        excluded: Iterable[str] = (),
        stage: Stage | None = None,
    ) -> list[EndpointState]:
        """Return the endpoints of a service, or of one stage of it, that take new work.

        Those that have just failed are left out as long as there are others. Engines that
        only read and cannot be reached are left out in any case: others can read as well.
        """
        ready = [
            state
            for endpoint_id, state in self._states.items()
            if state.listed.service == service
            and state.listed.ready
            and not state.is_changing(now=now)
            and endpoint_id not in excluded
            and (stage is None or state.listed.stage is stage)
        ]
        preferred = [state for state in ready if state.backoff_until <= now]
        if stage is Stage.PREFILL and not preferred:
            return [state for state in ready if state.unreachable_until <= now]
        return preferred or ready

    def _log_change(self, event: str, listed: ListedEndpoint) -> None:
        log_decision(
            _log,
            event,
            "ready" if listed.ready else "leaving",
            endpoint=listed.endpoint_id,
            address=listed.address,
            service=listed.service,
            zone=listed.zone,
            stage=listed.stage,
            born=listed.started_at_milliseconds,
        )


def choose_plain_endpoint(
    candidates: Iterable[EndpointState],
    open_requests: dict[str, int],
    *,
    zone: str,
    tie_breaker: float,
) -> EndpointState | None:
    """Return the endpoint of a plain service with the fewest requests for its slots.

    Parameters
    ----------
    candidates : iterable of EndpointState
        Endpoints that take new work.
    requests_at : dict
        Requests of all hosts by endpoint id.
    zone : str
        Zone of this host; a nearer endpoint is taken among equals.
    tie : float
        Random number from 0 to 1 that spreads hosts over equal endpoints.
    """
    ordered = sorted(candidates, key=lambda state: state.listed.endpoint_id)
    if not ordered:
        return None
    offset = int(tie_breaker * len(ordered))

    def cost(item: tuple[int, EndpointState]) -> tuple[float, bool, int]:
        index, state = item
        requests = open_requests.get(state.listed.endpoint_id, 0)
        utilization = requests / max(1, state.listed.slots) + state.failure_rate
        return utilization, state.listed.zone != zone, (index + offset) % len(ordered)

    return min(enumerate(ordered), key=cost)[1]
