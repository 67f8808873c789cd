"""Run requests on engines: prefill, decode, and resume on another engine after a failure."""

import contextlib
import logging
import math
from collections.abc import Iterator

import anyio

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import (
    OK,
    OVERLOADED,
    STREAM_CUT,
    STREAM_UNKNOWN,
    STREAM_VERSION_GONE,
    Result,
)
from samphirehall.gateway.admission import decide_admission
from samphirehall.gateway.admission_shares import (
    random_numbers,
    record_refused,
    record_served,
    request_share,
)
from samphirehall.gateway.connections import (
    IncompleteResponseError,
    NotSentError,
    ProcessCheck,
)
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.engine_identity import is_listed_process, process_check
from samphirehall.gateway.engine_rates import record_prefill
from samphirehall.gateway.exchange import (
    SEND_ERRORS,
    acquire_repeats,
    check_quarantine,
    count_sends,
    is_in_quarantine,
    outcome_from_error,
    reserve_attempt,
    send_request,
    update_crash_tracker,
)
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.generation_choice import (
    may_gain_decode_engine,
    next_plan,
    with_ready_decode_engine,
)
from samphirehall.gateway.generation_plan import EngineView, GenerationPlan
from samphirehall.gateway.plain import no_answer_error
from samphirehall.gateway.relay import (
    Delivery,
    abandoned_gap,
    handle_failure_response,
    inter_event_gap_limit,
    relay_stream,
    restart_silence_limit,
)
from samphirehall.gateway.request_state import PREFILL_PURPOSE, Caller, RequestState, SendOutcome
from samphirehall.gateway.silence import silence_limit
from samphirehall.gateway.stream_store import Recording
from samphirehall.gateway.types import Prompt, PromptPart, Route
from samphirehall.gateway.wire_codec import Dispatch, KvHandle

PREFILL_TIMEOUT_FACTOR = 2.0  # times the estimated first event that a separate prefill may take
PREFILL_TIMEOUT_SLACK_SECONDS = 0.5  # added to it; after that another engine prefills
FIRST_EVENT_TIMEOUT_FACTOR = 3.0  # times the estimate, for a resumable stream
FIRST_EVENT_TIMEOUT_SLACK_SECONDS = 1.0
MAX_HANDLE_BYTES = 65_536  # the answer to a prefill holds a handle and two numbers
REFUSAL_SECONDS = 0.15  # to end an answer or refuse a request before its caller abandons it
ENGINE_CHECK_SECONDS = 0.05  # while a stream waits for an engine of its version
STAGE_RETRY_AFTER_SECONDS = 1.0  # a stage change takes seconds
RELEASE_TIMEOUT_SECONDS = 0.3  # the engine expires the KV handle itself soon after

_log = logging.getLogger(__name__)


class RecordMissingError(Exception):
    """The software version of a stream was not stored before its first event."""


async def run_generation(
    context: GatewayContext, request_state: RequestState, caller: Caller
) -> Result:
    """Relay one stream to the caller, on several engines if needed; return the result.

    Raises
    ------
    SamphireError
        The request was refused, or the stream broke and cannot be resumed.
    """
    prompt = request_state.request.prompt
    assert prompt is not None
    delivery = Delivery(caller, request_state.request.resume_after)
    if request_state.takes_up:
        await _find_stream_version(context, request_state)
    while (plan := await _await_plan(context, request_state, prompt, delivery)) is not None:
        if not await _confirm_engines(context, request_state, plan):
            continue
        _check_quarantine_again(context, request_state, delivery)
        if not request_state.sends:
            context.prefill_demand(request_state.service.name).record(
                plan.uncached_tokens, now=context.clock()
            )
        if not request_state.may_have_run:
            _check_admission(context, request_state, plan)
        repeats = request_state.count_repeated_sends(
            separate_prefill=plan.dedicated_prefill is not None
        )
        if not acquire_repeats(context, request_state, repeats):
            request_state.extra_log_fields["stopped"] = "repeat budget spent"
            break
        count_sends(context, request_state, plan.endpoint_ids)
        if await _run_plan(context, request_state, plan, delivery):
            return OK
        if not _may_retry(request_state, delivery):
            break
    if caller.started:
        raise SamphireError(STREAM_CUT, "the stream broke and could not be continued")
    if request_state.takes_up and not request_state.sends:
        raise _version_gone_error(context, request_state)
    raise no_answer_error(request_state)


