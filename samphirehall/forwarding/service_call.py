"""A call of a plain service: the choice of its endpoint and the dispatch."""

import logging
from dataclasses import dataclass

import anyio
import httpcore

from samphirehall.admission.authentication import Caller, is_key_valid
from samphirehall.admission.key_validity import check_key_validity
from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import MAX_STATUS, header, holds_control_character, read_body
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import DEADLINE_NOT_RUN, ENDPOINT_FAILED, KEY_UNKNOWN
from samphirehall.core.types import EndpointInfo, EndpointProtocol
from samphirehall.endpoints.protocol import REQUEST_ID_HEADER, is_answer_to
from samphirehall.forwarding.answers import Headers
from samphirehall.forwarding.context import EntryContext
from samphirehall.routing.fleet import RoutingRequest

MAX_ANSWER_BYTES = 8 * 1024 * 1024
DEFAULT_CONTENT_TYPE = "application/json"

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class ServiceCall:
    """An authenticated call of a plain service, as it is sent to an endpoint.

    Parameters
    ----------
    request_id : str
        Identifier sent to the endpoint.
    caller : Caller
        Customer and route.
    method, target : str
        Method and target of the request line that is sent to the endpoint.
    headers : list
        Headers to forward to the endpoint.
    body : bytes
        Body as received.
    deadline : float
        Boot clock in seconds until which the call may run.
    """

    request_id: str
    caller: Caller
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float


@dataclass(slots=True, frozen=True)
class ServiceAnswer:
    """Complete answer of a plain service."""

    status: int
    content_type: bytes
    body: bytes
    endpoint: str


def check_dispatch(context: EntryContext, call: ServiceCall) -> None:
    """Check just before a dispatch that the call may still run.

    Raises
    ------
    SamphireError
        The deadline has passed, or the key was withdrawn while the call waited.
    """
    if boot_seconds() >= call.deadline:
        raise SamphireError(DEADLINE_NOT_RUN, "the deadline passed before the dispatch")
    if not is_key_valid(context.state.configuration, call.caller):
        raise SamphireError(KEY_UNKNOWN, "the key was withdrawn while the request waited")
    check_key_validity(context.state, call.caller, context.settings.isolation, now=boot_seconds())


def choose_endpoint(context: EntryContext, call: ServiceCall, failed: set[str]) -> EndpointInfo:
    """Choose the endpoint for a call by the routing policy.

    Raises
    ------
    NoEndpointError
        No endpoint can take the call.
    """
    now = boot_seconds()
    target = call.caller.route.target
    candidates = context.fleet.candidates(
        target, EndpointProtocol.SERVICE, excluded=failed, now=now
    )
    request = RoutingRequest(target, context.state.zone, call.deadline)
    decision = context.routing_policy(
        candidates, request, now=now, random_source=context.random_source
    )
    log_decision(
        _log,
        "route",
        decision.reason,
        request=call.request_id,
        customer=call.caller.customer,
        target=target,
        endpoint=decision.endpoint.info.endpoint_id,
        candidates=len(candidates),
    )
    return decision.endpoint.info


async def dispatch(
    context: EntryContext, call: ServiceCall, endpoint: EndpointInfo
) -> ServiceAnswer:
    """Send a call to its endpoint and return the complete answer.

    Raises
    ------
    SamphireError
        The service ran the call, but its answer is too long.
    httpcore.ConnectError, httpcore.ConnectTimeout
        Nothing was sent to the endpoint.
    OSError, httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError
        The call may have run.
    """
    pool = context.pools.pool_for(endpoint.address)
    context.fleet.begin_call(endpoint.endpoint_id)
    headers = {**dict(call.headers), REQUEST_ID_HEADER: call.request_id.encode()}
    remaining = max(0.0, call.deadline - boot_seconds())
    try:
        with anyio.fail_after(remaining):
            async with pool.request(
                call.method,
                call.target,
                headers=headers,
                content=call.body,
                read_timeout=remaining,
                new_connection=not call.caller.route.idempotent,
                request_id=call.request_id,
            ) as response:
                if is_answer_to(response.headers, call.request_id) is False:
                    raise httpcore.RemoteProtocolError("the answer to another request")
                if response.status > MAX_STATUS:
                    raise httpcore.RemoteProtocolError(f"status {response.status}")
                body = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
                content_type = header(response.headers, b"content-type") or DEFAULT_CONTENT_TYPE
                if holds_control_character(content_type.encode("latin-1")):
                    reason = "control character in the content type"
                    log_decision(_log, "header-dropped", reason, request=call.request_id)
                    content_type = DEFAULT_CONTENT_TYPE
                context.fleet.record_success(endpoint.endpoint_id)
                return ServiceAnswer(
                    response.status, content_type.encode(), body, endpoint.endpoint_id
                )
    except ValueError as error:
        raise SamphireError(ENDPOINT_FAILED, f"the answer is too long: {error}") from error
    finally:
        context.fleet.end_call(endpoint.endpoint_id)


def record_failure(
    context: EntryContext, call: ServiceCall, endpoint: EndpointInfo, error: Exception
) -> None:
    """Record a failed call, so that routing penalizes the endpoint for a while."""
    context.fleet.record_failure(endpoint.endpoint_id, now=boot_seconds())
    log_decision(_log, "retry", repr(error), request=call.request_id, endpoint=endpoint.endpoint_id)
