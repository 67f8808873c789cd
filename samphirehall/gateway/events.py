"""Split a server-sent event stream into events."""

import re
from dataclasses import dataclass

from samphirehall.core.decoding import parse_unsigned

MAX_EVENT_BYTES = 256 * 1024  # bounds the buffer of each stream for an event without an end

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Event:
    """One whole server-sent event.

    Parameters
    ----------
    number : int or None
        Value of its id field; None without one, or if it is no number of 63 bits.
    data : bytes
        All bytes, including the blank line at the end.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Splits a byte stream into whole events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last whole event."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes and return the events that they complete.

        Raises
        ------
        ValueError
            An unfinished event is longer than `MAX_EVENT_BYTES`.
        """
        buffer = self._remainder + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(buffer):
            event_bytes = buffer[start : match.end()]
            event_id = _EVENT_ID.search(event_bytes)
            events.append(Event(parse_unsigned(event_id[1]) if event_id else None, event_bytes))
            start = match.end()
        self._remainder = buffer[start:]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ValueError(f"unfinished event over {MAX_EVENT_BYTES} bytes")
        return events
