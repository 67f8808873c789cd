"""Handling of plain-service requests: parsing, admission, idempotent calls and the answer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import quote

import anyio

from samphirehall.admission.authentication import authenticate
from samphirehall.admission.controller import AdmissionRequest
from samphirehall.admission.key_validity import check_key_validity
from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import NOT_WRITTEN_ERRORS, TRANSPORT_ERRORS
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import KEY_PREFIX
from samphirehall.core.results import (
    BAD_REQUEST,
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_ENDPOINT,
    NO_ROUTE,
    OK,
    OUTCOME_UNKNOWN,
)
from samphirehall.forwarding.answers import (
    ENDPOINT_HEADER,
    Receive,
    Scope,
    Send,
    result_headers,
    send_response,
)
from samphirehall.forwarding.caller_connection import caller_connection
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.inbound import (
    CallerDisconnectedError,
    bearer_key,
    deadline_seconds,
    endpoint_headers,
    endpoint_query,
    idempotency_key,
    read_request_body,
    refuse_key_in_body,
    request_priority,
)
from samphirehall.forwarding.retry_budget import retry_delay
from samphirehall.forwarding.service_call import (
    ServiceAnswer,
    ServiceCall,
    check_dispatch,
    choose_endpoint,
    dispatch,
    record_failure,
)
from samphirehall.forwarding.service_once import call_once
from samphirehall.routing.policy import NoEndpointError

SERVICE_PATH_PREFIX = "/services/"
PATH_SAFE_CHARACTERS = "/:@!$&'()*+,;=-._~%"
MAX_ATTEMPTS = 3


async def serve_service(
    context: EntryContext, scope: Scope, receive: Receive, send: Send, *, request_id: str
) -> str:
    """Serve one call of a plain service; return the name of its route.

    Raises
    ------
    SamphireError
        The call was refused or its outcome is not known.
    """
    started = boot_seconds()
    call = await _read_call(context, scope, receive, request_id=request_id, started=started)
    route = call.caller.route
    context.check_stop(call.deadline, now=boot_seconds())
    admission = AdmissionRequest(
        call.caller, request_priority(scope, default=route.priority), call.deadline
    )
    async with _admitted(context, admission, scope, started):
        if route.idempotent or call.method in ("GET", "HEAD"):
            answer, result = await call_idempotent(context, call), OK
        else:
            answer, result = await call_once(context, call, idempotency_key(scope))
    headers = result_headers(result, request_id, answer.content_type)
    headers.append((ENDPOINT_HEADER, answer.endpoint.encode()))
    await send_response(send, answer.status, headers, answer.body)
    return call.caller.route_name


@asynccontextmanager
async def _admitted(
    context: EntryContext, admission: AdmissionRequest, scope: Scope, started: float
) -> AsyncIterator[None]:
    """Hold an admission slot for a call.

    A caller that disconnects while its call waits for admission cancels the call; once
    admitted, the call runs to its end.
    """
    is_waiting = True

    def cancel_if_waiting() -> None:
        if is_waiting:
            wait_scope.cancel()

    with (
        anyio.CancelScope() as wait_scope,
        caller_connection(scope).notify_on_close(cancel_if_waiting),
    ):
        async with context.admission.admit(admission, now=started):
            is_waiting = False
            yield
    if wait_scope.cancelled_caught:
        raise CallerDisconnectedError


async def _read_call(
    context: EntryContext, scope: Scope, receive: Receive, *, request_id: str, started: float
) -> ServiceCall:
    limits = context.settings.entry
    route_name = scope["path"].removeprefix(SERVICE_PATH_PREFIX).partition("/")[0]
    key = bearer_key(scope)
    caller = authenticate(context.state.configuration, key=key, route_name=route_name)
    check_key_validity(context.state, caller, context.settings.isolation, now=boot_seconds())
    if caller.route.kind != "service":
        raise SamphireError(NO_ROUTE, f"route {route_name!r} is a model, not a service")
    path = endpoint_path(scope, key)
    body = await read_request_body(
        receive, max_bytes=limits.max_body_bytes, timeout=limits.head_timeout_seconds
    )
    refuse_key_in_body(body, key)
    query = endpoint_query(scope["query_string"], key)
    return ServiceCall(
        request_id,
        caller,
        scope["method"],
        f"{path}?{query}" if query else path,
        endpoint_headers(scope["headers"], key),
        body,
        started + deadline_seconds(scope, default=caller.route.deadline_seconds),
    )


def endpoint_path(scope: Scope, key: str | None) -> str:
    """Return the path to send to the endpoint: the part after the route's name.

    Raises
    ------
    SamphireError
        The path contains a customer key.
    """
    decoded = scope["path"]
    if KEY_PREFIX in decoded or (key and key in decoded):
        raise SamphireError(BAD_REQUEST, "the path contains a customer key")
    raw = scope.get("raw_path") or decoded.encode()
    service_path = raw.decode("latin-1").removeprefix(SERVICE_PATH_PREFIX).partition("/")[2]
    return "/" + quote(service_path, safe=PATH_SAFE_CHARACTERS, encoding="latin-1")


async def call_idempotent(context: EntryContext, call: ServiceCall) -> ServiceAnswer:
    """Call a service whose calls are idempotent; retry on other endpoints after a failure.

    Raises
    ------
    SamphireError
        No endpoint answered, or the call may no longer be dispatched.
    """
    failed: set[str] = set()
    may_have_run = False
    context.retry_budget.record_first_attempt()
    for attempt in range(MAX_ATTEMPTS):
        if attempt and not context.retry_budget.spend(now=boot_seconds()):
            raise _no_answer_error(may_have_run, "the host's retry budget is spent")
        _check_attempt(context, call, may_have_run)
        try:
            endpoint = choose_endpoint(context, call, failed)
        except NoEndpointError as error:
            raise _no_answer_error(may_have_run, str(error)) from error
        try:
            return await dispatch(context, call, endpoint)
        except NOT_WRITTEN_ERRORS as error:
            record_failure(context, call, endpoint, error)
        except TRANSPORT_ERRORS as error:
            may_have_run = True
            record_failure(context, call, endpoint, error)
        failed.add(endpoint.endpoint_id)
        context.metrics.retries.labels("service").inc()
        await anyio.sleep(retry_delay(attempt, random_source=context.random_source))
    raise _no_answer_error(may_have_run, f"{MAX_ATTEMPTS} attempts failed")


def _check_attempt(context: EntryContext, call: ServiceCall, may_have_run: bool) -> None:
    try:
        check_dispatch(context, call)
    except SamphireError as error:
        if not may_have_run:
            raise
        result = DEADLINE_UNKNOWN if error.result is DEADLINE_NOT_RUN else OUTCOME_UNKNOWN
        raise SamphireError(result, error.detail) from error


def _no_answer_error(may_have_run: bool, detail: str) -> SamphireError:
    result = OUTCOME_UNKNOWN if may_have_run else NO_ENDPOINT
    return SamphireError(result, detail, retry_after=1.0)
