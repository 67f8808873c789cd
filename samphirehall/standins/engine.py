"""Stand-in of a model engine.

Tokens are a function of model, prompt and index alone, so that every engine
continues an answer in the same way and a checker can tell whose answer it is.
"""

import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.protocol import (
    EngineOrder,
    EngineOrderAnswer,
    EngineReport,
    EngineRequest,
)

VOCABULARY = 9973
KEPT_STREAMS = 512
POISON_MARK = "POISON"

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class EngineFaults:
    """Fault switches; times in seconds.

    `stall` stops all streams without closing them, `reject` answers 503,
    `cut_after` closes each stream after that many tokens.
    """

    stall: bool = False
    reject: bool = False
    cut_after: int | None = None


@dataclass(slots=True)
class EngineTiming:
    """Constants of the timing model.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prompt tokens prefilled a second by a whole engine.
    token_seconds : float
        Time between two tokens of one stream.
    role_change_seconds : float
        Time for which a role change takes the engine away.
    """

    prefill_tokens_per_second: float = 200_000.0
    token_seconds: float = 0.002
    role_change_seconds: float = 2.0


@dataclass(slots=True)
class _Stream:
    request: EngineRequest
    tokens: list[str] = field(default_factory=list)
    cancelled: bool = False


def token_at(model: str, prompt: str, index: int) -> str:
    """Return the token that every engine gives at `index`."""
    digest = xxhash.xxh3_64_intdigest(f"{model}\x00{prompt}\x00{index}".encode())
    return f" w{digest % VOCABULARY}"


def prompt_text(messages: list[Any]) -> str:
    """Return the text of all messages."""
    return "\n".join(str(message.get("content", "")) for message in messages)


class EngineStandin:
    """A model engine.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    models : list of str
        Models loaded at first, as ``name@version``.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    timing : EngineTiming
        Constants of the timing model.
    """

    def __init__(
        self,
        endpoint_id: str,
        models: list[str],
        *,
        checks_fencing: bool = True,
        timing: EngineTiming | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.faults = EngineFaults()
        self.orders: list[EngineOrder] = []
        self._timing = timing or EngineTiming()
        self._checks_fencing = checks_fencing
        self._report = EngineReport(endpoint_id, models=list(models))
        self._streams: dict[str, _Stream] = {}
        self._running = 0
        self._changing_until = 0.0
        self.crashed = anyio.Event()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/v1/chat/completions", self._complete, methods=["POST"]),
            Route("/v1/streams/{request_id}", self._resume, methods=["GET"]),
            Route("/v1/streams/{request_id}", self._cancel, methods=["DELETE"]),
            Route("/state", self._state, methods=["GET"]),
            Route("/orders", self._order, methods=["POST"]),
            Route("/admin/faults", self._set_faults, methods=["PUT"]),
            Route("/admin/orders", self._list_orders, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    async def _complete(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=EngineRequest)
        if self.faults.reject or self._is_changing():
            return Response(status_code=503)
        if POISON_MARK in prompt_text(body.messages):
            self.crashed.set()
        request_id = request.headers["x-request-id"]
        self._forget_old_streams()
        stream = self._streams[request_id] = _Stream(body)
        return StreamingResponse(
            self._generate(request_id, stream, start=len(body.prior_tokens)),
            media_type="text/event-stream",
        )

    async def _resume(self, request: Request) -> Response:
        request_id = request.path_params["request_id"]
        stream = self._streams.get(request_id)
        if stream is None:
            return Response(status_code=404)
        last = int(request.headers["last-event-id"].rpartition(":")[2])
        return StreamingResponse(
            self._generate(request_id, stream, start=last + 1), media_type="text/event-stream"
        )

    async def _cancel(self, request: Request) -> Response:
        stream = self._streams.pop(request.path_params["request_id"], None)
        if stream is not None:
            stream.cancelled = True
        return Response(status_code=204)

    async def _state(self, request: Request) -> Response:
        self._report.changing = self._is_changing()
        self._report.load = EngineLoad(running=self._running, measured_at=boot_seconds())
        return _json(self._report)

    async def _order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=EngineOrder)
        if self._checks_fencing and order.fencing < self._report.fencing:
            reason = f"fencing number {order.fencing} < {self._report.fencing}"
            return _json(EngineOrderAnswer(False, reason))
        if order.order_id != self._report.order_id:
            self._carry_out(order)
        return _json(EngineOrderAnswer(True))

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=EngineFaults)
        return _json(self.faults)

    async def _list_orders(self, request: Request) -> Response:
        return _json(self.orders)

    async def _generate(
        self, request_id: str, stream: _Stream, *, start: int
    ) -> AsyncIterator[bytes]:
        body = stream.request
        prompt = prompt_text(body.messages)
        self._running += 1
        try:
            await anyio.sleep(len(prompt) / 4 / self._timing.prefill_tokens_per_second)
            for index in range(start, body.max_tokens):
                await anyio.sleep(self._timing.token_seconds)
                while self.faults.stall:
                    await anyio.sleep(self._timing.token_seconds)
                if stream.cancelled or self._is_cut(index - start):
                    return
                yield _event(request_id, index, body.model, token_at(body.model, prompt, index))
            yield _last_event(request_id, body.max_tokens, len(prompt) // 4)
        finally:
            self._running -= 1

    def _is_cut(self, sent: int) -> bool:
        return self.faults.cut_after is not None and sent >= self.faults.cut_after

    def _is_changing(self) -> bool:
        return boot_seconds() < self._changing_until

    def _carry_out(self, order: EngineOrder) -> None:
        self.orders.append(order)
        self._report.order_id, self._report.fencing = order.order_id, order.fencing
        match order.action:
            case "set-role":
                self._report.role = Role(order.argument)
                self._changing_until = boot_seconds() + self._timing.role_change_seconds
            case "load-model":
                self._report.models.append(order.argument)
            case "unload-model":
                self._report.models.remove(order.argument)
            case "drain":
                self._report.leaving = True

    def _forget_old_streams(self) -> None:
        while len(self._streams) >= KEPT_STREAMS:
            del self._streams[next(iter(self._streams))]


def _event(request_id: str, index: int, model: str, token: str) -> bytes:
    return (
        f'id: {request_id}:{index}\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        f'"model":"{model}","choices":[{{"index":0,"delta":{{"content":"{token}"}},'
        '"finish_reason":null}]}\n\n'
    ).encode()


def _last_event(request_id: str, tokens: int, prompt_tokens: int) -> bytes:
    return (
        f'id: {request_id}:{tokens}\ndata: {{"id":"{request_id}","object":"chat.completion.chunk",'
        '"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
        f'"usage":{{"prompt_tokens":{prompt_tokens},"completion_tokens":{tokens}}}}}\n\n'
        f"id: {request_id}:{tokens + 1}\ndata: [DONE]\n\n"
    ).encode()


def _json(value: Any) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
