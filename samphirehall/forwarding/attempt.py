"""One attempt of a completion on one engine: the call, its events, and resumes."""

import enum
import math
from contextlib import AbstractAsyncContextManager

import anyio
import httpcore
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import NOT_WRITTEN_ERRORS, TRANSPORT_ERRORS, read_body
from samphirehall.core.errors import SamphireError
from samphirehall.core.network import TcpStream
from samphirehall.core.results import ENDPOINT_FAILED
from samphirehall.core.types import EndpointInfo
from samphirehall.endpoints.events import BrokenStreamError, EventReader, extract_tokens
from samphirehall.endpoints.protocol import (
    LAST_EVENT_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    EngineRequest,
)
from samphirehall.forwarding.completion_run import CompletionRun, Sink
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.stall import StallGuard

CANCEL_SECONDS = 1.0
CALLER_STALL_SECONDS = 30.0
RESUME_HEAD_SECONDS = 1.0
MAX_REFUSAL_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_NOT_FOUND = 404
BUSY_STATUSES = frozenset((429, 503))
HTTP_CLIENT_ERRORS = range(400, 500)


class Failure(enum.Enum):
    """Why an attempt ended without the whole answer."""

    UNREACHABLE = "nothing was written"
    BUSY = "the engine takes no work now"
    BROKEN = "the stream broke"
    DIED = "the engine died"


class AttemptFailedError(Exception):
    """One attempt ended without the whole answer; another may follow."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


class _UnknownStreamError(BrokenStreamError):
    """The engine does not know the stream or the path."""


class EngineAttempt:
    """One attempt of a completion on one engine.

    Parameters
    ----------
    context : EntryContext
        Shared parts of the process.
    run : CompletionRun
        The completion.
    endpoint : EndpointInfo
        The engine.
    reader : EventReader
        Checks the events of all attempts.
    sink : callable
        Takes each batch of checked events.
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
        self._pool = context.pools.pool_for(endpoint.address)
        self._limits = context.settings.entry
        self._start = reader.next_index

    async def whole(self) -> None:
        """Pass on all events; resume on new connections while that brings new ones.

        Raises
        ------
        AttemptFailedError
            Another attempt may follow.
        SamphireError
            The engine refused the request as wrong.
        """
        try:
            await self._call_and_resume()
        except AttemptFailedError:
            raise
        except BaseException:
            await self.cancel()
            raise

    async def first_part(self) -> None:
        """Pass on the events of a call that ends on purpose before the end marker.

        Raises
        ------
        AttemptFailedError
            No event came.
        SamphireError
            The engine refused the request as wrong.
        """
        before = self._reader.next_index
        try:
            await self._read(self._post(fresh=False), self._limits.answer_head_seconds)
        except NOT_WRITTEN_ERRORS as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._note_broken()
            if self._reader.next_index == before:
                failure = Failure.DIED if await self._is_dead() else Failure.BROKEN
                raise AttemptFailedError(failure, repr(error)) from error
        except AttemptFailedError:
            raise
        except BaseException:
            await self.cancel()
            raise

    async def cancel(self) -> None:
        """Tell the engine that nobody wants the rest."""
        with anyio.move_on_after(CANCEL_SECONDS, shield=True):
            try:
                async with self._pool.request("DELETE", f"/v1/streams/{self._run.request_id}"):
                    return
            except TRANSPORT_ERRORS:
                return

    async def _call_and_resume(self) -> None:
        reused = self._pool.has_idle
        try:
            await self._read(self._post(fresh=False), self._limits.answer_head_seconds)
            return
        except NOT_WRITTEN_ERRORS as error:
            raise AttemptFailedError(Failure.UNREACHABLE, repr(error)) from error
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._note_broken()
            cause: Exception = error
        while True:
            before = self._reader.next_index
            try:
                await self._read(self._resume(), RESUME_HEAD_SECONDS)
                return
            except NOT_WRITTEN_ERRORS as error:
                raise AttemptFailedError(Failure.DIED, repr(cause)) from error
            except _UnknownStreamError as error:
                if not reused or self._reader.next_index > self._start:
                    raise AttemptFailedError(Failure.BROKEN, repr(cause)) from error
                await self._post_again()
                return
            except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
                self._note_broken()
                if self._reader.next_index == before:
                    raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def _post_again(self) -> None:
        """Call once more on a fresh connection: the first went out on one that was gone."""
        try:
            await self._read(self._post(fresh=True), self._limits.answer_head_seconds)
        except (*TRANSPORT_ERRORS, BrokenStreamError) as error:
            self._note_broken()
            raise AttemptFailedError(Failure.BROKEN, repr(error)) from error

    async def _is_dead(self) -> bool:
        """Return whether the engine refuses connections."""
        try:
            with anyio.fail_after(RESUME_HEAD_SECONDS):
                async with self._resume():
                    return False
        except NOT_WRITTEN_ERRORS:
            return True
        except TRANSPORT_ERRORS:
            return False

    async def _read(
        self, call: AbstractAsyncContextManager[httpcore.Response], head_seconds: float
    ) -> None:
        with self._context.stalls.guard(boot_seconds() + head_seconds) as guard:
            async with call as response:
                if response.status != HTTP_OK:
                    await _refuse(response)
                self._run.written = True
                guard.until = boot_seconds() + self._limits.first_event_seconds
                await self._relay(response, guard)
        if not self._reader.done:
            raise BrokenStreamError("no end marker")

    async def _relay(self, response: httpcore.Response, guard: StallGuard) -> None:
        """Pass on all that was received together as one batch, before waiting for more."""
        pieces: list[bytes] = []

        async def pass_on() -> None:
            if not pieces:
                return
            batch = self._reader.feed(pieces[0] if len(pieces) == 1 else b"".join(pieces))
            pieces.clear()
            if not batch.content:
                return
            self._run.payloads.extend(batch.data)
            guard.until = boot_seconds() + CALLER_STALL_SECONDS
            guard.waits_for_caller = True
            await self._sink(batch)
            guard.waits_for_caller = False
            guard.until = boot_seconds() + self._limits.stall_seconds

        network: TcpStream = response.extensions["network_stream"]
        network.before_wait = pass_on
        try:
            async for piece in response.aiter_stream():
                pieces += (piece,)
            await pass_on()
        finally:
            network.before_wait = None

    def _note_broken(self) -> None:
        self._run.written = True
        self._reader.discard_partial_event()

    def _resume(self) -> AbstractAsyncContextManager[httpcore.Response]:
        last = f"{self._run.request_id}:{self._reader.next_index - 1}".encode()
        path = f"/v1/streams/{self._run.request_id}"
        headers = {LAST_EVENT_HEADER: last}
        return self._pool.request("GET", path, headers=headers, read_timeout=math.inf, fresh=True)

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
            content=_body(run, self._kv_source),
            read_timeout=math.inf,
            fresh=fresh,
        )


async def _refuse(response: httpcore.Response) -> None:
    """Raise what an answer without events means."""
    await read_body(response, max_bytes=MAX_REFUSAL_BYTES)
    if response.status in BUSY_STATUSES:
        raise AttemptFailedError(Failure.BUSY, f"status {response.status}")
    if response.status == HTTP_NOT_FOUND:
        raise _UnknownStreamError(f"status {response.status}")
    if response.status in HTTP_CLIENT_ERRORS:
        raise SamphireError(ENDPOINT_FAILED, f"the engine answered status {response.status}")
    raise BrokenStreamError(f"status {response.status}")


def _body(run: CompletionRun, kv_source: str | None) -> bytes:
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
