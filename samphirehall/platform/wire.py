"""Headers of the platform's protocol: decoding client requests, encoding sends to endpoints."""

import logging
import re
from typing import Annotated

import msgspec

from samphirehall.core.decoding import Unsigned, decode, parse_unsigned
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import RejectionLog
from samphirehall.core.results import BAD_REQUEST
from samphirehall.gateway.types import Headers, Prompt, PromptPart, Request
from samphirehall.gateway.wire_codec import Dispatch, WireCodec

REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
API_KEY_HEADER = b"x-key"
CUSTOMER_HEADER = b"x-tenant"
INCARNATION_HEADER = b"x-expect-instance"
NOT_RUN_HEADER = b"x-not-executed"
SIGNATURE_HEADER = b"x-response-stamp"
MODEL_HEADER = b"x-model"
TOKEN_COUNTS_HEADER = b"x-token-counts"
PROMPT_PARTS_HEADER = b"x-prompt-prefix"
LAST_EVENT_HEADER = b"last-event-id"
RESUMED_REQUEST_HEADER = b"resumes"
URGENCY_HEADER = b"x-request-urgency"
STAGE_HEADER = b"x-stage"
KV_SOURCE_HEADER = b"x-kv-source"
PREFIX_SOURCE_HEADER = b"kv-fetch"
LIMIT_HEADER = b"server-limit"

SECONDS_PER_MILLISECOND = 1e-3
MIN_DEADLINE_MILLISECONDS = 1
MAX_URGENCY = 9
MAX_TOKENS = 10**9  # of a prompt, an answer or a part; sums over all requests fit 64 bits
MAX_PART_ID_CHARACTERS = 128  # a SHA-512 in hexadecimal; sent on to other hosts
MAX_KV_HANDLE_CHARACTERS = 200
MAX_LIMIT_REQUESTS_PER_SECOND = 1e9

# Not forwarded from a client: hop-by-hop headers, and headers that only this system may set.
_STRIPPED_HEADERS = frozenset(
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
        DEADLINE_HEADER,
        API_KEY_HEADER,
        CUSTOMER_HEADER,
        INCARNATION_HEADER,
        URGENCY_HEADER,
        STAGE_HEADER,
        KV_SOURCE_HEADER,
        PREFIX_SOURCE_HEADER,
        b"x-pin-ms",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-expect-version",
    )
)


_FORWARDABLE_TARGET = re.compile(rb"[!-~]+")


class _PrefillAnswer(msgspec.Struct):
    """Answer to a prefill; the handle goes into a path and a header."""

    kv_handle: Annotated[
        str, msgspec.Meta(pattern=r"^[!-~]+\Z", max_length=MAX_KV_HANDLE_CHARACTERS)
    ]


_log = logging.getLogger(__name__)
_limit_rejections = RejectionLog(_log, "endpoint-limit-unreadable")

_prefill_answer_decoder = msgspec.json.Decoder(_PrefillAnswer)


class _Report(msgspec.Struct):
    """What an engine says of itself, reduced to the fields that are used."""

    born: Unsigned | None = None


_report_decoder = msgspec.json.Decoder(_Report)


def decode_request(
    method: str, target: bytes, headers: Headers, body: bytes, now: float
) -> Request:
    """Decode the request of a client.

    Raises
    ------
    SamphireError
        The request has no id, has both a content length and a transfer encoding, has a header
        with a number that cannot be parsed or is out of range, or a target that is not ASCII.
    """
    fields = dict(headers)
    request_id = fields.get(REQUEST_ID_HEADER, b"").decode("latin-1")
    if not request_id:
        raise SamphireError(BAD_REQUEST, "the request has no id")
    if _FORWARDABLE_TARGET.fullmatch(target) is None:
        raise SamphireError(BAD_REQUEST, "the target has characters that are not ASCII")
    if b"content-length" in fields and b"transfer-encoding" in fields:
        raise SamphireError(
            BAD_REQUEST, "the body has both a content-length and a transfer-encoding"
        )
    connection_headers = _connection_headers(fields.get(b"connection", b""))
    forwarded = [
        pair
        for pair in headers
        if pair[0] not in _STRIPPED_HEADERS and pair[0] not in connection_headers
    ]
    deadline = fields.get(DEADLINE_HEADER)
    key = fields.get(API_KEY_HEADER)
    last_event = fields.get(LAST_EVENT_HEADER, b"")
    return Request(
        request_id,
        method,
        fields.get(b"host", b"").decode("latin-1").rpartition(":")[0].lower()
        or fields.get(b"host", b"").decode("latin-1").lower(),
        target,
        forwarded,
        body,
        None if key is None else key.decode("latin-1"),
        _decode_prompt(fields),
        parse_unsigned(last_event),
        (
            None
            if deadline is None
            else _parse_number(deadline, DEADLINE_HEADER) * SECONDS_PER_MILLISECOND
        ),
        now,
        fields.get(RESUMED_REQUEST_HEADER, b"").decode("latin-1") or None,
    )


def _connection_headers(value: bytes) -> frozenset[bytes]:
    """Return the hop-by-hop headers that a connection header lists, except ``x-`` headers."""
    names = (name.strip().lower() for name in value.split(b","))
    return frozenset(name for name in names if name and not name.startswith(b"x-"))


def _parse_number(value: bytes, name: bytes) -> float:
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise SamphireError(BAD_REQUEST, f"{name.decode()}: must be a number of at least 0")
    return number


