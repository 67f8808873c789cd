"""Requests to plain endpoints, with buffered answers and retries where they are safe."""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from samphirehall.core.connections import holds_control_character
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import NO_ENDPOINT, OK, OUTCOME_UNKNOWN, Result
from samphirehall.gateway.connections import Response
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.exchange import (
    SEND_ERRORS,
    acquire_repeats,
    count_sends,
    limit_error,
    outcome_from_error,
    reserve_attempt,
    send_request,
    update_crash_tracker,
    within_limits,
)
from samphirehall.gateway.fleet import EndpointState, choose_plain_endpoint
from samphirehall.gateway.hedged_send import Attempt, send_hedged
from samphirehall.gateway.request_state import Caller, RequestState, SendOutcome
from samphirehall.gateway.silence import silence_limit
from samphirehall.gateway.types import Headers, RequestKind
from samphirehall.gateway.wire_codec import Dispatch

# Answers are buffered, so that a failed attempt can be retried; bounds the memory of each request.
MAX_ANSWER_BYTES = 1024 * 1024
# Times the latency target, after which an idempotent request is sent to another endpoint.
ANSWER_TIMEOUT_FACTOR = 2.0
MIN_ANSWER_TIMEOUT_SECONDS = 0.1  # below this are normal service times
RETRY_AFTER_SECONDS = 0.2  # a few service times, after which a full endpoint has capacity again
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # callers interpret these as "has not run"
MIN_SERVER_ERROR_STATUS = 500
BODILESS_STATUSES = frozenset((204, 304))
_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade")
)

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class BufferedAnswer:
    """Response of an endpoint with its complete body."""

    status: int
    headers: Headers
    body: bytes


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers of an endpoint's answer without hop-by-hop and invalid ones."""
    kept = []
    for name, value in headers:
        if holds_control_character(value):
            log_decision(_log, "header-dropped", "control character", header=name.decode())
        elif name not in _HOP_HEADERS:
            kept.append((name, value))
    return kept


def answer_headers(status: int, headers: Headers) -> Headers:
    """Return the headers of an endpoint's answer to forward with its status.

    The length of an answer without a body is left out, as uvicorn expects so many bytes,
    and that of a chunked one, as the chunks may hold more or fewer.
    """
    kept = end_to_end_headers(headers)
    is_chunked = any(name == b"transfer-encoding" for name, _ in headers)
    if is_chunked or status in BODILESS_STATUSES:
        return [pair for pair in kept if pair[0] != b"content-length"]
    return kept


async def run_plain(context: GatewayContext, request_state: RequestState, caller: Caller) -> Result:
    """Send a request to one endpoint after another until one answers; return the result.

    Raises
    ------
    SamphireError
        No endpoint answered, and no further attempt is allowed.
    """
    last_answer: BufferedAnswer | None = None
    while (endpoint := _next_endpoint(context, request_state)) is not None:
        answer = await _attempt(context, request_state, endpoint)
        if answer is not None and _is_final(request_state, answer):
            await _forward_answer(request_state, caller, answer)
            return OK
        last_answer = answer or last_answer
        if answer is None and request_state.may_have_run and not request_state.route.repeatable:
            break
        if request_state.runs >= request_state.route.max_attempts:
            break
    if last_answer is not None:
        await _forward_answer(request_state, caller, last_answer)
        return OK
    raise no_answer_error(request_state)


def no_answer_error(request_state: RequestState) -> SamphireError:
    """Return the error for a request that no endpoint answered."""
    if request_state.may_have_run:
        return SamphireError(OUTCOME_UNKNOWN, "no complete answer after the request was sent")
    detail = f"no endpoint of service {request_state.service.name} accepted the request"
    return SamphireError(NO_ENDPOINT, detail, retry_after=RETRY_AFTER_SECONDS)


