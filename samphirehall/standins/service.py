"""Stand-in of a plain service that records the calls it ran and echoes their bodies."""

from dataclasses import dataclass

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from samphirehall.standins.answers import RequestIdMiddleware, json_response


@dataclass(slots=True)
class ServiceFaults:
    """Holds the fault switches of a service; times in seconds.

    `delay` delays each response, `lose_answer` runs the call and closes the
    connection without a complete response, `stall` runs it and withholds the
    response.
    """

    delay: float = 0.0
    lose_answer: bool = False
    stall: bool = False


@dataclass(slots=True)
class ServiceCall:
    """One call that the service ran."""

    service: str
    method: str
    path: str
    body: str
    key_seen: bool


class DroppedResponse(Response):
    """A response without its announced body, upon which the server closes the connection."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send a head with a content length of 1 and no body."""
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


class ServiceStandin:
    """Serves any path and records each call.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint.
    """

    def __init__(self, endpoint_id: str) -> None:
        self.endpoint_id = endpoint_id
        self.faults = ServiceFaults()
        self.calls: list[ServiceCall] = []

    def app(self) -> Starlette:
        """Return the ASGI application."""
        methods = ["GET", "POST", "PUT", "DELETE"]
        return Starlette(
            routes=[
                Route("/admin/faults", self._set_faults, methods=["PUT"]),
                Route("/admin/calls", self._list_calls, methods=["GET"]),
                Route("/state", self._state, methods=["GET"]),
                Route("/{path:path}", self._serve, methods=methods),
            ],
            middleware=[Middleware(RequestIdMiddleware)],
        )

    async def _serve(self, request: Request) -> Response:
        body = (await request.body()).decode(errors="replace")
        key_seen = "authorization" in request.headers or "sk-samphire-" in str(request.url)
        call = ServiceCall(self.endpoint_id, request.method, request.url.path, body, key_seen)
        self.calls.append(call)
        await anyio.sleep(self.faults.delay)
        while self.faults.stall:
            await anyio.sleep(0.05)
        if self.faults.lose_answer:
            return DroppedResponse()
        answer = {"service": self.endpoint_id, "path": call.path, "echo": body}
        return json_response({**answer, "number": len(self.calls)})

    async def _state(self, request: Request) -> Response:
        return json_response({"endpoint_id": self.endpoint_id, "calls": len(self.calls)})

    async def _list_calls(self, request: Request) -> Response:
        return json_response(self.calls)

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=ServiceFaults)
        return json_response(self.faults)
