"""Stand-in of a model engine.

Tokens depend only on model, prompt, index and software version, so that every
engine of a version continues an answer in the same way, and a check can tell which
request an answer belongs to and whether it is joined from two versions.
"""

import logging
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import httpcore
import msgspec
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import ConnectionPool, read_body
from samphirehall.core.types import EngineLoad, Priority, Role
from samphirehall.endpoints.protocol import (
    SOFTWARE_VERSION_HEADER,
    EngineOrder,
    EngineOrderAnswer,
    EngineReport,
    EngineRequest,
)
from samphirehall.routing.blocks import block_hashes, estimate_token_count, prompt_text
from samphirehall.standins.answers import RequestIdMiddleware, json_response
from samphirehall.standins.batch import Batch, Sequence
from samphirehall.standins.engine_events import encode_final_event, event_encoder
from samphirehall.standins.order_body import body_timeout_response, read_order_body
from samphirehall.standins.prefix_cache import PrefixCache
from samphirehall.standins.timing import EngineTiming
from samphirehall.standins.tokens import TokenSource, token_at

__all__ = ["EngineFaults", "EngineStandin", "token_at"]

MAX_STREAMS = 4096  # kept so that a caller can resume or cancel them
MAX_EVENTS_PER_WRITE = 64
MAX_EVENTS_PER_RESPONSE = 2000
SAMPLE_INTERVAL_SECONDS = 0.05
KV_READ_TIMEOUT_SECONDS = 1.0
MAX_KV_RESPONSE_BYTES = 4096
STATUS_UNAVAILABLE = 503
STATUS_NOT_FOUND = 404
CRASH_PROMPT_MARKER = "POISON"  # a prompt that contains it crashes the engine

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class EngineFaults:
    """Holds the fault switches of an engine.

    `stall` stops all streams without closing them, `reject` responds with 503,
    `cut_after` closes each stream after that many tokens, `repeat` sends the
    last event of each write again after it, and `cross` sends an event of another
    request after each write.
    """

    stall: bool = False
    reject: bool = False
    cut_after: int | None = None
    repeat: bool = False
    cross: bool = False


@dataclass(slots=True)
class LeavingNotice:
    """Notice that the engine will be shut down in `seconds`."""

    seconds: float


@dataclass(slots=True, frozen=True)
class ExportedCache:
    """Number of tokens in a KV cache that is kept for another engine."""

    tokens: int


@dataclass(slots=True, frozen=True)
class EngineCounts:
    """Counts the tokens that an engine processed since its start."""

    prefilled_tokens: int
    cached_tokens: int
    decoded_tokens: int


@dataclass(slots=True)
class _Stream:
    request: EngineRequest
    sequence: Sequence
    token_source: TokenSource