async def _await_plan(
    context: GatewayContext, request_state: RequestState, prompt: Prompt, delivery: Delivery
) -> GenerationPlan | None:
    """Return the next plan; for a stream that has begun, wait for an engine of its version.

    It waits as long as such an engine serves that may decode before long, and the caller waits.
    """
    route = request_state.route
    gap = abandoned_gap(route.latency_target, route.inter_event_gap_target)
    patience = gap - REFUSAL_SECONDS
    heard_at = delivery.last_event_at or request_state.request.received_at
    while True:
        plan = next_plan(context, request_state, prompt)
        now = context.clock()
        may_wait = (
            now - heard_at < patience
            and request_state.remaining_time(now=now) > 0
            and may_gain_decode_engine(context, request_state)
        )
        if plan is not None or not may_wait:
            return plan
        request_state.extra_log_fields["waited"] = round(now - heard_at, 4)
        await anyio.sleep(ENGINE_CHECK_SECONDS)


async def _confirm_engines(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan
) -> bool:
    """Return whether a stream that has begun may go on at the engines of a plan.

    One that may have started again with another software version is not tried for this stream.
    """
    if request_state.stream_version is None:
        return True
    for endpoint_id in plan.endpoint_ids:
        endpoint = context.fleet.endpoint(endpoint_id)
        if endpoint is None or not await is_listed_process(context, endpoint):
            request_state.tried_endpoints.add(endpoint_id)
            return False
    return True


async def _find_stream_version(context: GatewayContext, request_state: RequestState) -> None:
    """Find the software version at which a stream that the caller takes up has to go on.

    Raises
    ------
    SamphireError
        The version is unknown, or the stream belongs to another service.
    """
    request, service = request_state.request, request_state.service.name
    if context.streams is None:
        raise SamphireError(STREAM_UNKNOWN, "no versions of streams are known")
    request_state.extra_log_fields["resumes"] = request.resumes
    lifetime = max(request_state.route.timeout, request.timeout or 0.0)
    found = await context.streams.origin(
        request.resumes, service, lifetime, arrived=request.received_at
    )
    request_state.extra_log_fields["origin"] = found.reason
    request_state.extra_log_fields["stream_version"] = found.version
    if found.service != service:
        raise SamphireError(STREAM_VERSION_GONE, f"the stream began at service {found.service}")
    request_state.stream_version = found.version


def _version_gone_error(context: GatewayContext, request_state: RequestState) -> SamphireError:
    """Return the error for a stream of whose version no engine can take it."""
    service = request_state.service.name
    if not context.fleet.versions.of_service(service):
        return no_answer_error(request_state)
    version = request_state.stream_version
    if may_gain_decode_engine(context, request_state):
        detail = f"no engine of version {version} of service {service} decodes at present"
        return SamphireError(STREAM_VERSION_GONE, detail, retry_after=STAGE_RETRY_AFTER_SECONDS)
    return SamphireError(
        STREAM_VERSION_GONE, f"no engine of version {version} of service {service}"
    )


def _check_quarantine_again(
    context: GatewayContext, request_state: RequestState, delivery: Delivery
) -> None:
    """Refuse a request whose prompt was put into quarantine while it was open.

    Raises
    ------
    SamphireError
        The request is in quarantine.
    """
    try:
        check_quarantine(context, request_state)
    except SamphireError as error:
        if delivery.caller.started:
            raise SamphireError(STREAM_CUT, error.detail) from error
        raise


def _may_retry(request_state: RequestState, delivery: Delivery) -> bool:
    if not request_state.may_have_run:
        return True
    if request_state.runs >= request_state.route.max_attempts or not request_state.route.resumable:
        return False
    return delivery.resumable


def _can_take_over(
    context: GatewayContext, request_state: RequestState, delivery: Delivery
) -> bool:
    """Return whether another engine can go on with the stream; its sends are reserved if so."""
    if not context.allows_repeats(request_state.service.name, 1):
        return False
    if not delivery.resumable or is_in_quarantine(context, request_state):
        return False
    prompt = request_state.request.prompt
    assert prompt is not None
    choice = request_state.extra_log_fields.get("choice")
    try:
        plan = next_plan(context, request_state, prompt, only_preferred=True)
    except SamphireError:
        return False
    finally:
        request_state.extra_log_fields["choice"] = choice
    if plan is None:
        return False
    sends = 2 if plan.dedicated_prefill is not None and request_state.prefill_done else 1
    return reserve_attempt(context, request_state, sends, plan.endpoint_ids)


