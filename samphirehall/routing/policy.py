"""Routing policies: plug-ins that choose among endpoints that can serve a request."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from samphirehall.core.registry import Registry
from samphirehall.routing.estimate import EngineRates, Preferences
from samphirehall.routing.prefix_index import PrefixIndex
from samphirehall.routing.view import EndpointView, RoutingRequest


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
    prefill : EndpointView, optional
        Engine that prefills first and hands its KV cache to `endpoint`.
    first_token : float
        Estimated seconds to the first token; 0 if there is no estimate.
    cached_tokens : int
        Prompt tokens thought to need no prefill.
    """

    endpoint: EndpointView
    estimate: float
    reason: str
    prefill: EndpointView | None = None
    first_token: float = 0.0
    cached_tokens: int = 0


FindEndpoint = Callable[[str], EndpointView | None]


def _find_none(endpoint_id: str) -> EndpointView | None:
    return None


@dataclass(slots=True, frozen=True)
class RoutingSetup:
    """What a policy is made from.

    Parameters
    ----------
    index : PrefixIndex
        Which endpoints hold which blocks.
    rates : EngineRates
        Rates of the engines.
    preferences : Preferences
        What a less wanted zone or kind has to make up for.
    block_tokens : int
        Tokens of a block.
    find : callable
        Returns the view of an endpoint by its name, or None.
    """

    index: PrefixIndex = field(default_factory=PrefixIndex)
    rates: EngineRates = field(default_factory=EngineRates)
    preferences: Preferences = field(default_factory=Preferences)
    block_tokens: int = 1024
    find: FindEndpoint = _find_none


RoutingPolicy = Callable[..., RoutingDecision]
ROUTING_POLICIES: Registry[Callable[[RoutingSetup], RoutingPolicy]] = Registry("routing")


class NoEndpointError(Exception):
    """No candidate can take the request."""

    def __init__(self, target: str, considered: int) -> None:
        super().__init__(f"no endpoint for {target!r} among {considered} candidates")
        self.target = target
        self.considered = considered


def least_in_flight(setup: RoutingSetup) -> RoutingPolicy:
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


def round_robin(setup: RoutingSetup) -> RoutingPolicy:
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
