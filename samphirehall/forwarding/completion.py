"""The life of one completion: dispatch, resume, continuation, whole answer."""

import logging
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from samphirehall.admission.authentication import Caller
from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import NOT_WRITTEN_ERRORS, TRANSPORT_ERRORS, ConnectionPool
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    STREAM_CUT,
)
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Priority
from samphirehall.endpoints.events import BrokenStreamError, EventBatch, EventReader, tokens_of
from samphirehall.endpoints.protocol import (
    LAST_EVENT_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    EngineRequest,
)
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.inbound import Completion
from samphirehall.routing.blocks import block_hashes, prompt_text
from samphirehall.routing.fleet import OutstandingCall, RoutingRequest
from samphirehall.routing.policy import NoEndpointError, RoutingDecision

MAX_ATTEMPTS = 4
RESUMES_PER_ENDPOINT = 1
HTTP_OK = 200
CHARACTERS_PER_TOKEN = 4
CANCEL_SECONDS = 1.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class CompletionRun:
    """One completion on its way.

    Parameters
    ----------
    request_id : str
        Identifier that every event carries.
    caller : Caller
        Customer and route.
    completion : Completion
        What was asked for.
    priority : Priority
        Order of service on the engine.
    deadline : float
        Boot clock in seconds.
    payloads : list of bytes
        Payloads of all events accepted so far.
    endpoints : list of str
        Endpoints that the request was written to, in order.
    written : bool
        Whether a byte of the request may have reached an endpoint.
    """

    request_id: str
    caller: Caller
    completion: Completion
    priority: Priority
    deadline: float
    payloads: list[bytes] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    written: bool = False
    _block_hashes: list[int] | None = None

    def block_hashes(self, *, block_tokens: int) -> list[int]:
        """Return the chained hashes of the prompt's blocks; worked out once."""
        if self._block_hashes is None:
            text = prompt_text(self.completion.messages)
            target = self.caller.route.target
            self._block_hashes = block_hashes(target, text, block_tokens=block_tokens)
        return self._block_hashes

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt."""
        messages = self.completion.messages
        characters = sum(len(str(message.get("content", ""))) for message in messages)
        return characters // CHARACTERS_PER_TOKEN

    @property
    def max_tokens(self) -> int:
        """Most tokens to generate."""
        limit = self.caller.route.max_tokens
        return min(self.completion.max_tokens or limit, limit)


class _AttemptFailedError(Exception):
    """One attempt ended without the whole answer; another may follow."""


async def run_completion(
    context: EntryContext, run: CompletionRun
) -> AsyncGenerator[EventBatch, None]:
    """Yield the checked events of the whole answer, whatever endpoints it takes.

    Raises
    ------
    SamphireError
        The answer could not be had; its result says whether the request ran.
    """
    reader = EventReader(run.request_id)
    failed: set[str] = set()
    for attempt in range(MAX_ATTEMPTS):
        decision, request = _choose(context, run, failed)
        endpoint = decision.endpoint.info
        if attempt:
            context.metrics.retries.labels("completion").inc()
        try:
            kv_source = None
            if decision.prefill is not None:
                async for batch in _prefill_apart(context, run, decision, request, reader):
                    yield batch
                if reader.done:
                    return
                kv_source = decision.prefill.info.address if reader.next_index else None
            call = _begin_prefill(context, decision, request, kv_source)
            async for batch in _on_endpoint(context, run, endpoint, reader, call, kv_source):
                yield batch
            return
        except _AttemptFailedError as error:
            failed.add(endpoint.endpoint_id)
            context.fleet.suspect(endpoint.endpoint_id, now=boot_seconds())
            _log_retry(run, endpoint, error, reader)
        if boot_seconds() >= run.deadline:
            raise _deadline_error(run)
    raise _exhausted(run, f"{MAX_ATTEMPTS} attempts failed")


def _choose(
    context: EntryContext, run: CompletionRun, failed: set[str]
) -> tuple[RoutingDecision, RoutingRequest]:
    now = boot_seconds()
    target = run.caller.route.target
    candidates = context.fleet.candidates(target, EndpointProtocol.ENGINE, excluded=failed, now=now)
    request = RoutingRequest(
        target,
        context.state.zone,
        run.deadline,
        run.block_hashes(block_tokens=context.settings.routing.block_tokens),
        run.prompt_tokens,
        run.max_tokens,
        run.priority,
    )
    if not run.payloads:
        request.prefill_candidates = context.fleet.prefill_candidates(
            target, excluded=failed, now=now
        )
    try:
        decision = context.choose(candidates, request, now=now, random_source=context.random_source)
    except NoEndpointError as error:
        raise _exhausted(run, str(error)) from error
    log_decision(
        _log,
        "route",
        decision.reason,
        request=run.request_id,
        customer=run.caller.customer,
        target=target,
        endpoint=decision.endpoint.info.endpoint_id,
        candidates=len(candidates),
        prefill=decision.prefill.info.endpoint_id if decision.prefill else None,
        estimate=decision.estimate,
    )
    return decision, request


def _begin_prefill(
    context: EntryContext,
    decision: RoutingDecision,
    request: RoutingRequest,
    kv_source: str | None,
) -> OutstandingCall:
    """Count the prompt on the endpoint chosen; all of it counts as cached if it is imported."""
    imported = kv_source is not None
    return context.fleet.begin_prefill(
        decision.endpoint.info.endpoint_id,
        request,
        cached_tokens=request.prompt_tokens if imported else decision.cached_tokens,
        estimate=0.0 if decision.prefill else decision.first_token,
        now=boot_seconds(),
    )


async def _prefill_apart(
    context: EntryContext,
    run: CompletionRun,
    decision: RoutingDecision,
    request: RoutingRequest,
    reader: EventReader,
) -> AsyncIterator[EventBatch]:
    """Let a prefill engine read the prompt; it gives the first token and keeps the KV cache.

    If it fails, nothing was yielded and the other engine does the whole work.
    """
    assert decision.prefill is not None
    endpoint = decision.prefill.info
    call = context.fleet.begin_prefill(
        endpoint.endpoint_id,
        request,
        cached_tokens=decision.cached_tokens,
        estimate=decision.first_token,
        now=boot_seconds(),
    )
    pool = context.pools.at(endpoint.address)
    context.fleet.begin(endpoint.endpoint_id)
    try:
        async for batch in _read_events(run, endpoint, pool, reader, resume=False):
            context.fleet.end_prefill(call, answered=True, now=boot_seconds())
            yield batch
    except BrokenStreamError as error:
        reader.restart()
        if reader.next_index == 0:
            context.fleet.suspect(endpoint.endpoint_id, now=boot_seconds())
            _log_retry(run, endpoint, error, reader)
    except (*TRANSPORT_ERRORS, _AttemptFailedError) as error:
        run.written = run.written or not isinstance(error, NOT_WRITTEN_ERRORS)
        reader.restart()
        context.fleet.suspect(endpoint.endpoint_id, now=boot_seconds())
        _log_retry(run, endpoint, error, reader)
    except GeneratorExit:
        await _cancel(run, pool)
        raise
    finally:
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end(endpoint.endpoint_id)


async def _on_endpoint(
    context: EntryContext,
    run: CompletionRun,
    endpoint: EndpointInfo,
    reader: EventReader,
    call: OutstandingCall,
    kv_source: str | None,
) -> AsyncIterator[EventBatch]:
    """Run one attempt: first a call, then resumes while the endpoint still answers."""
    pool = context.pools.at(endpoint.address)
    context.fleet.begin(endpoint.endpoint_id)
    try:
        for resume in range(RESUMES_PER_ENDPOINT + 1):
            try:
                events = _read_events(
                    run, endpoint, pool, reader, resume=resume > 0, kv_source=kv_source
                )
                async for batch in events:
                    context.fleet.end_prefill(call, answered=True, now=boot_seconds())
                    yield batch
                context.fleet.trust(endpoint.endpoint_id)
                return
            except NOT_WRITTEN_ERRORS as error:
                raise _AttemptFailedError(repr(error)) from error
            except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
                run.written = True
                reader.restart()
                if resume == RESUMES_PER_ENDPOINT or reader.next_index == 0:
                    raise _AttemptFailedError(repr(error)) from error
                context.metrics.retries.labels("resume").inc()
    except GeneratorExit:
        await _cancel(run, pool)
        raise
    finally:
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end(endpoint.endpoint_id)


async def _read_events(
    run: CompletionRun,
    endpoint: EndpointInfo,
    pool: ConnectionPool,
    reader: EventReader,
    *,
    resume: bool,
    kv_source: str | None = None,
) -> AsyncIterator[EventBatch]:
    async with _call(run, endpoint, pool, reader, resume=resume, kv_source=kv_source) as response:
        run.written = True
        if response.status != HTTP_OK:
            raise _AttemptFailedError(f"status {response.status}")
        async for chunk in response.aiter_stream():
            batch = reader.feed(chunk)
            if batch.content:
                run.payloads.extend(batch.data)
                yield batch
        if not reader.done:
            raise BrokenStreamError("no end marker")


def _call(
    run: CompletionRun,
    endpoint: EndpointInfo,
    pool: ConnectionPool,
    reader: EventReader,
    *,
    resume: bool,
    kv_source: str | None,
) -> AbstractAsyncContextManager[httpcore.Response]:
    request_id = run.request_id.encode()
    if resume:
        headers = {LAST_EVENT_HEADER: b"%s:%d" % (request_id, reader.next_index - 1)}
        return pool.request("GET", f"/v1/streams/{run.request_id}", headers=headers, fresh=True)
    if not run.endpoints or run.endpoints[-1] != endpoint.endpoint_id:
        run.endpoints.append(endpoint.endpoint_id)
    headers = {
        REQUEST_ID_HEADER: request_id,
        PRIORITY_HEADER: str(int(run.priority)).encode(),
        b"Content-Type": b"application/json",
    }
    return pool.request(
        "POST", "/v1/chat/completions", headers=headers, content=_body(run, kv_source)
    )


def _body(run: CompletionRun, kv_source: str | None) -> bytes:
    return msgspec.json.encode(
        EngineRequest(
            run.caller.route.target,
            run.completion.messages,
            run.max_tokens,
            tokens_of(run.payloads),
            run.completion.sampling,
            kv_source,
        )
    )


async def _cancel(run: CompletionRun, pool: ConnectionPool) -> None:
    with anyio.move_on_after(CANCEL_SECONDS, shield=True):
        try:
            async with pool.request("DELETE", f"/v1/streams/{run.request_id}"):
                return
        except TRANSPORT_ERRORS:
            return


def _log_retry(
    run: CompletionRun, endpoint: EndpointInfo, error: Exception, reader: EventReader
) -> None:
    log_decision(
        _log,
        "retry",
        str(error),
        request=run.request_id,
        endpoint=endpoint.endpoint_id,
        events=reader.next_index,
    )


def _deadline_error(run: CompletionRun) -> SamphireError:
    result = DEADLINE_UNKNOWN if run.written else DEADLINE_NOT_RUN
    return SamphireError(result, "the deadline passed")


def _exhausted(run: CompletionRun, detail: str) -> SamphireError:
    if run.payloads:
        return SamphireError(STREAM_CUT, detail)
    if run.written:
        return SamphireError(OUTCOME_UNKNOWN, detail, retry_after=1.0)
    return SamphireError(NO_ENDPOINT, detail, retry_after=1.0)
