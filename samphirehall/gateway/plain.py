"""Requests to plain endpoints: whole answers, repeated only where that is allowed."""

from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import NO_ENDPOINT, OK, OUTCOME_UNKNOWN, Result
from samphirehall.gateway.connections import Response
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.exchange import (
    SEND_ERRORS,
    outcome_from_error,
    send_request,
    update_crash_tracker,
)
from samphirehall.gateway.fleet import EndpointState, choose_plain
from samphirehall.gateway.request_state import Caller, RequestState, SendOutcome
from samphirehall.gateway.types import Headers
from samphirehall.gateway.wire_codec import Dispatch

MAX_ANSWER_BYTES = 8 * 1024 * 1024  # of plain answers, which are kept whole to be repeatable
SILENCE_GOALS = 2.0  # goals after which an idempotent request is tried at another endpoint
LEAST_SILENCE_S = 0.1  # shorter silences are ordinary service times
RETRY_AFTER_S = 0.2  # a full plain endpoint has a place again after a few service times
PROMISE_STATUSES = frozenset((408, 421, 429, 503))  # callers take these for "has not run"
FIRST_SERVER_ERROR = 500

_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade")
)


@dataclass(slots=True, frozen=True)
class WholeAnswer:
    """An answer with its body."""

    status: int
    headers: Headers
    body: bytes


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of an endpoint's answer that a caller gets."""
    return [(name, value) for name, value in headers if name not in _HOP_HEADERS]


async def run_plain(context: GatewayContext, journey: RequestState, caller: Caller) -> Result:
    """Send a request until an endpoint has answered it; return the result.

    Raises
    ------
    SamphireError
        No endpoint has answered, and none may be asked again.
    """
    last: WholeAnswer | None = None
    while (endpoint := _next_endpoint(context, journey)) is not None:
        answer = await _send(context, journey, endpoint)
        if answer is not None and _is_final(journey, answer):
            await _pass_on(journey, caller, answer)
            return OK
        last = answer or last
        if answer is None and journey.may_have_run and not journey.route.repeatable:
            break
        if journey.runs >= journey.route.max_attempts:
            break
    if last is not None:
        await _pass_on(journey, caller, last)
        return OK
    raise no_answer(journey)


def no_answer(journey: RequestState) -> SamphireError:
    """Return the refusal of a request that no endpoint answered."""
    if journey.may_have_run:
        return SamphireError(OUTCOME_UNKNOWN, "no whole answer after the request was sent")
    detail = f"no endpoint of {journey.service.name} takes the request"
    return SamphireError(NO_ENDPOINT, detail, retry_after=RETRY_AFTER_S)


async def _pass_on(journey: RequestState, caller: Caller, answer: WholeAnswer) -> None:
    journey.extra_log_fields["status"] = answer.status
    await caller.start(answer.status, answer_headers(answer.headers))
    if answer.body:
        await caller.write(answer.body)
    await caller.finish()


def _is_final(journey: RequestState, answer: WholeAnswer) -> bool:
    return answer.status < FIRST_SERVER_ERROR or not journey.route.repeatable


def _next_endpoint(context: GatewayContext, journey: RequestState) -> EndpointState | None:
    now = context.clock()
    candidates = context.fleet.candidates(
        journey.service.name, now=now, without=journey.tried_endpoints
    )
    requests_at = _requests_at(context, candidates, now)
    tie = context.random_source.random()
    chosen = choose_plain(candidates, requests_at, zone=context.zone, tie=tie)
    if chosen is None:
        return None
    if not context.acquire_repeats(journey.service.name, journey.count_repeated_sends()):
        journey.extra_log_fields["stopped"] = "repeat budget spent"
        return None
    journey.extra_log_fields["choice"] = {
        "endpoint": chosen.listed.endpoint_id,
        "requests": requests_at,
        "failure_share": round(chosen.failure_share, 3),
    }
    return chosen


def _requests_at(
    context: GatewayContext, candidates: Iterable[EndpointState], now: float
) -> dict[str, int]:
    ids = (state.listed.endpoint_id for state in candidates)
    return {name: context.loads.at(name, now=now).requests for name in ids}


async def _send(
    context: GatewayContext, journey: RequestState, endpoint: EndpointState
) -> WholeAnswer | None:
    """Send once; return the whole answer, or None if there is none to pass on."""
    endpoint_id = endpoint.listed.endpoint_id
    journey.tried_endpoints.add(endpoint_id)
    outcome, answer = SendOutcome.CUT, None
    try:
        with context.loads.request(endpoint_id):
            outcome, answer = await _exchange(context, journey, endpoint)
    finally:
        journey.record_send(endpoint_id, "run", outcome)
    update_crash_tracker(context, journey, endpoint, outcome)
    if outcome in (SendOutcome.NOT_SENT, SendOutcome.BROKEN, SendOutcome.SILENT):
        endpoint.failed(now=context.clock(), unreachable=outcome is SendOutcome.NOT_SENT)
    elif answer is not None and answer.status >= FIRST_SERVER_ERROR:
        endpoint.answered_with_failure()
    elif outcome is SendOutcome.ANSWERED:
        endpoint.succeeded()
    if outcome not in (SendOutcome.NOT_SENT, SendOutcome.NOT_RUN):
        journey.runs += 1
        journey.may_have_run = True
    if outcome is SendOutcome.BROKEN and journey.customer_name is not None:
        # Most answers that are lost were to requests that ran, and usage is what ran.
        context.record_start(journey.customer_name)
    return answer


async def _exchange(
    context: GatewayContext, journey: RequestState, endpoint: EndpointState
) -> tuple[SendOutcome, WholeAnswer | None]:
    remaining = journey.remaining_time(now=context.clock())
    dispatch = Dispatch(endpoint.listed, journey.customer_name, None, remaining)
    try:
        with anyio.fail_after(_silence_limit(journey, remaining)):
            async with send_request(context, journey, endpoint, dispatch) as answer:
                return await _read(context, journey, answer)
    except SEND_ERRORS as error:
        return outcome_from_error(error), None


def _silence_limit(journey: RequestState, remaining: float) -> float | None:
    """Return how long one endpoint may take: all the time there is if no other may be asked."""
    if not journey.route.repeatable or journey.runs + 1 >= journey.route.max_attempts:
        return None
    return min(remaining, max(LEAST_SILENCE_S, SILENCE_GOALS * journey.route.goal))


async def _read(
    context: GatewayContext, journey: RequestState, answer: Response
) -> tuple[SendOutcome, WholeAnswer | None]:
    body = await answer.read(max_bytes=MAX_ANSWER_BYTES)
    dialect = context.wire_codec
    if dialect.reports_not_run(answer.status, answer.headers):
        return SendOutcome.NOT_RUN, None
    if journey.customer_name is not None:
        context.record_start(journey.customer_name)
    whole = WholeAnswer(answer.status, answer.headers, body)
    unsigned = answer.status < 300 and not dialect.is_signed(answer.headers)
    if unsigned or answer.status in PROMISE_STATUSES:
        return SendOutcome.FAILED, None
    return SendOutcome.ANSWERED, whole
