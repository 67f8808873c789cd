"""Send a client request to one endpoint and classify failures."""

import contextlib
import logging
from collections.abc import AsyncIterator

from samphirehall.core.log import log_decision
from samphirehall.gateway.connections import IncompleteResponseError, NotSentError, Response
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import Crash
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.request_state import RequestState, SendOutcome
from samphirehall.gateway.wire_codec import Dispatch

SEND_ERRORS = (NotSentError, IncompleteResponseError, ValueError, TimeoutError)

_log = logging.getLogger(__name__)


@contextlib.asynccontextmanager
async def send_request(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    dispatch: Dispatch,
) -> AsyncIterator[Response]:
    """Send the client request to an endpoint and yield the response with its body unread.

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
        must_not_repeat=not (request_state.route.repeatable or dispatch.prefill_only),
    ) as response:
        yield response


def outcome_from_error(error: Exception) -> SendOutcome:
    """Return the outcome of a send that raised one of `SEND_ERRORS`."""
    if isinstance(error, NotSentError):
        return SendOutcome.NOT_SENT
    if isinstance(error, TimeoutError):
        return SendOutcome.SILENT
    return SendOutcome.BROKEN


def update_crash_tracker(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    outcome: SendOutcome,
) -> None:
    """Update the crash records of the endpoint and the request with the outcome of a send.

    A broken response makes the endpoint a suspect, a refused connection confirms the
    suspicion, and a whole response clears the request.
    """
    now = context.clock()
    endpoint_id = endpoint.listed.endpoint_id
    if outcome is SendOutcome.BROKEN:
        crash = Crash(
            request_state.fingerprint, f"{endpoint_id}/{endpoint.listed.started_at_milliseconds}"
        )
        context.crashes.record_unconfirmed(endpoint_id, crash, now=now)
        prompt = request_state.request.prompt
        log_decision(
            _log,
            "crash-suspected",
            "the connection broke before the whole answer",
            request=request_state.request.request_id,
            fingerprint=crash.fingerprint,
            endpoint=crash.endpoint,
            parts=[part.part_id for part in prompt.parts] if prompt else [],
        )
    elif outcome is SendOutcome.NOT_SENT:
        context.crashes.confirm(endpoint_id, now=now)
    elif outcome is SendOutcome.ANSWERED:
        context.crashes.clear(request_state.fingerprint)
