"""Requests to engines: read the prompt, generate, and go on elsewhere after a break."""

import contextlib
from collections.abc import Iterator

import anyio

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OK, OVERLOADED, STREAM_CUT, Result
from samphirehall.gateway.admission import decide_admission
from samphirehall.gateway.connections import BrokenAnswerError, NotSentError
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.dialect import Dispatch, PromptCopy
from samphirehall.gateway.exchange import SEND_ERRORS, note_crash, outcome_of, send
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.generation_plan import EngineView, GenerationPlan, plan_generation
from samphirehall.gateway.journey import READ, Caller, Journey, SendOutcome
from samphirehall.gateway.plain import MAX_ANSWER_BYTES, no_answer_error
from samphirehall.gateway.relay import Delivery, allow_silence, relay, settle_failure
from samphirehall.gateway.types import Prompt, PromptPart, Stage

READING_FACTOR = 2.0  # a reading engine may take so many times its estimate
READING_SLACK_S = 0.5  # and so much longer, before another engine reads the prompt
SILENCE_FACTOR = 3.0  # the same for the first event of a stream that may be resumed
SILENCE_SLACK_S = 1.0
DEFAULT_PAUSE_S = 0.15  # of streams whose route states none; readers notice longer ones
DROP_SECONDS = 0.3  # bounds the call that frees a copy; it lapses by itself soon after


async def run_generation(context: GatewayContext, journey: Journey, caller: Caller) -> Result:
    """Bring one stream home, over several engines if need be; return the result.

    Raises
    ------
    SamphireError
        The request was refused, or the stream broke and cannot go on.
    """
    prompt = journey.request.prompt
    assert prompt is not None
    delivery = Delivery(caller, journey.request.resume_after)
    while (plan := _next_plan(context, journey, prompt)) is not None:
        if not journey.sends:
            context.demand(journey.service.name).record(plan.uncached_tokens, now=context.clock())
        if not journey.may_have_run:
            _admit(context, journey, plan)
        repeats = journey.repeats_of(reads_apart=plan.dedicated_prefill is not None)
        if not context.may_repeat(journey.service.name, repeats):
            journey.notes["stopped"] = "repeat budget spent"
            break
        if await _attempt(context, journey, plan, delivery):
            return OK
        if not _may_go_on(journey, delivery):
            break
    if caller.started:
        raise SamphireError(STREAM_CUT, "the stream broke and could not be continued")
    raise no_answer_error(journey)


def _may_go_on(journey: Journey, delivery: Delivery) -> bool:
    if not journey.may_have_run:
        return True
    if journey.runs >= journey.route.max_attempts or not journey.route.resumable:
        return False
    return delivery.resumable


def _next_plan(context: GatewayContext, journey: Journey, prompt: Prompt) -> GenerationPlan | None:
    limits = journey.service.engine
    if limits is None:
        return None
    views = [
        _view(context, journey, state, prompt, stage)
        for stage in Stage
        for state in context.fleet.candidates(
            journey.service.name, now=context.clock(), excluded=journey.tried, stage=stage
        )
    ]
    plan = plan_generation(
        views,
        prompt,
        limits,
        kv_transfer_overhead=context.hand_over.value,
        max_event_gap=journey.route.inter_event_gap_target or DEFAULT_PAUSE_S,
    )
    if plan is not None:
        journey.notes["choice"] = _describe(plan, len(views))
    return plan


def _view(
    context: GatewayContext, journey: Journey, state: EndpointState, prompt: Prompt, stage: Stage
) -> EngineView:
    listed = state.listed
    load = context.loads.total_load(listed.endpoint_id, now=context.clock())
    rate = context.rate(journey.service.name, stage)
    return EngineView(
        listed.endpoint_id,
        listed.address,
        listed.zone,
        stage,
        load.requests,
        load.tokens_up_to(journey.rank),
        sum(load.pending_prefill_tokens),
        state.cache.cached_tokens(prompt.parts) if state.cache else 0,
        rate.tokens_per_second,
        rate.overhead,
        state.failure_penalty(),
    )