class EngineStandin:
    """Serves completions, KV exports, orders and reports as a model engine does.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint.
    models : list of str
        Models loaded at the start, as ``name@version``.
    checks_fencing : bool
        Whether orders with a lower fencing number than the last are refused.
    role : Role
        Initial role.
    software_version : str
        Version of the engine's software, named in its answers; empty for none.
    timing : EngineTiming
        Constants of the timing model.
    """

    def __init__(
        self,
        endpoint_id: str,
        models: list[str],
        *,
        checks_fencing: bool = True,
        role: Role = Role.MIXED,
        software_version: str = "",
        timing: EngineTiming | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.faults = EngineFaults()
        self.orders: list[EngineOrder] = []
        self.imported_caches = 0
        self.crashed = anyio.Event()
        self._timing = timing or EngineTiming()
        self._checks_fencing = checks_fencing
        self._software_version = software_version
        self._report = EngineReport(endpoint_id, role=role, models=list(models))
        self._streams: dict[str, _Stream] = {}
        self._exports: dict[str, tuple[float, int]] = {}
        self._loads: deque[EngineLoad] = deque()
        self._cache = PrefixCache(self._timing)
        self._batch = Batch(self._timing, self._cache, paused=self._is_paused)
        self._role_change_ends_at = 0.0
        self._leaves_at: float | None = None

    @property
    def counts(self) -> EngineCounts:
        """Tokens processed since the start."""
        batch = self._batch
        return EngineCounts(batch.prefilled_tokens, batch.cached_tokens, batch.decoded_tokens)

    def app(self) -> Starlette:
        """Return the ASGI application; `run` must run beside it."""
        routes = [
            Route("/v1/chat/completions", self._complete, methods=["POST"]),
            Route("/v1/streams/{request_id}", self._resume, methods=["GET"]),
            Route("/v1/streams/{request_id}", self._cancel, methods=["DELETE"]),
            Route("/kv/{request_id}", self._export, methods=["GET"]),
            Route("/state", self._state, methods=["GET"]),
            Route("/cache-events", self._cache_events, methods=["GET"]),
            Route("/orders", self._order, methods=["POST"]),
            Route("/admin/faults", self._set_faults, methods=["PUT"]),
            Route("/admin/leaving", self._set_leaving, methods=["POST"]),
            Route("/admin/counts", self._counts, methods=["GET"]),
            Route("/admin/orders", self._list_orders, methods=["GET"]),
        ]
        return Starlette(routes=routes, middleware=[Middleware(RequestIdMiddleware)])

    async def run(self) -> None:
        """Step the batch and sample the load until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._batch.run)
            while True:
                self._sample_load(boot_seconds())
                if self._leaves_at is not None and boot_seconds() >= self._leaves_at:
                    self.crashed.set()
                await anyio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def _complete(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=EngineRequest)
        if self.faults.reject or self._is_changing_role() or self._report.leaving:
            return Response(status_code=STATUS_UNAVAILABLE)
        prompt = prompt_text(body.messages)
        if CRASH_PROMPT_MARKER in prompt:
            self.crashed.set()
        request_id = request.headers["x-request-id"]
        priority = Priority(int(request.headers.get("x-priority", Priority.NORMAL)))
        sequence = self._new_sequence(request_id, body, prompt, priority)
        sequence.imported = await self._import_kv(request_id, body, sequence)
        self._evict_old_streams()
        source = TokenSource(body.model, prompt, self._software_version)
        stream = _Stream(body, sequence, source)
        self._streams[request_id] = stream
        self._batch.add(sequence)
        return self._stream_response(stream, start=len(body.prior_tokens))

    async def _resume(self, request: Request) -> Response:
        stream = self._streams.get(request.path_params["request_id"])
        if stream is None or stream.sequence.cancelled:
            return Response(status_code=STATUS_NOT_FOUND)
        last = int(request.headers["last-event-id"].rpartition(":")[2])
        return self._stream_response(stream, start=last + 1)

    async def _cancel(self, request: Request) -> Response:
        stream = self._streams.pop(request.path_params["request_id"], None)
        if stream is not None:
            stream.sequence.cancelled = True
            stream.sequence.notify()
        return Response(status_code=204)

    async def _export(self, request: Request) -> Response:
        self._expire_exports(boot_seconds())
        exported = self._exports.pop(request.path_params["request_id"], None)
        if exported is None:
            return Response(status_code=STATUS_NOT_FOUND)
        return json_response(ExportedCache(exported[1]))

    async def _state(self, request: Request) -> Response:
        self._report.changing = self._is_changing_role()
        if self._loads:
            self._report.load = self._loads[0]
        return json_response(self._report)

    async def _cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", 0))
        events = self._cache.events(after=after, now=boot_seconds())
        return json_response(events[:MAX_EVENTS_PER_RESPONSE])

    async def _order(self, request: Request) -> Response:
        body = await read_order_body(request)
        if body is None:
            return body_timeout_response()
        order = msgspec.json.decode(body, type=EngineOrder)
        if self._checks_fencing and order.fencing < self._report.fencing:
            reason = f"fencing number {order.fencing} < {self._report.fencing}"
            return json_response(EngineOrderAnswer(False, reason))
        if order.order_id != self._report.order_id:
            self._apply_order(order)
        self._report.fencing = max(self._report.fencing, order.fencing)
        return json_response(EngineOrderAnswer(True))

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=EngineFaults)
        return json_response(self.faults)

    async def _set_leaving(self, request: Request) -> Response:
        notice = msgspec.json.decode(await request.body(), type=LeavingNotice)
        self._report.leaving = True
        self._leaves_at = boot_seconds() + notice.seconds
        return json_response(notice)

    async def _counts(self, request: Request) -> Response:
        return json_response(self.counts)

    async def _list_orders(self, request: Request) -> Response:
        return json_response(self.orders)

    def _new_sequence(
        self, request_id: str, body: EngineRequest, prompt: str, priority: Priority
    ) -> Sequence:
        start = len(body.prior_tokens)
        exports = self._report.role is Role.PREFILL and body.max_tokens > start + 1
        hashes = block_hashes(body.model, prompt, block_tokens=self._timing.cache_block_tokens)
        return Sequence(
            request_id,
            estimate_token_count(prompt) + start,
            hashes,
            start,
            start + 1 if exports else body.max_tokens,
            priority,
            readerless_since=boot_seconds(),
        )

    async def _import_kv(self, request_id: str, body: EngineRequest, sequence: Sequence) -> bool:
        """Import the KV cache from the engine in `kv_source`; return whether that succeeded."""
        if body.kv_source is None:
            return False
        pool = ConnectionPool(body.kv_source, read_timeout=KV_READ_TIMEOUT_SECONDS)
        try:
            async with pool.request("GET", f"/kv/{request_id}") as response:
                if response.status != 200:
                    return False
                content = await read_body(response, max_bytes=MAX_KV_RESPONSE_BYTES)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False
        finally:
            await pool.aclose()
        tokens = msgspec.json.decode(content, type=ExportedCache).tokens
        self.imported_caches += 1
        await anyio.sleep(self._timing.transfer_seconds(tokens))
        sequence.readerless_since = boot_seconds()
        return True

    def _stream_response(self, stream: _Stream, *, start: int) -> Response:
        headers = {}
        if self._software_version:
            headers[SOFTWARE_VERSION_HEADER.decode()] = self._software_version
        return StreamingResponse(
            self._stream_events(stream, start=start),
            headers=headers,
            media_type="text/event-stream",
        )

    async def _stream_events(self, stream: _Stream, *, start: int) -> AsyncIterator[bytes]:
        """Yield the events from index `start`, joining those that are due together."""
        sequence, body = stream.sequence, stream.request
        event = event_encoder(sequence.request_id, body.model, stream.token_source)
        index = start
        sequence.readers += 1
        try:
            while True:
                due = min(sequence.next_index, index + MAX_EVENTS_PER_WRITE)
                if self._is_stalled() or (due <= index and not sequence.finished):
                    await self._wait_for_progress(sequence)
                    continue
                cut = self.faults.cut_after
                if cut is not None:
                    due = min(due, start + cut)
                if due > index:
                    yield b"".join([event(number) for number in range(index, due)])
                    index = due
                    if self.faults.repeat:
                        yield event(index - 1)
                    if self.faults.cross:
                        yield self._event_of_other_request(sequence.request_id, index)
                if cut is not None and index >= start + cut:
                    return
                if sequence.finished and index >= sequence.next_index:
                    break
            if sequence.cancelled:
                return
            if sequence.end_index < body.max_tokens:
                self._add_export(sequence)
                return
            yield encode_final_event(sequence.request_id, body.max_tokens, sequence.prompt_tokens)
        finally:
            sequence.readers -= 1
            sequence.readerless_since = boot_seconds()

    async def _wait_for_progress(self, sequence: Sequence) -> None:
        if self._is_stalled():
            await anyio.sleep(SAMPLE_INTERVAL_SECONDS)
            return
        await sequence.wait_changed()

    def _add_export(self, sequence: Sequence) -> None:
        self._exports[sequence.request_id] = (boot_seconds(), sequence.prompt_tokens)

    def _expire_exports(self, now: float) -> None:
        limit = now - self._timing.scaled(self._timing.kv_kept_seconds)
        self._exports = {key: item for key, item in self._exports.items() if item[0] > limit}

    def _sample_load(self, now: float) -> None:
        """Measure the load, and drop measurements older than the one to report."""
        self._loads.append(
            EngineLoad(
                running=self._batch.running,
                waiting=self._batch.waiting,
                queued_prompt_tokens=self._batch.queued_prompt_tokens,
                cached_tokens=self._cache.tokens,
                cache_capacity_tokens=self._timing.cache_capacity_tokens,
                measured_at=now,
            )
        )
        newest_reported_at = now - self._timing.scaled(self._timing.report_lag_seconds)
        while len(self._loads) > 1 and self._loads[1].measured_at <= newest_reported_at:
            self._loads.popleft()

    def _is_stalled(self) -> bool:
        return self.faults.stall

    def _is_changing_role(self) -> bool:
        return boot_seconds() < self._role_change_ends_at

    def _is_paused(self) -> bool:
        return self.faults.stall or self._is_changing_role()

    def _apply_order(self, order: EngineOrder) -> None:
        self.orders.append(order)
        self._report.order_id = order.order_id
        match order.action:
            case "set-role":
                self._report.role = Role(order.argument)
                change_seconds = self._timing.scaled(self._timing.role_change_seconds)
                self._role_change_ends_at = boot_seconds() + change_seconds
                self._cache.clear(now=boot_seconds())
            case "load-model":
                self._report.models.append(order.argument)
            case "unload-model":
                self._report.models.remove(order.argument)
            case "drain":
                self._report.leaving = True

    def _event_of_other_request(self, request_id: str, index: int) -> bytes:
        for other_id, stream in self._streams.items():
            if other_id != request_id:
                return event_encoder(other_id, stream.request.model, stream.token_source)(index)
        return b""

    def _evict_old_streams(self) -> None:
        while len(self._streams) >= MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
