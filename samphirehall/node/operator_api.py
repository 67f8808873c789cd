"""Control service: HTTP API for operators."""

import hmac
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirehall.core.connections import header
from samphirehall.core.decoding import DecodingError
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
from samphirehall.node import operator_configuration
from samphirehall.node.context import ControlContext

_log = logging.getLogger(__name__)

OperatorHandler = Callable[[ControlContext, Request], Awaitable[Any]]
OPERATOR_ROUTES: Registry[tuple[str, str, OperatorHandler]] = Registry("operator_route")


async def run_operator_api(context: ControlContext) -> None:
    """Serve the operator API until cancelled."""
    app = operator_app(context)
    async with serving(app, context.settings.control.operator):
        await anyio.sleep_forever()


def operator_app(context: ControlContext) -> Starlette:
    """Return the ASGI application of the operator API."""
    routes = [
        Route("/metrics", _metrics_handler(context), methods=["GET"]),
        _route(context, "GET", "/status", _status),
        _route(context, "POST", "/configuration", operator_configuration.apply),
        _route(context, "GET", "/configuration", operator_configuration.show),
        _route(context, "GET", "/configuration/history", operator_configuration.list_history),
        _route(context, "POST", "/keys/withdraw", operator_configuration.withdraw_key),
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
        except DecodingError as error:
            return _refusal(SamphireError(BAD_REQUEST, str(error)))
        except Exception:
            _log.exception("internal-error", extra={"path": path})
            return _refusal(
                SamphireError(
                    INTERNAL_UNKNOWN, "internal error; the log of this host has the traceback"
                )
            )

    return Route(path, serve, methods=[method])


def _authorize(context: ControlContext, request: Request) -> None:
    expected = context.settings.control.operator_token_digest
    if not expected:
        return
    value = header(request.headers.raw, b"authorization") or ""
    if not hmac.compare_digest(key_digest(value.removeprefix("Bearer ")), expected):
        raise SamphireError(
            NOT_AUTHORIZED, "the bearer token is not the operator token of this host"
        )


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
