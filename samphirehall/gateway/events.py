"""Events of a stream, cut at their ends."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024  # an event that never ends is no event

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Event:
    """One whole event.

    Parameters
    ----------
    number : int or None
        Its id.
    data : bytes
        All of its bytes with the blank line that ends it.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Cuts bytes into whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole with these bytes.

        Raises
        ------
        ValueError
            An event is longer than allowed.
        """
        buffer = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(buffer):
            piece = buffer[start : match.end()]
            found = _ID.search(piece)
            events.append(Event(int(found[1]) if found else None, piece))
            start = match.end()
        self._rest = buffer[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"event over {MAX_EVENT_BYTES} bytes")
        return events
