"""Records of the calls that a stand-in received, for checks of what reached an endpoint.

`record_calls` wraps the ASGI application of any stand-in. A call is recorded once
its whole body has arrived, so an order whose sender gave up between head and
body leaves no record.
"""

import contextlib
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from starlette.requests import Request

from samphirehall.core.clock import boot_seconds
from samphirehall.core.identifiers import KEY_PREFIX
from samphirehall.endpoints.protocol import REQUEST_ID_HEADER

MAX_RECORDED_BODY_BYTES = 4096
MAX_RECORDED_ANSWER_CHARACTERS = 512
UNRECORDED_PREFIXES = ("/admin", "/state", "/table", "/objects", "/hosts", "/endpoints")
BODILESS_METHODS = ("GET", "HEAD", "DELETE")  # recorded before a body is read
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
        Request line and body; the body is cut to `MAX_RECORDED_BODY_BYTES`.
    key_seen : bool
        Whether a header that carries secrets was present, or the query, a header or the
        body contained the prefix of customer keys.
    received_at : float
        Boot clock in seconds when the whole body had arrived.
    status : int
        HTTP status of the response, 0 before it.
    answer : str
        Body of the response, cut to about `MAX_RECORDED_ANSWER_CHARACTERS`.
    """

    request_id: str
    method: str
    path: str
    body: str
    key_seen: bool
    received_at: float
    status: int = 0
    answer: str = ""


def record_calls(app: Application, path: str) -> Application:
    """Return an application that appends the calls of `app` to the file at `path`.

    A call is written when its body has arrived and again after the response, so
    that a crash loses no call. With an empty path, nothing is recorded.
    """
    if not path:
        return app

    async def serve(scope: Message, receive: Callable[..., Any], send: Callable[..., Any]) -> None:
        if scope["type"] != "http" or scope["path"].startswith(UNRECORDED_PREFIXES):
            await app(scope, receive, send)
        else:
            await _serve_recorded(app, Path(path), scope, receive, send)

    return serve


def read_records(path: Path) -> list[CallRecord]:
    """Return the last version of each call in a file, ordered by time of arrival."""
    calls = {}
    for line in path.read_bytes().splitlines() if path.exists() else []:
        with contextlib.suppress(msgspec.DecodeError):
            record = msgspec.json.decode(line, type=CallRecord)
            calls[record.received_at, record.request_id, record.path] = record
    return sorted(calls.values(), key=lambda record: record.received_at)


async def _serve_recorded(
    app: Application,
    path: Path,
    scope: Message,
    receive: Callable[..., Any],
    send: Callable[..., Any],
) -> None:
    record = _new_record(scope)
    chunks: list[bytes] = []
    bodiless = scope["method"] in BODILESS_METHODS
    if bodiless:
        _append(path, record)

    async def receive_and_record() -> Message:
        message: Message = await receive()
        if message["type"] == "http.request" and not bodiless:
            chunks.append(message.get("body", b""))
            if not message.get("more_body", False):
                _record_body(record, b"".join(chunks))
                _append(path, record)
        return message

    async def send_and_record(message: Message) -> None:
        if message["type"] == "http.response.start":
            record.status = message["status"]
        elif len(record.answer) < MAX_RECORDED_ANSWER_CHARACTERS:
            record.answer += message.get("body", b"").decode(errors="replace")
        await send(message)

    await app(scope, receive_and_record, send_and_record)
    _append(path, record)


def _append(path: Path, record: CallRecord) -> None:
    with path.open("ab") as file:
        file.write(msgspec.json.encode(record) + b"\n")


def _new_record(scope: Message) -> CallRecord:
    headers = dict(Request(scope).headers.raw)
    carried = scope.get("query_string", b"") + b" ".join(headers.values())
    key_seen = any(name in headers for name in SECRET_HEADERS) or KEY_PREFIX.encode() in carried
    request_id = headers.get(REQUEST_ID_HEADER, b"").decode("latin-1")
    return CallRecord(request_id, scope["method"], scope["path"], "", key_seen, boot_seconds())


def _record_body(record: CallRecord, body: bytes) -> None:
    record.received_at = boot_seconds()
    record.key_seen = record.key_seen or KEY_PREFIX.encode() in body
    record.body = body[:MAX_RECORDED_BODY_BYTES].decode(errors="replace")
