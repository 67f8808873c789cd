"""Inputs of a routing decision: the state of an endpoint and the request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from samphirehall.core.types import EndpointInfo, EndpointState, Priority, Role
from samphirehall.endpoints.protocol import EngineReport

INITIAL_FAILURE_PENALTY_SECONDS = 1.0
MAX_FAILURE_PENALTY_SECONDS = 30.0
SLOWNESS_HALF_LIFE_SECONDS = 10.0
SLOWNESS_SMOOTHING_FRACTION = 0.3
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
INITIAL_CONCURRENCY = 32.0
NEVER = float("-inf")
SERVING_STATES = frozenset((EndpointState.STARTING, EndpointState.READY, EndpointState.CHANGING))


@dataclass(slots=True, eq=False)
class EndpointView:
    """State of one endpoint as this host knows it.

    There is one object per endpoint, which is updated in place.

    Parameters
    ----------
    info : EndpointInfo
        Entry of the endpoint table, as the platform lists it.
    in_flight : int
        This host's requests on the endpoint.
    report : EngineReport, optional
        Last report received from the engine.
    reported_at : float
        Time the report was received, on the boot clock in seconds.
    reported_pending_tokens, reported_sequences : int
        Prompt tokens not yet prefilled, and running and waiting sequences, in that report.
    local_pending_tokens : int
        Uncached prompt tokens of this host's requests that have no first token yet.
    local_pending_since_report : int
        Part of `local_pending_tokens` that was sent after the report.
    local_started_since_report : int
        This host's requests that began since the report, less those that ended.
    leaving_until : float
        Boot clock in seconds until which the endpoint accepts no new requests.
    down_until : float
        Boot clock in seconds until which another host reports it down.
    consecutive_failures : int
        Calls that failed since the last one that succeeded.
    penalty_until : float
        Boot clock in seconds until which the endpoint is avoided after a failure.
    concurrency_limit : float
        Limit of concurrent requests of all hosts together.
    local_in_flight_at_report : int
        This host's requests on the endpoint when the report was received.
    slowness : float
        Average ratio of the measured to the estimated time to the first token.
    slowness_updated_at : float
        Boot clock in seconds when `slowness` was last updated.
    """

    info: EndpointInfo
    in_flight: int = 0
    report: EngineReport | None = None
    reported_at: float = NEVER
    reported_pending_tokens: int = 0
    reported_sequences: int = 0
    local_pending_tokens: int = 0
    local_pending_since_report: int = 0
    local_started_since_report: int = 0
    leaving_until: float = NEVER
    down_until: float = NEVER
    consecutive_failures: int = 0
    penalty_until: float = NEVER
    concurrency_limit: float = INITIAL_CONCURRENCY
    local_in_flight_at_report: int = 0
    slowness: float = 1.0
    slowness_updated_at: float = 0.0

    @property
    def role(self) -> Role:
        """Role that the engine last reported, or else the listed one."""
        return self.info.role if self.report is None else self.report.role

    def accepts_requests(self, now: float) -> bool:
        """Return whether the endpoint accepts new requests."""
        if self.info.state is not EndpointState.READY or self.leaving_until > now:
            return False
        return self.report is None or not (self.report.leaving or self.report.changing)

    def may_serve_later(self, now: float) -> bool:
        """Return whether the endpoint accepts new requests, or may do so without a restart."""
        if self.info.state not in SERVING_STATES or self.leaving_until > now:
            return False
        return self.report is None or not self.report.leaving

    def can_continue(self, software_version: str) -> bool:
        """Return whether an answer that began at a version may go on here.

        An endpoint whose version is not listed names it when it answers.
        """
        return self.info.software_version in (software_version, "")

    def is_penalized(self, now: float) -> bool:
        """Return whether the endpoint is avoided because of failures.

        After the penalty has passed, the endpoint is avoided as long as a
        request is in flight, so that a single request probes it.
        """
        if self.penalty_until > now or self.down_until > now:
            return True
        return self.consecutive_failures > 0 and self.in_flight > 0

    def next_expiry(self, now: float) -> float:
        """Return the boot clock in seconds at which the next of the time limits passes."""
        times = (self.leaving_until, self.down_until, self.penalty_until)
        return min((time for time in times if time > now), default=math.inf)

    def record_failure(self, *, now: float) -> None:
        """Avoid the endpoint for a time that doubles with each consecutive failure."""
        self.consecutive_failures += 1
        penalty = INITIAL_FAILURE_PENALTY_SECONDS * 2.0 ** min(self.consecutive_failures - 1, 10)
        self.penalty_until = now + min(penalty, MAX_FAILURE_PENALTY_SECONDS)

    def record_success(self) -> None:
        """Lift the failure penalty of an endpoint that answered."""
        self.consecutive_failures = 0
        self.penalty_until = NEVER

    def apply_report(self, report: EngineReport, *, now: float) -> None:
        """Replace the last report of the engine and reset the counts since it.

        Parameters
        ----------
        report : EngineReport
            Report of the engine; its load was measured some time ago.
        now : float
            Boot clock in seconds.
        """
        self.report = report
        self.reported_at = now
        self.reported_pending_tokens = report.load.queued_prompt_tokens
        self.reported_sequences = report.load.running + report.load.waiting
        self.local_in_flight_at_report = self.in_flight
        self.local_pending_since_report = 0
        self.local_started_since_report = 0

    def record_slowness(self, ratio: float, *, now: float) -> None:
        """Update the average ratio of the measured to the estimated time to the first token."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        current = self.current_slowness(now)
        self.slowness = current + SLOWNESS_SMOOTHING_FRACTION * (ratio - current)
        self.slowness_updated_at = now

    def current_slowness(self, now: float) -> float:
        """Return the average slowness, decayed towards 1 so that a slow endpoint is tried again."""
        if self.slowness == 1.0:
            return 1.0
        decay = 0.5 ** ((now - self.slowness_updated_at) / SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (self.slowness - 1.0) * decay


@dataclass(slots=True)
class RoutingRequest:
    """Properties of a request that a routing policy uses.

    Parameters
    ----------
    target : str
        Model, adapter or plain service.
    zone : str
        Availability zone of the host.
    deadline : float
        Boot clock in seconds.
    block_hashes : list of int
        Chained hashes of the prompt's blocks.
    prompt_tokens, output_tokens : int
        Estimated number of tokens.
    priority : Priority
        Urgent requests prefer the standard kind of endpoints, others the cheap kind.
    prefill_candidates : sequence of EndpointView
        Engines that may prefill for another engine; empty to use one engine for both.
    """

    target: str
    zone: str
    deadline: float
    block_hashes: list[int] = field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: Priority = Priority.NORMAL
    prefill_candidates: Sequence[EndpointView] = ()
