"""ASGI application that serves the API for callers."""

import logging

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from samphirehall.admission.authentication import customer_with_key
from samphirehall.configuration.documents import may_use
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import key_digest, new_identifier
from samphirehall.core.results import (
    INTERNAL_UNKNOWN,
    KEY_MISSING,
    KEY_UNKNOWN,
    METHOD_NOT_ALLOWED,
    NO_ROUTE,
    OK,
)
from samphirehall.forwarding.answers import (
    JSON,
    Message,
    Receive,
    Scope,
    Send,
    result_headers,
    send_error,
    send_response,
)
from samphirehall.forwarding.caller_connection import caller_connection
from samphirehall.forwarding.completion_answer import serve_completion
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.inbound import CallerDisconnectedError, bearer_key
from samphirehall.forwarding.service_answer import SERVICE_PATH_PREFIX, serve_service

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
HTTP_UNAVAILABLE = 503
CONNECTION_CLOSE = (b"connection", b"close")

_log = logging.getLogger(__name__)


class EntryApp:
    """ASGI application of an entry process.

    Serves completions, plain services, the list of models, health checks and metrics.

    Parameters
    ----------
    context : EntryContext
        Shared components of the entry process.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request; other scopes are ignored."""
        if scope["type"] != "http":
            return
        request_id = new_identifier("req")
        connection = caller_connection(scope)
        response_started = False

        async def send_and_track(message: Message) -> None:
            nonlocal response_started
            response_started = True
            is_head = message["type"] == "http.response.start"
            if is_head and self._context.stopping and not connection.has_requests():
                message["headers"].append(CONNECTION_CLOSE)
            await send(message)

        try:
            await self._serve(scope, receive, send_and_track, request_id)
        except CallerDisconnectedError:
            _log.info("caller-gone", extra={"request": request_id})
        except SamphireError as error:
            self._record_refusal(scope, error, request_id)
            if not response_started:
                await send_error(send_and_track, error, request_id)
        except Exception:
            _log.exception("internal-error", extra={"request": request_id})
            if not response_started:
                internal_error = SamphireError(INTERNAL_UNKNOWN, "internal error")
                await send_error(send_and_track, internal_error, request_id)

    async def _serve(self, scope: Scope, receive: Receive, send: Send, request_id: str) -> None:
        path = scope["path"]
        if path in (CHAT_PATH, COMPLETIONS_PATH):
            self._check_method(scope, "POST")
            chat = path == CHAT_PATH
            route = await serve_completion(
                self._context, scope, receive, send, request_id=request_id, chat=chat
            )
            self._context.metrics.requests.labels(route, OK.name).inc()
        elif path.startswith(SERVICE_PATH_PREFIX):
            route = await serve_service(self._context, scope, receive, send, request_id=request_id)
            self._context.metrics.requests.labels(route, OK.name).inc()
        elif path == MODELS_PATH:
            await self._list_models(scope, send, request_id)
        elif path == "/healthz/live":
            await send_response(send, 200, [], b"live\n")
        elif path == "/healthz/ready":
            await self._send_readiness(send)
        elif path == "/metrics":
            await self._send_metrics(send)
        else:
            raise SamphireError(NO_ROUTE, f"path {path!r} does not exist")

    def _check_method(self, scope: Scope, method: str) -> None:
        if scope["method"] != method:
            raise SamphireError(
                METHOD_NOT_ALLOWED, f"method {scope['method']} is not allowed, use {method}"
            )

    async def _list_models(self, scope: Scope, send: Send, request_id: str) -> None:
        state = self._context.state
        key = bearer_key(scope)
        if key is None:
            raise SamphireError(KEY_MISSING, "the list of models requires a customer key")
        digest = key_digest(key)
        if state.is_withdrawn(digest, now=boot_seconds()):
            raise SamphireError(KEY_UNKNOWN, "the key is unknown or withdrawn")
        _, part = customer_with_key(state.configuration, digest)
        models = [
            {"id": name, "object": "model", "owned_by": "samphirehall"}
            for name, route in sorted(state.configuration.routes().items())
            if route.kind == "model" and may_use(part, name, route)
        ]
        body = msgspec.json.encode({"object": "list", "data": models})
        await send_response(send, 200, result_headers(OK, request_id, JSON), body)

    async def _send_readiness(self, send: Send) -> None:
        state = self._context.state
        initialized = state.configuration.version > 0 and bool(state.endpoints)
        ready = initialized and not self._context.stopping
        status, body = (200, b"ready\n") if ready else (HTTP_UNAVAILABLE, b"not ready\n")
        await send_response(send, status, [], body)

    async def _send_metrics(self, send: Send) -> None:
        metrics = self._context.metrics
        metrics.open_requests.set(self._context.admission.open_requests)
        content_type = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
        await send_response(send, 200, content_type, generate_latest(metrics.registry))

    def _record_refusal(self, scope: Scope, error: SamphireError, request_id: str) -> None:
        self._context.metrics.requests.labels("", error.result.name).inc()
        _log.info(
            "refuse",
            extra={
                "reason": error.detail,
                "result": error.result.code,
                "run": error.result.run,
                "request": request_id,
                "path": scope["path"],
            },
        )