def _check_admission(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan
) -> None:
    now = context.clock()
    # A stream that goes on has its first event behind it; only the caller's deadline is left.
    latency_target = math.inf if request_state.takes_up else request_state.route.latency_target
    decision = decide_admission(
        queue_wait=plan.queue_wait,
        time_to_first_event=plan.time_to_first_event,
        remaining_latency_target=latency_target - request_state.elapsed(now=now),
        latency_target=latency_target,
        time_to_deadline=request_state.remaining_time(now=now),
        total_queue_wait=plan.total_queue_wait,
        least_total_wait=plan.least_total_wait,
        share=request_share(context, request_state, now=now),
        **random_numbers(context),
    )
    request_state.extra_log_fields["admission"] = decision.reason
    if not decision.admit:
        record_refused(context, request_state, plan.uncached_tokens, now=now)
        raise SamphireError(OVERLOADED, decision.reason, retry_after=decision.retry_after)


async def _run_plan(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan, delivery: Delivery
) -> bool:
    """Prefill and decode by one plan; return whether the caller has the whole response."""
    recording = _begin_stream(context, request_state, plan)
    if plan.dedicated_prefill is None:
        return await _decode(context, request_state, plan, delivery, None, recording)
    kv_handle = await _prefill(context, request_state, plan, delivery)
    if kv_handle is None:
        return False
    try:
        _check_quarantine_again(context, request_state, delivery)
        current_plan = with_ready_decode_engine(context, request_state, plan)
        if current_plan is None:
            return False
        if current_plan is not plan and not await _confirm_engines(
            context, request_state, current_plan
        ):
            return False
        return await _decode(context, request_state, current_plan, delivery, kv_handle, recording)
    finally:
        if delivery.first_event_at is None:
            await _release_kv_handle(context, plan.dedicated_prefill.endpoint_id, kv_handle)


def _begin_stream(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan
) -> Recording | None:
    """Start to store the version of a stream that begins; return its record."""
    route, request = request_state.route, request_state.request
    is_begun = request_state.stream_version is not None
    if context.streams is None or not route.resumable or is_begun:
        return None
    lifetime = route.timeout if request.timeout is None else request.timeout
    return context.streams.begin(
        request.request_id,
        request_state.service.name,
        plan.decode.software_version,
        lifetime - request_state.elapsed(now=context.clock()),
    )


async def _confirm_recording(
    context: GatewayContext, request_state: RequestState, recording: Recording | None
) -> None:
    """Wait until the version of a stream is stored, if it has to be.

    Raises
    ------
    RecordMissingError
        The version was not stored in time.
    """
    if recording is None or context.streams is None:
        return
    started = context.clock()
    if not await context.streams.confirm(recording):
        raise RecordMissingError
    request_state.extra_log_fields["record_wait"] = round(context.clock() - started, 4)


async def _prefill(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan, delivery: Delivery
) -> KvHandle | None:
    """Prefill on the separate engine of the plan; return the KV handle, or None on failure.

    A silent prefill of a request that may have run ends only if another engine can take over.
    """
    prefill_engine = _planned_engine(context, plan.prefill_engine)
    if prefill_engine is None:
        return None
    dispatch = _make_dispatch(context, request_state, plan, prefill_engine, None)
    check = _process_check(context, request_state, prefill_engine)
    started = context.clock()
    outcome = SendOutcome.CUT
    timeout = plan.time_to_first_event * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_SLACK_SECONDS

    def may_end() -> bool:
        return not request_state.may_have_run or _can_take_over(context, request_state, delivery)

    endpoint_id = plan.prefill_engine.endpoint_id
    request_state.tried_endpoints.add(endpoint_id)
    silence = silence_limit(
        request_state.request.request_id, endpoint_id, may_end, prefill_engine.record_silence
    )
    try:
        with silence as limit, _count_pending_prefill(context, request_state, plan):
            limit.restart(timeout)
            async with send_request(
                context, request_state, prefill_engine, dispatch, check
            ) as response:
                body = await response.read(max_bytes=MAX_HANDLE_BYTES)
        outcome = SendOutcome.NOT_RUN
        if response.status == 200:
            outcome = SendOutcome.ANSWERED
            prefill_engine.record_success()
            _record_prefill_rate(context, request_state, plan, context.clock() - started)
            kv_handle_id = context.wire_codec.decode_kv_handle(body)
            request_state.tried_endpoints.discard(endpoint_id)
            return KvHandle(prefill_engine.listed.address, kv_handle_id)
    except SEND_ERRORS as error:
        outcome = outcome_from_error(error)
    finally:
        request_state.record_send(endpoint_id, PREFILL_PURPOSE, outcome)
    prefill_engine.record_failure(
        now=context.clock(),
        unreachable=outcome is SendOutcome.NOT_SENT,
        disconnected=outcome in (SendOutcome.NOT_SENT, SendOutcome.BROKEN),
    )
    return None


