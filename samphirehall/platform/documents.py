"""Decoding of the operator's configuration document and of rows of the endpoint list."""

import logging
from typing import Annotated, Any

import msgspec

from samphirehall.gateway.types import (
    CallerLimits,
    Customer,
    EngineLimits,
    GatewayConfiguration,
    ListedEndpoint,
    RequestKind,
    Route,
    ScalingLimits,
    Service,
    ServiceShare,
    Stage,
)

SECONDS_PER_MILLISECOND = 1e-3
BITS_PER_MEGABIT = 1e6
DEFAULT_ROUTE_TIMEOUT_SECONDS = 3600.0  # for a route without a timeout
MAX_SOFTWARE_VERSION_LENGTH = 100

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
_READY_BY_STATE = {"ready": True, "draining": False}

_log = logging.getLogger(__name__)


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    service: str = ""
    split: list[_Split] = []
    timeout_ms: float = DEFAULT_ROUTE_TIMEOUT_SECONDS / SECONDS_PER_MILLISECOND
    latency_goal_ms: float | None = None
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_mbps: float
    handle_ttl_s: float = 5.0


class _Scaling(msgspec.Struct):
    min: int
    max: int
    boot_s: float = 0.0
    spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_conns: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 65_536
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    stage: str | None = None
    spot: bool = False
    born: int = 0
    version: Annotated[str, msgspec.Meta(max_length=MAX_SOFTWARE_VERSION_LENGTH)] = ""


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_configuration(content: bytes) -> GatewayConfiguration:
    """Decode a configuration document; routes of an unknown kind are left out.

    Raises
    ------
    ValueError
        The document is not valid JSON or has a missing or wrong field.
    """
    try:
        document = _configuration_decoder.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"configuration: {error}") from error
    return GatewayConfiguration(
        document.version,
        tuple(_convert_route(route) for route in document.routes if route.kind in _KINDS),
        {service.name: _convert_service(service) for service in document.services},
        _convert_customers(document.tenants),
        CallerLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms * SECONDS_PER_MILLISECOND,
            document.limits.idle_timeout_ms * SECONDS_PER_MILLISECOND,
        ),
    )


def _convert_route(route: _Route) -> Route:
    shares = tuple(ServiceShare(split.service, split.weight) for split in route.split)
    latency_target = route.latency_goal_ms
    return Route(
        route.name,
        route.host.lower(),
        route.prefix,
        _KINDS[route.kind],
        shares or (ServiceShare(route.service, 1.0),),
        route.timeout_ms * SECONDS_PER_MILLISECOND,
        (route.timeout_ms if latency_target is None else latency_target) * SECONDS_PER_MILLISECOND,
        route.priority,
        route.max_attempts,
        route.public,
        route.resumable,
        None if route.target_gap_ms is None else route.target_gap_ms * SECONDS_PER_MILLISECOND,
    )


def _convert_service(service: _Service) -> Service:
    return Service(
        service.name,
        service.health_path,
        service.max_conns,
        None if service.engine is None else _convert_engine(service.engine),
        None if service.scaling is None else _convert_scaling(service.scaling),
    )


def _convert_engine(engine: _Engine) -> EngineLimits:
    return EngineLimits(
        engine.slots,
        engine.kv_tokens,
        engine.kv_token_bytes,
        engine.link_mbps * BITS_PER_MEGABIT,
        engine.handle_ttl_s,
    )


def _convert_scaling(scaling: _Scaling) -> ScalingLimits:
    return ScalingLimits(
        scaling.min, scaling.max, scaling.boot_s, scaling.spot_price, scaling.zone_prices
    )


def _convert_customers(tenants: list[_Tenant] | None) -> dict[str, Customer] | None:
    if tenants is None:
        return None
    customers = {}
    for tenant in tenants:
        customer = Customer(tenant.name, tenant.priority)
        customers.update(dict.fromkeys(tenant.api_keys, customer))
    return customers


def decode_endpoint(endpoint_id: str, content: bytes) -> ListedEndpoint | None:
    """Decode a row of the endpoint list; log a warning and return None if it is invalid."""
    try:
        entry = _entry_decoder.decode(content)
        stage = None if entry.stage is None else Stage(entry.stage)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        _log.warning("endpoint-unreadable", extra={"endpoint": endpoint_id, "reason": str(error)})
        return None
    ready: Any = _READY_BY_STATE.get(entry.state)
    host, _, port = entry.address.rpartition(":")
    if ready is None or not host or not port.isdigit():
        extra = {"endpoint": endpoint_id, "reason": f"state {entry.state!r}, {entry.address!r}"}
        _log.warning("endpoint-unreadable", extra=extra)
        return None
    return ListedEndpoint(
        endpoint_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        ready,
        stage,
        entry.spot,
        entry.born,
        entry.version,
    )
