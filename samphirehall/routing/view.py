"""One endpoint as a routing policy sees it, and what is asked of it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from samphirehall.core.types import EndpointInfo, EndpointState, Priority, Role
from samphirehall.endpoints.protocol import EngineReport

BASE_PROBATION_SECONDS = 1.0
MAX_PROBATION_SECONDS = 30.0
SLOWNESS_HALF_LIFE_SECONDS = 10.0
SLOWNESS_GAIN = 0.3
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
INITIAL_ALLOWED = 32.0
NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class EndpointView:
    """One endpoint as a candidate; one object an endpoint, changed in place.

    Parameters
    ----------
    info : EndpointInfo
        What the platform lists.
    in_flight : int
        Requests of this host on the endpoint.
    report : EngineReport, optional
        What the engine last said about itself.
    reported_at : float
        Boot clock in seconds when the report was received.
    reported_tokens, reported_sequences : int
        Prompt tokens not yet prefilled and sequences, by that report.
    pending_tokens : int
        Prompt tokens of this host's requests that wait for their first token.
    pending_since_report : int
        Part of `pending_tokens` that was sent after the report.
    running_since_report : int
        This host's requests begun less those ended since the report.
    leaving_until : float
        Boot clock in seconds until which the endpoint takes no new work.
    down_until : float
        Boot clock in seconds until which another host calls it down.
    failures : int
        Failed calls in a row.
    probation_until : float
        Boot clock in seconds until which it is avoided.
    allowed : float
        Requests of all hosts together that the endpoint should have at once.
    own_at_report : int
        This host's requests on the endpoint when the report was received.
    slowness : float
        Time to the first token against its estimate, averaged.
    slowness_at : float
        Boot clock in seconds of that average.
    """

    info: EndpointInfo
    in_flight: int = 0
    report: EngineReport | None = None
    reported_at: float = NEVER
    reported_tokens: int = 0
    reported_sequences: int = 0
    pending_tokens: int = 0
    pending_since_report: int = 0
    running_since_report: int = 0
    leaving_until: float = NEVER
    down_until: float = NEVER
    failures: int = 0
    probation_until: float = NEVER
    allowed: float = INITIAL_ALLOWED
    own_at_report: int = 0
    slowness: float = 1.0
    slowness_at: float = 0.0

    @property
    def role(self) -> Role:
        """Role in force, as far as this host knows."""
        return self.info.role if self.report is None else self.report.role

    def takes_work(self, now: float) -> bool:
        """Return whether the endpoint may receive new requests at all."""
        if self.info.state is not EndpointState.READY or self.leaving_until > now:
            return False
        return self.report is None or not (self.report.leaving or self.report.changing)

    def is_suspect(self, now: float) -> bool:
        """Return whether the endpoint is avoided.

        After the probation one request may probe it; the others wait for its end.
        """
        if self.probation_until > now or self.down_until > now:
            return True
        return self.failures > 0 and self.in_flight > 0

    def next_change(self, now: float) -> float:
        """Return the boot clock in seconds at which time alone changes whether it is usable."""
        times = (self.leaving_until, self.down_until, self.probation_until)
        return min((time for time in times if time > now), default=math.inf)

    def suspect(self, *, now: float) -> None:
        """Avoid the endpoint, twice as long after each failure."""
        self.failures += 1
        probation = BASE_PROBATION_SECONDS * 2.0 ** min(self.failures - 1, 10)
        self.probation_until = now + min(probation, MAX_PROBATION_SECONDS)

    def trust(self) -> None:
        """Stop avoiding an endpoint that answered."""
        self.failures = 0
        self.probation_until = NEVER

    def take_report(self, report: EngineReport, *, now: float) -> None:
        """Take what the engine says about itself.

        Parameters
        ----------
        report : EngineReport
            Load measured some time ago.
        now : float
            Boot clock in seconds.
        """
        self.report = report
        self.reported_at = now
        self.reported_tokens = report.load.queued_prompt_tokens
        self.reported_sequences = report.load.running + report.load.waiting
        self.own_at_report = self.in_flight
        self.pending_since_report = 0
        self.running_since_report = 0

    def note_slowness(self, ratio: float, *, now: float) -> None:
        """Average how much longer a first token took than was estimated."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        present = self.present_slowness(now)
        self.slowness = present + SLOWNESS_GAIN * (ratio - present)
        self.slowness_at = now

    def present_slowness(self, now: float) -> float:
        """Return the average slowness, which fades so that a slow endpoint is tried again."""
        if self.slowness == 1.0:
            return 1.0
        faded = 0.5 ** ((now - self.slowness_at) / SLOWNESS_HALF_LIFE_SECONDS)
        return 1.0 + (self.slowness - 1.0) * faded


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
    priority : Priority
        What can wait goes to the cheap kind first.
    prefill_candidates : sequence of EndpointView
        Engines that could prefill for another one; none if that is not wanted.
    """

    target: str
    zone: str
    deadline: float
    block_hashes: list[int] = field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: Priority = Priority.NORMAL
    prefill_candidates: Sequence[EndpointView] = ()
