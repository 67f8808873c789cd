"""Known endpoints, and the recent failures and state that this host has observed."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from samphirehall.core.log import log_decision
from samphirehall.gateway.cache_model import CacheModel
from samphirehall.gateway.connections import EndpointConnections
from samphirehall.gateway.types import ListedEndpoint, Service, Stage
from samphirehall.routing.stream_versions import ListedVersions

INITIAL_BACKOFF_SECONDS = 0.5  # a crashed process resets connections at once
MAX_BACKOFF_SECONDS = 4.0  # crashed endpoints restart within seconds
MAX_BACKOFF_DOUBLINGS = 3  # until the maximum is reached
MAX_FAILURE_PENALTY_SECONDS = 0.5  # for an endpoint that fails every request
STAGE_CHANGE_TIMEOUT_SECONDS = 6.0  # to finish running requests and change the stage
FAILURE_RATE_DECAY = 0.8  # weight of the previous rate when an outcome is recorded

_log = logging.getLogger(__name__)


def _ignore_failure() -> None:
    """Do nothing."""


@dataclass(slots=True)
class EndpointState:
    """State of one incarnation of an endpoint, as seen by this host.

    Parameters
    ----------
    listed : ListedEndpoint
        Registered description of the endpoint.
    connections : EndpointConnections
        Connections of this host to the endpoint.
    cache : CacheModel or None
        Estimated prefix cache of an engine; None for plain endpoints.
    on_failure : callable
        Called when a send to the endpoint has failed or fallen silent.
    """

    listed: ListedEndpoint
    connections: EndpointConnections
    cache: CacheModel | None = None
    on_failure: Callable[[], None] = _ignore_failure
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    backoff_until: float = 0.0
    unreachable_until: float = 0.0
    may_have_restarted: bool = False
    changing_since: float = float("-inf")
    leaving_since: float = float("-inf")
    silent_sends: int = 0
    connection_checks: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether it could not be connected to, and has answered nothing since.

        It counts as lost while this is being found out, after a connection to it broke.
        """
        return self.unreachable_until > 0.0 or self.connection_checks > 0

    def record_success(self) -> None:
        """Record a successful answer; clears the backoff."""
        self.may_have_restarted = False
        self.consecutive_failures = 0
        self.failure_rate *= FAILURE_RATE_DECAY
        self.backoff_until = 0.0
        self.unreachable_until = 0.0

    def record_error_answer(self) -> None:
        """Record an error answer of the endpoint itself, which stays in use."""
        self.failure_rate = FAILURE_RATE_DECAY * self.failure_rate + 1 - FAILURE_RATE_DECAY

    def record_failure(
        self, *, now: float, unreachable: bool = False, disconnected: bool = False
    ) -> None:
        """Record a failure of the endpoint or of the connection to it, and back off.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        unreachable : bool
            Whether no connection could be established.
        disconnected : bool
            Whether a connection broke or was refused, as it is when the endpoint restarts.
        """
        self.on_failure()
        self.may_have_restarted |= disconnected
        self.consecutive_failures += 1
        self.failure_rate = FAILURE_RATE_DECAY * self.failure_rate + 1 - FAILURE_RATE_DECAY
        doublings = min(self.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = min(INITIAL_BACKOFF_SECONDS * 2**doublings, MAX_BACKOFF_SECONDS)
        self.backoff_until = now + backoff
        if unreachable:
            self.unreachable_until = self.backoff_until

    def record_refusal(self) -> None:
        """Record that the endpoint refuses connections, until its backoff ends."""
        self.unreachable_until = self.backoff_until

    def record_silence(self, is_silent: bool) -> None:
        """Record that a send fell silent for too long and goes on, or was heard or ended."""
        self.silent_sends += 1 if is_silent else -1
        if is_silent:
            self.on_failure()

    def is_preferred(self, *, now: float) -> bool:
        """Return whether the endpoint is neither in backoff nor silent to a send."""
        return self.backoff_until <= now and not self.silent_sends

    def is_surely_of(self, software_version: str) -> bool:
        """Return whether the endpoint has a software version, and has not restarted unnoticed."""
        return self.listed.software_version == software_version and not self.may_have_restarted

    def is_changing(self, *, now: float) -> bool:
        """Return whether a stage change was ordered and has not completed or timed out."""
        return now - self.changing_since < STAGE_CHANGE_TIMEOUT_SECONDS

    def failure_penalty(self) -> float:
        """Return the seconds that recent failures add to estimates for this endpoint."""
        return MAX_FAILURE_PENALTY_SECONDS * self.failure_rate


class Fleet:
    """Endpoints of the endpoint list, by id.

    `retired` collects connections to close, and `lost` the ids of endpoints that
    disappeared without announcing that they leave. `versions` holds the listed software versions.
    `on_failure` is called when a send to any of them has failed or fallen silent.
    """

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._left_identities: set[tuple[str, int, str]] = set()
        self.versions = ListedVersions()
        self.retired: list[EndpointConnections] = []
        self.lost: list[str] = []
        self.on_failure: Callable[[], None] = _ignore_failure

    def __contains__(self, endpoint_id: object) -> bool:
        return endpoint_id in self._states

    def endpoint(self, endpoint_id: str) -> EndpointState | None:
        """Return the state of an endpoint, or None if it is not listed."""
        return self._states.get(endpoint_id)

    def states(self) -> Iterable[EndpointState]:
        """Return the states of all listed endpoints."""
        return self._states.values()

    def update(
        self, listed: ListedEndpoint, service: Service | None, *, now: float = float("-inf")
    ) -> None:
        """Add an endpoint or update its description.

        An incarnation that has announced that it leaves never becomes ready again.
        """
        if not listed.ready:
            self._left_identities.add(listed.identity)
        elif self.has_left(listed.identity):
            listed = replace(listed, ready=False)
        engine_limits = service.engine if service else None
        known = self._states.get(listed.endpoint_id)
        self.versions.add(listed.service, listed.software_version)
        if known is not None:
            self.versions.remove(known.listed.service, known.listed.software_version, now=now)
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
        self._states[listed.endpoint_id] = EndpointState(
            listed, connections, cache, on_failure=lambda: self.on_failure()
        )
        self._log_change("endpoint-listed", listed)

    def suspend(self, endpoint_id: str) -> None:
        """Send an endpoint no requests until its entry is readable again."""
        state = self._states.get(endpoint_id)
        if state is not None and state.listed.ready:
            state.listed = replace(state.listed, ready=False)
            self._log_change("endpoint-suspended", state.listed)

    def remove(self, endpoint_id: str, *, now: float = float("-inf")) -> None:
        """Remove an endpoint that is no longer listed.

        It may be listed again: entries also expire while the store is unavailable.
        """
        state = self._states.pop(endpoint_id, None)
        if state is None:
            return
        self.versions.remove(state.listed.service, state.listed.software_version, now=now)
        self._retire(state)
        self._log_change("endpoint-gone", state.listed)

    def _retire(self, state: EndpointState) -> None:
        """Queue connections for closing; an endpoint that did not announce leaving is lost."""
        self.retired.append(state.connections)
        if state.listed.ready:
            self.lost.append(state.listed.endpoint_id)

    def has_left(self, identity: tuple[str, int, str]) -> bool:
        """Return whether an incarnation announced that it leaves."""
        return identity in self._left_identities

    def candidates(
        self,
        service: str,
        *,
        now: float,
        excluded: Iterable[str] = (),
        stage: Stage | None = None,
        software_version: str | None = None,
        only_preferred: bool = False,
    ) -> list[EndpointState]:
        """Return the endpoints of a service that accept new requests.

        With a stage or a software version, only endpoints of these are returned. With a version,
        endpoints that may have restarted since their last answer are excluded: they may be of
        another one before the endpoint list says so.

        Endpoints in backoff or silent to a send are excluded as long as there are others, or always
        if only preferred endpoints are to be returned. Unreachable prefill engines are always
        excluded, because decode engines can prefill as well.
        """
        ready = [
            state
            for endpoint_id, state in self._states.items()
            if state.listed.service == service
            and state.listed.ready
            and not state.is_changing(now=now)
            and endpoint_id not in excluded
            and (stage is None or state.listed.stage is stage)
            and (software_version is None or state.is_surely_of(software_version))
        ]
        preferred = [state for state in ready if state.is_preferred(now=now)]
        if only_preferred:
            return preferred
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
            software_version=listed.software_version,
            born=listed.started_at_milliseconds,
        )


def choose_plain_endpoint(
    candidates: Iterable[EndpointState],
    open_requests: dict[str, int],
    *,
    zone: str,
    tie_breaker: float,
) -> EndpointState | None:
    """Return the endpoint of a plain service with the lowest utilization.

    The utilization is the number of requests per slot, plus the recent failure rate.

    Parameters
    ----------
    candidates : iterable of EndpointState
        Endpoints that accept new requests.
    open_requests : dict
        Requests of all hosts by endpoint id.
    zone : str
        Zone of this host; its endpoints are preferred among equals.
    tie_breaker : float
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
