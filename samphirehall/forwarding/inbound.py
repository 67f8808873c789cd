"""Parsing and validation of callers' requests: body, headers and query string."""

from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import parse_qsl, urlencode

import anyio
import msgspec

from samphirehall.core.connections import header
from samphirehall.core.decoding import MAX_INTEGER, DecodingError, decode
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import KEY_PREFIX
from samphirehall.core.results import BAD_REQUEST, CALL_TIMEOUT, TOO_LARGE
from samphirehall.core.types import Priority
from samphirehall.forwarding.answers import Headers, Receive, Scope

DEADLINE_HEADER = b"samphire-deadline"
PRIORITY_HEADER = b"samphire-priority"
IDEMPOTENCY_HEADER = b"idempotency-key"
MAX_DEADLINE_SECONDS = 3600.0
MAX_IDEMPOTENCY_KEY_LENGTH = 200
# Pieces of a body are joined at its end: a buffer that grows with each of them left 60 MB of
# unused memory between the buffers of 300 clients.
BODY_PIECE_BYTES = 4096
BEARER = "bearer "
SECRET_HEADERS = frozenset(
    (b"authorization", b"proxy-authorization", b"x-api-key", b"api-key", b"cookie")
)
SECRET_PARAMETERS = frozenset(("key", "api_key", "apikey", "access_token", "token"))
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


_Tokens = Annotated[int, msgspec.Meta(le=MAX_INTEGER)]


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class ChatBody(msgspec.Struct):
    """Body of a chat or text completion request; other fields are forwarded to the engine."""

    model: str
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[str] | None = None
    max_tokens: _Tokens | None = None
    max_completion_tokens: _Tokens | None = None
    stream: bool = False


@dataclass(slots=True)
class Completion:
    """A validated completion request.

    Parameters
    ----------
    model : str
        Public model name, which is the name of a route.
    messages : list
        Chat messages; a text prompt becomes one user message.
    max_tokens : int, optional
        Maximum number of tokens that the caller asks for.
    stream : bool
        Whether to stream the answer.
    chat : bool
        Whether the answer has the format of a chat completion.
    sampling : dict
        Other parameters, forwarded without validation.
    """

    model: str
    messages: list[dict[str, Any]]
    max_tokens: int | None
    stream: bool
    chat: bool
    sampling: dict[str, Any] = field(default_factory=dict)


_KNOWN_FIELDS = frozenset(ChatBody.__struct_fields__)
_body_decoder = msgspec.json.Decoder(ChatBody)
_raw_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value_decoder = msgspec.json.Decoder()


async def read_request_body(receive: Receive, *, max_bytes: int, timeout: float) -> bytes:
    """Return the body of a request.

    Raises
    ------
    SamphireError
        The body is longer than `max_bytes` or does not arrive within `timeout` seconds.
    CallerDisconnectedError
        The caller closed its connection.
    """
    pieces, size = [b""], 0
    try:
        with anyio.fail_after(timeout):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError
                piece = message.get("body", b"")
                size += len(piece)
                if len(pieces[-1]) < BODY_PIECE_BYTES:
                    pieces[-1] += piece
                else:
                    pieces.append(piece)
                if size > max_bytes:
                    raise SamphireError(TOO_LARGE, f"request body is longer than {max_bytes} bytes")
                if not message.get("more_body", False):
                    return b"".join(pieces)
    except TimeoutError as error:
        raise SamphireError(
            CALL_TIMEOUT, f"request body did not arrive within {timeout} s"
        ) from error


def parse_completion(body: bytes, *, chat: bool) -> Completion:
    """Parse and validate the body of a completion request.

    Raises
    ------
    SamphireError
        The body is not a completion request.
    """
    try:
        parsed = decode(body, _body_decoder)
        raw_fields = decode(body, _raw_decoder)
        sampling = {
            name: decode(value, _value_decoder)
            for name, value in raw_fields.items()
            if name not in _KNOWN_FIELDS
        }
    except DecodingError as error:
        raise SamphireError(BAD_REQUEST, f"request body is invalid: {error}") from error
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens
    if max_tokens is not None and max_tokens < 1:
        raise SamphireError(BAD_REQUEST, f"max_tokens is {max_tokens}, must be at least 1")
    return Completion(
        parsed.model, _chat_messages(parsed, chat=chat), max_tokens, parsed.stream, chat, sampling
    )