def _planned_engine(context: GatewayContext, view: EngineView) -> EndpointState | None:
    """Return an engine of a plan; None if it is gone, or listed with another version since."""
    endpoint = context.fleet.endpoint(view.endpoint_id)
    if endpoint is None or endpoint.listed.software_version != view.software_version:
        return None
    return endpoint


def _process_check(
    context: GatewayContext, request_state: RequestState, engine: EndpointState
) -> ProcessCheck | None:
    """Return the check of new connections for a stream that may go on at another engine."""
    return process_check(context, engine) if request_state.route.resumable else None


async def _decode(
    context: GatewayContext,
    request_state: RequestState,
    plan: GenerationPlan,
    delivery: Delivery,
    kv_handle: KvHandle | None,
    recording: Recording | None,
) -> bool:
    """Decode on one engine and record the outcome; return whether it completed the response."""
    decode_engine = _planned_engine(context, plan.decode)
    if decode_engine is None:
        return False
    outcome, is_engine_at_fault = SendOutcome.CUT, True
    events_before = delivery.events
    request_state.tried_endpoints.add(plan.decode.endpoint_id)
    try:
        with context.loads.track_request(plan.decode.endpoint_id):
            outcome = await _relay_decode(
                context, request_state, plan, delivery, decode_engine, kv_handle, recording
            )
    except SEND_ERRORS as error:
        outcome = outcome_from_error(error)
    except RecordMissingError:
        is_engine_at_fault = False
        _log.warning("stream-not-stored", extra={"request": request_state.request.request_id})
    finally:
        request_state.record_send(plan.decode.endpoint_id, "generate", outcome)
        events = delivery.events - events_before
        record_served(context, request_state, events, now=context.clock())
        request_state.extra_log_fields["longest_pause"] = round(delivery.longest_gap, 4)
    if outcome not in (SendOutcome.NOT_SENT, SendOutcome.NOT_RUN):
        request_state.runs += 1
        request_state.may_have_run = True
    if outcome is SendOutcome.ANSWERED:
        decode_engine.record_success()
    elif outcome is not SendOutcome.NOT_RUN and is_engine_at_fault:
        decode_engine.record_failure(
            now=context.clock(),
            unreachable=outcome is SendOutcome.NOT_SENT,
            disconnected=outcome in (SendOutcome.NOT_SENT, SendOutcome.BROKEN),
        )
    await update_crash_tracker(context, request_state, decode_engine, outcome)
    return outcome is SendOutcome.ANSWERED


