"""Protocol-independent types of the gateway: requests, routes, services and endpoints.

The native API and the platform adapter both decode into these types; none of them
depends on names used on the wire.
"""

import enum
from dataclasses import dataclass, field

from samphirehall.admission.quota import Quota

Headers = list[tuple[bytes, bytes]]


class RequestKind(enum.StrEnum):
    """Whether and how a request may be retried.

    Idempotent requests may run again, requests of kind once may not, and streams may only
    be continued on another endpoint if their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(enum.StrEnum):
    """Stage of generation that an engine serves; plain endpoints have none."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt whose KV cache other requests may share.

    Parameters
    ----------
    part_id : str
        Identifier of the content.
    tokens : int
        Length in tokens.
    """

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Description of a prompt that a request carries beside its body.

    Parameters
    ----------
    model : str
        Public name of the model.
    parts : tuple of PromptPart
        The parts in order; the last one belongs to this request or its session.
    prompt_tokens, output_tokens : int
        Length of the whole prompt, and the maximum number of tokens to generate.
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
    def shared_part_ids(self) -> tuple[str, ...]:
        """Identifiers of the parts that other requests may share."""
        return tuple(part.part_id for part in self.parts[:-1])


@dataclass(slots=True)
class Request:
    """One attempt of a caller; its own retries are separate requests.

    Parameters
    ----------
    request_id : str
        Identifier that the caller chose for the attempt; endpoints echo it.
    method : str
        HTTP method.
    host : str
        Requested authority without the port.
    target : bytes
        Raw path and query.
    headers : list of pairs of bytes
        End-to-end headers to forward.
    body : bytes
        Raw body.
    key : str or None
        Customer key.
    prompt : Prompt or None
        Description of the prompt, for requests to engines.
    resume_after : int or None
        Number of the last event that the caller received, if it resumes a stream.
    timeout : float or None
        Seconds that the caller waits, counted from `received_at`.
    received_at : float
        Boot clock in seconds when the request had been received in full.
    resumes : str or None
        Id of the request that brought the first event of the stream that the caller resumes.
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
    resumes: str | None = None

    @property
    def takes_up(self) -> bool:
        """Whether the caller has events of the stream already."""
        return self.resumes is not None or bool(self.resume_after)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """Weight of one service among the services of a route."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Services and limits for the requests to one authority and path prefix.

    Parameters
    ----------
    name : str
        Name given by the operator.
    host, prefix : str
        Authority and path prefix that requests match.
    kind : RequestKind
        Whether requests may be retried.
    shares : tuple of Share
        Services and their weights.
    timeout : float
        Maximum seconds until the final answer.
    latency_target : float
        Seconds within which the answer, or its first event, is on time.
    priority : int
        Default rank of the requests; 0 is served first.
    max_attempts : int
        Maximum number of endpoints that one request may run on.
    public : bool
        Whether requests need no customer key.
    resumable : bool
        Whether an interrupted stream may continue on another endpoint.
    inter_event_gap_target : float or None
        Maximum seconds between events of a stream that is on time.
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
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """Configured capacity of the engines of a service.

    Parameters
    ----------
    slots : int
        Maximum number of requests in a batch.
    kv_cache_tokens : int
        Size of the KV cache, shared by running requests and cached parts.
    bytes_per_token : float
        Size of the KV cache entry of one token.
    link_bits_per_second : float
        Bandwidth of KV transfers of one engine.
    kv_handle_lifetime : float
        Seconds after which an engine releases a KV handle that was not fetched.
    """

    slots: int
    kv_cache_tokens: int
    bytes_per_token: float
    link_bits_per_second: float
    kv_handle_lifetime: float


@dataclass(slots=True, frozen=True)
class ScalingLimits:
    """Bounds on the endpoints of a service in each zone, and their prices.

    Parameters
    ----------
    min_endpoints, max_endpoints : int
        Bounds in each zone, for both kinds together.
    startup_time : float
        Seconds from an order until a new endpoint serves requests.
    cheap_price : float or None
        Price of a cheap (reclaimable) endpoint as a fraction of the standard price.
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
    """Group of endpoints that serve the same requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


@dataclass(slots=True, frozen=True)
class Customer:
    """Customer that keys belong to; `priority` overrides that of the route.

    `quota` limits the requests of the customer over all hosts; None for no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on connections of callers: sizes in bytes, timeouts in seconds."""

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
        Version number; grows with each change.
    routes : tuple of Route
        All routes.
    services : dict
        Services by name.
    customers_by_key : dict or None
        Customers by key; None if no customers are configured.
    caller_limits : CallerLimits
        Limits on connections of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers_by_key: dict[str, Customer] | None
    caller_limits: CallerLimits


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """Registered description of an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint; a restarted endpoint may reuse it.
    service : str
        Service that it belongs to.
    address : str
        IP address and port.
    zone : str
        Availability zone.
    slots : int
        Number of concurrent requests.
    ready : bool
        False once the endpoint has announced that it is leaving.
    stage : Stage or None
        Stage of generation that an engine serves.
    cheap : bool
        Whether the platform may reclaim it on short notice.
    started_at_milliseconds : int
        Start of this incarnation, in milliseconds since 1970.
    software_version : str
        Version of its software; empty if it states none.
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
    software_version: str = ""

    @property
    def identity(self) -> tuple[str, int, str]:
        """Endpoint id, start time and address, which together identify an incarnation."""
        return self.endpoint_id, self.started_at_milliseconds, self.address

    @property
    def incarnation(self) -> str:
        """Endpoint id and start time as one name."""
        return f"{self.endpoint_id}/{self.started_at_milliseconds}"
