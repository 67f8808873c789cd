"""Responses to callers: status, result headers and body as ASGI messages."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import Result

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

RESULT_HEADER = b"samphire-result"
RUN_HEADER = b"samphire-run"
REQUEST_HEADER = b"samphire-request"
ENDPOINT_HEADER = b"samphire-endpoint"
JSON = b"application/json"
EVENT_STREAM = b"text/event-stream"


def result_headers(result: Result, request_id: str, content_type: bytes) -> Headers:
    """Return the headers that every response to a caller has."""
    return [
        (b"content-type", content_type),
        (RESULT_HEADER, str(result.code).encode()),
        (RUN_HEADER, result.run.encode()),
        (REQUEST_HEADER, request_id.encode()),
    ]


def error_body(error: SamphireError, request_id: str) -> bytes:
    """Return the OpenAI-compatible JSON body of an error response."""
    result = error.result
    return msgspec.json.encode(
        {
            "error": {
                "message": error.detail,
                "type": result.name,
                "code": result.code,
                "run": result.run,
                "request": request_id,
            }
        }
    )


async def send_head(send: Send, status: int, headers: Headers) -> None:
    """Send the status and headers of a response."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def send_body(send: Send, body: bytes, *, more: bool = False) -> None:
    """Send a chunk of the body; it is the last one unless `more` is true."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a complete response with a `Content-Length` header."""
    await send_head(send, status, [*headers, (b"content-length", str(len(body)).encode())])
    await send_body(send, body)


async def send_error(send: Send, error: SamphireError, request_id: str) -> None:
    """Send an error response with its result code."""
    headers = result_headers(error.result, request_id, JSON)
    if error.retry_after is not None:
        headers.append((b"retry-after", str(max(1, round(error.retry_after))).encode()))
    await send_response(send, error.result.http_status, headers, error_body(error, request_id))
