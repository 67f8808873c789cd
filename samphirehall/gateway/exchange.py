"""Send a client request to one endpoint and classify failures."""

import contextlib
import logging
from collections.abc import AsyncIterator, Collection, Sequence

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import OUTCOME_UNKNOWN, OVERLOADED, PART_QUARANTINED, QUARANTINED
from samphirehall.gateway.connections import (
    IncompleteResponseError,
    NotSentError,
    ProcessCheck,
    Response,
    UnknownProcessError,
)
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import MIN_CRASHES_FOR_QUARANTINE, Crash, request_part
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.request_state import RequestState, SendOutcome
from samphirehall.gateway.wire_codec import Dispatch

SEND_ERRORS = (NotSentError, IncompleteResponseError, ValueError, TimeoutError)

MAX_LIMIT_RETRY_AFTER_SECONDS = 1.0  # other hosts may send to these endpoints sooner

_log = logging.getLogger(__name__)


@contextlib.asynccontextmanager
async def send_request(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    dispatch: Dispatch,
    check: ProcessCheck | None = None,
) -> AsyncIterator[Response]:
    """Send the client request to an endpoint and yield the response with its body unread.

    With a check, it is sent only on a connection that has passed it.

    Raises
    ------
    NotSentError, IncompleteResponseError
        See `EndpointConnections.exchange`.
    """
    request, wire_codec = request_state.request, context.wire_codec
    async with endpoint.connections.exchange(
        request.method,
        request.target,
        wire_codec.request_headers(request, dispatch),
        request.body,
        matches=lambda found: wire_codec.matches_request(request.request_id, found),
        request_id=request.request_id,
        must_not_repeat=not (request_state.route.repeatable or dispatch.prefill_only),
        check=check,
    ) as response:
        now = context.clock()
        rate = wire_codec.endpoint_limit(response.headers)
        context.limits.record(endpoint.listed.incarnation, rate, at=now, now=now)
        yield response


def within_limits(
    context: GatewayContext, request_state: RequestState, candidates: Sequence[EndpointState]
) -> list[EndpointState]:
    """Return the candidates to which this host may send the request now."""
    now = context.clock()
    return [
        state
        for state in candidates
        if state.listed.endpoint_id in request_state.reserved_endpoints
        or context.limits.delay(state.listed, now=now) == 0
    ]


def count_sends(
    context: GatewayContext, request_state: RequestState, endpoint_ids: Collection[str]
) -> None:
    """Count the sends of an attempt against the limits of its endpoints, less the reserved ones."""
    for endpoint_id in set(endpoint_ids) - request_state.reserved_endpoints:
        endpoint = context.fleet.endpoint(endpoint_id)
        if endpoint is not None:
            context.limits.take(endpoint.listed, now=context.clock())
    request_state.reserved_endpoints = set()


def limit_error(context: GatewayContext, candidates: Sequence[EndpointState]) -> SamphireError:
    """Return the error for a request whose endpoints all take no more requests for now."""
    now = context.clock()
    delay = min(context.limits.delay(state.listed, now=now) for state in candidates)
    retry_after = min(delay, MAX_LIMIT_RETRY_AFTER_SECONDS)
    detail = "all endpoints take no more requests for now"
    return SamphireError(OVERLOADED, detail, retry_after=retry_after)


def acquire_repeats(context: GatewayContext, request_state: RequestState, sends: int) -> bool:
    """Count repeated sends, less the reserved ones, if the budget allows them."""
    needed = max(0, sends - request_state.reserved_repeats)
    request_state.reserved_repeats = 0
    return context.acquire_repeats(request_state.service.name, needed)


def reserve_attempt(
    context: GatewayContext,
    request_state: RequestState,
    sends: int,
    endpoint_ids: Collection[str],
) -> bool:
    """Count the repeated sends of the next attempt while the present one still runs.

    They are counted against the repeat budget and against the limits of the endpoints.
    """
    if not context.acquire_repeats(request_state.service.name, sends):
        return False
    request_state.reserved_repeats = sends
    count_sends(context, request_state, endpoint_ids)
    request_state.reserved_endpoints = set(endpoint_ids)
    return True


def outcome_from_error(error: Exception) -> SendOutcome:
    """Return the outcome of a send that raised one of `SEND_ERRORS`."""
    if isinstance(error, UnknownProcessError):
        return SendOutcome.NOT_RUN  # it may be sound, so that this confirms no crash
    if isinstance(error, NotSentError):
        return SendOutcome.NOT_SENT
    if isinstance(error, TimeoutError):
        return SendOutcome.SILENT
    return SendOutcome.BROKEN


def check_quarantine(context: GatewayContext, request_state: RequestState) -> None:
    """Refuse a request that crashed endpoints, or whose prompt holds a part that did.

    Raises
    ------
    SamphireError
        The request is in quarantine.
    """
    now = context.clock()
    parts = context.crashes.parts
    if parts.blocked((request_part(request_state.fingerprint),), now=now):
        detail = f"{MIN_CRASHES_FOR_QUARANTINE} endpoints crashed while running this request"
        raise _quarantine_error(request_state, SamphireError(QUARANTINED, detail))
    group = parts.blocked(request_state.shared_part_ids, now=now)
    if group is None or (request_state.on_trial and not request_state.may_have_run):
        return
    names = ", ".join(sorted(group))
    if context.owns(names) and parts.take_trial(group, now=now):
        request_state.on_trial = True
        return
    detail = f"engines crashed under each prompt with {names}"
    retry_after = parts.retry_after(group, now=now)
    error = SamphireError(PART_QUARANTINED, detail, retry_after=retry_after)
    raise _quarantine_error(request_state, error)


def is_in_quarantine(context: GatewayContext, request_state: RequestState) -> bool:
    """Return whether the request or a part of its prompt is in quarantine."""
    request_parts = (request_part(request_state.fingerprint),)
    return any(
        context.crashes.parts.blocked(parts, now=context.clock())
        for parts in (request_parts, request_state.shared_part_ids)
    )


def _quarantine_error(request_state: RequestState, refusal: SamphireError) -> SamphireError:
    """Return the refusal, or an error that does not claim that the request never ran."""
    if request_state.may_have_run:
        return SamphireError(OUTCOME_UNKNOWN, refusal.detail)
    return refusal


async def update_crash_tracker(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    outcome: SendOutcome,
) -> None:
    """Update the crash records of the endpoint and the request with the outcome of a send.

    A broken response makes the endpoint a suspect. If it refuses a new connection, now or for
    a later request, the suspicion is confirmed, unless this host reaches no endpoint at all. A
    whole response clears the request.
    """
    now = context.clock()
    endpoint_id = endpoint.listed.endpoint_id
    if outcome is SendOutcome.BROKEN:
        crash = Crash(
            request_state.fingerprint, endpoint.listed.incarnation, request_state.shared_part_ids
        )
        context.crashes.record_unconfirmed(endpoint_id, crash, now=now)
        log_decision(
            _log,
            "crash-suspected",
            "the connection broke before the whole answer",
            request=request_state.request.request_id,
            fingerprint=crash.fingerprint,
            endpoint=crash.endpoint,
            parts=crash.parts,
        )
        endpoint.connection_checks += 1
        try:
            refuses = await endpoint.connections.refuses_connections()
        finally:
            endpoint.connection_checks -= 1
        if refuses:
            endpoint.record_refusal()
            await _confirm_crash(context, endpoint_id)
    elif outcome is SendOutcome.NOT_SENT:
        await _confirm_crash(context, endpoint_id)
    elif outcome is SendOutcome.ANSWERED:
        context.crashes.clear(request_state.fingerprint, request_state.shared_part_ids, now=now)


async def _confirm_crash(context: GatewayContext, endpoint_id: str) -> None:
    """Confirm the suspicion of an endpoint that cannot be connected to."""
    context.endpoint_lost.set()
    now = context.clock()
    if context.crashes.is_suspect(endpoint_id) and await context.paths.may_blame(
        endpoint_id, now=now
    ):
        context.crashes.confirm(endpoint_id, now=context.clock())
