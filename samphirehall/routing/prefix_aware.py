"""Routing policy that picks the earliest estimated finish, taking prefix caches into account."""

import random
from collections.abc import Callable, Mapping, Sequence

from samphirehall.routing.estimate import (
    decode_seconds,
    first_token_seconds,
    preference_seconds,
)
from samphirehall.routing.policy import (
    EndpointLookup,
    NoEndpointError,
    RoutingDecision,
    RoutingPolicy,
    RoutingSetup,
)
from samphirehall.routing.view import EndpointView, RoutingRequest

RANDOM_CANDIDATES = 3
MAX_PREFIX_HOLDERS = 3
TIE_TOLERANCE_FRACTION = 0.05
MAX_SPLIT_LATENCY_FRACTION = 0.9
DEFAULT_HOLDER_BONUS_FRACTION = 0.5

Matches = Mapping[str, int]


def prefix_aware(setup: RoutingSetup) -> RoutingPolicy:
    """Return the policy that picks the earliest estimated finish.

    It compares the endpoints that hold the most of the prompt's prefix and a
    few random ones. The random ones keep hosts that decide at the same time on
    the same outdated reports from all choosing the same endpoint.
    """
    index, rates, preferences = setup.prefix_index, setup.rates, setup.preferences

    def estimate_cached_tokens(
        view: EndpointView, request: RoutingRequest, matches: Matches
    ) -> int:
        blocks = matches.get(view.info.endpoint_id, 0)
        return min(blocks * setup.block_tokens, request.prompt_tokens)

    def estimate_first_token(
        view: EndpointView, request: RoutingRequest, matches: Matches, now: float
    ) -> float:
        cached = estimate_cached_tokens(view, request, matches)
        return first_token_seconds(view, request.prompt_tokens, cached, rates, now=now)

    def choose(
        candidates: Sequence[EndpointView],
        request: RoutingRequest,
        *,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        if not candidates:
            raise NoEndpointError(request.target, 0)
        matches = index.matches(request.block_hashes)
        considered = _select_candidates(candidates, matches, setup.find_endpoint, random_source)
        if request.block_hashes and not matches:
            considered.append(_default_holder(candidates, request.block_hashes[0]))
        first_token_times = [
            estimate_first_token(view, request, matches, now) for view in considered
        ]
        scores = [
            first_token_time
            + decode_seconds(view, request.output_tokens, rates)
            + preference_seconds(view, request, preferences)
            for view, first_token_time in zip(considered, first_token_times, strict=True)
        ]
        if request.block_hashes and not matches:
            scores[-1] -= (
                DEFAULT_HOLDER_BONUS_FRACTION
                * request.prompt_tokens
                / rates.prefill_tokens_per_second
            )
        chosen_index = _choose_near_lowest(scores, random_source)
        best, first_token_time = considered[chosen_index], first_token_times[chosen_index]
        cached = estimate_cached_tokens(best, request, matches)
        single_engine = RoutingDecision(
            best,
            first_token_time + decode_seconds(best, request.output_tokens, rates),
            f"earliest of {len(considered)}: {cached} of {request.prompt_tokens} tokens cached",
            estimated_first_token=first_token_time,
            cached_tokens=cached,
        )
        if not request.prefill_candidates:
            return single_engine
        return prefer_split(considered, request, matches, single_engine, now, random_source)

    def prefer_split(
        decode_candidates: Sequence[EndpointView],
        request: RoutingRequest,
        matches: Matches,
        single_engine: RoutingDecision,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        """Return a decision with separate prefill and decode engines if it is clearly faster.

        Otherwise return `single_engine`, the decision with one engine. Both engines have the
        same software version, as a KV cache is of no use to another one.
        """
        decode_engines = _best_by_version(
            decode_candidates, key=lambda view: decode_seconds(view, request.output_tokens, rates)
        )
        usable = [
            view
            for view in request.prefill_candidates
            if view.info.software_version in decode_engines
        ]
        if not usable:
            return single_engine

        def estimate_pair(view: EndpointView) -> float:
            decode_engine = decode_engines[view.info.software_version]
            return estimate_first_token(view, request, matches, now) + decode_seconds(
                decode_engine, request.output_tokens, rates
            )

        prefill_engine = min(
            _select_candidates(usable, matches, setup.find_endpoint, random_source),
            key=estimate_pair,
        )
        decode_engine = decode_engines[prefill_engine.info.software_version]
        first_token_time = estimate_first_token(prefill_engine, request, matches, now)
        transfer_seconds = rates.transfer_seconds
        transfer_seconds += request.prompt_tokens / rates.transfer_tokens_per_second
        estimate = (
            first_token_time
            + transfer_seconds
            + decode_seconds(decode_engine, request.output_tokens, rates)
        )
        if estimate > MAX_SPLIT_LATENCY_FRACTION * single_engine.estimated_latency:
            return single_engine
        return RoutingDecision(
            decode_engine,
            estimate,
            f"separate prefill engine, {single_engine.estimated_latency - estimate:.3f} s sooner",
            prefill_engine=prefill_engine,
            estimated_first_token=first_token_time,
            cached_tokens=estimate_cached_tokens(prefill_engine, request, matches),
        )

    return choose


def _select_candidates(
    candidates: Sequence[EndpointView],
    matches: Matches,
    find: EndpointLookup,
    random_source: random.Random,
) -> list[EndpointView]:
    """Return random candidates and the holders of the longest cached prefixes."""
    if len(candidates) <= RANDOM_CANDIDATES:
        return list(candidates)
    selected = _draw_random(candidates, random_source)
    if matches:
        holder_ids = sorted(matches, key=matches.__getitem__, reverse=True)[:MAX_PREFIX_HOLDERS]
        for endpoint_id in holder_ids:
            view = find(endpoint_id)
            if view is not None and view not in selected and view in candidates:
                selected.append(view)
    return selected


def _draw_random(
    candidates: Sequence[EndpointView], random_source: random.Random
) -> list[EndpointView]:
    """Draw `RANDOM_CANDIDATES` distinct candidates; `random.sample` is slower."""
    drawn: list[EndpointView] = []
    count = len(candidates)
    while len(drawn) < RANDOM_CANDIDATES:
        view = candidates[int(random_source.random() * count)]
        if view not in drawn:
            drawn.append(view)
    return drawn


def _best_by_version(
    candidates: Sequence[EndpointView], key: Callable[[EndpointView], float]
) -> dict[str, EndpointView]:
    """Return the candidate with the lowest key of each software version."""
    best: dict[str, EndpointView] = {}
    for view in sorted(candidates, key=key):
        best.setdefault(view.info.software_version, view)
    return best


def _default_holder(candidates: Sequence[EndpointView], first_block: int) -> EndpointView:
    """Return the candidate that is preferred for a prefix which no endpoint holds.

    It depends only on the candidates and the first block, so hosts with the
    same candidates agree on it without communicating, and a prefix that
    reaches two hosts is cached on one endpoint instead of two.
    """
    return candidates[first_block % len(candidates)]


def _choose_near_lowest(scores: Sequence[float], random_source: random.Random) -> int:
    """Return the index of a random score within a tolerance of the lowest."""
    lowest = min(scores)
    limit = lowest + TIE_TOLERANCE_FRACTION * abs(lowest)
    near_lowest = [index for index, score in enumerate(scores) if score <= limit]
    return near_lowest[int(random_source.random() * len(near_lowest))]
