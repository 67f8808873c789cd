"""One connected peer: what it said last, and what waits to be sent to it."""

from collections import deque
from dataclasses import dataclass

import anyio

from samphirehall.core.frames import FrameStream
from samphirehall.core.types import EndpointInfo
from samphirehall.membership.handshake import Opened
from samphirehall.membership.messages import (
    Acknowledged,
    Beat,
    Change,
    EndpointsChange,
    Held,
    Wanted,
)
from samphirehall.membership.outbox import Outbox
from samphirehall.membership.transfer import ChangeAssembly
from samphirehall.membership.wire import Outgoing

TENTHS = 10
LEAST_PATIENCE_SECONDS = 1.0
LAST_CHANCE_SECONDS = 0.25
HEARD_FACTOR = 3.0
Queued = Change | EndpointsChange | Held | Wanted


class SilentPeerError(Exception):
    """The peer is connected but does not answer."""


@dataclass(slots=True, frozen=True)
class Unacknowledged:
    """Urgent facts that a peer has not acknowledged.

    Parameters
    ----------
    number : int
        Number of the message that carried them.
    sent_at : float
        Boot clock in seconds.
    items : tuple of Outgoing
        The facts, to be sent again on a new connection.
    """

    number: int
    sent_at: float
    items: tuple[Outgoing, ...]


class Peer:
    """State of one open connection to another host.

    Parameters
    ----------
    opened : Opened
        Who is at the other end.
    frames : FrameStream
        The connection.
    patience : float
        Seconds of silence allowed until the peer names its own.
    acknowledge_seconds : float
        Seconds within which urgent facts are to be acknowledged.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        opened: Opened,
        frames: FrameStream,
        *,
        patience: float,
        acknowledge_seconds: float,
        now: float,
    ) -> None:
        self.identity = opened.peer
        self.dialler = opened.dialler
        self.frames = frames
        self.outbox = Outbox()
        self.queue: deque[Queued] = deque()
        self.patience = patience
        self.connected_at = now
        self.last_heard = now
        self.beat: Beat | None = None
        self.beat_due = now
        self.is_compared = False
        self.mismatches = 0
        self.bulk_granted = False
        self.granted_at = 0.0
        self.assembly = ChangeAssembly()
        self.sent_endpoints: dict[str, EndpointInfo] = {}
        self.endpoints_told: dict[str, EndpointInfo] | None = None
        self.received_endpoints: dict[str, EndpointInfo] = {}
        self.scope = anyio.CancelScope()
        self._acknowledge_seconds = acknowledge_seconds
        self._is_silent = False
        self._last_chance: float | None = None
        self._acknowledge = 0
        self._next_number = 1
        self._unacknowledged: deque[Unacknowledged] = deque()
        self._work = anyio.Event()

    @property
    def host(self) -> str:
        """Name of the peer."""
        return self.identity.host

    @property
    def zone(self) -> str:
        """Availability zone of the peer."""
        return self.identity.zone

    @property
    def version(self) -> int:
        """Configuration version in force on the peer, as far as it said."""
        return self.beat.version if self.beat else 0

    def wake(self) -> None:
        """Let the writing task look for work."""
        self._work.set()

    async def wait_for_work(self) -> None:
        """Wait until there may be work."""
        await self._work.wait()
        self._work = anyio.Event()

    def tick(self, now: float) -> None:
        """Wake the writing task if it is due, or if the peer has been silent for too long."""
        if now - self.last_heard > max(self.patience, LEAST_PATIENCE_SECONDS):
            self._is_silent = True
            self.wake()
        elif self._next_deadline() <= now:
            self.wake()

    def push(self, item: Outgoing) -> None:
        """Let a fact wait to be sent."""
        self.outbox.push(item)
        if self.outbox.has_urgent:
            self.wake()

    def enqueue(self, message: Queued) -> None:
        """Let a message wait to be sent."""
        self.queue.append(message)
        self.wake()

    def note_received(self, number: int) -> None:
        """Remember to acknowledge facts."""
        if number:
            self._acknowledge = number
            self.wake()

    def take_acknowledgement(self) -> Acknowledged | None:
        """Return the acknowledgement that waits, if any."""
        if not self._acknowledge:
            return None
        message = Acknowledged(self._acknowledge)
        self._acknowledge = 0
        return message

    def number_sent(self, items: list[Outgoing], *, now: float) -> int:
        """Return the number of a message with urgent facts, and expect its acknowledgement."""
        number = self._next_number
        self._next_number += 1
        self._unacknowledged.append(Unacknowledged(number, now, tuple(items)))
        return number

    def take_acknowledged(self, number: int) -> None:
        """Forget facts that have arrived."""
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            self._unacknowledged.popleft()

    def unacknowledged(self) -> list[Outgoing]:
        """Return the urgent facts that may not have arrived."""
        return [item for sent in self._unacknowledged for item in sent.items]

    def check_answers(self, now: float) -> None:
        """Check that the peer still talks and that acknowledgements are not overdue.

        A connection over which something came since then is given longer. The
        first time that one is overdue the reading task gets another moment,
        for this process itself may have been held up.

        Raises
        ------
        SilentPeerError
            The connection has gone silent.
        """
        if self._is_silent:
            raise SilentPeerError(
                f"nothing came from {self.host} for {now - self.last_heard:.1f} s"
            )
        if not self._unacknowledged or now < self._acknowledgement_due():
            self._last_chance = None
        elif self._last_chance is None:
            self._last_chance = now + LAST_CHANCE_SECONDS
        elif now >= self._last_chance:
            raise SilentPeerError(f"{self.host} did not acknowledge urgent facts")

    def _next_deadline(self) -> float:
        if not self._unacknowledged:
            return self.beat_due
        due = self._last_chance or self._acknowledgement_due()
        return min(self.beat_due, due)

    def _acknowledgement_due(self) -> float:
        sent_at = self._unacknowledged[0].sent_at
        heard_since = self.last_heard > sent_at
        return sent_at + self._acknowledge_seconds * (HEARD_FACTOR if heard_since else 1.0)
