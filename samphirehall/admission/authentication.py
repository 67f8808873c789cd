"""Authentication of callers and authorization of the routes they use."""

from dataclasses import dataclass

from samphirehall.configuration.documents import CustomerPart, RoutePart, may_use
from samphirehall.configuration.version import Configuration
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import key_digest
from samphirehall.core.results import (
    KEY_MISSING,
    KEY_UNKNOWN,
    MODEL_FORBIDDEN,
    NO_CONFIGURATION,
    NO_ROUTE,
)

OPEN_CUSTOMER = "open"


@dataclass(slots=True, frozen=True)
class Caller:
    """Authenticated sender of a request, with its customer and route.

    `key_digest` is empty for requests without a key, which only open routes accept.
    """

    customer: str
    part: CustomerPart
    route_name: str
    route: RoutePart
    key_digest: str


def authenticate(configuration: Configuration, *, key: str | None, route_name: str) -> Caller:
    """Return the caller that a key identifies on a route.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    key : str, optional
        Customer key as received; None if the request has none.
    route_name : str
        Name of the requested route.

    Raises
    ------
    SamphireError
        If no configuration is in force, the route or the key is unknown, the key
        is missing, or the customer may not use the route.
    """
    if configuration.version == 0:
        raise SamphireError(NO_CONFIGURATION, "no configuration is in force", retry_after=1.0)
    route = configuration.route(route_name)
    if route is None:
        raise SamphireError(NO_ROUTE, f"route {route_name!r} is not configured")
    if key is None:
        if not route.open:
            raise SamphireError(KEY_MISSING, f"route {route_name!r} requires a bearer key")
        return Caller(OPEN_CUSTOMER, CustomerPart(), route_name, route, "")
    digest = key_digest(key)
    customer, part = customer_with_key(configuration, digest)
    if not may_use(part, route_name, route):
        raise SamphireError(
            MODEL_FORBIDDEN, f"customer {customer!r} may not use route {route_name!r}"
        )
    return Caller(customer, part, route_name, route, digest)


def customer_with_key(configuration: Configuration, digest: str) -> tuple[str, CustomerPart]:
    """Return the name and the configuration part of the customer whose key has this digest.

    Raises
    ------
    SamphireError
        If no customer has the key.
    """
    customer = configuration.find_customer_name(digest)
    part = configuration.customer(customer) if customer else None
    if customer is None or part is None:
        raise SamphireError(KEY_UNKNOWN, "the key is unknown or withdrawn")
    return customer, part


def is_key_valid(configuration: Configuration, caller: Caller) -> bool:
    """Return whether the caller's key still belongs to its customer."""
    if not caller.key_digest:
        return True
    return configuration.find_customer_name(caller.key_digest) == caller.customer
