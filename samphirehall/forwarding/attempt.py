"""Attempt of a completion on one engine: the call, its event stream and resumption."""

import enum
import math
from contextlib import AbstractAsyncContextManager

import anyio
import httpcore
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import (
    NOT_WRITTEN_ERRORS,
    TRANSPORT_ERRORS,
    header,
    read_body,
)
from samphirehall.core.errors import SamphireError
from samphirehall.core.network import TcpStream
from samphirehall.core.results import ENDPOINT_FAILED
from samphirehall.core.turns import Turn
from samphirehall.core.types import EndpointInfo
from samphirehall.endpoints.events import BrokenStreamError, EventReader, extract_tokens
from samphirehall.endpoints.protocol import (
    LAST_EVENT_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    SOFTWARE_VERSION_HEADER,
    EngineRequest,
    is_answer_to,
)
from samphirehall.forwarding.completion_run import CompletionRun, Sink
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.stall import StallGuard

CANCEL_TIMEOUT_SECONDS = 1.0
CALLER_STALL_TIMEOUT_SECONDS = 30.0
RESUME_HEAD_TIMEOUT_SECONDS = 1.0  # wait for the response head of a resumed stream
MAX_REFUSAL_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_NOT_FOUND = 404
BUSY_STATUSES = frozenset((429, 503))
HTTP_CLIENT_ERRORS = range(400, 500)


class Failure(enum.Enum):
    """Why an attempt ended without the complete answer."""

    UNREACHABLE = "the request was not written"
    BUSY = "the engine is busy"
    BROKEN = "the stream broke"
    CRASHED = "the engine crashed"
    OTHER_VERSION = "the engine has another software version"


