"""Lookup of the route, customer and service of a request."""

from collections import defaultdict

import xxhash

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import KEY_MISSING, KEY_UNKNOWN, NO_ROUTE
from samphirehall.gateway.types import Customer, GatewayConfiguration, Request, Route

_HASH_RANGE = float(1 << 64)


class RouteTable:
    """Routes of one configuration, by authority and longest prefix.

    Parameters
    ----------
    configuration : GatewayConfiguration
        Configuration that defines the routes.
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            self._by_host[route.host].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of `path`.

        Raises
        ------
        SamphireError
            No route matches.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise SamphireError(NO_ROUTE, f"no route for {host}{path}")

    def authenticate(self, request: Request, route: Route) -> Customer | None:
        """Return the customer that the key of a request belongs to, or None if none is needed.

        Raises
        ------
        SamphireError
            The route needs a key, and the key is missing or unknown.
        """
        customers = self.configuration.customers_by_key
        if customers is None:
            return None
        customer = customers.get(request.key) if request.key else None
        if customer is None and not route.public:
            if request.key is None:
                raise SamphireError(KEY_MISSING, f"route {route.name} needs a key")
            raise SamphireError(KEY_UNKNOWN, "the key belongs to no customer")
        return customer


def choose_service(route: Route, request_id: str) -> str:
    """Return a service by weight, deterministically from the request id on every host."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    remaining_weight = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    for share in route.shares:
        remaining_weight -= share.weight
        if remaining_weight < 0:
            return share.service
    return route.shares[-1].service


def request_rank(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request; the customer's priority overrides that of the route."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority
