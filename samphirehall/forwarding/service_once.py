"""Non-idempotent calls of plain services: dispatched at most once, under a claim."""

import logging
from dataclasses import dataclass

from samphirehall.core.clock import wall_seconds
from samphirehall.core.connections import NOT_WRITTEN_ERRORS, TRANSPORT_ERRORS
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import fingerprint
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    BAD_REQUEST,
    CLAIM_IN_PROGRESS,
    KEY_REUSED,
    NO_ENDPOINT,
    OK,
    OUTCOME_NOT_KEPT,
    OUTCOME_UNKNOWN,
    REPLAYED,
    Result,
)
from samphirehall.forwarding.claims import ClaimRow, ClaimState, StoredOutcome, is_overdue
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.service_call import (
    ServiceAnswer,
    ServiceCall,
    check_dispatch,
    choose_endpoint,
    dispatch,
    record_failure,
)
from samphirehall.routing.policy import NoEndpointError

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Progress:
    """How far a claimed call got.

    Parameters
    ----------
    may_have_run : bool
        Whether the call may have been written to an endpoint.
    ran : bool
        Whether the call certainly ran.
    """

    may_have_run: bool = False
    ran: bool = False


async def call_once(
    context: EntryContext, call: ServiceCall, key: str | None
) -> tuple[ServiceAnswer, Result]:
    """Call a service at most once, under a claim in the platform's table.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry process.
    call : ServiceCall
        Call to make.
    key : str, optional
        Idempotency key of the caller.

    Raises
    ------
    SamphireError
        The call did not run, it is unknown whether it ran, or its answer cannot be
        replayed; the result of the error says which.
    """
    if key is None:
        detail = f"route {call.caller.route_name!r} needs an Idempotency-Key header"
        raise SamphireError(BAD_REQUEST, detail)
    request_fingerprint = fingerprint(f"{call.method} {call.target}\n".encode() + call.body)
    claim_row = await context.claims.claim(
        call.caller.customer, key, fingerprint=request_fingerprint, deadline=call.deadline
    )
    log_decision(
        _log,
        "claim",
        "won" if claim_row.won else f"held by another attempt, state {claim_row.claim.state}",
        request=call.request_id,
        customer=call.caller.customer,
        attempt=claim_row.claim.attempt,
    )
    if not claim_row.won:
        return _replayed_answer(claim_row, request_fingerprint, now=wall_seconds()), REPLAYED
    answer = await _run_claimed(context, call, claim_row)
    await context.claims.record_outcome(claim_row, _outcome_to_store(answer))
    return answer, OK


async def _run_claimed(
    context: EntryContext, call: ServiceCall, claim_row: ClaimRow
) -> ServiceAnswer:
    """Dispatch a claimed call; if it fails or is cancelled, store in the claim whether it ran."""
    progress = _Progress()
    try:
        return await _dispatch_claimed(context, call, progress)
    except BaseException:
        if not progress.may_have_run:
            context.claims.mark_refused(claim_row)
        elif progress.ran:
            context.claims.mark_ran(claim_row)
        else:
            context.claims.mark_unknown(claim_row)
        raise


async def _dispatch_claimed(
    context: EntryContext, call: ServiceCall, progress: _Progress
) -> ServiceAnswer:
    """Dispatch a claimed call to the first endpoint that accepts a connection."""
    failed: set[str] = set()
    while True:
        check_dispatch(context, call)
        try:
            endpoint = choose_endpoint(context, call, failed)
        except NoEndpointError as error:
            raise SamphireError(NO_ENDPOINT, str(error), retry_after=1.0) from error
        progress.may_have_run = True
        try:
            return await dispatch(context, call, endpoint)
        except NOT_WRITTEN_ERRORS as error:
            progress.may_have_run = False
            failed.add(endpoint.endpoint_id)
            record_failure(context, call, endpoint, error)
        except TRANSPORT_ERRORS as error:
            record_failure(context, call, endpoint, error)
            raise SamphireError(OUTCOME_UNKNOWN, "the endpoint did not answer") from error
        except SamphireError:
            progress.ran = True
            raise


def _replayed_answer(claim_row: ClaimRow, request_fingerprint: str, *, now: float) -> ServiceAnswer:
    claim = claim_row.claim
    if claim.fingerprint != request_fingerprint:
        raise SamphireError(KEY_REUSED, "the idempotency key was used for another request")
    if claim.state is ClaimState.OPEN and not is_overdue(claim, now=now):
        raise SamphireError(
            CLAIM_IN_PROGRESS, "an attempt with this key is still running", retry_after=1.0
        )
    if claim.state in (ClaimState.OPEN, ClaimState.UNKNOWN):
        raise SamphireError(OUTCOME_UNKNOWN, "an attempt with this key may have run")
    if claim.outcome is None:
        raise SamphireError(OUTCOME_NOT_KEPT, "the request ran; its answer was too long to keep")
    outcome = claim.outcome
    return ServiceAnswer(
        outcome.status,
        outcome.content_type.encode("latin-1"),
        outcome.body.encode("latin-1"),
        outcome.endpoint,
    )


def _outcome_to_store(answer: ServiceAnswer) -> StoredOutcome:
    return StoredOutcome(
        answer.status,
        answer.content_type.decode("latin-1"),
        answer.body.decode("latin-1"),
        answer.endpoint,
    )
