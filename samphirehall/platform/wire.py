"""Decoding of clients' requests, and the words spoken to endpoints."""

import msgspec

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import BAD_REQUEST
from samphirehall.gateway.types import Headers, Prompt, PromptPart, Request
from samphirehall.gateway.wire_codec import Dispatch, WireCodec

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
KEY = b"x-key"
CUSTOMER = b"x-tenant"
INCARNATION = b"x-expect-instance"
NOT_RUN = b"x-not-executed"
SIGNATURE = b"x-response-stamp"
MODEL = b"x-model"
TOKENS = b"x-token-counts"
PARTS = b"x-prompt-prefix"
LAST_EVENT = b"last-event-id"
URGENCY = b"x-request-urgency"
STAGE = b"x-stage"
COPY = b"x-kv-source"
FETCH = b"kv-fetch"

MILLI = 1e-3
LEAST_DEADLINE_MS = 1
MOST_URGENCY = 9

# The system's to set, whatever a client sent, or of one connection only.
_NOT_PASSED_ON = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        DEADLINE,
        KEY,
        CUSTOMER,
        INCARNATION,
        URGENCY,
        STAGE,
        COPY,
        FETCH,
        b"x-pin-ms",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-expect-version",
    )
)


class _PromptRead(msgspec.Struct):
    kv_handle: str


_prompt_read_decoder = msgspec.json.Decoder(_PromptRead)


def decode_request(
    method: str, target: bytes, headers: Headers, body: bytes, now: float
) -> Request:
    """Return the request of a client.

    Raises
    ------
    SamphireError
        The request has no id, two framings of its body, or unreadable numbers.
    """
    fields = dict(headers)
    request_id = fields.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise SamphireError(BAD_REQUEST, "the request has no id")
    if b"content-length" in fields and b"transfer-encoding" in fields:
        raise SamphireError(BAD_REQUEST, "the body has both a length and chunks")
    dropped = _connection_headers(fields.get(b"connection", b""))
    kept = [pair for pair in headers if pair[0] not in _NOT_PASSED_ON and pair[0] not in dropped]
    deadline = fields.get(DEADLINE)
    key = fields.get(KEY)
    last_event = fields.get(LAST_EVENT, b"")
    return Request(
        request_id,
        method,
        fields.get(b"host", b"").decode("latin-1").rpartition(":")[0].lower()
        or fields.get(b"host", b"").decode("latin-1").lower(),
        target,
        kept,
        body,
        None if key is None else key.decode("latin-1"),
        _prompt(fields),
        int(last_event) if last_event.isdigit() else None,
        None if deadline is None else _number(deadline, DEADLINE) * MILLI,
        now,
    )


def _connection_headers(value: bytes) -> frozenset[bytes]:
    """Return the headers that a connection header names as its own."""
    names = (name.strip().lower() for name in value.split(b","))
    return frozenset(name for name in names if name and not name.startswith(b"x-"))


def _number(value: bytes, name: bytes) -> float:
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise SamphireError(BAD_REQUEST, f"{name.decode()}: a number of at least 0")
    return number


def _prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    """Return the prompt that the headers describe, or None for a request without one."""
    counts = fields.get(TOKENS)
    if counts is None:
        return None
    try:
        prompt_tokens, output_tokens = (int(count) for count in counts.split(b","))
        parts = tuple(_parts(fields.get(PARTS, b"")))
    except ValueError as error:
        raise SamphireError(BAD_REQUEST, f"prompt headers: {error}") from error
    model = fields.get(MODEL, b"").decode("latin-1")
    return Prompt(model, parts, prompt_tokens, output_tokens)


def _parts(value: bytes) -> list[PromptPart]:
    entries = [entry.strip().partition(b":") for entry in value.split(b",") if entry.strip()]
    return [PromptPart(name.decode("latin-1"), int(tokens)) for name, _, tokens in entries]


def send_headers(request: Request, dispatch: Dispatch) -> Headers:
    """Return the headers of one send to an endpoint."""
    headers = list(request.headers)
    if dispatch.resume_after is not None:
        headers = [pair for pair in headers if pair[0] != LAST_EVENT]
        headers.append((LAST_EVENT, str(dispatch.resume_after).encode()))
    remaining = max(LEAST_DEADLINE_MS, int(dispatch.remaining / MILLI))
    headers.append((DEADLINE, str(remaining).encode()))
    headers.append((INCARNATION, dispatch.endpoint.endpoint_id.encode()))
    if dispatch.customer is not None:
        headers.append((CUSTOMER, dispatch.customer.encode()))
    if dispatch.rank is not None:
        headers.append((URGENCY, str(min(dispatch.rank, MOST_URGENCY)).encode()))
    if dispatch.prefill_only:
        headers.append((STAGE, b"prefill"))
    if dispatch.kv_handle is not None:
        source = f"{dispatch.kv_handle.address}/{dispatch.kv_handle.handle_id}"
        headers.append((COPY, source.encode()))
    if dispatch.prefix_source is not None:
        headers.append((FETCH, dispatch.prefix_source.encode()))
    return headers


def belongs(request_id: str, headers: Headers) -> bool:
    """Return whether an answer with these headers is the one to a request."""
    echoed = next((value for name, value in headers if name == REQUEST_ID), None)
    return echoed is not None and echoed.decode("latin-1") == request_id


def says_not_run(status: int, headers: Headers) -> bool:
    """Return whether an answer states that the request did not run."""
    return status == 421 or any(name == NOT_RUN for name, _ in headers)


def is_vouched(headers: Headers) -> bool:
    """Return whether an answer bears the endpoint's signature of its unencoded body."""
    names = {name for name, _ in headers}
    return SIGNATURE in names and b"content-encoding" not in names


def prompt_copy(body: bytes) -> str:
    """Return the name of the copy that an engine keeps of a read prompt.

    Raises
    ------
    ValueError
        The answer names none.
    """
    try:
        return _prompt_read_decoder.decode(body).kv_handle
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"answer to a read prompt: {error}") from error


def drop_copy(handle: str) -> tuple[str, bytes]:
    """Return method and target of the call that frees a copy."""
    return "DELETE", f"/kv-handle/{handle}".encode()


DIALECT = WireCodec(send_headers, belongs, says_not_run, is_vouched, prompt_copy, drop_copy)