class AttemptFailedError(Exception):
    """An attempt ended without the complete answer; the request may be retried."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


class _UnknownStreamError(BrokenStreamError):
    """The engine answered 404: it does not know the stream or the path."""


class EngineAttempt:
    """One attempt of a completion on one engine.

    Parameters
    ----------
    context : EntryContext
        Shared components of the entry process.
    run : CompletionRun
        The completion.
    endpoint : EndpointInfo
        The engine.
    reader : EventReader
        Validates the events of all attempts of the completion.
    sink : callable
        Called with each batch of validated events.
    kv_source : str, optional
        Address of the engine that holds the prompt's KV cache.
    """

    def __init__(
        self,
        context: EntryContext,
        run: CompletionRun,
        endpoint: EndpointInfo,
        reader: EventReader,
        sink: Sink,
        *,
        kv_source: str | None = None,
    ) -> None:
        self._context = context
        self._run = run
        self._reader = reader
        self._sink = sink
        self._kv_source = kv_source
        self._endpoint_id = endpoint.endpoint_id
        self._listed_version = endpoint.software_version
        self._pool = context.pools.pool_for(endpoint.address)
        self._limits = context.settings.entry
        self._first_index = reader.next_index

    async def run(self) -> None:
        """Relay all events; after a broken connection, resume as long as new events arrive.

        Raises
        ------
        AttemptFailedError
            The answer is incomplete; the request may be retried.
        SamphireError
            The engine rejected the request as invalid.
        """
        if self._listed_version:
            self._check_version(self._listed_version)
        try:
            await self._call_and_resume()
        except AttemptFailedError as error:
            if error.failure is Failure.OTHER_VERSION:
                await self.cancel()
            raise
        except BaseException:
            await self.cancel()
            raise

    async def run_prefill(self) -> None:
        """Relay the events of a prefill engine, which ends the stream before the end marker.

        Raises
        ------
        AttemptFailedError
            No event was received.
        SamphireError
            The engine rejected the request as invalid.
        """
        index_before = self._reader.next_index
        reused = self._pool.has_idle
        try:
            await self._read_response(
                self._post(fresh=False), self._limits.answer_head_seconds, reused=reused
            )
        except NOT_WRITTEN_ERRORS as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._record_broken_stream()
            if self._reader.next_index == index_before:
                failure = Failure.CRASHED if await self._is_dead() else Failure.BROKEN
                raise AttemptFailedError(failure, repr(error)) from error
        except AttemptFailedError:
            raise
        except BaseException:
            await self.cancel()
            raise

    async def cancel(self) -> None:
        """Ask the engine to cancel the request; a failure to reach it is ignored."""
        with anyio.move_on_after(CANCEL_TIMEOUT_SECONDS, shield=True):
            try:
                async with self._pool.request("DELETE", f"/v1/streams/{self._run.request_id}"):
                    return
            except TRANSPORT_ERRORS:
                return

    async def _call_and_resume(self) -> None:
        reused = self._pool.has_idle
        try:
            await self._read_response(
                self._post(fresh=False), self._limits.answer_head_seconds, reused=reused
            )
            return
        except NOT_WRITTEN_ERRORS as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._record_broken_stream()
            cause: Exception = error
        while True:
            index_before = self._reader.next_index
            try:
                await self._read_response(self._resume(), RESUME_HEAD_TIMEOUT_SECONDS)
                return
            except NOT_WRITTEN_ERRORS as error:
                raise AttemptFailedError(Failure.CRASHED, repr(cause)) from error
            except _UnknownStreamError as error:
                if not reused or self._reader.next_index > self._first_index:
                    raise AttemptFailedError(Failure.BROKEN, repr(cause)) from error
                await self._post_on_new_connection()
                return
            except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
                self._record_broken_stream()
                if self._reader.next_index == index_before:
                    raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def _post_on_new_connection(self) -> None:
        """Send the request again on a new connection.

        The first call was sent on a reused idle connection and never reached the engine.
        """
        try:
            await self._read_response(self._post(fresh=True), self._limits.answer_head_seconds)
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._record_broken_stream()
            raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def _is_dead(self) -> bool:
        """Return whether the engine refuses new connections."""
        try:
            with anyio.fail_after(RESUME_HEAD_TIMEOUT_SECONDS):
                async with self._resume():
                    return False
        except NOT_WRITTEN_ERRORS:
            return True
        except TRANSPORT_ERRORS:
            return False

    async def _read_response(
        self,
        call: AbstractAsyncContextManager[httpcore.Response],
        head_timeout: float,
        *,
        reused: bool = False,
    ) -> None:
        """Relay the events of a response, or raise the error that matches its status.

        On a connection that was used before, a refusal that does not name this request may
        belong to an earlier one, and says nothing about whether this one runs.
        """
        had_run = self._run.may_have_run
        # A call that is cancelled while it waits for the response may have been written.
        self._run.may_have_run = True
        try:
            with self._context.stalls.guard(boot_seconds() + head_timeout) as guard:
                async with call as response:
                    is_own = is_answer_to(response.headers, self._run.request_id)
                    if is_own is False or (
                        reused and is_own is None and response.status != HTTP_OK
                    ):
                        raise BrokenStreamError("the answer may be that to an earlier request")
                    if response.status != HTTP_OK:
                        self._run.may_have_run = had_run
                        await _raise_for_status(response)
                    version = header(response.headers, SOFTWARE_VERSION_HEADER)
                    version = version or self._listed_version
                    self._check_version(version)
                    guard.until = boot_seconds() + self._limits.first_event_seconds
                    await self._relay_events(response, guard, version)
        except NOT_WRITTEN_ERRORS:
            self._run.may_have_run = had_run
            raise
        if not self._reader.done:
            raise BrokenStreamError("the stream ended without an end marker")

    def _check_version(self, version: str) -> None:
        """Raise if the answer began at another software version than `version`."""
        run = self._run
        if run.payloads and version != run.software_version:
            detail = f"{version!r}, and the answer began at {run.software_version!r}"
            raise AttemptFailedError(Failure.OTHER_VERSION, detail)

    async def _relay_events(
        self, response: httpcore.Response, guard: StallGuard, version: str
    ) -> None:
        """Relay the chunks that are received without waiting as one batch."""
        chunks: list[bytes] = []

        async def relay_chunks() -> None:
            if not chunks:
                return
            batch = self._reader.feed(chunks[0] if len(chunks) == 1 else b"".join(chunks))
            chunks.clear()
            if not batch.content:
                return
            if not self._run.payloads:
                self._run.software_version = version
            self._run.payloads.extend(batch.data)
            guard.until = boot_seconds() + CALLER_STALL_TIMEOUT_SECONDS
            guard.waits_for_caller = True
            await self._sink(batch)
            guard.waits_for_caller = False
            guard.until = boot_seconds() + self._limits.stall_seconds

        network: TcpStream = response.extensions["network_stream"]
        network.before_read = relay_chunks
        turn = Turn()
        try:
            async for chunk in response.aiter_stream():
                await turn.step()
                chunks += (chunk,)
            await relay_chunks()
        finally:
            network.before_read = None

    def _record_broken_stream(self) -> None:
        self._run.may_have_run = True
        self._reader.discard_partial_event()

    def _resume(self) -> AbstractAsyncContextManager[httpcore.Response]:
        last_event_id = f"{self._run.request_id}:{self._reader.next_index - 1}".encode()
        path = f"/v1/streams/{self._run.request_id}"
        headers = {LAST_EVENT_HEADER: last_event_id}
        return self._pool.request(
            "GET", path, headers=headers, read_timeout=math.inf, new_connection=True
        )

    def _post(self, *, fresh: bool) -> AbstractAsyncContextManager[httpcore.Response]:
        run = self._run
        if not run.endpoints or run.endpoints[-1] != self._endpoint_id:
            run.endpoints.append(self._endpoint_id)
        headers = {
            REQUEST_ID_HEADER: run.request_id.encode(),
            PRIORITY_HEADER: b"%d" % run.priority,
            b"Content-Type": b"application/json",
        }
        return self._pool.request(
            "POST",
            "/v1/chat/completions",
            headers=headers,
            content=_encode_request(run, self._kv_source),
            read_timeout=math.inf,
            new_connection=fresh,
            request_id=run.request_id,
        )


async def _raise_for_status(response: httpcore.Response) -> None:
    """Raise the error that matches a status other than 200."""
    await read_body(response, max_bytes=MAX_REFUSAL_BYTES)
    if response.status in BUSY_STATUSES:
        raise AttemptFailedError(Failure.BUSY, f"status {response.status}")
    if response.status == HTTP_NOT_FOUND:
        raise _UnknownStreamError(f"status {response.status}")
    if response.status in HTTP_CLIENT_ERRORS:
        raise SamphireError(
            ENDPOINT_FAILED, f"the engine rejected the request with status {response.status}"
        )
    raise BrokenStreamError(f"status {response.status}")


def _encode_request(run: CompletionRun, kv_source: str | None) -> bytes:
    return msgspec.json.encode(
        EngineRequest(
            run.caller.route.target,
            run.completion.messages,
            run.max_tokens,
            extract_tokens(run.payloads),
            run.completion.sampling,
            kv_source,
        )
    )
