"""Calls of plain services, the non-idempotent ones at most once."""

import logging
from dataclasses import dataclass, replace

import anyio

from samphirehall.admission.authentication import Caller, authenticate
from samphirehall.admission.controller import AdmissionRequest
from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import (
    NOT_WRITTEN_ERRORS,
    TRANSPORT_ERRORS,
    header,
    read_body,
)
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import fingerprint
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    BAD_REQUEST,
    CLAIM_IN_PROGRESS,
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    KEY_REUSED,
    NO_ENDPOINT,
    NO_ROUTE,
    OK,
    OUTCOME_UNKNOWN,
    REPLAYED,
    Result,
)
from samphirehall.core.types import EndpointInfo, EndpointProtocol
from samphirehall.endpoints.protocol import REQUEST_ID_HEADER
from samphirehall.forwarding.answers import (
    ENDPOINT_HEADER,
    Headers,
    Receive,
    Scope,
    Send,
    result_headers,
    send_whole,
)
from samphirehall.forwarding.claims import Claim, StoredOutcome
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.inbound import (
    bearer_key,
    deadline_seconds,
    endpoint_headers,
    endpoint_query,
    idempotency_key,
    priority_of,
    read_request_body,
    refuse_key_in_body,
)
from samphirehall.routing.fleet import RoutingRequest
from samphirehall.routing.policy import NoEndpointError

PATH_PREFIX = "/services/"
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_ATTEMPTS = 3

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class ServiceCall:
    """A checked call of a plain service.

    Parameters
    ----------
    request_id : str
        Identifier sent to the endpoint.
    caller : Caller
        Customer and route.
    method, target : str
        Request line towards the endpoint.
    headers : list
        Headers that the endpoint may see.
    body : bytes
        Body as received.
    deadline : float
        Boot clock in seconds.
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
    """Whole answer of a plain service."""

    status: int
    content_type: bytes
    body: bytes
    endpoint: str


async def serve_service(
    context: EntryContext, scope: Scope, receive: Receive, send: Send, *, request_id: str
) -> str:
    """Serve one call of a plain service and return its route's name.

    Raises
    ------
    SamphireError
        The call was refused or its outcome is not known.
    """
    started = boot_seconds()
    call = await _read_call(context, scope, receive, request_id=request_id, started=started)
    route = call.caller.route
    admission = AdmissionRequest(
        call.caller, priority_of(scope, default=route.priority), call.deadline
    )
    async with context.admission.admit(admission, now=started):
        if route.idempotent or call.method in ("GET", "HEAD"):
            answer, result = await _call_repeatable(context, call), OK
        else:
            answer, result = await _call_once(context, call, idempotency_key(scope))
    headers = result_headers(result, request_id, answer.content_type)
    headers.append((ENDPOINT_HEADER, answer.endpoint.encode()))
    await send_whole(send, answer.status, headers, answer.body)
    return call.caller.route_name


async def _read_call(
    context: EntryContext, scope: Scope, receive: Receive, *, request_id: str, started: float
) -> ServiceCall:
    limits = context.settings.entry
    route_name, _, rest = scope["path"].removeprefix(PATH_PREFIX).partition("/")
    key = bearer_key(scope)
    caller = authenticate(context.state.configuration, key=key, route_name=route_name)
    if caller.route.kind != "service":
        raise SamphireError(NO_ROUTE, f"route {route_name!r} is a model, not a service")
    body = await read_request_body(
        receive, max_bytes=limits.max_body_bytes, timeout=limits.head_timeout_seconds
    )
    refuse_key_in_body(body, key)
    query = endpoint_query(scope["query_string"], key)
    return ServiceCall(
        request_id,
        caller,
        scope["method"],
        f"/{rest}?{query}" if query else f"/{rest}",
        endpoint_headers(scope["headers"], key),
        body,
        started + deadline_seconds(scope, default=caller.route.deadline_seconds),
    )


async def _call_repeatable(context: EntryContext, call: ServiceCall) -> ServiceAnswer:
    """Call a service whose calls may be repeated; try other endpoints on failure."""
    failed: set[str] = set()
    written = False
    for _ in range(MAX_ATTEMPTS):
        try:
            endpoint = _choose(context, call, failed)
        except NoEndpointError as error:
            result = OUTCOME_UNKNOWN if written else NO_ENDPOINT
            raise SamphireError(result, str(error), retry_after=1.0) from error
        try:
            return await _dispatch(context, call, endpoint)
        except NOT_WRITTEN_ERRORS as error:
            _note_failure(context, call, endpoint, error)
        except TRANSPORT_ERRORS as error:
            written = True
            _note_failure(context, call, endpoint, error)
        failed.add(endpoint.endpoint_id)
        if boot_seconds() >= call.deadline:
            result = DEADLINE_UNKNOWN if written else DEADLINE_NOT_RUN
            raise SamphireError(result, "the deadline passed")
    result = OUTCOME_UNKNOWN if written else NO_ENDPOINT
    raise SamphireError(result, f"{MAX_ATTEMPTS} attempts failed", retry_after=1.0)


async def _call_once(
    context: EntryContext, call: ServiceCall, key: str | None
) -> tuple[ServiceAnswer, Result]:
    """Call a service at most once, under a claim in the platform's table."""
    if key is None:
        detail = f"route {call.caller.route_name!r} needs an Idempotency-Key"
        raise SamphireError(BAD_REQUEST, detail)
    mark = fingerprint(f"{call.method} {call.target}\n".encode() + call.body)
    customer = call.caller.customer
    claim, won = await context.claims.claim(customer, key, fingerprint=mark, deadline=call.deadline)
    if not won:
        return _replay(claim, mark), REPLAYED
    answer = await _dispatch_claimed(context, call, key, claim)
    outcome = StoredOutcome(
        answer.status,
        answer.content_type.decode("latin-1"),
        answer.body.decode("latin-1"),
        answer.endpoint,
    )
    await context.claims.settle(customer, key, replace(claim, outcome=outcome))
    return answer, OK


