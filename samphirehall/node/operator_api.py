"""Control service: the operators' interface over HTTP."""

import hmac
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirehall.configuration.documents import check_documents
from samphirehall.configuration.store import apply_configuration, history
from samphirehall.core.clock import wall_seconds
from samphirehall.core.connections import header
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import key_digest
from samphirehall.core.registry import Registry
from samphirehall.core.results import (
    BAD_REQUEST,
    INTERNAL_UNKNOWN,
    NOT_AUTHORIZED,
    PLATFORM_UNAVAILABLE,
)
from samphirehall.core.serving import serving
from samphirehall.node.context import ControlContext

_log = logging.getLogger(__name__)

OperatorHandler = Callable[[ControlContext, Request], Awaitable[Any]]
OPERATOR_ROUTES: Registry[tuple[str, str, OperatorHandler]] = Registry("operator_route")


@dataclass(slots=True)
class ApplyRequest:
    """Body of an apply: whole documents by file name.

    `base_version` is the version that the change was made from, or None for
    whichever is in force.
    """

    documents: dict[str, dict[str, Any]]
    author: str = "operator"
    base_version: int | None = None


@dataclass(slots=True)
class ApplyAnswer:
    """Answer to an apply."""

    version: int
    hosts_in_force: list[str] = field(default_factory=list)
    hosts_unknown: list[str] = field(default_factory=list)


async def run_operator_api(context: ControlContext) -> None:
    """Serve operators until cancelled."""
    app = operator_app(context)
    async with serving(app, context.settings.control.operator):
        await anyio.sleep_forever()


def operator_app(context: ControlContext) -> Starlette:
    """Return the ASGI application of the operators' interface."""
    routes = [
        Route("/metrics", _metrics_handler(context), methods=["GET"]),
        _route(context, "GET", "/status", _status),
        _route(context, "POST", "/configuration", _apply),
        _route(context, "GET", "/configuration", _show),
        _route(context, "GET", "/configuration/history", _history),
    ]
    for name in OPERATOR_ROUTES.names():
        method, path, handler = OPERATOR_ROUTES.get(name)
        routes.append(_route(context, method, path, handler))
    return Starlette(routes=routes)


def _route(context: ControlContext, method: str, path: str, handler: OperatorHandler) -> Route:
    async def serve(request: Request) -> Response:
        try:
            _authorize(context, request)
            return _json(await handler(context, request))
        except SamphireError as error:
            return _refusal(error)
        except PlatformUnavailableError as error:
            return _refusal(SamphireError(PLATFORM_UNAVAILABLE, str(error)))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _refusal(SamphireError(BAD_REQUEST, str(error)))
        except Exception:
            _log.exception("internal-error", extra={"path": path})
            return _refusal(SamphireError(INTERNAL_UNKNOWN, "a fault of this system"))

    return Route(path, serve, methods=[method])


def _authorize(context: ControlContext, request: Request) -> None:
    expected = context.settings.control.operator_token_digest
    if not expected:
        return
    value = header(request.headers.raw, b"authorization") or ""
    if not hmac.compare_digest(key_digest(value.removeprefix("Bearer ")), expected):
        raise SamphireError(NOT_AUTHORIZED, "the operator's token was refused")


def _metrics_handler(context: ControlContext) -> Callable[[Request], Awaitable[Response]]:
    async def metrics(request: Request) -> Response:
        return Response(generate_latest(context.metrics), media_type=CONTENT_TYPE_LATEST)

    return metrics


async def _status(context: ControlContext, request: Request) -> Any:
    state = context.state
    return {
        "host": state.host,
        "zone": state.zone,
        "incarnation": state.incarnation,
        "configuration": state.configuration.version,
        **context.status(),
    }


async def _apply(context: ControlContext, request: Request) -> Any:
    body = msgspec.json.decode(await request.body(), type=ApplyRequest)
    parts = check_documents(body.documents)
    pointer = await apply_configuration(
        context.platform,
        parts,
        base_version=body.base_version,
        author=body.author,
        now=wall_seconds(),
    )
    return ApplyAnswer(pointer.version)


async def _show(context: ControlContext, request: Request) -> Any:
    configuration = context.state.configuration
    return {"version": configuration.version, "parts": dict(configuration.parts)}


async def _history(context: ControlContext, request: Request) -> Any:
    return await history(context.platform)


def _refusal(error: SamphireError) -> Response:
    problems = [str(problem) for problem in getattr(error, "problems", [])]
    body = {
        "error": {
            "code": error.result.code,
            "type": error.result.name,
            "message": error.detail,
            "problems": problems,
        }
    }
    return Response(
        msgspec.json.encode(body),
        status_code=error.result.http_status,
        media_type="application/json",
    )


def _json(value: Any) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