def _decode_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    """Decode the prompt from its headers; return None for a request without token counts."""
    counts = fields.get(TOKEN_COUNTS_HEADER)
    if counts is None:
        return None
    try:
        prompt_tokens, output_tokens = (_parse_tokens(count) for count in counts.split(b","))
        parts = tuple(_decode_parts(fields.get(PROMPT_PARTS_HEADER, b"")))
    except ValueError as error:
        raise SamphireError(BAD_REQUEST, f"prompt headers: {error}") from error
    model = fields.get(MODEL_HEADER, b"").decode("latin-1")
    return Prompt(model, parts, prompt_tokens, output_tokens)


def _decode_parts(value: bytes) -> list[PromptPart]:
    entries = [entry.strip().partition(b":") for entry in value.split(b",") if entry.strip()]
    parts = [PromptPart(name.decode("latin-1"), _parse_tokens(n)) for name, _, n in entries]
    if not all(0 < len(part.part_id) <= MAX_PART_ID_CHARACTERS for part in parts):
        raise ValueError(f"a part needs an id of up to {MAX_PART_ID_CHARACTERS} characters")
    return parts


def _parse_tokens(value: bytes) -> int:
    tokens = parse_unsigned(value.strip(), maximum=MAX_TOKENS)
    if tokens is None:
        raise ValueError(f"a count of tokens must be a number from 0 to {MAX_TOKENS}")
    return tokens


def request_headers(request: Request, dispatch: Dispatch) -> Headers:
    """Encode the headers of one send to an endpoint."""
    headers = list(request.headers)
    if dispatch.resume_after is not None:
        headers = [pair for pair in headers if pair[0] != LAST_EVENT_HEADER]
        headers.append((LAST_EVENT_HEADER, str(dispatch.resume_after).encode()))
    headers.append(_deadline_header(dispatch.remaining))
    headers.append((INCARNATION_HEADER, dispatch.endpoint.endpoint_id.encode()))
    if dispatch.customer is not None:
        headers.append((CUSTOMER_HEADER, dispatch.customer.encode()))
    if dispatch.rank is not None:
        headers.append((URGENCY_HEADER, str(min(dispatch.rank, MAX_URGENCY)).encode()))
    if dispatch.prefill_only:
        headers.append((STAGE_HEADER, b"prefill"))
    if dispatch.kv_handle is not None:
        source = f"{dispatch.kv_handle.address}/{dispatch.kv_handle.handle_id}"
        headers.append((KV_SOURCE_HEADER, source.encode()))
    if dispatch.prefix_source is not None:
        headers.append((PREFIX_SOURCE_HEADER, dispatch.prefix_source.encode()))
    return headers


def passed_headers(request: Request, remaining: float) -> Headers:
    """Encode the headers with which a request is passed on to another host, as its client would."""
    key = [] if request.key is None else [(API_KEY_HEADER, request.key.encode("latin-1"))]
    return [*request.headers, *key, _deadline_header(remaining)]


def _deadline_header(remaining: float) -> tuple[bytes, bytes]:
    milliseconds = max(MIN_DEADLINE_MILLISECONDS, int(remaining / SECONDS_PER_MILLISECOND))
    return DEADLINE_HEADER, str(milliseconds).encode()


def matches_request(request_id: str, headers: Headers) -> bool:
    """Return whether an answer with these headers echoes the id of a request."""
    echoed = next((value for name, value in headers if name == REQUEST_ID_HEADER), None)
    return echoed is not None and echoed.decode("latin-1") == request_id


def reports_not_run(status: int, headers: Headers) -> bool:
    """Return whether an answer states that the request did not run."""
    return status == 421 or any(name == NOT_RUN_HEADER for name, _ in headers)


def is_signed(headers: Headers) -> bool:
    """Return whether an answer carries the endpoint's signature and its body is not encoded."""
    names = {name for name, _ in headers}
    return SIGNATURE_HEADER in names and b"content-encoding" not in names


def decode_kv_handle(body: bytes) -> str:
    """Decode the KV handle in the answer to a prefill.

    Raises
    ------
    ValueError
        The answer has no KV handle that a request can name.
    """
    return decode(body, _prefill_answer_decoder).kv_handle


def kv_release_call(handle: str) -> tuple[str, bytes]:
    """Return the method and target of the call that releases a KV handle."""
    return "DELETE", f"/kv-handle/{handle}".encode()


def report_call() -> tuple[str, bytes]:
    """Return the method and target of the call that asks an engine for its state."""
    return "GET", b"/report"


def decode_started_at(body: bytes) -> int | None:
    """Decode when the engine that sent a report has started; None if it does not say.

    Raises
    ------
    ValueError
        The body is no report.
    """
    return decode(body, _report_decoder).born


def endpoint_limit(headers: Headers) -> float | None:
    """Return the requests per second that an endpoint takes from all hosts; None without a limit.

    A limit that is no number of at least 0 is left out and logged; a higher one than
    `MAX_LIMIT_REQUESTS_PER_SECOND` counts as that.
    """
    value = next((value for name, value in headers if name == LIMIT_HEADER), None)
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        limit = -1.0
    if not 0 <= limit < float("inf"):
        _limit_rejections.record("answer", value.decode("latin-1"))
        return None
    return min(limit, MAX_LIMIT_REQUESTS_PER_SECOND)


WIRE_CODEC = WireCodec(
    request_headers,
    passed_headers,
    matches_request,
    reports_not_run,
    is_signed,
    decode_kv_handle,
    kv_release_call,
    endpoint_limit,
    report_call,
    decode_started_at,
)
