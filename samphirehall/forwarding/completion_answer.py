"""Handler of completion requests: admission, then a streamed or a single JSON answer."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import msgspec

from samphirehall.admission.authentication import Caller, authenticate, is_key_valid
from samphirehall.admission.controller import AdmissionRequest, Ticket
from samphirehall.admission.key_validity import check_key_validity
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import KEY_UNKNOWN, NO_ROUTE, OK
from samphirehall.endpoints.events import EventBatch, decode_chunk, extract_usage
from samphirehall.forwarding.answers import (
    ENDPOINT_HEADER,
    EVENT_STREAM,
    JSON,
    Headers,
    Receive,
    Scope,
    Send,
    error_body,
    result_headers,
    send_body,
    send_head,
    send_response,
)
from samphirehall.forwarding.caller_connection import caller_connection
from samphirehall.forwarding.completion import run_completion
from samphirehall.forwarding.completion_run import CompletionRun
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.inbound import (
    CallerDisconnectedError,
    bearer_key,
    deadline_seconds,
    parse_completion,
    read_request_body,
    refuse_key_in_body,
    request_priority,
)

KEY_CHECK_INTERVAL_SECONDS = 1.0


async def serve_completion(
    context: EntryContext,
    scope: Scope,
    receive: Receive,
    send: Send,
    *,
    request_id: str,
    chat: bool,
) -> str:
    """Serve one completion request and return its route's name.

    Raises
    ------
    SamphireError
        The request failed. If a streamed answer had begun, it was ended with an error event.
    """
    started = boot_seconds()
    limits = context.settings.entry
    body = await read_request_body(
        receive, max_bytes=limits.max_body_bytes, timeout=limits.head_timeout_seconds
    )
    completion = parse_completion(body, chat=chat)
    key = bearer_key(scope)
    refuse_key_in_body(body, key)
    caller = _authenticate_caller(context, key, completion.model)
    timeout = deadline_seconds(scope, default=caller.route.deadline_seconds)
    run = CompletionRun(
        request_id,
        caller,
        completion,
        request_priority(scope, default=caller.route.priority),
        started + timeout,
    )
    context.check_stop(run.deadline, now=boot_seconds())
    admission = AdmissionRequest(
        caller, run.priority, run.deadline, run.prompt_tokens, run.max_tokens
    )
    try:
        with _cancel_on_deadline_or_disconnect(run, scope):
            async with context.admission.admit(admission, now=started) as ticket:
                try:
                    await _send_answer(context, run, send, started)
                finally:
                    _record_usage(context, run, ticket)
    except SamphireError as error:
        if run.stream_started:
            await _send_error_event(send, error, run)
        raise
    return caller.route_name


def _record_usage(context: EntryContext, run: CompletionRun, ticket: Ticket) -> None:
    if not run.payloads:
        return
    usage = extract_usage(run.payloads[-1])
    prompt_tokens = usage.prompt_tokens or run.prompt_tokens
    completion_tokens = usage.completion_tokens or len(run.payloads)
    ticket.record_usage(prompt_tokens, completion_tokens)
    context.meter.record(run.caller.customer, prompt_tokens, completion_tokens, now=wall_seconds())


def _authenticate_caller(context: EntryContext, key: str | None, model: str) -> Caller:
    caller = authenticate(context.state.configuration, key=key, route_name=model)
    check_key_validity(context.state, caller, context.settings.isolation, now=boot_seconds())
    if caller.route.kind != "model":
        raise SamphireError(NO_ROUTE, f"route {model!r} is a service, not a model")
    return caller


@contextmanager
def _cancel_on_deadline_or_disconnect(run: CompletionRun, scope: Scope) -> Iterator[None]:
    """Cancel the context at the deadline or when the caller closes its connection.

    Raises
    ------
    CallerDisconnectedError
        The caller closed its connection.
    SamphireError
        The deadline passed.
    """
    caller_disconnected = False

    def on_close() -> None:
        nonlocal caller_disconnected
        caller_disconnected = True
        limit.cancel()

    deadline = anyio.current_time() + run.deadline - boot_seconds()
    with (
        anyio.CancelScope(deadline=deadline) as limit,
        caller_connection(scope).notify_on_close(on_close),
    ):
        yield
    if limit.cancelled_caught:
        if caller_disconnected:
            raise CallerDisconnectedError
        raise run.deadline_error()


async def _send_answer(
    context: EntryContext, run: CompletionRun, send: Send, started: float
) -> None:
    if run.completion.stream:
        await _stream_answer(context, run, send, started)
    else:
        await _send_json_answer(context, run, send, started)


async def _stream_answer(
    context: EntryContext, run: CompletionRun, send: Send, started: float
) -> None:
    tokens = 0
    check_key = _make_key_check(context, run)

    async def relay(batch: EventBatch) -> None:
        nonlocal tokens
        check_key()
        if not run.stream_started:
            run.stream_started = True
            _observe_first_token(context, run, started)
            await send_head(send, OK.http_status, _ok_headers(run, EVENT_STREAM))
        tokens += len(batch.data)
        await send_body(send, batch.content, more=not batch.done)

    try:
        await run_completion(context, run, relay)
    finally:
        context.metrics.tokens.labels(run.caller.route_name).inc(tokens)


def _make_key_check(context: EntryContext, run: CompletionRun) -> Callable[[], None]:
    """Return a function that raises if the customer key was withdrawn.

    It is called for each batch and checks the key at most once every
    `KEY_CHECK_INTERVAL_SECONDS`.
    """
    next_check = boot_seconds() + KEY_CHECK_INTERVAL_SECONDS

    def check() -> None:
        nonlocal next_check
        now = boot_seconds()
        if now < next_check:
            return
        next_check = now + KEY_CHECK_INTERVAL_SECONDS
        withdrawn = context.state.is_withdrawn(run.caller.key_digest, now=now)
        if withdrawn or not is_key_valid(context.state.configuration, run.caller):
            raise run.build_error(
                "the customer key was withdrawn while the request was open", not_run=KEY_UNKNOWN
            )

    return check


async def _send_error_event(send: Send, error: SamphireError, run: CompletionRun) -> None:
    """Send an error event without an end marker, so that the caller sees an incomplete stream."""
    body = error_body(error, run.request_id)
    await send_body(send, b"event: error\ndata: " + body + b"\n\n")


async def _send_json_answer(
    context: EntryContext, run: CompletionRun, send: Send, started: float
) -> None:
    check_key = _make_key_check(context, run)

    async def observe(batch: EventBatch) -> None:
        check_key()
        if len(run.payloads) == len(batch.data):
            _observe_first_token(context, run, started)

    await run_completion(context, run, observe)
    context.metrics.tokens.labels(run.caller.route_name).inc(len(run.payloads))
    body = build_answer(run)
    await send_response(send, OK.http_status, _ok_headers(run, JSON), body)


def build_answer(run: CompletionRun) -> bytes:
    """Return the OpenAI-compatible JSON body assembled from all events."""
    chunks = [decode_chunk(payload) for payload in run.payloads]
    text = "".join(chunk.text for chunk in chunks)
    finish_reason = next(
        (chunk.finish_reason for chunk in reversed(chunks) if chunk.finish_reason), None
    )
    usage = extract_usage(run.payloads[-1])
    choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
    if run.completion.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": run.request_id,
            "object": "chat.completion" if run.completion.chat else "text_completion",
            "created": int(time.time()),
            "model": run.completion.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            },
        }
    )


def _ok_headers(run: CompletionRun, content_type: bytes) -> Headers:
    headers = result_headers(OK, run.request_id, content_type)
    headers.append((ENDPOINT_HEADER, run.endpoints[-1].encode()))
    return headers


def _observe_first_token(context: EntryContext, run: CompletionRun, started: float) -> None:
    context.metrics.first_token.labels(run.caller.route_name).observe(boot_seconds() - started)
