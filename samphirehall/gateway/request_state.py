"""State of one request: its route and deadline, its sends so far, and its log line."""

import enum
import logging
from dataclasses import dataclass, field
from typing import Any, Protocol

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OK, Result
from samphirehall.gateway.types import Customer, Headers, Request, Route, Service

PREFILL_PURPOSE = "read"  # purpose of a send that only prefills the prompt

_log = logging.getLogger(__name__)


class Caller(Protocol):
    """Sink for the response to one client request."""

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """Mark the body as complete."""


class SendOutcome(enum.StrEnum):
    """Outcome of one send to an endpoint.

    `ANSWERED`: a whole response arrived. `NOT_SENT`: no connection could be opened.
    `NOT_RUN`: the endpoint stated that it did not run the request. `BROKEN`: the
    connection ended before the whole response. `SILENT`: the send timed out.
    `FAILED`: the response is an error or cannot be used. `CUT`: this host ended the
    send because the deadline passed or the client disconnected. `CANCELLED`: this host
    ended the send because the other attempt of a hedged request was answered first.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    CUT = "cut"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class RequestState:
    """Progress of one client request through the gateway.

    Parameters
    ----------
    request, route, service : Request, Route, Service
        The request, the route it matched and the service that runs it.
    customer : Customer or None
        Owner of the key in the request.
    rank : int
        Scheduling priority; 0 is the most urgent.
    deadline : float
        Boot clock in seconds by which the response must be complete.
    configuration_version : int
        Configuration version by which the request was routed.
    fingerprint : int
        Hash that repetitions of the request share, whatever their request id.
    runs : int
        Sends that an endpoint has run or may have run.
    may_have_run : bool
        Whether any endpoint may have run the request.
    tried_endpoints : set
        Endpoints that are not tried again.
    sends : list
        Endpoint, purpose and outcome of each send.
    delivered_sends : int
        Sends that may have reached an endpoint, without the first successful separate prefill.
    reserved_repeats : int
        Repeated sends of the next attempt that the budget has already counted.
    reserved_endpoints : set
        Endpoints whose limits have already counted a send of the next attempt.
    hedged : bool
        Whether a hedge was started for the request.
    pair_running : bool
        Whether a first attempt and its hedge are both under way.
    silent_sends : int
        Sends under way whose endpoint has been silent for too long.
    prefill_done : bool
        Whether a prefill engine has already read the prompt for a decode engine.
    on_trial : bool
        Whether the request runs although a part of its prompt is in quarantine.
    passed_on : bool
        Whether another host serves the request, and counts it.
    stream_version : str or None
        Software version that the events of the stream must come from; None before the first event.
    extra_log_fields : dict
        Further fields of the log line.
    """

    request: Request
    route: Route
    service: Service
    customer: Customer | None
    rank: int
    deadline: float
    configuration_version: int
    fingerprint: int = 0
    runs: int = 0
    may_have_run: bool = False
    tried_endpoints: set[str] = field(default_factory=set)
    sends: list[tuple[str, str, str]] = field(default_factory=list)
    delivered_sends: int = 0
    reserved_repeats: int = 0
    reserved_endpoints: set[str] = field(default_factory=set)
    hedged: bool = False
    pair_running: bool = False
    silent_sends: int = 0
    prefill_done: bool = False
    on_trial: bool = False
    passed_on: bool = False
    stream_version: str | None = None
    extra_log_fields: dict[str, Any] = field(default_factory=dict)

    @property
    def customer_name(self) -> str | None:
        """Customer name for endpoints, metrics and reports; None without a customer."""
        return self.customer.name if self.customer else None

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Identifiers of the parts of the prompt that other requests may share."""
        prompt = self.request.prompt
        return prompt.shared_part_ids if prompt else ()

    @property
    def takes_up(self) -> bool:
        """Whether the caller takes up a stream of which it has events."""
        return self.route.resumable and self.request.takes_up

    def elapsed(self, *, now: float) -> float:
        """Return the seconds since the whole request was received."""
        return now - self.request.received_at

    def remaining_time(self, *, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now

    def record_send(self, endpoint_id: str, purpose: str, outcome: SendOutcome) -> None:
        """Record the outcome of one send."""
        self.sends.append((endpoint_id, purpose, outcome.value))
        if outcome is SendOutcome.NOT_SENT:
            return
        is_first_prefill = purpose == PREFILL_PURPOSE and not self.prefill_done
        if is_first_prefill and outcome is SendOutcome.ANSWERED:
            self.prefill_done = True
        else:
            self.delivered_sends += 1

    def count_repeated_sends(self, *, separate_prefill: bool = False) -> int:
        """Return how many sends of the next attempt count as repeats.

        Parameters
        ----------
        separate_prefill : bool
            Whether the attempt prefills on a separate engine. The first such prefill is no repeat.
        """
        sends = 2 if separate_prefill and self.prefill_done else 1
        return sends if self.delivered_sends else sends - 1

    def log_result(self, result: Result, detail: str, *, now: float) -> None:
        """Log the result of the request, all its sends and its timing as one line."""
        level = logging.INFO if result is OK else logging.WARNING
        outcome = {"result": result.code, "outcome": result.name, "reason": detail}
        _log.log(level, "request", extra={**self._log_fields(now), **outcome})

    def log_client_left(self, *, now: float) -> None:
        """Log a request whose client disconnected before the response was complete."""
        _log.info("client-left", extra=self._log_fields(now))

    def _log_fields(self, now: float) -> dict[str, Any]:
        return {
            "request": self.request.request_id,
            "route": self.route.name,
            "customer": self.customer_name,
            "rank": self.rank,
            "goal": self.route.latency_target,
            "pause_goal": self.route.inter_event_gap_target,
            "configuration": self.configuration_version,
            "route_timeout": self.route.timeout,
            "caller_timeout": self.request.timeout,
            "allowed": round(self.deadline - self.request.received_at, 4),
            "seconds": round(self.elapsed(now=now), 4),
            "sends": self.sends,
            **self.extra_log_fields,
        }


def log_refusal(
    request_id: str, error: SamphireError, *, version: int | None = None, seconds: float = 0.0
) -> None:
    """Log a request that was refused before it had a route and a service.

    Parameters
    ----------
    request_id : str
        Request id; empty if the request could not be read.
    error : SamphireError
        Reason of the refusal.
    version : int or None
        Configuration version in force, if there is one.
    seconds : float
        Time since the whole request was received.
    """
    _log.warning(
        "request",
        extra={
            "request": request_id,
            "configuration": version,
            "result": error.result.code,
            "outcome": error.result.name,
            "reason": error.detail,
            "seconds": round(seconds, 4),
        },
    )
