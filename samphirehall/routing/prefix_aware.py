"""Routing policy: the earliest estimated finish among holders of the prefix and a few others."""

import random
from collections.abc import Mapping, Sequence

from samphirehall.routing.estimate import (
    decode_seconds,
    first_token_seconds,
    preference_seconds,
)
from samphirehall.routing.policy import (
    FindEndpoint,
    NoEndpointError,
    RoutingDecision,
    RoutingPolicy,
    RoutingSetup,
)
from samphirehall.routing.view import EndpointView, RoutingRequest

SAMPLED = 3
MAX_HOLDERS_CONSIDERED = 3
TIE_SHARE = 0.05
SPLIT_GAIN = 0.9
HOME_SHARE = 0.5

Matches = Mapping[str, int]


def prefix_aware(setup: RoutingSetup) -> RoutingPolicy:
    """Return the policy that picks the earliest estimated finish.

    It considers the endpoints that hold most of the prompt's prefix and a few
    at random, so that hosts that decide at once on the same late reports do
    not all choose the same endpoint.
    """
    known, speeds, wishes = setup.index, setup.rates, setup.preferences

    def cached_tokens(view: EndpointView, request: RoutingRequest, matches: Matches) -> int:
        blocks = matches.get(view.info.endpoint_id, 0)
        return min(blocks * setup.block_tokens, request.prompt_tokens)

    def first_token(
        view: EndpointView, request: RoutingRequest, matches: Matches, now: float
    ) -> float:
        cached = cached_tokens(view, request, matches)
        return first_token_seconds(view, request.prompt_tokens, cached, speeds, now=now)

    def choose(
        candidates: Sequence[EndpointView],
        request: RoutingRequest,
        *,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        if not candidates:
            raise NoEndpointError(request.target, 0)
        matches = known.matches(request.block_hashes)
        sampled = _sample(candidates, matches, setup.find, random_source)
        if request.block_hashes and not matches:
            sampled.append(_home(candidates, request.block_hashes[0]))
        firsts = [first_token(view, request, matches, now) for view in sampled]
        scores = [
            first
            + decode_seconds(view, request.output_tokens, speeds)
            + preference_seconds(view, request, wishes)
            for view, first in zip(sampled, firsts, strict=True)
        ]
        if request.block_hashes and not matches:
            scores[-1] -= HOME_SHARE * request.prompt_tokens / speeds.prefill_tokens_per_second
        chosen = _pick(scores, random_source)
        best, first = sampled[chosen], firsts[chosen]
        cached = cached_tokens(best, request, matches)
        whole = RoutingDecision(
            best,
            first + decode_seconds(best, request.output_tokens, speeds),
            f"earliest of {len(sampled)}: {cached} of {request.prompt_tokens} tokens cached",
            first_token=first,
            cached_tokens=cached,
        )
        if not request.prefill_candidates:
            return whole
        return split(sampled, request, matches, whole, now, random_source)

    def split(
        decoders: Sequence[EndpointView],
        request: RoutingRequest,
        matches: Matches,
        whole: RoutingDecision,
        now: float,
        random_source: random.Random,
    ) -> RoutingDecision:
        """Return the split over two engines if it is clearly sooner than the whole."""
        prefill = min(
            _sample(request.prefill_candidates, matches, setup.find, random_source),
            key=lambda view: first_token(view, request, matches, now),
        )
        decoder = min(
            decoders, key=lambda view: decode_seconds(view, request.output_tokens, speeds)
        )
        first = first_token(prefill, request, matches, now)
        transfer = speeds.transfer_seconds
        transfer += request.prompt_tokens / speeds.transfer_tokens_per_second
        estimate = first + transfer + decode_seconds(decoder, request.output_tokens, speeds)
        if estimate > SPLIT_GAIN * whole.estimate:
            return whole
        return RoutingDecision(
            decoder,
            estimate,
            f"prefill apart, {whole.estimate - estimate:.3f} s sooner than whole",
            prefill=prefill,
            first_token=first,
            cached_tokens=cached_tokens(prefill, request, matches),
        )

    return choose


def _sample(
    candidates: Sequence[EndpointView],
    matches: Matches,
    find: FindEndpoint,
    random_source: random.Random,
) -> list[EndpointView]:
    """Return the holders of the longest prefixes, and some others at random."""
    if len(candidates) <= SAMPLED:
        return list(candidates)
    sampled = _draw(candidates, random_source)
    if matches:
        names = sorted(matches, key=matches.__getitem__, reverse=True)[:MAX_HOLDERS_CONSIDERED]
        for name in names:
            view = find(name)
            if view is not None and view not in sampled and view in candidates:
                sampled.append(view)
    return sampled


def _draw(candidates: Sequence[EndpointView], random_source: random.Random) -> list[EndpointView]:
    """Return `SAMPLED` different candidates at random; `random.sample` costs more than that."""
    drawn: list[EndpointView] = []
    count = len(candidates)
    while len(drawn) < SAMPLED:
        view = candidates[int(random_source.random() * count)]
        if view not in drawn:
            drawn.append(view)
    return drawn


def _home(candidates: Sequence[EndpointView], first_block: int) -> EndpointView:
    """Return where every host sends a prefix that it does not know, unless that is busy.

    Hosts that see the same list agree without a message, so that a prefix is
    not held twice because two hosts met it.
    """
    return candidates[first_block % len(candidates)]


def _pick(scores: Sequence[float], random_source: random.Random) -> int:
    """Return the position of one of those that are about as good as the best."""
    lowest = min(scores)
    limit = lowest + TIE_SHARE * abs(lowest)
    best = [number for number, score in enumerate(scores) if score <= limit]
    return best[int(random_source.random() * len(best))]
