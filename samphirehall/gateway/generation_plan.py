"""Choice of the prefill engine, decode engine and prefix source of a request.

Designed for bursts of a few seconds in which more prompt tokens arrive than the
prefill engines can process in time, most of them shared between requests.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from samphirehall.gateway.types import EngineLimits, Prompt, Stage

TRANSFER_SETUP_SECONDS = 0.006  # fixed cost of a KV transfer
CROSS_ZONE_TRANSFER_FACTOR = 2.0  # documented by the platform
MIN_PREFIX_FETCH_TOKENS = 512  # prefill of fewer tokens is faster than a transfer
FULL_BATCH_PENALTY_SECONDS = 0.2  # a full batch has to finish a request first
UNCONTENDED_BATCH_FRACTION = 0.25  # of the slots; streams hardly slow each other below it
# Penalty for sending a prompt that was prefilled elsewhere to an idle decode engine: idle engines
# can prefill without stalling a stream, which is worth more than a batch with few streams.
IDLE_ENGINE_PENALTY_SECONDS = 0.03
BITS_PER_BYTE = 8
# Prefill on a decode engine stalls its streams. An event may hold several tokens, so that the
# stalls between them add up; the other half of the allowed gap is left for decoding.
PREFILL_GAP_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class EngineView:
    """Snapshot of an engine for one planning decision.

    Parameters
    ----------
    endpoint_id, address, zone : str
        Identity and location of the engine.
    stage : Stage
        Stage that the engine serves.
    requests : int
        Requests in flight from all hosts.
    tokens_ahead : int
        Prompt tokens that are prefilled before a new prompt of the same rank.
    pending_prefill_tokens : int
        Prompt tokens of any rank still to be prefilled.
    cached_tokens : int
        Leading tokens of this prompt in its prefix cache.
    prefill_tokens_per_second : float
        Prefill speed.
    overhead : float
        Seconds of a call besides prefill.
    failure_penalty : float
        Seconds added to its estimates because of recent failures.
    software_version : str
        Version of its software.
    """

    endpoint_id: str
    address: str
    zone: str
    stage: Stage
    requests: int
    tokens_ahead: int
    pending_prefill_tokens: int
    cached_tokens: int
    prefill_tokens_per_second: float
    overhead: float
    failure_penalty: float = 0.0
    software_version: str = ""

    @property
    def total_queue_wait(self) -> float:
        """Seconds until it has done all prefill that waits, of any rank."""
        return self.pending_prefill_tokens / self.prefill_tokens_per_second


@dataclass(slots=True, frozen=True)
class GenerationPlan:
    """Engines chosen for one request, with the expected delays.

    Parameters
    ----------
    dedicated_prefill : EngineView or None
        Prefill engine; None if the decode engine does the prefill as well.
    decode : EngineView
        Decode engine.
    prefix_source : EngineView or None
        Engine from which cached shared parts are fetched before the prefill.
    uncached_tokens : int
        Tokens to prefill.
    queue_wait : float
        Seconds until the prefill starts.
    time_to_first_event : float
        Seconds until the first event; with a dedicated prefill engine it includes the
        failure penalty of the decode engine.
    considered : int
        Number of engines among which they were chosen.
    least_total_wait : float
        Seconds until the first of the considered engines of the stage that prefills has done all
        prefill that waits, of any rank.
    fetch_time : float
        Seconds of the fetch from the prefix source.
    """

    dedicated_prefill: EngineView | None
    decode: EngineView
    prefix_source: EngineView | None
    uncached_tokens: int
    queue_wait: float
    time_to_first_event: float
    considered: int = 0
    least_total_wait: float = float("inf")
    fetch_time: float = 0.0

    @property
    def prefill_engine(self) -> EngineView:
        """Engine that does the prefill."""
        return self.dedicated_prefill or self.decode

    @property
    def total_queue_wait(self) -> float:
        """Seconds until the prefill engine has done all prefill that waits, of any rank."""
        return self.prefill_engine.total_queue_wait

    @property
    def endpoint_ids(self) -> frozenset[str]:
        """Engines to which requests are sent."""
        return frozenset((self.prefill_engine.endpoint_id, self.decode.endpoint_id))

    @property
    def cost(self) -> float:
        """Seconds until the first event, with the failure penalty of the prefill engine."""
        return self.time_to_first_event + self.prefill_engine.failure_penalty


def plan_generation(
    engines: Iterable[EngineView],
    prompt: Prompt,
    limits: EngineLimits,
    *,
    kv_transfer_overhead: float,
    max_event_gap: float,
    prefix_source: EngineView | None = None,
) -> GenerationPlan | None:
    """Return the plan with the earliest first event, or None without a decode engine.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines of one software version that accept new requests.
    prompt : Prompt
        Length and parts of the prompt.
    limits : EngineLimits
        Sizes and rates of the engines.
    kv_transfer_overhead : float
        Seconds from the end of the prefill to the first event on another engine, besides
        the transfer itself.
    max_event_gap : float
        Maximum seconds between events of the running streams.
    prefix_source : EngineView or None
        Engine of the same version, outside of `engines`, that may cache more of the prompt.
    """
    views = list(engines)
    sources = [*views, prefix_source] if prefix_source else views
    decoders = [view for view in views if view.stage is Stage.DECODE]
    if not decoders:
        return None
    plans = []
    for prefill in views:
        if prefill.stage is Stage.PREFILL:
            decode_engine = min(
                decoders, key=lambda view: _decode_engine_cost(prefill, view, prompt, limits)
            )
            plans.append(
                _build_plan(prefill, decode_engine, sources, prompt, limits, kv_transfer_overhead)
            )
    local_plans = [_build_plan(None, decode, sources, prompt, limits, 0.0) for decode in decoders]
    plans += [plan for plan in local_plans if not plans or _inter_event_gap(plan) <= max_event_gap]
    best = min(plans, key=lambda plan: plan.cost)
    least_total_wait = min(
        view.total_queue_wait for view in views if view.stage is best.prefill_engine.stage
    )
    return replace(best, considered=len(views), least_total_wait=least_total_wait)


def _inter_event_gap(plan: GenerationPlan) -> float:
    """Return the seconds for which prefill stalls the streams of the decode engine.

    The result is scaled by `PREFILL_GAP_FRACTION` to compare it with the allowed gap.
    """
    engine = plan.decode
    if engine.requests == 0:
        return 0.0
    tokens = engine.pending_prefill_tokens + plan.uncached_tokens
    return tokens / engine.prefill_tokens_per_second / PREFILL_GAP_FRACTION


def _build_plan(
    prefill: EngineView | None,
    decode: EngineView,
    views: Sequence[EngineView],
    prompt: Prompt,
    limits: EngineLimits,
    kv_transfer_overhead: float,
) -> GenerationPlan:
    prefill_engine = prefill or decode
    wait = prefill_engine.tokens_ahead / prefill_engine.prefill_tokens_per_second
    source, fetch_time, cached = _choose_prefix_source(prefill_engine, views, prompt, limits)
    uncached = max(0, prompt.prompt_tokens - cached)
    prefill_time = (
        fetch_time + uncached / prefill_engine.prefill_tokens_per_second + prefill_engine.overhead
    )
    decode_delay = (
        _transfer_and_decode_delay(prefill, decode, prompt, limits)
        if prefill
        else _full_batch_penalty(decode, limits)
    )
    first_event = wait + prefill_time + kv_transfer_overhead + decode_delay
    return GenerationPlan(
        prefill, decode, source, uncached, wait, first_event, fetch_time=fetch_time
    )


def _choose_prefix_source(
    prefill_engine: EngineView, views: Sequence[EngineView], prompt: Prompt, limits: EngineLimits
) -> tuple[EngineView | None, float, int]:
    """Return the prefix source, the seconds of the fetch, and the tokens cached after it.

    The engine with the most cached tokens is the source; there is none if prefill is faster.
    """
    local_tokens = min(prefill_engine.cached_tokens, prompt.shared_tokens)
    source = max(views, key=lambda view: (view.cached_tokens, view.zone == prefill_engine.zone))
    fetched_tokens = min(source.cached_tokens, prompt.shared_tokens) - local_tokens
    is_same = source.endpoint_id == prefill_engine.endpoint_id
    if is_same or fetched_tokens < MIN_PREFIX_FETCH_TOKENS:
        return None, 0.0, local_tokens
    seconds = _transfer_time(source, prefill_engine, fetched_tokens, limits)
    if seconds >= fetched_tokens / prefill_engine.prefill_tokens_per_second:
        return None, 0.0, local_tokens
    return source, seconds, local_tokens + fetched_tokens


def _transfer_and_decode_delay(
    prefill: EngineView, decode: EngineView, prompt: Prompt, limits: EngineLimits
) -> float:
    """Return the seconds from the end of the prefill to the first event."""
    tokens = max(0, prompt.prompt_tokens - decode.cached_tokens)
    return (
        _transfer_time(prefill, decode, tokens, limits)
        + _full_batch_penalty(decode, limits)
        + decode.tokens_ahead / decode.prefill_tokens_per_second
        + decode.failure_penalty
    )


def _decode_engine_cost(
    prefill: EngineView, decode: EngineView, prompt: Prompt, limits: EngineLimits
) -> float:
    """Return the cost in seconds of decoding on an engine after prefill on another one."""
    idle_penalty = IDLE_ENGINE_PENALTY_SECONDS if decode.requests == 0 else 0.0
    return _transfer_and_decode_delay(prefill, decode, prompt, limits) + idle_penalty


def _transfer_time(
    source: EngineView, target: EngineView, tokens: int, limits: EngineLimits
) -> float:
    seconds = tokens * limits.bytes_per_token * BITS_PER_BYTE / limits.link_bits_per_second
    return TRANSFER_SETUP_SECONDS + seconds * (
        1.0 if source.zone == target.zone else CROSS_ZONE_TRANSFER_FACTOR
    )


def _full_batch_penalty(decode: EngineView, limits: EngineLimits) -> float:
    return FULL_BATCH_PENALTY_SECONDS * max(
        0.0, decode.requests / limits.slots - UNCONTENDED_BATCH_FRACTION
    )
