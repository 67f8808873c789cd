"""Decoding of bytes from outside into values inside their bounds.

Bytes can be valid JSON and still unusable: nested too deeply, with a number that no
other program can represent, or with an address that nothing can listen on. All of these
raise one error, so that a caller rejects one entry and goes on with the next.
"""

import ipaddress
from typing import Annotated, Any, Protocol, TypeVar

import msgspec

MAX_REASON_CHARACTERS = 200  # of a rejected value in an error, and so in a log line
MAX_INTEGER = 2**63 - 1  # the largest that every encoding between hosts can carry
MAX_NAME_CHARACTERS = 200  # the platform's limit for names is 200 bytes
MAX_PORT = 65_535
MAX_UNIX_SECONDS = 253_402_300_799.0  # the end of the year 9999

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

Unsigned = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Not empty, without control characters and without blanks at the ends, as headers require.
Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
        pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z",
    ),
]

UnixTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_SECONDS)]  # in seconds

Address = tuple[str, int]


class DecodingError(ValueError):
    """Raised for bytes or a value from outside that cannot be used; the message is bounded."""


class Decoder(Protocol[T_co]):
    """Decoder of one type, such as `msgspec.json.Decoder`."""

    def decode(self, buf: Any, /) -> T_co:
        """Return the decoded value."""


def shorten(text: object) -> str:
    """Return a text cut to `MAX_REASON_CHARACTERS`, for a log line."""
    return str(text)[:MAX_REASON_CHARACTERS]


def decode(content: bytes | str | msgspec.Raw, decoder: Decoder[T]) -> T:
    """Decode bytes.

    Raises
    ------
    DecodingError
        The bytes are malformed, nested too deeply, or hold a value that the type rules out.
    """
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise DecodingError(shorten(error)) from error


def convert(value: Any, value_type: type[T]) -> T:
    """Convert a decoded JSON value to a type.

    Raises
    ------
    DecodingError
        The type rules the value out.
    """
    try:
        return msgspec.convert(value, value_type)
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        raise DecodingError(shorten(error)) from error


def parse_unsigned(text: str | bytes, *, maximum: int = MAX_INTEGER) -> int | None:
    """Return the number that decimal digits state; None for any other text or a larger number."""
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip("0") if isinstance(text, str) else text.lstrip(b"0")
    if len(digits) > len(str(maximum)):
        return None
    number = int(digits or "0")
    return number if number <= maximum else None


def parse_address(address: object) -> Address | None:
    """Return the IP number and the port of ``ip:port``, or None if it is no such address."""
    if not isinstance(address, str):
        return None
    host, _, digits = address.rpartition(":")
    port = parse_unsigned(digits, maximum=MAX_PORT)
    number = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if not port or "%" in number:
        return None
    try:
        ipaddress.ip_address(number)
    except ValueError:
        return None
    return number, port
