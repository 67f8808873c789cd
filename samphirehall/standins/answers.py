"""HTTP responses that the stand-ins share."""

from typing import Any

import msgspec
from starlette.datastructures import Headers
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from samphirehall.endpoints.protocol import REQUEST_ID_HEADER


def json_response(value: Any) -> Response:
    """Return a 200 response with `value` as its JSON body."""
    return Response(msgspec.json.encode(value), media_type="application/json")


class RequestIdMiddleware:
    """Names the request to which an answer belongs."""

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        name = REQUEST_ID_HEADER.decode()
        request_id = Headers(scope=scope).get(name) if scope["type"] == "http" else None

        async def send_with_id(message: Message) -> None:
            if message["type"] == "http.response.start" and request_id is not None:
                named = (REQUEST_ID_HEADER, request_id.encode("latin-1"))
                message["headers"] = [*message.get("headers", ()), named]
            await send(message)

        await self._app(scope, receive, send_with_id)