async def _forward_answer(
    request_state: RequestState, caller: Caller, answer: BufferedAnswer
) -> None:
    request_state.extra_log_fields["status"] = answer.status
    await caller.start(answer.status, answer_headers(answer.status, answer.headers))
    if answer.body:
        await caller.write(answer.body)
    await caller.finish()


def _is_final(request_state: RequestState, answer: BufferedAnswer) -> bool:
    return answer.status < MIN_SERVER_ERROR_STATUS or not request_state.route.repeatable


def _next_endpoint(context: GatewayContext, request_state: RequestState) -> EndpointState | None:
    now = context.clock()
    candidates = context.fleet.candidates(
        request_state.service.name, now=now, excluded=request_state.tried_endpoints
    )
    allowed = within_limits(context, request_state, candidates)
    if candidates and not allowed and not request_state.may_have_run:
        raise limit_error(context, candidates)
    reserved = request_state.reserved_endpoints
    candidates = [state for state in allowed if state.listed.endpoint_id in reserved] or allowed
    chosen, open_requests = _choose_endpoint(context, candidates)
    if chosen is None:
        return None
    if not acquire_repeats(context, request_state, request_state.count_repeated_sends()):
        request_state.extra_log_fields["stopped"] = "repeat budget spent"
        return None
    count_sends(context, request_state, (chosen.listed.endpoint_id,))
    request_state.extra_log_fields["choice"] = {
        "endpoint": chosen.listed.endpoint_id,
        "requests": open_requests,
        "failure_share": round(chosen.failure_rate, 3),
    }
    return chosen


def _choose_endpoint(
    context: GatewayContext, candidates: Sequence[EndpointState]
) -> tuple[EndpointState | None, dict[str, int]]:
    """Return the candidate for the next send, and the open requests of all candidates."""
    open_requests = _open_requests_by_endpoint(context, candidates, context.clock())
    tie_breaker = context.random_source.random()
    chosen = choose_plain_endpoint(
        candidates, open_requests, zone=context.zone, tie_breaker=tie_breaker
    )
    return chosen, open_requests


def _open_requests_by_endpoint(
    context: GatewayContext, candidates: Iterable[EndpointState], now: float
) -> dict[str, int]:
    ids = (state.listed.endpoint_id for state in candidates)
    return {name: context.loads.total_load(name, now=now).requests for name in ids}


async def _attempt(
    context: GatewayContext, request_state: RequestState, endpoint: EndpointState
) -> BufferedAnswer | None:
    """Make one attempt, with a hedge if it is late; return the answer to forward, if any."""
    if context.hedging is None or request_state.route.kind is not RequestKind.IDEMPOTENT:
        return await _send(context, request_state, endpoint, Attempt())
    return await send_hedged(
        context,
        request_state,
        endpoint,
        context.hedging,
        send=lambda state, attempt: _send(context, request_state, state, attempt),
        is_final=lambda answer: _is_final(request_state, answer),
        choose=lambda candidates: _choose_endpoint(context, candidates)[0],
    )


async def _send(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    attempt: Attempt[BufferedAnswer],
) -> BufferedAnswer | None:
    """Send the request once; return the answer, or None if there is none to forward."""
    endpoint_id = endpoint.listed.endpoint_id
    request_state.tried_endpoints.add(endpoint_id)
    outcome, answer = SendOutcome.CUT, None
    try:
        with context.loads.track_request(endpoint_id):
            outcome, answer = await _exchange(context, request_state, endpoint)
    finally:
        if outcome is SendOutcome.CUT and attempt.superseded:
            outcome = SendOutcome.CANCELLED
            request_state.runs += 1
            if not attempt.is_hedge:
                # Else an endpoint that hangs is no worse a choice than others: its requests
                # are hedged before they time out, and leave it idle.
                endpoint.record_error_answer()
        attempt.outcome = outcome
        request_state.record_send(endpoint_id, "run", outcome)
    if outcome in (SendOutcome.NOT_SENT, SendOutcome.BROKEN, SendOutcome.SILENT):
        endpoint.record_failure(now=context.clock(), unreachable=outcome is SendOutcome.NOT_SENT)
    elif answer is not None and answer.status >= MIN_SERVER_ERROR_STATUS:
        endpoint.record_error_answer()
    elif outcome is SendOutcome.ANSWERED:
        endpoint.record_success()
    if outcome not in (SendOutcome.NOT_SENT, SendOutcome.NOT_RUN):
        request_state.runs += 1
        request_state.may_have_run = True
    if outcome is SendOutcome.BROKEN and request_state.customer_name is not None:
        # Most requests whose answer was lost did run, so they count as usage.
        context.record_start(request_state.customer_name)
    await update_crash_tracker(context, request_state, endpoint, outcome)
    return answer


