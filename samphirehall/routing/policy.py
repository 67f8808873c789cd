"""Interface and registry of routing policies, and the two that need no estimates."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from samphirehall.core.registry import Registry
from samphirehall.routing.estimate import EngineRates, Preferences
from samphirehall.routing.prefix_index import PrefixIndex
from samphirehall.routing.view import EndpointView, RoutingRequest


@dataclass(slots=True, frozen=True)
class RoutingDecision:
    """Endpoint that a routing policy chose, with its estimates.

    Parameters
    ----------
    endpoint : EndpointView
        Endpoint that the request is sent to.
    estimated_latency : float
        Estimated seconds until the last token; 0 if the policy makes no estimate.
    reason : str
        Reason for the choice, written to the log.
    prefill_engine : EndpointView, optional
        Engine that prefills the prompt and transfers its KV cache to `endpoint`.
    estimated_first_token : float
        Estimated seconds until the first token; 0 if the policy makes no estimate.
    cached_tokens : int
        Prompt tokens estimated to be in the prefix cache.
    """

    endpoint: EndpointView
    estimated_latency: float
    reason: str
    prefill_engine: EndpointView | None = None
    estimated_first_token: float = 0.0
    cached_tokens: int = 0


EndpointLookup = Callable[[str], EndpointView | None]


def _unknown_endpoint(endpoint_id: str) -> EndpointView | None:
    return None


@dataclass(slots=True, frozen=True)
class RoutingSetup:
    """Inputs from which a routing policy is built.

    Parameters
    ----------
    prefix_index : PrefixIndex
        Approximate index of the blocks that each endpoint caches.
    rates : EngineRates
        Engine rates that the estimates use.
    preferences : Preferences
        Penalties for endpoints of another zone or of the less preferred kind.
    block_tokens : int
        Number of tokens per block.
    find_endpoint : callable
        Returns the view of an endpoint by its identifier, or None if it is unknown.
    """

    prefix_index: PrefixIndex = field(default_factory=PrefixIndex)
    rates: EngineRates = field(default_factory=EngineRates)
    preferences: Preferences = field(default_factory=Preferences)
    block_tokens: int = 1024
    find_endpoint: EndpointLookup = _unknown_endpoint


RoutingPolicy = Callable[..., RoutingDecision]
ROUTING_POLICIES: Registry[Callable[[RoutingSetup], RoutingPolicy]] = Registry("routing")


class NoEndpointError(Exception):
    """Raised when no endpoint can take a request."""

    def __init__(self, target: str, candidate_count: int) -> None:
        super().__init__(f"no endpoint for {target!r} among {candidate_count} candidates")
        self.target = target
        self.considered = candidate_count


def least_in_flight(setup: RoutingSetup) -> RoutingPolicy:
    """Return the policy that picks the endpoint with the fewest calls from this host.

    Ties are broken at random.
    """

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
    """Return the policy that cycles through the endpoints."""
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
