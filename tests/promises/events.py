"""Events of one run, in the order of one clock, and their file of JSON lines.

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
    """Something that happened at a time."""

    at: float


class CallEnded(Event):
    """A caller's call and its answer.

    `at` is the end of the call and `last_token` the arrival of its last token.
    `error` names the transport error, if the answer did not arrive as HTTP says;
    `expected` is the answer that the request should have, empty if that is not
    known before. `ended` says that a good answer came with its end marker.
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
    """A request whose whole body an endpoint received."""

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
    """An operator was told that a version is accepted."""

    version: int
    author: str


class ConfigurationSeen(Event):
    """A host said which version it has in force."""

    host: str
    version: int


class KeyWithdrawn(Event):
    """A configuration without this key was accepted."""

    key: str


class EndpointLeaving(Event):
    """The platform began to list an endpoint as leaving."""

    endpoint: str


class StopBegun(Event):
    """A process was told to stop."""

    process: str


class StopEnded(Event):
    """A process told to stop has ended."""

    process: str
    status: int | None


class FaultBegun(Event):
    """A fault was brought about; it lasts until `until`."""

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
    """Events of one run; threads may append."""

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self._events = list(events)
        self._lock = threading.Lock()

    def append(self, event: Event) -> None:
        """Add an event."""
        with self._lock:
            self._events.append(event)

    def of(self, event_type: type[E]) -> list[E]:
        """Return the events of a type, ordered by time."""
        with self._lock:
            found = [event for event in self._events if isinstance(event, event_type)]
        return sorted(found, key=lambda event: event.at)

    def write(self, path: Path) -> None:
        """Write all events as JSON lines, ordered by time."""
        lines = [msgspec.json.encode(event) for event in self.of(Event)]
        path.write_bytes(b"\n".join(lines) + b"\n")

    @classmethod
    def read(cls, path: Path) -> "History":
        """Return the history in a file."""
        lines = path.read_bytes().splitlines()
        return cls(msgspec.json.decode(line, type=AnyEvent) for line in lines)
