"""Split a server-sent event stream into events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from samphirehall.core.decoding import parse_unsigned

MAX_EVENT_BYTES = 256 * 1024  # bounds the buffer of each stream for an event without an end

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4  # length of the longest end of an event
_LINE_ENDS = re.compile(rb"[\r\n]*")
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Event:
    """One whole server-sent event.

    Parameters
    ----------
    number : int or None
        Value of its id field; None without one, or if it is no number of 63 bits.
    data : bytes
        All bytes, including blank lines before it and the one at its end.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Splits a byte stream into whole events, each byte being searched a fixed number of times.

    Blank lines without anything before them are no event. They belong to the next one.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._content_start = 0  # leading bytes that are known to be ends of lines
        self._searched = 0  # leading bytes that are known to hold no end of an event

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last whole event."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> Iterator[Event]:
        """Append bytes and yield the events that they complete; all must be taken.

        Raises
        ------
        ValueError
            An unfinished event, or a run of blank lines, is longer than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        start = 0
        while (end := self._find_end()) is not None:
            with memoryview(self._buffer) as view:
                event_bytes = bytes(view[start:end])
            event_id = _EVENT_ID.search(event_bytes)
            yield Event(parse_unsigned(event_id[1]) if event_id else None, event_bytes)
            start = self._content_start = self._searched = end
        del self._buffer[:start]
        self._content_start -= start
        self._searched -= start
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"unfinished event over {MAX_EVENT_BYTES} bytes")

    def _find_end(self) -> int | None:
        """Return the end of the first event that was not yielded, or None if it is unfinished."""
        line_ends = _LINE_ENDS.match(self._buffer, self._content_start)
        assert line_ends is not None
        self._content_start = line_ends.end()
        first = max(self._content_start, self._searched - _EVENT_END_BYTES + 1)
        match = _EVENT_END.search(self._buffer, first)
        self._searched = len(self._buffer) if match is None else match.end()
        return None if match is None else match.end()
