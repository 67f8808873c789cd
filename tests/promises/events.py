"""Events of one run, ordered by one clock, and their storage as JSON lines.

All times are seconds on the machine's boot clock, which every process of a
run shares.
"""

import threading
from collections.abc import Iterable
from pathlib import Path
from typing import TypeVar

import msgspec

from samphirehall.core.results import RunState


class Event(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Base of all events; `at` is the time of the event."""

    at: float


class CallEnded(Event):
    """A call of a caller and its answer.

    `at` is the end of the call and `last_token` the arrival of its last token.
    `error` names the transport error, if no complete HTTP response arrived;
    `expected` is the correct answer, empty if it is not known in advance.
    `ended` is set if a successful answer came with its end marker.
    `customer` is empty for a key that was never issued.
    """

    started: float
    kind: str
    host: str
    customer: str
    key: str
    marker: str
    idempotency_key: str = ""
    request_id: str = ""
    status: int = 0
    result: int = 0
    run: str = ""
    endpoint: str = ""
    expected: str = ""
    received: str = ""
    last_token: float = 0.0
    ended: bool = False
    error: str = ""

    @property
    def says_not_run(self) -> bool:
        """Whether the answer says that the request did not run."""
        return self.run == RunState.NOT_RUN


class EndpointCalled(Event):
    """An endpoint received a request with its whole body."""

    endpoint: str
    request_id: str
    path: str
    body: str
    key_seen: bool


class EngineOrdered(Event):
    """An order that an engine received; `settled` is when it was carried out."""

    endpoint: str
    order_id: str
    fencing: int
    accepted: bool
    checks_fencing: bool
    settled: float


class PlatformOrdered(Event):
    """An order for endpoints that the platform received."""

    order_id: str
    fencing: int
    holder: str
    accepted: bool


class UsageReported(Event):
    """A usage report that the platform received; `figures` is canonical JSON."""

    window: int
    customer: str
    figures: str
    fencing: int
    holder: str


class ConfigurationAccepted(Event):
    """A configuration version was accepted, as answered to an operator."""

    version: int
    author: str


class ConfigurationSeen(Event):
    """A host reported the configuration version it has in force."""

    host: str
    version: int


class KeyWithdrawn(Event):
    """A configuration without this key was accepted."""

    key: str


class EndpointLeaving(Event):
    """The platform began to list an endpoint as leaving."""

    endpoint: str


class StopBegun(Event):
    """A process was signalled to stop."""

    process: str


class StopEnded(Event):
    """A process that was signalled to stop has ended."""

    process: str
    status: int | None


class FaultBegun(Event):
    """A fault was injected; its effects may last until `until`."""

    action: str
    target: str
    until: float


AnyEvent = (
    CallEnded
    | EndpointCalled
    | EngineOrdered
    | PlatformOrdered
    | UsageReported
    | ConfigurationAccepted
    | ConfigurationSeen
    | KeyWithdrawn
    | EndpointLeaving
    | StopBegun
    | StopEnded
    | FaultBegun
)
E = TypeVar("E", bound=Event)


class History:
    """Holds the events of one run; appending is thread-safe."""

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self._events = list(events)
        self._lock = threading.Lock()

    def append(self, event: Event) -> None:
        """Add an event."""
        with self._lock:
            self._events.append(event)

    def events_of_type(self, event_type: type[E]) -> list[E]:
        """Return the events of a type, ordered by time."""
        with self._lock:
            events = [event for event in self._events if isinstance(event, event_type)]
        return sorted(events, key=lambda event: event.at)

    def write(self, path: Path) -> None:
        """Write all events as JSON lines, ordered by time."""
        lines = [msgspec.json.encode(event) for event in self.events_of_type(Event)]
        path.write_bytes(b"\n".join(lines) + b"\n")

    @classmethod
    def read(cls, path: Path) -> "History":
        """Return the history in a file."""
        lines = path.read_bytes().splitlines()
        return cls(msgspec.json.decode(line, type=AnyEvent) for line in lines)