def _describe(plan: GenerationPlan, considered: int) -> dict[str, object]:
    return {
        "reads": plan.prefill_engine.endpoint_id,
        "generates": plan.decode.endpoint_id,
        "fetches": plan.prefix_source.endpoint_id if plan.prefix_source else None,
        "considered": considered,
        "tokens_ahead": plan.prefill_engine.tokens_ahead,
        "unread_tokens": plan.uncached_tokens,
        "tokens_per_second": round(plan.prefill_engine.prefill_tokens_per_second),
        "overhead": round(plan.prefill_engine.overhead, 4),
        "wait": round(plan.queue_wait, 4),
        "first_event": round(plan.time_to_first_event, 4),
    }


def _admit(context: GatewayContext, journey: Journey, plan: GenerationPlan) -> None:
    now = context.clock()
    decision = decide_admission(
        queue_wait=plan.queue_wait,
        time_to_first_event=plan.time_to_first_event,
        remaining_latency_target=journey.route.latency_target - journey.elapsed(now=now),
        latency_target=journey.route.latency_target,
        time_to_deadline=journey.time_left(now=now),
    )
    journey.notes["admission"] = decision.reason
    if not decision.admit:
        raise SamphireError(OVERLOADED, decision.reason, retry_after=decision.retry_after)


async def _attempt(
    context: GatewayContext, journey: Journey, plan: GenerationPlan, delivery: Delivery
) -> bool:
    """Carry out one plan; return whether the caller has the whole answer."""
    if plan.dedicated_prefill is None:
        return await _generate(context, journey, plan, delivery, None)
    copy = await _read_prompt(context, journey, plan)
    if copy is None:
        return False
    try:
        return await _generate(context, journey, plan, delivery, copy)
    finally:
        if delivery.first_event_at is None:
            await _drop_copy(context, plan.dedicated_prefill.endpoint_id, copy)


async def _read_prompt(
    context: GatewayContext, journey: Journey, plan: GenerationPlan
) -> PromptCopy | None:
    """Have the prompt read; return the copy, or None if the engine did not do it."""
    reader = context.fleet.endpoint(plan.prefill_engine.endpoint_id)
    if reader is None:
        return None
    dispatch = _dispatch(context, journey, plan, reader, None)
    started = context.clock()
    outcome = SendOutcome.CUT
    limit = plan.time_to_first_event * READING_FACTOR + READING_SLACK_S
    try:
        with anyio.fail_after(limit), _reading(context, journey, plan):
            async with send(context, journey, reader, dispatch) as answer:
                body = await answer.read(max_bytes=MAX_ANSWER_BYTES)
        outcome = SendOutcome.NOT_RUN
        if answer.status == 200:
            outcome = SendOutcome.ANSWERED
            reader.record_success()
            _learn(context, journey, plan, context.clock() - started)
            return PromptCopy(reader.listed.address, context.dialect.prompt_copy(body))
    except SEND_ERRORS as error:
        outcome = outcome_of(error)
    finally:
        journey.record(plan.prefill_engine.endpoint_id, READ, outcome)
    reader.record_failure(now=context.clock(), unreachable=outcome is SendOutcome.NOT_SENT)
    journey.tried.add(plan.prefill_engine.endpoint_id)
    return None


async def _generate(
    context: GatewayContext,
    journey: Journey,
    plan: GenerationPlan,
    delivery: Delivery,
    copy: PromptCopy | None,
) -> bool:
    """Relay the stream of one engine; return whether the caller has the whole answer."""
    engine = context.fleet.endpoint(plan.decode.endpoint_id)
    if engine is None:
        return False
    outcome = SendOutcome.CUT
    journey.tried.add(plan.decode.endpoint_id)
    try:
        with context.loads.track_request(plan.decode.endpoint_id):
            outcome = await _stream(context, journey, plan, delivery, engine, copy)
    except SEND_ERRORS as error:
        outcome = outcome_of(error)
    finally:
        journey.record(plan.decode.endpoint_id, "generate", outcome)
        journey.notes["longest_pause"] = round(delivery.longest_pause, 4)
    note_crash(context, journey, engine, outcome)
    if outcome not in (SendOutcome.NOT_SENT, SendOutcome.NOT_RUN):
        journey.runs += 1
        journey.may_have_run = True
    if outcome is SendOutcome.ANSWERED:
        engine.record_success()
    elif outcome is not SendOutcome.NOT_RUN:
        engine.record_failure(now=context.clock(), unreachable=outcome is SendOutcome.NOT_SENT)
    return outcome is SendOutcome.ANSWERED


