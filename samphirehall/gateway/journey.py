"""One request on its way: what it is owed, what was tried, and how it ended."""

import enum
import logging
from dataclasses import dataclass, field
from typing import Any, Protocol

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OK, Result
from samphirehall.gateway.types import Customer, Headers, Request, Route, Service

READ = "read"  # purpose of a send that only has a prompt read

_log = logging.getLogger(__name__)


class Caller(Protocol):
    """Where the answer goes."""

    @property
    def started(self) -> bool:
        """Whether a status has been sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """End the body as complete."""


class SendOutcome(enum.StrEnum):
    """What became of one send to an endpoint.

    `CUT` is a send that this host ended: the deadline passed or the client left.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    CUT = "cut"


@dataclass(slots=True)
class Journey:
    """A request with its route and the time it has.

    Parameters
    ----------
    request, route, service : Request, Route, Service
        What is asked, and of whom.
    customer : Customer or None
        Owner of the key that came with it.
    rank : int
        Urgency; 0 goes first.
    deadline : float
        Boot clock in seconds of the final answer.
    version : int
        Configuration version that decided.
    fingerprint : int
        What the request has in common with itself sent again.
    sends : list
        Endpoint, purpose and outcome of each send.
    arrivals : int
        Sends that may have reached an endpoint, the first reading of the prompt left out.
    prompt_was_read : bool
        Whether an engine has read the prompt apart.
    """

    request: Request
    route: Route
    service: Service
    customer: Customer | None
    rank: int
    deadline: float
    version: int
    fingerprint: int = 0
    runs: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    sends: list[tuple[str, str, str]] = field(default_factory=list)
    arrivals: int = 0
    prompt_was_read: bool = False
    notes: dict[str, Any] = field(default_factory=dict)

    @property
    def customer_name(self) -> str | None:
        """Name that endpoints and reports know the customer by."""
        return self.customer.name if self.customer else None

    def elapsed(self, *, now: float) -> float:
        """Return the seconds since the request had been read."""
        return now - self.request.received_at

    def time_left(self, *, now: float) -> float:
        """Return the seconds until the final answer is due."""
        return self.deadline - now

    def record(self, endpoint_id: str, purpose: str, outcome: SendOutcome) -> None:
        """Keep the outcome of one send."""
        self.sends.append((endpoint_id, purpose, outcome.value))
        if outcome is SendOutcome.NOT_SENT:
            return
        first_reading = purpose == READ and not self.prompt_was_read
        if first_reading and outcome is SendOutcome.ANSWERED:
            self.prompt_was_read = True
        else:
            self.arrivals += 1

    def repeats_of(self, *, reads_apart: bool = False) -> int:
        """Return how many sends of the next attempt repeat what an endpoint has got before.

        Parameters
        ----------
        reads_apart : bool
            Whether one engine only reads the prompt, which repeats nothing the first time.
        """
        sends = 2 if reads_apart and self.prompt_was_read else 1
        return sends if self.arrivals else sends - 1

    def log(self, result: Result, detail: str, *, now: float) -> None:
        """Write the one line that tells the request's story."""
        level = logging.INFO if result is OK else logging.WARNING
        outcome = {"result": result.code, "outcome": result.name, "reason": detail}
        _log.log(level, "request", extra={**self._facts(now), **outcome})

    def log_client_left(self, *, now: float) -> None:
        """Write the line of a request whose client closed its connection before the answer."""
        _log.info("client-left", extra=self._facts(now))

    def _facts(self, now: float) -> dict[str, Any]:
        return {
            "request": self.request.request_id,
            "route": self.route.name,
            "customer": self.customer_name,
            "rank": self.rank,
            "goal": self.route.latency_target,
            "pause_goal": self.route.inter_event_gap_target,
            "configuration": self.version,
            "seconds": round(self.elapsed(now=now), 4),
            "sends": self.sends,
            **self.notes,
        }


def log_refusal(
    request_id: str, error: SamphireError, *, version: int | None = None, seconds: float = 0.0
) -> None:
    """Write the line of a request that was refused before it had a route and a service.

    Parameters
    ----------
    request_id : str
        Identifier; empty if the request could not be read.
    error : SamphireError
        Why it was refused.
    version : int or None
        Configuration version that decided, if one did.
    seconds : float
        Time since the request had been read.
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
