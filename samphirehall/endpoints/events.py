"""Checking the events of a completion stream, a batch at a time."""

from dataclasses import dataclass

import msgspec

from samphirehall.core.types import TokenUsage
from samphirehall.endpoints.protocol import DONE

EVENT_END = b"\n\n"
DATA = b"data: "
MAX_EVENT_BYTES = 1024 * 1024


class BrokenStreamError(Exception):
    """Events are missing, foreign, malformed or stopped before the end marker."""


@dataclass(slots=True, frozen=True)
class EventBatch:
    """Whole events that arrived together.

    Parameters
    ----------
    content : bytes
        The events as received, to be sent on.
    data : list of bytes
        Payload of each event but the end marker.
    done : bool
        Whether the end marker was among them.
    """

    content: bytes
    data: list[bytes]
    done: bool


class EventReader:
    """Checks ids and indexes of one request's events.

    Parameters
    ----------
    request_id : str
        The only request whose events are accepted.
    next_index : int
        Index of the first event expected.
    """

    def __init__(self, request_id: str, *, next_index: int = 0) -> None:
        self._prefix = f"id: {request_id}:".encode()
        self._rest = b""
        self.next_index = next_index
        self.done = False

    def feed(self, chunk: bytes) -> EventBatch:
        """Return the whole events that `chunk` completes; all of them or none.

        Raises
        ------
        BrokenStreamError
            An event belongs to another request, one is missing, or one is malformed.
        """
        buffer = self._rest + chunk if self._rest else chunk
        end = buffer.rfind(EVENT_END)
        if end < 0:
            self._keep(buffer)
            return EventBatch(b"", [], self.done)
        content = buffer[: end + len(EVENT_END)]
        data, done, index = [], self.done, self.next_index
        for event in content[:end].split(EVENT_END):
            if done:
                raise BrokenStreamError("event after the end marker")
            payload = self._check(event, index)
            index += 1
            if payload == DONE:
                done = True
            else:
                data.append(payload)
        self._keep(buffer[end + len(EVENT_END) :])
        self.next_index, self.done = index, done
        return EventBatch(content, data, done)

    def restart(self) -> None:
        """Drop an incomplete event, before the stream goes on elsewhere."""
        self._rest = b""

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise BrokenStreamError(f"event over {MAX_EVENT_BYTES} bytes")
        self._rest = rest

    def _check(self, event: bytes, expected: int) -> bytes:
        head, separator, data = event.partition(b"\n")
        if not head.startswith(self._prefix) or not separator:
            raise BrokenStreamError("event of another request")
        index = head[len(self._prefix) :]
        if index != b"%d" % expected:
            raise BrokenStreamError(f"event {index[:20]!r} in place of {expected}")
        if not data.startswith(DATA):
            raise BrokenStreamError("event without data")
        return data[len(DATA) :]


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class CompletionChunk(msgspec.Struct):
    """Payload of one event; only the fields that the entry reads."""

    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: _Usage | None = None

    @property
    def text(self) -> str:
        """Text of the first choice."""
        return self.choices[0].delta.content if self.choices else ""

    @property
    def finish_reason(self) -> str | None:
        """Why the answer ended, in the last chunk."""
        return self.choices[0].finish_reason if self.choices else None


_decoder = msgspec.json.Decoder(CompletionChunk)


def decode_chunk(payload: bytes) -> CompletionChunk:
    """Return the chunk of an event's payload.

    Raises
    ------
    BrokenStreamError
        The payload is not a chunk.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise BrokenStreamError(f"malformed event: {error}") from error


def tokens_of(payloads: list[bytes]) -> list[str]:
    """Return the tokens that the events carry, empty ones left out."""
    return [text for payload in payloads if (text := decode_chunk(payload).text)]


def usage_of(payload: bytes) -> TokenUsage:
    """Return the usage that the last event carries; zeros if it has none."""
    usage = decode_chunk(payload).usage
    if usage is None:
        return TokenUsage()
    return TokenUsage(usage.prompt_tokens, usage.completion_tokens)