async def _relay_decode(
    context: GatewayContext,
    request_state: RequestState,
    plan: GenerationPlan,
    delivery: Delivery,
    decode_engine: EndpointState,
    kv_handle: KvHandle | None,
    recording: Recording | None,
) -> SendOutcome:
    """Send the request to the decode engine and relay its stream; return the outcome."""
    dispatch = _make_dispatch(
        context, request_state, plan, decode_engine, kv_handle, delivery.last_event_number
    )
    started = context.clock()

    def may_end() -> bool:
        return _can_take_over(context, request_state, delivery)

    with (
        contextlib.ExitStack() as pending_prefill,
        silence_limit(
            request_state.request.request_id,
            plan.decode.endpoint_id,
            may_end,
            decode_engine.record_silence,
        ) as limit,
    ):
        if kv_handle is None:
            pending_prefill.enter_context(_count_pending_prefill(context, request_state, plan))
        else:
            context.record_cached_prompt(plan.decode.endpoint_id, _prompt_parts(request_state))
        restart_silence_limit(limit, request_state, _first_event_limit(request_state.route, plan))

        async def on_event() -> None:
            delivery.record_event(now=context.clock())
            if request_state.stream_version is None:
                await _confirm_recording(context, request_state, recording)
                request_state.stream_version = plan.decode.software_version
            if delivery.first_event_at is None:
                _record_first_event(context, request_state, plan, delivery, started, kv_handle)
            pending_prefill.close()

        check = _process_check(context, request_state, decode_engine)
        async with send_request(context, request_state, decode_engine, dispatch, check) as response:
            if response.status != 200 or not context.wire_codec.is_signed(response.headers):
                return await handle_failure_response(
                    context.wire_codec, request_state, delivery, response, limit
                )
            await relay_stream(request_state, delivery, response, limit, on_event)
    return SendOutcome.ANSWERED


def _first_event_limit(route: Route, plan: GenerationPlan) -> float:
    """Return the seconds in which the first event has to come, never fewer than between events."""
    return max(
        plan.time_to_first_event * FIRST_EVENT_TIMEOUT_FACTOR + FIRST_EVENT_TIMEOUT_SLACK_SECONDS,
        inter_event_gap_limit(route.latency_target, route.inter_event_gap_target),
    )


def _make_dispatch(
    context: GatewayContext,
    request_state: RequestState,
    plan: GenerationPlan,
    engine: EndpointState,
    kv_handle: KvHandle | None,
    resume_after: int | None = None,
) -> Dispatch:
    runs_prefill = engine.listed.endpoint_id == plan.prefill_engine.endpoint_id
    return Dispatch(
        engine.listed,
        request_state.customer_name,
        request_state.rank,
        request_state.remaining_time(now=context.clock()),
        prefill_only=runs_prefill and plan.dedicated_prefill is not None,
        kv_handle=kv_handle,
        prefix_source=plan.prefix_source.address if runs_prefill and plan.prefix_source else None,
        resume_after=resume_after,
    )


@contextlib.contextmanager
def _count_pending_prefill(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan
) -> Iterator[None]:
    endpoint_id = plan.prefill_engine.endpoint_id
    context.record_cached_prompt(endpoint_id, _prompt_parts(request_state))
    with context.loads.track_prefill(endpoint_id, plan.uncached_tokens, request_state.rank):
        yield


def _prompt_parts(request_state: RequestState) -> tuple[PromptPart, ...]:
    prompt = request_state.request.prompt
    return prompt.parts if prompt else ()


def _record_prefill_rate(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan, seconds: float
) -> None:
    """Record the prefill time of a request."""
    request_state.extra_log_fields["read_in"] = round(seconds, 4)
    record_prefill(context, plan, seconds)


def _record_first_event(
    context: GatewayContext,
    request_state: RequestState,
    plan: GenerationPlan,
    delivery: Delivery,
    started: float,
    kv_handle: KvHandle | None,
) -> None:
    now = context.clock()
    delivery.first_event_at = now
    request_state.extra_log_fields["first_event_after"] = round(request_state.elapsed(now=now), 4)
    if request_state.customer_name is not None:
        context.record_start(request_state.customer_name)
    record_served(context, request_state, plan.uncached_tokens, now=now)
    if kv_handle is None:
        _record_prefill_rate(context, request_state, plan, now - started)
    else:
        context.kv_transfer_overhead.record(now - started)


async def _release_kv_handle(
    context: GatewayContext, endpoint_id: str, kv_handle: KvHandle
) -> None:
    """Release a KV handle that no engine fetched; if this fails, it expires by itself."""
    prefill_engine = context.fleet.endpoint(endpoint_id)
    if prefill_engine is None or not context.limits.take(
        prefill_engine.listed, now=context.clock()
    ):
        return
    method, target = context.wire_codec.kv_release_call(kv_handle.handle_id)
    with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
        with contextlib.suppress(NotSentError, IncompleteResponseError):
            async with prefill_engine.connections.exchange(
                method,
                target,
                [(b"Host", kv_handle.address.encode())],
                b"",
                matches=None,
            ) as response:
                await response.read(max_bytes=MAX_HANDLE_BYTES)