async def _dispatch_claimed(
    context: EntryContext, call: ServiceCall, key: str, claim: Claim
) -> ServiceAnswer:
    failed: set[str] = set()
    while boot_seconds() < call.deadline:
        try:
            endpoint = _choose(context, call, failed)
            return await _dispatch(context, call, endpoint)
        except NoEndpointError as error:
            await context.claims.settle(call.caller.customer, key, replace(claim, refused=True))
            raise SamphireError(NO_ENDPOINT, str(error), retry_after=1.0) from error
        except NOT_WRITTEN_ERRORS as error:
            failed.add(endpoint.endpoint_id)
            _note_failure(context, call, endpoint, error)
        except TRANSPORT_ERRORS as error:
            _note_failure(context, call, endpoint, error)
            raise SamphireError(OUTCOME_UNKNOWN, "the endpoint did not answer") from error
    raise SamphireError(DEADLINE_NOT_RUN, "the deadline passed")


def _replay(claim: Claim, mark: str) -> ServiceAnswer:
    if claim.fingerprint != mark:
        raise SamphireError(KEY_REUSED, "the idempotency key belongs to another request")
    if claim.refused:
        raise SamphireError(NO_ENDPOINT, "the attempt with this key did not run; use a new key")
    if claim.outcome is None:
        raise SamphireError(CLAIM_IN_PROGRESS, "an attempt with this key has begun")
    outcome = claim.outcome
    return ServiceAnswer(
        outcome.status,
        outcome.content_type.encode("latin-1"),
        outcome.body.encode("latin-1"),
        outcome.endpoint,
    )


def _choose(context: EntryContext, call: ServiceCall, failed: set[str]) -> EndpointInfo:
    now = boot_seconds()
    target = call.caller.route.target
    candidates = context.fleet.candidates(
        target, EndpointProtocol.SERVICE, excluded=failed, now=now
    )
    request = RoutingRequest(target, context.state.zone, call.deadline)
    decision = context.choose(candidates, request, now=now, random_source=context.random_source)
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


async def _dispatch(
    context: EntryContext, call: ServiceCall, endpoint: EndpointInfo
) -> ServiceAnswer:
    pool = context.pools.at(endpoint.address)
    context.fleet.begin(endpoint.endpoint_id)
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
                fresh=not call.caller.route.idempotent,
            ) as response:
                body = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
                content_type = header(response.headers, b"content-type") or "application/json"
                context.fleet.trust(endpoint.endpoint_id)
                return ServiceAnswer(
                    response.status, content_type.encode(), body, endpoint.endpoint_id
                )
    finally:
        context.fleet.end(endpoint.endpoint_id)


def _note_failure(
    context: EntryContext, call: ServiceCall, endpoint: EndpointInfo, error: Exception
) -> None:
    context.fleet.suspect(endpoint.endpoint_id, now=boot_seconds())
    log_decision(_log, "retry", repr(error), request=call.request_id, endpoint=endpoint.endpoint_id)