async def _stream(
    context: GatewayContext,
    journey: Journey,
    plan: GenerationPlan,
    delivery: Delivery,
    engine: EndpointState,
    copy: PromptCopy | None,
) -> SendOutcome:
    """Send the request to the generating engine and pass its stream on."""
    dispatch = _dispatch(context, journey, plan, engine, copy, delivery.last_event)
    started = context.clock()
    with contextlib.ExitStack() as unread, anyio.fail_after(None) as scope:
        if copy is None:
            unread.enter_context(_reading(context, journey, plan))
        else:
            context.note_cached(plan.decode.endpoint_id, _parts(journey))
        allow_silence(scope, journey, plan.time_to_first_event * SILENCE_FACTOR + SILENCE_SLACK_S)

        def on_event() -> None:
            delivery.note_event(now=context.clock())
            if delivery.first_event_at is None:
                _note_first(context, journey, plan, delivery, started, copy)
            unread.close()

        async with send(context, journey, engine, dispatch) as answer:
            if answer.status != 200 or not context.dialect.is_vouched(answer.headers):
                return await settle_failure(context.dialect, journey, delivery, answer)
            await relay(journey, delivery, answer, scope, on_event)
    return SendOutcome.ANSWERED


def _dispatch(
    context: GatewayContext,
    journey: Journey,
    plan: GenerationPlan,
    engine: EndpointState,
    copy: PromptCopy | None,
    resume_after: int | None = None,
) -> Dispatch:
    reads = engine.listed.endpoint_id == plan.prefill_engine.endpoint_id
    return Dispatch(
        engine.listed,
        journey.customer_name,
        journey.rank,
        journey.time_left(now=context.clock()),
        reads_only=reads and plan.dedicated_prefill is not None,
        copy=copy,
        fetch_from=plan.prefix_source.address if reads and plan.prefix_source else None,
        resume_after=resume_after,
    )


@contextlib.contextmanager
def _reading(context: GatewayContext, journey: Journey, plan: GenerationPlan) -> Iterator[None]:
    reader = plan.prefill_engine.endpoint_id
    context.note_cached(reader, _parts(journey))
    with context.loads.track_prefill(reader, plan.uncached_tokens, journey.rank):
        yield


def _parts(journey: Journey) -> tuple[PromptPart, ...]:
    prompt = journey.request.prompt
    return prompt.parts if prompt else ()


def _learn(context: GatewayContext, journey: Journey, plan: GenerationPlan, seconds: float) -> None:
    """Measure the reading engine, unless others were read before."""
    journey.notes["read_in"] = round(seconds, 4)
    if plan.prefill_engine.tokens_ahead == 0 and plan.prefix_source is None:
        rate = context.rate(journey.service.name, plan.prefill_engine.stage)
        rate.record(plan.uncached_tokens, seconds)


def _note_first(
    context: GatewayContext,
    journey: Journey,
    plan: GenerationPlan,
    delivery: Delivery,
    started: float,
    copy: PromptCopy | None,
) -> None:
    now = context.clock()
    delivery.first_event_at = now
    journey.notes["first_event_after"] = round(journey.elapsed(now=now), 4)
    if journey.customer_name is not None:
        context.note_start(journey.customer_name)
    if copy is None:
        _learn(context, journey, plan, now - started)
    else:
        context.hand_over.record(now - started)


async def _drop_copy(context: GatewayContext, endpoint_id: str, copy: PromptCopy) -> None:
    """Free a copy that no engine has taken; it lapses by itself if this fails."""
    reader = context.fleet.endpoint(endpoint_id)
    if reader is None:
        return
    method, target = context.dialect.drop_copy(copy.handle)
    with anyio.move_on_after(DROP_SECONDS, shield=True):
        with contextlib.suppress(NotSentError, BrokenAnswerError):
            async with reader.connections.exchange(
                method,
                target,
                [(b"Host", copy.address.encode())],
                b"",
                belongs=lambda found: True,
            ) as answer:
                await answer.read(max_bytes=MAX_ANSWER_BYTES)
