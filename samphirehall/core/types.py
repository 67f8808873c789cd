"""Types shared by several packages."""

import enum
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from samphirehall.core.decoding import Unsigned

MAX_MEASUREMENT_SECONDS = 1e12  # of an engine's clock


class EndpointProtocol(enum.StrEnum):
    """Protocol of an endpoint: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointKind(enum.StrEnum):
    """Pricing class of an endpoint; cheap ones may be reclaimed, a whole zone at a time."""

    STANDARD = "standard"
    CHEAP = "cheap"


class Role(enum.StrEnum):
    """Phase of a request that an engine serves: prefill, decode or both."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointState(enum.StrEnum):
    """Lifecycle state of an endpoint, as the platform lists it."""

    OFF = "off"
    STARTING = "starting"
    READY = "ready"
    CHANGING = "changing"
    LEAVING = "leaving"
    GONE = "gone"


class HostState(enum.StrEnum):
    """Lifecycle state of a host, as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


class Priority(enum.IntEnum):
    """Priority class of a request; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """An endpoint as the platform lists it.

    Parameters
    ----------
    endpoint_id : str
        Unique name; never reused for another endpoint.
    address : str
        IP address and TCP port, such as ``"10.0.0.7:8000"``.
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
        Lifecycle state.
    checks_fencing : bool
        Whether the endpoint refuses orders with an old fencing number.
    leaving_in : float, optional
        Seconds until a leaving endpoint is gone, counted from the answer of the platform.
    software_version : str
        Version of the endpoint's software; empty if it is not listed.
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
    software_version: str = ""


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
        IP address and port on which its control process accepts peers.
    operator_address : str
        IP address and port of its operator API.
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
    """Load as reported by an engine; it lags behind the actual load.

    Parameters
    ----------
    running, waiting : int
        Requests in the running batch and waiting for it.
    queued_prompt_tokens : int
        Prompt tokens not yet prefilled.
    cached_tokens : int
        Tokens in the prefix cache.
    cache_capacity_tokens : int
        Tokens that the prefix cache can hold.
    measured_at : float
        Time of the measurement in seconds on the engine's clock; comparable only with
        other times of the same engine.
    """

    running: Unsigned = 0
    waiting: Unsigned = 0
    queued_prompt_tokens: Unsigned = 0
    cached_tokens: Unsigned = 0
    cache_capacity_tokens: Unsigned = 0
    measured_at: Annotated[float, msgspec.Meta(ge=0, le=MAX_MEASUREMENT_SECONDS)] = 0.0


@dataclass(slots=True)
class UsageFigures:
    """Cumulative usage of one customer in one window.

    Parameters
    ----------
    requests : int
        Requests that ran.
    prompt_tokens, completion_tokens : int
        Tokens of prompts and of completions.
    late_requests, late_tokens : int
        Share of the figures that was carried over from windows already frozen.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    late_requests: int = 0
    late_tokens: int = 0


@dataclass(slots=True)
class TokenUsage:
    """Token counts of one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = field(default=0)
