"""Records of the calls that a stand-in received, for checks of what reached an endpoint.

`recorded` wraps the ASGI application of any stand-in. A call is recorded once
its whole body has arrived, so an order whose sender gave up between head and
body leaves no record.
"""

from collections import deque
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from samphirehall.core.clock import boot_seconds
from samphirehall.core.identifiers import KEY_PREFIX
from samphirehall.endpoints.protocol import REQUEST_ID_HEADER

RECORDS_PATH = "/admin/records"
KEPT_RECORDS = 50_000
KEPT_BODY_BYTES = 4096
UNRECORDED_PREFIXES = ("/admin", "/state", "/table", "/objects", "/hosts", "/endpoints")
BODILESS_METHODS = ("GET", "HEAD", "DELETE")
SECRET_HEADERS = (b"authorization", b"x-api-key")

Message = MutableMapping[str, Any]
Application = Callable[..., Awaitable[None]]


@dataclass(slots=True)
class CallRecord:
    """One call as the stand-in received it.

    Parameters
    ----------
    request_id : str
        Value of the request identifier's header, empty if there was none.
    method, path, body : str
        What was asked; a long body is shortened.
    key_seen : bool
        Whether any part of the call could have carried a customer key.
    received_at : float
        Boot clock in seconds when the whole body had arrived.
    status : int
        Status of the answer, 0 before it.
    answer : str
        Body of the answer, shortened.
    """

    request_id: str
    method: str
    path: str
    body: str
    key_seen: bool
    received_at: float
    status: int = 0
    answer: str = ""


def recorded(app: Application) -> Application:
    """Return an application that records calls of `app` and lists them at ``/admin/records``."""
    records: deque[CallRecord] = deque(maxlen=KEPT_RECORDS)

    async def serve(scope: Message, receive: Callable[..., Any], send: Callable[..., Any]) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        if scope["path"] == RECORDS_PATH:
            listing = Response(msgspec.json.encode(list(records)), media_type="application/json")
            await listing(scope, receive, send)
            return
        if scope["path"].startswith(UNRECORDED_PREFIXES):
            await app(scope, receive, send)
            return
        await _serve_recorded(app, records, scope, receive, send)

    return serve


async def _serve_recorded(
    app: Application,
    records: deque[CallRecord],
    scope: Message,
    receive: Callable[..., Any],
    send: Callable[..., Any],
) -> None:
    record = _begin(scope)
    chunks: list[bytes] = []
    if scope["method"] in BODILESS_METHODS:
        records.append(record)

    async def receive_noted() -> Message:
        message: Message = await receive()
        if message["type"] == "http.request":
            chunks.append(message.get("body", b""))
            if not message.get("more_body", False) and scope["method"] not in BODILESS_METHODS:
                _finish_body(record, b"".join(chunks))
                records.append(record)
        return message

    async def send_noted(message: Message) -> None:
        if message["type"] == "http.response.start":
            record.status = message["status"]
        elif len(record.answer) < KEPT_BODY_BYTES:
            record.answer += message.get("body", b"").decode(errors="replace")
        await send(message)

    await app(scope, receive_noted, send_noted)


def _begin(scope: Message) -> CallRecord:
    headers = dict(Request(scope).headers.raw)
    carried = scope.get("query_string", b"") + b" ".join(headers.values())
    key_seen = any(name in headers for name in SECRET_HEADERS) or KEY_PREFIX.encode() in carried
    request_id = headers.get(REQUEST_ID_HEADER, b"").decode("latin-1")
    return CallRecord(request_id, scope["method"], scope["path"], "", key_seen, boot_seconds())


def _finish_body(record: CallRecord, body: bytes) -> None:
    record.received_at = boot_seconds()
    record.key_seen = record.key_seen or KEY_PREFIX.encode() in body
    record.body = body[:KEPT_BODY_BYTES].decode(errors="replace")
