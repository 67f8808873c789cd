"""Types that several packages share."""

import enum
from dataclasses import dataclass, field


class EndpointProtocol(enum.StrEnum):
    """What an endpoint speaks."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointKind(enum.StrEnum):
    """How an endpoint is paid for; the cheap kind may be reclaimed a zone at a time."""

    STANDARD = "standard"
    CHEAP = "cheap"


class Role(enum.StrEnum):
    """Part of a request that an engine serves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointState(enum.StrEnum):
    """Life of an endpoint as the platform lists it."""

    OFF = "off"
    STARTING = "starting"
    READY = "ready"
    CHANGING = "changing"
    LEAVING = "leaving"
    GONE = "gone"


class HostState(enum.StrEnum):
    """Life of a host as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class Priority(enum.IntEnum):
    """Order of service; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """An endpoint as the platform lists it.

    Parameters
    ----------
    endpoint_id : str
        Name that is never given to another endpoint.
    address : str
        IP number and TCP port, such as ``"10.0.0.7:8000"``.
    zone : str
        Availability zone.
    protocol : EndpointProtocol
        Model engine or plain service.
    kind : EndpointKind
        Standard or cheap.
    role : Role
        Role of an engine.
    models : tuple of str
        Models that an engine has loaded, or routes that a service serves.
    state : EndpointState
        Life of the endpoint.
    checks_fencing : bool
        Whether the endpoint refuses orders with an old fencing number.
    leaving_in : float, optional
        Seconds until a leaving endpoint is gone, when the platform answered.
    """

    endpoint_id: str
    address: str
    zone: str
    protocol: EndpointProtocol
    kind: EndpointKind = EndpointKind.STANDARD
    role: Role = Role.MIXED
    models: tuple[str, ...] = ()
    state: EndpointState = EndpointState.READY
    checks_fencing: bool = True
    leaving_in: float | None = None


@dataclass(slots=True, frozen=True)
class HostInfo:
    """A host of the system as the platform lists it.

    Parameters
    ----------
    host_id : str
        Name of the host.
    zone : str
        Availability zone.
    mesh_address : str
        IP number and port on which its control process hears peers.
    operator_address : str
        IP number and port of its operators' interface.
    state : HostState
        Live or leaving.
    """

    host_id: str
    zone: str
    mesh_address: str
    operator_address: str = ""
    state: HostState = HostState.LIVE


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load that an engine reports, with a lag.

    Parameters
    ----------
    running, waiting : int
        Requests in the batch and before it.
    queued_prompt_tokens : int
        Prompt tokens not yet prefilled.
    cached_tokens : int
        Tokens held in the prefix cache.
    cache_capacity_tokens : int
        Tokens that the prefix cache can hold.
    measured_at : float
        The engine's own clock in seconds, only comparable with itself.
    """

    running: int = 0
    waiting: int = 0
    queued_prompt_tokens: int = 0
    cached_tokens: int = 0
    cache_capacity_tokens: int = 0
    measured_at: float = 0.0


@dataclass(slots=True)
class UsageFigures:
    """What one customer used in one window, cumulative.

    Parameters
    ----------
    requests : int
        Requests that ran.
    prompt_tokens, completion_tokens : int
        Tokens read and generated.
    late_requests, late_tokens : int
        Part of the figures carried from windows already frozen.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    late_requests: int = 0
    late_tokens: int = 0


@dataclass(slots=True)
class TokenUsage:
    """Tokens of one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = field(default=0)
