"""Decoding of the operator's configuration and of the endpoints' entries."""

import logging
from typing import Any

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

MILLI = 1e-3
MEGABIT = 1e6
LONGEST_TIMEOUT_S = 3600.0  # of a route that states none

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
_READY_STATES = {"ready": True, "draining": False}

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
    timeout_ms: float = LONGEST_TIMEOUT_S / MILLI
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


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_configuration(content: bytes) -> GatewayConfiguration:
    """Return the configuration of a document.

    Raises
    ------
    ValueError
        The document cannot be read.
    """
    try:
        document = _configuration_decoder.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"configuration: {error}") from error
    return GatewayConfiguration(
        document.version,
        tuple(_route(route) for route in document.routes if route.kind in _KINDS),
        {service.name: _service(service) for service in document.services},
        _customers(document.tenants),
        CallerLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms * MILLI,
            document.limits.idle_timeout_ms * MILLI,
        ),
    )


def _route(route: _Route) -> Route:
    shares = tuple(ServiceShare(split.service, split.weight) for split in route.split)
    goal = route.latency_goal_ms
    return Route(
        route.name,
        route.host.lower(),
        route.prefix,
        _KINDS[route.kind],
        shares or (ServiceShare(route.service, 1.0),),
        route.timeout_ms * MILLI,
        (route.timeout_ms if goal is None else goal) * MILLI,
        route.priority,
        route.max_attempts,
        route.public,
        route.resumable,
        None if route.target_gap_ms is None else route.target_gap_ms * MILLI,
    )


def _service(service: _Service) -> Service:
    return Service(
        service.name,
        service.health_path,
        service.max_conns,
        None if service.engine is None else _engine_limits(service.engine),
        None if service.scaling is None else _scaling_limits(service.scaling),
    )


def _engine_limits(engine: _Engine) -> EngineLimits:
    return EngineLimits(
        engine.slots,
        engine.kv_tokens,
        engine.kv_token_bytes,
        engine.link_mbps * MEGABIT,
        engine.handle_ttl_s,
    )


def _scaling_limits(scaling: _Scaling) -> ScalingLimits:
    return ScalingLimits(
        scaling.min, scaling.max, scaling.boot_s, scaling.spot_price, scaling.zone_prices
    )


def _customers(tenants: list[_Tenant] | None) -> dict[str, Customer] | None:
    if tenants is None:
        return None
    customers = {}
    for tenant in tenants:
        customer = Customer(tenant.name, tenant.priority)
        customers.update(dict.fromkeys(tenant.api_keys, customer))
    return customers


def decode_endpoint(endpoint_id: str, content: bytes) -> ListedEndpoint | None:
    """Return the endpoint of an entry, or None if the entry names none to use."""
    try:
        entry = _entry_decoder.decode(content)
        stage = None if entry.stage is None else Stage(entry.stage)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        _log.warning("endpoint-unreadable", extra={"endpoint": endpoint_id, "reason": str(error)})
        return None
    ready: Any = _READY_STATES.get(entry.state)
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
    )
