"""One send of a client's request to an endpoint, and what its failure means."""

import contextlib
from collections.abc import AsyncIterator

from samphirehall.gateway.connections import Answer, BrokenAnswerError, NotSentError
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import Crash
from samphirehall.gateway.dialect import Dispatch
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.journey import Journey, SendOutcome

SEND_ERRORS = (NotSentError, BrokenAnswerError, ValueError, TimeoutError)


@contextlib.asynccontextmanager
async def send(
    context: GatewayContext, journey: Journey, endpoint: EndpointState, dispatch: Dispatch
) -> AsyncIterator[Answer]:
    """Send the request of a journey and yield the answer with its body unread.

    Raises
    ------
    NotSentError, BrokenAnswerError
        See `EndpointConnections.exchange`.
    """
    request, dialect = journey.request, context.dialect
    async with endpoint.connections.exchange(
        request.method,
        request.target,
        dialect.send_headers(request, dispatch),
        request.body,
        belongs=lambda found: dialect.belongs(request.request_id, found),
        once=not (journey.route.repeatable or dispatch.reads_only),
    ) as answer:
        yield answer


def outcome_of(error: Exception) -> SendOutcome:
    """Return the outcome of a send that ended with one of `SEND_ERRORS`."""
    if isinstance(error, NotSentError):
        return SendOutcome.NOT_SENT
    if isinstance(error, TimeoutError):
        return SendOutcome.SILENT
    return SendOutcome.BROKEN


def note_crash(
    context: GatewayContext, journey: Journey, endpoint: EndpointState, outcome: SendOutcome
) -> None:
    """Keep in mind that an endpoint broke off in a request, or that the request was answered."""
    now = context.clock()
    endpoint_id = endpoint.listed.endpoint_id
    if outcome is SendOutcome.BROKEN:
        crash = Crash(
            journey.fingerprint, f"{endpoint_id}/{endpoint.listed.started_at_milliseconds}"
        )
        context.crashes.record_unconfirmed(endpoint_id, crash, now=now)
    elif outcome is SendOutcome.NOT_SENT:
        context.crashes.confirm(endpoint_id, now=now)
    elif outcome is SendOutcome.ANSWERED:
        context.crashes.clear(journey.fingerprint)
