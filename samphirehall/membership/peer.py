"""State of one connected peer: its last heartbeat and the messages queued for it."""

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
    """The peer is connected but stopped answering."""


@dataclass(slots=True, frozen=True)
class Unacknowledged:
    """Urgent facts that a peer has not acknowledged.

    Parameters
    ----------
    number : int
        Number of the message that carried them.
    sent_at : float
        Boot clock in seconds.
    items : tuple of OutgoingFact
        The facts, to be sent again on a new connection.
    """

    number: int
    sent_at: float
    items: tuple[OutgoingFact, ...]


class Peer:
    """State of one open connection to another host.

    Parameters
    ----------
    handshake : HandshakeResult
        Identity of the other end, and which end dialled.
    frames : FrameStream
        The connection.
    silence_timeout : float
        Seconds without a message that are allowed until the first heartbeat of the
        peer states its own timeout.
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
        """Configuration version in force on the peer; 0 before its first heartbeat."""
        return self.heartbeat.version if self.heartbeat else 0

    def wake(self) -> None:
        """Wake the sending task."""
        self._work_available.set()

    async def wait_for_work(self) -> None:
        """Wait until there may be something to send."""
        await self._work_available.wait()
        self._work_available = anyio.Event()

    def wake_if_due(self, now: float) -> None:
        """Wake the sending task if a deadline passed or the peer exceeded its silence timeout."""
        if now - self.last_seen > max(self.silence_timeout, MIN_SILENCE_TIMEOUT_SECONDS):
            self._is_silent = True
            self.wake()
        elif self._next_deadline() <= now:
            self.wake()

    def push(self, item: OutgoingFact) -> None:
        """Queue a fact for sending."""
        self.outbox.push(item)
        if self.outbox.has_urgent:
            self.wake()

    def enqueue(self, message: QueuedMessage) -> None:
        """Queue a message for sending."""
        self.message_queue.append(message)
        self.wake()

    def record_received(self, number: int) -> None:
        """Schedule the acknowledgement of a message; 0 needs none."""
        if number:
            self._pending_acknowledgement = number
            self.wake()

    def pop_acknowledgement(self) -> Acknowledged | None:
        """Remove and return the pending acknowledgement, if any."""
        if not self._pending_acknowledgement:
            return None
        message = Acknowledged(self._pending_acknowledgement)
        self._pending_acknowledgement = 0
        return message

    def record_sent(self, items: list[OutgoingFact], *, now: float) -> int:
        """Record urgent facts as unacknowledged; return the number of their message."""
        number = self._next_number
        self._next_number += 1
        self._unacknowledged.append(Unacknowledged(number, now, tuple(items)))
        return number

    def receive_acknowledgement(self, number: int) -> None:
        """Remove the facts of all messages up to `number` from the unacknowledged ones."""
        while self._unacknowledged and self._unacknowledged[0].number <= number:
            self._unacknowledged.popleft()

    def unacknowledged(self) -> list[OutgoingFact]:
        """Return the urgent facts that may not have arrived."""
        return [item for sent in self._unacknowledged for item in sent.items]

    def check_responsive(self, now: float) -> None:
        """Raise if the peer is silent or its acknowledgement is overdue.

        The timeout is `ACTIVE_PEER_TIMEOUT_FACTOR` times longer if the peer sent
        anything since the facts were sent. An overdue acknowledgement gets
        `OVERDUE_GRACE_SECONDS` more, in which the receiving task can run, because
        this process itself may have been delayed.

        Raises
        ------
        SilentPeerError
            The peer stopped answering.
        """
        if self._is_silent:
            raise SilentPeerError(f"no message from {self.host} for {now - self.last_seen:.1f} s")
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