async def _exchange(
    context: GatewayContext, request_state: RequestState, endpoint: EndpointState
) -> tuple[SendOutcome, BufferedAnswer | None]:
    remaining = request_state.remaining_time(now=context.clock())
    dispatch = Dispatch(endpoint.listed, request_state.customer_name, None, remaining)
    timeout = _answer_timeout(request_state)

    is_marked = False

    def may_end() -> bool:
        return _can_take_over(context, request_state, request_state.silent_sends - is_marked)

    def mark_silent(is_silent: bool) -> None:
        nonlocal is_marked
        is_marked = is_silent
        request_state.silent_sends += 1 if is_silent else -1
        endpoint.record_silence(is_silent)

    try:
        with silence_limit(
            request_state.request.request_id,
            endpoint.listed.endpoint_id,
            may_end,
            mark_silent,
        ) as limit:
            if timeout is not None:
                limit.restart(timeout)
            async with send_request(context, request_state, endpoint, dispatch) as answer:
                return await _read(context, request_state, answer)
    except SEND_ERRORS as error:
        return outcome_from_error(error), None


def _can_take_over(
    context: GatewayContext, request_state: RequestState, other_silent_sends: int
) -> bool:
    """Return whether another endpoint can take the request; its send is reserved if so.

    Of a hedged request, the other attempt has taken over already unless it is silent as well.
    """
    running = 2 if request_state.pair_running else 1
    if running - 1 > other_silent_sends:
        return False
    if request_state.runs + running >= request_state.route.max_attempts:
        return False
    if request_state.reserved_repeats:
        return True  # for the other attempt of the pair, which has ended in its silence
    if not context.allows_repeats(request_state.service.name, 1):
        return False
    candidates = context.fleet.candidates(
        request_state.service.name,
        now=context.clock(),
        excluded=request_state.tried_endpoints,
        only_preferred=True,
    )
    chosen, _ = _choose_endpoint(context, within_limits(context, request_state, candidates))
    if chosen is None:
        return False
    return reserve_attempt(context, request_state, 1, (chosen.listed.endpoint_id,))


def _answer_timeout(request_state: RequestState) -> float | None:
    """Return the timeout of one attempt in seconds, or None if no other attempt may follow."""
    if (
        not request_state.route.repeatable
        or request_state.runs + 1 >= request_state.route.max_attempts
    ):
        return None
    return max(
        MIN_ANSWER_TIMEOUT_SECONDS, ANSWER_TIMEOUT_FACTOR * request_state.route.latency_target
    )


async def _read(
    context: GatewayContext, request_state: RequestState, answer: Response
) -> tuple[SendOutcome, BufferedAnswer | None]:
    body = await answer.read(max_bytes=MAX_ANSWER_BYTES)
    wire_codec = context.wire_codec
    if wire_codec.reports_not_run(answer.status, answer.headers):
        return SendOutcome.NOT_RUN, None
    if request_state.customer_name is not None:
        context.record_start(request_state.customer_name)
    buffered = BufferedAnswer(answer.status, answer.headers, body)
    unsigned = answer.status < 300 and not wire_codec.is_signed(answer.headers)
    if unsigned or answer.status in NOT_RUN_STATUSES:
        return SendOutcome.FAILED, None
    return SendOutcome.ANSWERED, buffered
