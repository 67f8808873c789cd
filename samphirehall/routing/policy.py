"""Routing policies: plug-ins that choose among endpoints that can serve a request."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from samphirehall.core.registry import Registry
from samphirehall.routing.fleet import EndpointView, RoutingRequest


@dataclass(slots=True, frozen=True)
class RoutingDecision:
    """The endpoint chosen.

    Parameters
    ----------
    endpoint : EndpointView
        Where the request goes.
    estimate : float
        Seconds until it would be finished, as far as the policy estimates them.
    reason : str
        Why, for the log line.
    """

    endpoint: EndpointView
    estimate: float
    reason: str


RoutingPolicy = Callable[..., RoutingDecision]
ROUTING_POLICIES: Registry[Callable[[], RoutingPolicy]] = Registry("routing")


class NoEndpointError(Exception):
    """No candidate can take the request."""

    def __init__(self, target: str, considered: int) -> None:
        super().__init__(f"no endpoint for {target!r} among {considered} candidates")
        self.target = target
        self.considered = considered


def least_in_flight() -> RoutingPolicy:
    """Return the policy that picks the endpoint with the fewest calls of this host."""

    def choose(
        candidates: Sequence[EndpointView],
        request: RoutingRequest,
        *,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        if not candidates:
            raise NoEndpointError(request.target, 0)
        fewest = min(view.in_flight for view in candidates)
        best = [view for view in candidates if view.in_flight == fewest]
        chosen = random_source.choice(best)
        return RoutingDecision(chosen, 0.0, f"fewest in flight: {fewest}")

    return choose


def round_robin() -> RoutingPolicy:
    """Return the policy that takes each endpoint in turn."""
    turn = 0

    def choose(
        candidates: Sequence[EndpointView],
        request: RoutingRequest,
        *,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        nonlocal turn
        if not candidates:
            raise NoEndpointError(request.target, 0)
        turn += 1
        return RoutingDecision(candidates[turn % len(candidates)], 0.0, f"turn {turn}")

    return choose
