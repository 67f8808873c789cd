"""Validation and decoding of the server-sent events of a completion stream."""

from dataclasses import dataclass

import msgspec

from samphirehall.core.decoding import DecodingError, Unsigned, decode
from samphirehall.core.types import TokenUsage
from samphirehall.endpoints.protocol import DONE

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
MAX_EVENT_BYTES = 1024 * 1024


class BrokenStreamError(Exception):
    """The event stream is malformed, has a gap, or ended before the end marker.

    Also raised for an event of another request.
    """


@dataclass(slots=True, frozen=True)
class EventBatch:
    """Complete events that arrived together.

    Parameters
    ----------
    content : bytes
        The events as received, to be forwarded unchanged.
    data : list of bytes
        Payload of each event except the end marker.
    done : bool
        Whether the end marker was among them.
    """

    content: bytes
    data: list[bytes]
    done: bool


class EventReader:
    """Splits the stream of one request into events and validates their ids and indexes.

    Parameters
    ----------
    request_id : str
        The only request whose events are accepted.
    next_index : int
        Index of the first event expected.
    max_bytes : float
        Longest stream that is accepted, in bytes.
    """

    def __init__(
        self, request_id: str, *, next_index: int = 0, max_bytes: float = float("inf")
    ) -> None:
        self._bytes_left = max_bytes
        self._id_prefix = f"id: {request_id}:".encode()
        self._partial_event = bytearray()
        self.next_index = next_index
        self.done = False

    def feed(self, chunk: bytes) -> EventBatch:
        """Return the events that `chunk` completes; if one of them is invalid, none is accepted.

        Raises
        ------
        BrokenStreamError
            An event belongs to another request, is missing, malformed or too long, or the
            stream is.
        """
        buffer = self._partial_event
        searched = max(0, len(buffer) - len(EVENT_SEPARATOR) + 1)
        buffer += chunk
        end = buffer.rfind(EVENT_SEPARATOR, searched)
        if end < 0:
            self._check_partial_event()
            return EventBatch(b"", [], self.done)
        content = bytes(buffer[: end + len(EVENT_SEPARATOR)])
        if len(content) > self._bytes_left:
            raise BrokenStreamError("the stream is too long for the tokens that were asked for")
        data, done, index = [], self.done, self.next_index
        for event in content[:end].split(EVENT_SEPARATOR):
            if done:
                raise BrokenStreamError("event after the end marker")
            payload = self._validate(event, index)
            index += 1
            if payload == DONE:
                done = True
            else:
                data.append(payload)
        del buffer[: len(content)]
        self._check_partial_event()
        self.next_index, self.done = index, done
        self._bytes_left -= len(content)
        return EventBatch(content, data, done)

    def discard_partial_event(self) -> None:
        """Discard an incomplete event, before the stream is resumed on another connection."""
        self._partial_event.clear()

    def _check_partial_event(self) -> None:
        """Raise if the event that has not ended is too long."""
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise BrokenStreamError(f"event is longer than {MAX_EVENT_BYTES} bytes")

    def _validate(self, event: bytes, expected: int) -> bytes:
        """Return the payload of an event that has the expected index, or raise."""
        head, separator, data = event.partition(b"\n")
        if not head.startswith(self._id_prefix) or not separator:
            raise BrokenStreamError(f"event without an id that starts with {self._id_prefix!r}")
        index = head[len(self._id_prefix) :]
        if index != b"%d" % expected:
            raise BrokenStreamError(f"event has index {index[:20]!r}, expected {expected}")
        if not data.startswith(DATA_PREFIX):
            raise BrokenStreamError(f"event {expected} has no data line")
        return data[len(DATA_PREFIX) :]


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: Unsigned = 0
    completion_tokens: Unsigned = 0


class CompletionChunk(msgspec.Struct):
    """Payload of one event, reduced to the fields that are used."""

    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: _Usage | None = None

    @property
    def text(self) -> str:
        """Text of the first choice."""
        return self.choices[0].delta.content if self.choices else ""

    @property
    def finish_reason(self) -> str | None:
        """Reason why the completion ended; None except in the last chunk."""
        return self.choices[0].finish_reason if self.choices else None


_decoder = msgspec.json.Decoder(CompletionChunk)


def decode_chunk(payload: bytes) -> CompletionChunk:
    """Decode the payload of an event.

    Raises
    ------
    BrokenStreamError
        The payload is not a valid chunk.
    """
    try:
        return decode(payload, _decoder)
    except DecodingError as error:
        raise BrokenStreamError(f"event payload is malformed: {error}") from error


def extract_tokens(payloads: list[bytes]) -> list[str]:
    """Return the non-empty token texts of event payloads."""
    return [text for payload in payloads if (text := decode_chunk(payload).text)]


def extract_usage(payload: bytes) -> TokenUsage:
    """Return the token usage in the payload of the last event; zeros if it has none."""
    usage = decode_chunk(payload).usage
    if usage is None:
        return TokenUsage()
    return TokenUsage(usage.prompt_tokens, usage.completion_tokens)
