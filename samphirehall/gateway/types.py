"""Neutral types of the gateway: requests, routes, services and endpoints.

Both the project's own surface and an adapter decode into these; nothing here
depends on the names that either uses on the wire.
"""

import enum
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


class RequestKind(enum.StrEnum):
    """What may be done with a request again."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(enum.StrEnum):
    """Part of a generation that an engine works on; plain endpoints have none."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, which other requests may share.

    Parameters
    ----------
    part_id : str
        Name of the content.
    tokens : int
        Length.
    """

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """What a request says about the prompt in its body.

    Parameters
    ----------
    model : str
        Public name of the model.
    parts : tuple of PromptPart
        The parts in order; the last one belongs to this request or its session.
    prompt_tokens, output_tokens : int
        Length of the whole prompt, and the most tokens that may be generated.
    """

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def affinity(self) -> str:
        """Name of the longest part that other requests share, or of the only part."""
        if not self.parts:
            return ""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id


@dataclass(slots=True)
class Request:
    """One attempt of a client.

    Parameters
    ----------
    request_id : str
        The client's name for the attempt, echoed by endpoints.
    method : str
        HTTP method.
    host : str
        Authority that the client asked for, without a port.
    target : bytes
        Raw path and query.
    headers : list of pairs of bytes
        End-to-end headers that an endpoint may see.
    body : bytes
        Raw body.
    key : str or None
        Customer key.
    prompt : Prompt or None
        Description of the prompt, for requests to engines.
    resume_after : int or None
        Number of the last event that the client has, when it resumes a stream.
    patience : float or None
        Seconds that the client will wait, counted from `received_at`.
    received_at : float
        Boot clock in seconds when the whole request had been read.
    """

    request_id: str
    method: str
    host: str
    target: bytes
    headers: Headers
    body: bytes
    key: str | None
    prompt: Prompt | None
    resume_after: int | None
    timeout: float | None
    received_at: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where the requests of a host and path prefix go, and what they are owed.

    Parameters
    ----------
    name : str
        Operators' name.
    host, prefix : str
        Authority, and beginning of the path.
    kind : RequestKind
        What may be repeated.
    shares : tuple of Share
        Services and their weights.
    timeout : float
        Longest time in seconds until the final answer.
    goal : float
        Seconds within which the answer, or its first event, is on time.
    priority : int
        Rank; 0 goes first.
    max_attempts : int
        Endpoints that one attempt of a client may run on.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may go on at another endpoint.
    pause_goal : float or None
        Longest pause between events in seconds of a stream that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    latency_target: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    inter_event_gap_target: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """What the operator says of a service's engines.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens that running requests and cached parts share.
    bytes_per_token : float
        Size of a token's keys and values.
    link_bits_per_second : float
        Rate of one engine's transfers.
    copy_lifetime : float
        Seconds for which an untaken copy of a prompt is kept.
    """

    slots: int
    kv_cache_tokens: int
    bytes_per_token: float
    link_bits_per_second: float
    kv_handle_lifetime: float


@dataclass(slots=True, frozen=True)
class ScalingLimits:
    """How many endpoints of a service may be ordered in each zone, and what they cost.

    Parameters
    ----------
    minimum, maximum : int
        Bounds by zone, both kinds together.
    boot_time : float
        Seconds from an order until a new endpoint serves.
    cheap_price : float or None
        Price of the kind that may be reclaimed, as a share of the standard price.
    zone_prices : dict
        Price of a standard endpoint by zone.
    """

    min_endpoints: int
    max_endpoints: int
    startup_time: float
    cheap_price: float | None
    zone_prices: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Service:
    """Endpoints that serve the same requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


@dataclass(slots=True, frozen=True)
class Customer:
    """Owner of keys; `priority` goes before that of a route."""

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a client may send, in bytes, and how long it may take or stay idle, in seconds."""

    max_head_bytes: int = 65_536
    max_body_bytes: int = 16 * 1024 * 1024
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclass(slots=True, frozen=True)
class GatewayConfiguration:
    """One version of routes, services, customers and limits.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        All routes.
    services : dict
        Services by name.
    customers_by_key : dict or None
        Customers by key; None if no customers are configured.
    limits : CallerLimits
        Limits of clients' connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers_by_key: dict[str, Customer] | None
    caller_limits: CallerLimits


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """An endpoint as it registered itself.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint, which a restart may keep.
    service : str
        Service that it belongs to.
    address : str
        IP number and port.
    zone : str
        Availability zone.
    slots : int
        Requests it works on at once.
    ready : bool
        False once it has said that it leaves.
    stage : Stage or None
        Part of a generation that an engine works on.
    cheap : bool
        Whether it may be reclaimed on short notice.
    born : int
        Start of this incarnation, in milliseconds since 1970.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    stage: Stage | None = None
    cheap: bool = False
    started_at_milliseconds: int = 0

    @property
    def identity(self) -> tuple[str, int, str]:
        """What tells this incarnation from any other."""
        return self.endpoint_id, self.started_at_milliseconds, self.address
