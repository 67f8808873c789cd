"""Decoding of the operator's configuration document and of rows of the endpoint list."""

import logging
from typing import Annotated

import msgspec

from samphirehall.admission.quota import Quota
from samphirehall.core.decoding import (
    DecodingError,
    Name,
    Unsigned,
    convert,
    decode,
    parse_address,
)
from samphirehall.core.log import RejectionLog
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
MAX_ENDPOINT_SLOTS = 1_000_000  # concurrent requests of one endpoint
MAX_ADDRESS_CHARACTERS = 64  # an IPv6 address in brackets and a port take 47
MAX_UNIX_MILLISECONDS = 253_402_300_799_999  # the end of the year 9999
MAX_AMOUNT = 1e15  # of any quantity in a configuration, in the unit of its field
MAX_SOFTWARE_VERSION_LENGTH = 100
TOKEN_UNIT = "token_stream"
DEFAULT_BURST_SECONDS = 1.0  # of the rate, for a customer without a burst

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
_READY_BY_STATE = {"ready": True, "draining": False}

_log = logging.getLogger(__name__)
_endpoint_rejections = RejectionLog(_log, "endpoint-unreadable")

_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Split(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    service: str = ""
    split: list[_Split] = []
    timeout_ms: _Amount = DEFAULT_ROUTE_TIMEOUT_SECONDS / SECONDS_PER_MILLISECOND
    latency_goal_ms: _Amount | None = None
    priority: Unsigned = 0
    max_attempts: Unsigned = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: _Amount | None = None


class _Engine(msgspec.Struct):
    slots: Unsigned
    kv_tokens: Unsigned
    kv_token_bytes: _Amount
    link_mbps: _Amount
    handle_ttl_s: _Amount = 5.0


class _Scaling(msgspec.Struct):
    min: Unsigned
    max: Unsigned
    boot_s: _Amount = 0.0
    spot_price: _Amount | None = None
    zone_prices: dict[str, _Amount] = {}


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_conns: Unsigned = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Unsigned = 65_536
    max_body_bytes: Unsigned = 16 * 1024 * 1024
    header_timeout_ms: _Amount = 10_000.0
    idle_timeout_ms: _Amount = 75_000.0


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: list[str] = []
    priority: Unsigned | None = None
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None
    unit: str | None = None
    plain_tokens: _Amount | None = None


class _Configuration(msgspec.Struct):
    version: Unsigned
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    service: Name
    address: Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
    zone: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_ENDPOINT_SLOTS)]
    state: str
    stage: str | None = None
    spot: bool = False
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MILLISECONDS)] = 0
    version: Annotated[str, msgspec.Meta(max_length=MAX_SOFTWARE_VERSION_LENGTH)] = ""


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_configuration(content: bytes) -> GatewayConfiguration:
    """Decode a configuration document; routes of an unknown kind are left out.

    Raises
    ------
    ValueError
        The document is not valid JSON, has a missing or wrong field or a number out of range, or
        a customer's burst is below one request.
    """
    try:
        document = decode(content, _configuration_decoder)
    except DecodingError as error:
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
        customer = Customer(tenant.name, tenant.priority, _convert_quota(tenant))
        customers.update(dict.fromkeys(tenant.api_keys, customer))
    return customers


def _convert_quota(tenant: _Tenant) -> Quota | None:
    """Return the quota of a customer; None without a rate.

    Raises
    ------
    ValueError
        The burst is below one request.
    """
    counts_tokens = tenant.unit == TOKEN_UNIT
    plain_tokens = tenant.plain_tokens or 0.0
    smallest = max(1.0, plain_tokens) if counts_tokens else 1.0
    if tenant.burst and tenant.burst < smallest:
        raise ValueError(
            f"configuration: burst {tenant.burst:g} of customer {tenant.name!r} is below one "
            f"request, which counts for {smallest:g}"
        )
    if not tenant.rate_per_s:
        return None
    burst = tenant.burst or max(smallest, tenant.rate_per_s * DEFAULT_BURST_SECONDS)
    return Quota(tenant.rate_per_s, burst, counts_tokens, plain_tokens)


def decode_endpoint(endpoint_id: str, content: bytes) -> ListedEndpoint | None:
    """Decode a row of the endpoint list; log a warning and return None if it is invalid."""
    try:
        entry = decode(content, _entry_decoder)
        return _convert_entry(convert(endpoint_id, Name), entry)
    except ValueError as error:
        _endpoint_rejections.record(endpoint_id, error)
        return None


def _convert_entry(endpoint_id: str, entry: _Entry) -> ListedEndpoint:
    """Convert an entry.

    Raises
    ------
    ValueError
        Its state or stage is unknown, or its address is no IP number and port.
    """
    if entry.state not in _READY_BY_STATE or parse_address(entry.address) is None:
        raise ValueError(f"state {entry.state!r}, {entry.address!r}")
    return ListedEndpoint(
        endpoint_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        _READY_BY_STATE[entry.state],
        None if entry.stage is None else Stage(entry.stage),
        entry.spot,
        entry.born,
        entry.version,
    )
