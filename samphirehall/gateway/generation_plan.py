"""Where a prompt is read and where its answer is generated.

The load it answers: more prompt tokens than the prefill engines can read in
time, most of them shared with other requests, in bursts of a few seconds.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from samphirehall.gateway.types import EngineLimits, Prompt, Stage

FETCH_SETUP_S = 0.006  # starting a transfer between engines, beside its bytes
ZONE_FACTOR = 2.0  # the platform's page: transfers between zones take twice as long
LEAST_FETCH_TOKENS = 512  # fewer are read sooner than a transfer is set up
SLOT_WAIT_S = 0.2  # cost of joining an engine whose batch is full: some request must end first
PACKED_SHARE = 0.25  # part of the slots up to which streams share an engine at hardly any cost
# Cost of taking an idle engine for a prompt read elsewhere: idle engines can read without
# stopping a stream, which is worth more than a batch with few streams.
IDLE_ENGINE_S = 0.03
BITS = 8
# Reading on a generating engine stops its streams. An event may hold several tokens, so that
# the stops between them add up; half of the allowed pause is left for generating.
INTERRUPTION_SHARE = 0.5


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
    unread_tokens: int
    cached_tokens: int
    tokens_per_second: float
    overhead: float
    suspicion: float = 0.0


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

    prefill: EngineView | None
    decode: EngineView
    fetch_from: EngineView | None
    unread_tokens: int
    wait: float
    first_event: float

    @property
    def reader(self) -> EngineView:
        """Engine that reads the prompt."""
        return self.prefill or self.decode


def plan_generation(
    engines: Iterable[EngineView],
    prompt: Prompt,
    limits: EngineLimits,
    *,
    hand_over: float,
    pause: float,
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
            target = min(decoders, key=lambda view: _joining(prefill, view, prompt, limits))
            plans.append(_plan(prefill, target, views, prompt, limits, hand_over))
    whole = [_plan(None, decode, views, prompt, limits, 0.0) for decode in decoders]
    plans += [plan for plan in whole if not plans or _interruption(plan) <= pause]
    return min(plans, key=lambda plan: plan.first_event + _suspicion(plan))


def _interruption(plan: GenerationPlan) -> float:
    """Return the pause in seconds that reading brings to the streams of a generating engine."""
    engine = plan.decode
    if engine.requests == 0:
        return 0.0
    tokens = engine.unread_tokens + plan.unread_tokens
    return tokens / engine.tokens_per_second / INTERRUPTION_SHARE


def _plan(
    prefill: EngineView | None,
    decode: EngineView,
    views: Sequence[EngineView],
    prompt: Prompt,
    limits: EngineLimits,
    hand_over: float,
) -> GenerationPlan:
    reader = prefill or decode
    wait = reader.tokens_ahead / reader.tokens_per_second
    source, fetch_time, cached = _best_source(reader, views, prompt, limits)
    unread = max(0, prompt.prompt_tokens - cached)
    reading = fetch_time + unread / reader.tokens_per_second + reader.overhead
    tail = _hand_over(prefill, decode, prompt, limits) if prefill else _slot_wait(decode, limits)
    first_event = wait + reading + hand_over + tail
    return GenerationPlan(prefill, decode, source, unread, wait, first_event)


def _best_source(
    reader: EngineView, views: Sequence[EngineView], prompt: Prompt, limits: EngineLimits
) -> tuple[EngineView | None, float, int]:
    """Return where cached parts are fetched from, the seconds it takes, and the tokens then kept.

    The engine with the most is asked; reading instead is kept if it is sooner.
    """
    own = min(reader.cached_tokens, prompt.shared_tokens)
    best = max(views, key=lambda view: (view.cached_tokens, view.zone == reader.zone))
    gain = min(best.cached_tokens, prompt.shared_tokens) - own
    if best is reader or gain < LEAST_FETCH_TOKENS:
        return None, 0.0, own
    seconds = _transfer(best, reader, gain, limits)
    if seconds >= gain / reader.tokens_per_second:
        return None, 0.0, own
    return best, seconds, own + gain


def _hand_over(
    prefill: EngineView, decode: EngineView, prompt: Prompt, limits: EngineLimits
) -> float:
    """Return the seconds from the end of reading to the first event."""
    tokens = max(0, prompt.prompt_tokens - decode.cached_tokens)
    return (
        _transfer(prefill, decode, tokens, limits)
        + _slot_wait(decode, limits)
        + decode.tokens_ahead / decode.tokens_per_second
        + decode.suspicion
    )


def _joining(
    prefill: EngineView, decode: EngineView, prompt: Prompt, limits: EngineLimits
) -> float:
    """Return the cost of having a prompt that was read elsewhere generated by an engine."""
    idle = IDLE_ENGINE_S if decode.requests == 0 else 0.0
    return _hand_over(prefill, decode, prompt, limits) + idle


def _transfer(source: EngineView, target: EngineView, tokens: int, limits: EngineLimits) -> float:
    seconds = tokens * limits.bytes_per_token * BITS / limits.link_bits_per_second
    return FETCH_SETUP_S + seconds * (1.0 if source.zone == target.zone else ZONE_FACTOR)


def _slot_wait(decode: EngineView, limits: EngineLimits) -> float:
    return SLOT_WAIT_S * max(0.0, decode.requests / limits.slots - PACKED_SHARE)


def _suspicion(plan: GenerationPlan) -> float:
    own = plan.decode.suspicion if plan.prefill is None else plan.prefill.suspicion
    return own