def _chat_messages(body: ChatBody, *, chat: bool) -> list[dict[str, Any]]:
    if chat:
        if not body.messages:
            raise SamphireError(BAD_REQUEST, "messages must hold at least one message")
        return body.messages
    if body.prompt is None:
        raise SamphireError(BAD_REQUEST, "prompt must be a string or a list of strings")
    prompt = body.prompt if isinstance(body.prompt, str) else "\n".join(body.prompt)
    return [{"role": "user", "content": prompt}]


def bearer_key(scope: Scope) -> str | None:
    """Return the customer key of a request, or None if it carries none."""
    value = header(scope["headers"], b"authorization")
    if value is not None and value.lower().startswith(BEARER):
        return value[len(BEARER) :].strip() or None
    return header(scope["headers"], b"x-api-key")


def deadline_seconds(scope: Scope, *, default: float) -> float:
    """Return the seconds in which a request must finish.

    The caller can shorten the deadline of the route but not extend it.

    Raises
    ------
    SamphireError
        The header is not a number of seconds in the allowed range.
    """
    value = header(scope["headers"], DEADLINE_HEADER)
    if value is None:
        return default
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        detail = (
            f"header Samphire-Deadline is {value!r}, must be a number of seconds above 0"
            f" and at most {MAX_DEADLINE_SECONDS:.0f}"
        )
        raise SamphireError(BAD_REQUEST, detail)
    return min(seconds, default)


def request_priority(scope: Scope, *, default: str) -> Priority:
    """Return the priority of a request, at most the priority of the route.

    Raises
    ------
    SamphireError
        The header is not the name of a priority.
    """
    allowed = Priority[default.upper()]
    value = header(scope["headers"], PRIORITY_HEADER)
    if value is None:
        return allowed
    if value.upper() not in Priority.__members__:
        names = ", ".join(name.lower() for name in Priority.__members__)
        raise SamphireError(
            BAD_REQUEST, f"header Samphire-Priority is {value!r}, must be one of {names}"
        )
    return max(allowed, Priority[value.upper()])


def idempotency_key(scope: Scope) -> str | None:
    """Return the idempotency key of a request, or None if it carries none.

    Raises
    ------
    SamphireError
        The key is empty, too long or not printable.
    """
    value = header(scope["headers"], IDEMPOTENCY_HEADER)
    if value is None:
        return None
    if not 0 < len(value) <= MAX_IDEMPOTENCY_KEY_LENGTH or not value.isprintable():
        detail = (
            f"header Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH}"
            " printable characters"
        )
        raise SamphireError(BAD_REQUEST, detail)
    return value


def endpoint_headers(headers: Headers, key: str | None) -> Headers:
    """Return the headers to forward, without hop-by-hop headers and any that could hold a key."""
    secrets = [KEY_PREFIX.encode()]
    if key:
        secrets.append(key.encode("latin-1"))
    return [
        (name, value)
        for name, value in headers
        if name not in SECRET_HEADERS
        and name not in HOP_BY_HOP_HEADERS
        and not any(secret in value for secret in secrets)
    ]


def endpoint_query(query: bytes, key: str | None) -> str:
    """Return the query string to forward, without parameters that could hold a key."""
    allowed = [
        (name, value)
        for name, value in parse_qsl(query.decode("latin-1"), keep_blank_values=True)
        if name.lower() not in SECRET_PARAMETERS
        and KEY_PREFIX not in value + name
        and not (key and key in value + name)
    ]
    return urlencode(allowed)


def refuse_key_in_body(body: bytes, key: str | None) -> None:
    """Raise if the body contains the customer key, so that no endpoint receives it.

    Raises
    ------
    SamphireError
        The body contains the key.
    """
    if key and key.encode("latin-1") in body:
        raise SamphireError(BAD_REQUEST, "request body contains the customer key")
