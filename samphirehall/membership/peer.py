"""One connected peer: what it said last, and what waits to be sent to it."""

from collections import deque
from dataclasses import dataclass

import anyio

from samphirehall.core.frames import FrameStream
from samphirehall.core.types import EndpointInfo
from samphirehall.membership.handshake import HandshakeResult
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
from samphirehall.membership.wire import OutgoingFact

TENTHS_PER_SECOND = 10
MIN_SILENCE_TIMEOUT_SECONDS = 1.0
OVERDUE_GRACE_SECONDS = 0.25
ACTIVE_PEER_TIMEOUT_FACTOR = 3.0
QueuedMessage = Change | EndpointsChange | Held | Wanted


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
    items: tuple[OutgoingFact, ...]


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
        handshake: HandshakeResult,
        frames: FrameStream,
        *,
        silence_timeout: float,
        acknowledge_seconds: float,
        now: float,
    ) -> None:
        self.identity = handshake.peer
        self.dialler = handshake.dialler
        self.frames = frames
        self.outbox = Outbox()
        self.message_queue: deque[QueuedMessage] = deque()
        self.silence_timeout = silence_timeout
        self.connected_at = now
        self.last_seen = now
        self.heartbeat: Beat | None = None
        self.heartbeat_due_at = now
        self.has_been_compared = False
        self.mismatches = 0
        self.may_send_bulk = False
        self.bulk_granted_at = 0.0
        self.change_assembly = ChangeAssembly()
        self.sent_endpoints: dict[str, EndpointInfo] = {}
        self.fully_sent_endpoints: dict[str, EndpointInfo] | None = None
        self.received_endpoints: dict[str, EndpointInfo] = {}
        self.cancel_scope = anyio.CancelScope()
        self._acknowledge_seconds = acknowledge_seconds
        self._is_silent = False
        self._grace_until: float | None = None
        self._pending_acknowledgement = 0
        self._next_number = 1
        self._unacknowledged: deque[Unacknowledged] = deque()
        self._work_available = anyio.Event()

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
        return self.heartbeat.version if self.heartbeat else 0

    def wake(self) -> None:
        """Let the writing task look for work."""
        self._work_available.set()

    async def wait_for_work(self) -> None:
        """Wait until there may be work."""
        await self._work_available.wait()
        self._work_available = anyio.Event()

    def wake_if_due(self, now: float) -> None:
        """Wake the writing task if it is due, or if the peer has been silent for too long."""
        if now - self.last_seen > max(self.silence_timeout, MIN_SILENCE_TIMEOUT_SECONDS):
            self._is_silent = True
            self.wake()
        elif self._next_deadline() <= now:
            self.wake()

    def push(self, item: OutgoingFact) -> None:
        """Let a fact wait to be sent."""
        self.outbox.push(item)
        if self.outbox.has_urgent:
            self.wake()

    def enqueue(self, message: QueuedMessage) -> None:
        """Let a message wait to be sent."""
        self.message_queue.append(message)
        self.wake()

    def record_received(self, number: int) -> None:
        """Remember to acknowledge facts."""
        if number:
            self._pending_acknowledgement = number
            self.wake()

    def pop_acknowledgement(self) -> Acknowledged | None:
        """Return the acknowledgement that waits, if any."""
        if not self._pending_acknowledgement:
            return None
        message = Acknowledged(self._pending_acknowledgement)
        self._pending_acknowledgement = 0
        return message

    def record_sent(self, items: list[OutgoingFact], *, now: float) -> int:
        """Return the number of a message with urgent facts, and expect its acknowledgement."""
        number = self._next_number
        self._next_number += 1
        self._unacknowledged.append(Unacknowledged(number, now, tuple(items)))
        return number

    def receive_acknowledgement(self, number: int) -> None:
        """Forget facts that have arrived."""
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            self._unacknowledged.popleft()

    def unacknowledged(self) -> list[OutgoingFact]:
        """Return the urgent facts that may not have arrived."""
        return [item for sent in self._unacknowledged for item in sent.items]

    def check_responsive(self, now: float) -> None:
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
            raise SilentPeerError(f"nothing came from {self.host} for {now - self.last_seen:.1f} s")
        if not self._unacknowledged or now < self._acknowledgement_due():
            self._grace_until = None
        elif self._grace_until is None:
            self._grace_until = now + OVERDUE_GRACE_SECONDS
        elif now >= self._grace_until:
            raise SilentPeerError(f"{self.host} did not acknowledge urgent facts")

    def _next_deadline(self) -> float:
        if not self._unacknowledged:
            return self.heartbeat_due_at
        due = self._grace_until or self._acknowledgement_due()
        return min(self.heartbeat_due_at, due)

    def _acknowledgement_due(self) -> float:
        sent_at = self._unacknowledged[0].sent_at
        received_since = self.last_seen > sent_at
        return sent_at + self._acknowledge_seconds * (
            ACTIVE_PEER_TIMEOUT_FACTOR if received_since else 1.0
        )
