"""Where a prompt is read and where its answer is generated.

The load it answers: more prompt tokens than the prefill engines can read in
time, most of them shared with other requests, in bursts of a few seconds.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from samphirehall.gateway.types import EngineLimits, Prompt, Stage

TRANSFER_SETUP_SECONDS = 0.006  # starting a transfer between engines, beside its bytes
CROSS_ZONE_TRANSFER_FACTOR = 2.0  # the platform's page: transfers between zones take twice as long
MIN_PREFIX_FETCH_TOKENS = 512  # fewer are read sooner than a transfer is set up
FULL_BATCH_PENALTY_SECONDS = (
    0.2  # cost of joining an engine whose batch is full: some request must end first
)
UNCONTENDED_BATCH_FRACTION = (
    0.25  # part of the slots up to which streams share an engine at hardly any cost
)
# Cost of taking an idle engine for a prompt read elsewhere: idle engines can read without
# stopping a stream, which is worth more than a batch with few streams.
IDLE_ENGINE_PENALTY_SECONDS = 0.03
BITS_PER_BYTE = 8
# Reading on a generating engine stops its streams. An event may hold several tokens, so that
# the stops between them add up; half of the allowed pause is left for generating.
PREFILL_GAP_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class EngineView:
    """An engine as seen by one decision.

    Parameters
    ----------
    endpoint_id, address, zone : str
        The engine.
    stage : Stage
        What it works on.
    requests : int
        Requests that all hosts have there.
    tokens_ahead : int
        Prompt tokens that it reads before a new prompt of this urgency.
    unread_tokens : int
        Prompt tokens of any urgency that it has still to read.
    cached_tokens : int
        Leading tokens of this prompt that it keeps.
    tokens_per_second : float
        How fast it reads.
    overhead : float
        Seconds of a call besides reading.
    suspicion : float
        Seconds by which recent failures make it less attractive.
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


@dataclass(slots=True, frozen=True)
class GenerationPlan:
    """Engines for one request.

    Parameters
    ----------
    prefill : EngineView or None
        Engine that only reads the prompt; None if the generating engine does both.
    decode : EngineView
        Engine that generates.
    fetch_from : EngineView or None
        Engine whose copy of shared parts is fetched before reading.
    unread_tokens : int
        Tokens that the reading engine has to read.
    wait : float
        Seconds until reading begins.
    first_event : float
        Seconds until the first event.
    """

    dedicated_prefill: EngineView | None
    decode: EngineView
    prefix_source: EngineView | None
    uncached_tokens: int
    queue_wait: float
    time_to_first_event: float

    @property
    def prefill_engine(self) -> EngineView:
        """Engine that reads the prompt."""
        return self.dedicated_prefill or self.decode


def plan_generation(
    engines: Iterable[EngineView],
    prompt: Prompt,
    limits: EngineLimits,
    *,
    kv_transfer_overhead: float,
    max_event_gap: float,
) -> GenerationPlan | None:
    """Return the plan with the earliest first event, or None without a generating engine.

    Parameters
    ----------
    engines : iterable of EngineView
        Engines that take new work.
    prompt : Prompt
        Length and parts of the prompt.
    limits : EngineLimits
        Sizes and rates of the engines.
    hand_over : float
        Seconds from a read prompt to the first event elsewhere, besides the transfer.
    pause : float
        Longest pause in seconds between events of the streams that run.
    """
    views = list(engines)
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
                _build_plan(prefill, decode_engine, views, prompt, limits, kv_transfer_overhead)
            )
    local_plans = [_build_plan(None, decode, views, prompt, limits, 0.0) for decode in decoders]
    plans += [plan for plan in local_plans if not plans or _inter_event_gap(plan) <= max_event_gap]
    return min(plans, key=lambda plan: plan.time_to_first_event + _failure_penalty(plan))


def _inter_event_gap(plan: GenerationPlan) -> float:
    """Return the pause in seconds that reading brings to the streams of a generating engine."""
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
    return GenerationPlan(prefill, decode, source, uncached, wait, first_event)


def _choose_prefix_source(
    prefill_engine: EngineView, views: Sequence[EngineView], prompt: Prompt, limits: EngineLimits
) -> tuple[EngineView | None, float, int]:
    """Return where cached parts are fetched from, the seconds it takes, and the tokens then kept.

    The engine with the most is asked; reading instead is kept if it is sooner.
    """
    local_tokens = min(prefill_engine.cached_tokens, prompt.shared_tokens)
    source = max(views, key=lambda view: (view.cached_tokens, view.zone == prefill_engine.zone))
    fetched_tokens = min(source.cached_tokens, prompt.shared_tokens) - local_tokens
    if source is prefill_engine or fetched_tokens < MIN_PREFIX_FETCH_TOKENS:
        return None, 0.0, local_tokens
    seconds = _transfer_time(source, prefill_engine, fetched_tokens, limits)
    if seconds >= fetched_tokens / prefill_engine.prefill_tokens_per_second:
        return None, 0.0, local_tokens
    return source, seconds, local_tokens + fetched_tokens


def _transfer_and_decode_delay(
    prefill: EngineView, decode: EngineView, prompt: Prompt, limits: EngineLimits
) -> float:
    """Return the seconds from the end of reading to the first event."""
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
    """Return the cost of having a prompt that was read elsewhere generated by an engine."""
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


def _failure_penalty(plan: GenerationPlan) -> float:
    penalty = (
        plan.decode.failure_penalty
        if plan.dedicated_prefill is None
        else plan.dedicated_prefill.failure_penalty
    )
    return penalty
