"""Calls of plain services that must not be repeated: at most once, under a claim."""

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
from samphirehall.forwarding.claims import ClaimState, HeldClaim, StoredOutcome, is_overdue
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.service_call import (
    ServiceAnswer,
    ServiceCall,
    check_dispatch,
    choose_service,
    dispatch,
    note_failure,
)
from samphirehall.routing.policy import NoEndpointError

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Progress:
    """How far a claimed call got: perhaps written to an endpoint, certainly run."""

    written: bool = False
    ran: bool = False


async def call_once(
    context: EntryContext, call: ServiceCall, key: str | None
) -> tuple[ServiceAnswer, Result]:
    """Call a service at most once, under a claim in the platform's table.

    Parameters
    ----------
    context : EntryContext
        Shared parts of the process.
    call : ServiceCall
        The call.
    key : str, optional
        Idempotency key of the caller.

    Raises
    ------
    SamphireError
        The call did not run, or nobody can tell; its result says which.
    """
    if key is None:
        detail = f"route {call.caller.route_name!r} needs an Idempotency-Key"
        raise SamphireError(BAD_REQUEST, detail)
    mark = fingerprint(f"{call.method} {call.target}\n".encode() + call.body)
    held = await context.claims.claim(
        call.caller.customer, key, fingerprint=mark, deadline=call.deadline
    )
    log_decision(
        _log,
        "claim",
        "won" if held.won else f"held, {held.claim.state}",
        request=call.request_id,
        customer=call.caller.customer,
        attempt=held.claim.attempt,
    )
    if not held.won:
        return _replay(held, mark, now=wall_seconds()), REPLAYED
    answer = await _run_claimed(context, call, held)
    await context.claims.settle(held, _stored(answer))
    return answer, OK


async def _run_claimed(context: EntryContext, call: ServiceCall, held: HeldClaim) -> ServiceAnswer:
    """Dispatch a claimed call; whatever ends it early leaves a true state in the claim."""
    progress = _Progress()
    try:
        return await _dispatch_claimed(context, call, progress)
    except BaseException:
        if not progress.written:
            context.claims.refuse(held)
        elif progress.ran:
            context.claims.mark_ran(held)
        else:
            context.claims.mark_unknown(held)
        raise


async def _dispatch_claimed(
    context: EntryContext, call: ServiceCall, progress: _Progress
) -> ServiceAnswer:
    """Dispatch to the first endpoint that takes a connection."""
    failed: set[str] = set()
    while True:
        check_dispatch(context, call)
        try:
            endpoint = choose_service(context, call, failed)
        except NoEndpointError as error:
            raise SamphireError(NO_ENDPOINT, str(error), retry_after=1.0) from error
        progress.written = True
        try:
            return await dispatch(context, call, endpoint)
        except NOT_WRITTEN_ERRORS as error:
            progress.written = False
            failed.add(endpoint.endpoint_id)
            note_failure(context, call, endpoint, error)
        except TRANSPORT_ERRORS as error:
            note_failure(context, call, endpoint, error)
            raise SamphireError(OUTCOME_UNKNOWN, "the endpoint did not answer") from error
        except SamphireError:
            progress.ran = True
            raise


def _replay(held: HeldClaim, mark: str, *, now: float) -> ServiceAnswer:
    claim = held.claim
    if claim.fingerprint != mark:
        raise SamphireError(KEY_REUSED, "the idempotency key belongs to another request")
    if claim.state is ClaimState.OPEN and not is_overdue(claim, now=now):
        raise SamphireError(CLAIM_IN_PROGRESS, "an attempt with this key runs", retry_after=1.0)
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


def _stored(answer: ServiceAnswer) -> StoredOutcome:
    return StoredOutcome(
        answer.status,
        answer.content_type.decode("latin-1"),
        answer.body.decode("latin-1"),
        answer.endpoint,
    )
