"""Heads of requests and refusals, as bytes."""

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import Result
from samphirehall.forwarding.answers import JSON, Headers, error_body, result_headers


def head_without_upgrade(method: bytes, target: bytes, version: str, headers: Headers) -> bytes:
    """Return the head of a request without its offer to change the protocol.

    Parameters
    ----------
    method, target : bytes
        Of the request line.
    version : str
        Version of HTTP.
    headers : list of pairs of bytes
        Names in lower case, and values.
    """
    lines = [b"%b %b HTTP/%b" % (method, target, version.encode())]
    for name, value in headers:
        if name == b"connection":
            tokens = [token.strip() for token in value.split(b",")]
            value = b", ".join(token for token in tokens if token.lower() != b"upgrade")
        if name != b"upgrade" and (value or name != b"connection"):
            lines.append(name + b": " + value)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def refusal(result: Result, detail: str) -> bytes:
    """Return the response that refuses a request and closes its connection."""
    body = error_body(SamphireError(result, detail), "")
    headers = [
        *result_headers(result, "", JSON),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    lines = [name + b": " + value + b"\r\n" for name, value in headers]
    return b"".join([STATUS_LINE[result.http_status], *lines, b"\r\n", body])
