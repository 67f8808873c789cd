"""Limits of one listener on its connections: how many, and the bytes that they hold together.

The defaults come from the limits of the process. Clients that send one request after the other
and read their responses meet none of them before the process itself runs out.
"""

import contextlib
import enum
import logging
import os
import resource
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple, Protocol

from samphirehall.core.log import RejectionLog

CONNECTION_SHARE = 0.75  # of the descriptors; the others are for endpoints, store and hosts
# An eighth let 300 clients with unfinished heads or bodies take 140 MB of 512 MB, as a body is
# copied while it is read and a header has more objects than the estimate.
MEMORY_SHARE = 1 / 16
MIN_BUFFERED_BYTES = 32 * 2**20  # two bodies of the longest default length
MAX_CONNECTIONS = 65_536  # where descriptors are unlimited
AHEAD_WEIGHT = 64  # a read of 256 KB that was sent ahead goes before a body of 16 MB
HEADER_BYTES = 200  # of Python objects for a header of a few characters
MAX_CHECKED_UNUSED = 8  # connections that are asked for an unread request before one is closed
CGROUP_LIMITS = ("/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes")

_log = logging.getLogger(__name__)


class RefusalReason(enum.StrEnum):
    """Why a connection was refused or closed, in logs and metrics."""

    LATE_HEAD = "late-head"
    LONG_HEAD = "long-head"
    FRAMING = "framing"  # too many bytes that belong to no head and no body
    INVALID = "invalid"
    TOO_MANY = "too-many"
    UNREAD = "unread"  # closed with unread responses and requests behind them, to make room
    UNUSED = "unused"  # closed before its first request, or while idle, to make room for another
    MEMORY = "memory"


ObserveRefusal = Callable[[RefusalReason], None]


class Held(NamedTuple):
    """Bytes that wait in a connection.

    Parameters
    ----------
    waiting : int
        Requests that do not run yet, whole or not, and unread responses.
    ahead : int
        Those of requests behind the running one, and of unread responses before them.
    unread : int
        Unread responses before requests that wait.
    """

    waiting: int
    ahead: int = 0
    unread: int = 0

    @property
    def cost(self) -> int:
        """Rank among the connections that may be closed; the highest is closed first."""
        return self.waiting + AHEAD_WEIGHT * self.ahead


NOTHING_HELD = Held(0)


class LimitedConnection(Protocol):
    """Connection that the limits may close."""

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes wait to be read."""

    def close_for_room(self, reason: RefusalReason) -> None:
        """Close the connection, once requests that have been read are answered."""


class ConnectionLimits:
    """Counts the connections of a listener and what they hold, and closes those over the limits.

    Parameters
    ----------
    max_connections : int
        Connections that may be open at once.
    max_buffered_bytes : callable
        Returns the bytes that may wait in all connections together.
    observe : callable
        Called with the reason of each refusal.
    closes_idle : bool
        Whether a connection that waits for a further request makes room as well. Clients may
        send on theirs at any time, and would take a request that is closed with it for lost.
    """

    def __init__(
        self,
        max_connections: int,
        max_buffered_bytes: Callable[[], int],
        observe: ObserveRefusal = lambda _: None,
        *,
        closes_idle: bool = False,
    ) -> None:
        self._closes_idle = closes_idle
        self.max_connections = max_connections
        self._observe = observe
        self._max_buffered_bytes = max_buffered_bytes
        self._held: dict[LimitedConnection, Held] = {}
        self._unused: dict[LimitedConnection, None] = {}
        self._total = 0
        self._rejections = RejectionLog(_log, "connection-refused")

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._held)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait in all connections."""
        return self._total

    def admit(self, connection: LimitedConnection) -> bool:
        """Count a new connection; return False if there is no room for it.

        At the limit, the connection that has waited longest for its first request makes room,
        or else one whose client sends requests ahead and does not read the responses.
        """
        is_full = len(self._held) >= self.max_connections
        if is_full and not self._close_unused() and not self._close_unread():
            return False
        self._held[connection] = NOTHING_HELD
        self._unused[connection] = None
        return True

    def mark_used(self, connection: LimitedConnection) -> None:
        """Record that a request has begun on a connection."""
        self._unused.pop(connection, None)

    def mark_idle(self, connection: LimitedConnection) -> None:
        """Record that all requests of a connection are answered."""
        if self._closes_idle and connection in self._held:
            self._unused[connection] = None

    def retire(self, connection: LimitedConnection) -> None:
        """Record that a connection is being closed, and holds nothing that waits."""
        self._unused.pop(connection, None)
        if connection in self._held:
            self._replace(connection, NOTHING_HELD)

    def remove(self, connection: LimitedConnection) -> None:
        """Count a connection no longer, as it is closed."""
        self._unused.pop(connection, None)
        held = self._held.pop(connection, None)
        if held is not None:
            self._total -= held.waiting

    def update(self, connection: LimitedConnection, held: Held) -> None:
        """Record what a connection holds, and close connections while all hold too much.

        Bytes of requests sent ahead count more than a long body, as clients that wait for each
        response hold none. A request that runs counts nothing, as admission limits these, and
        is cut off only if its response is not read.
        """
        if connection not in self._held:
            return
        self._replace(connection, held)
        while self._total > self._max_buffered_bytes():
            victim = max(self._held, key=lambda each: self._held[each].cost)
            self.retire(victim)
            victim.close_for_room(RefusalReason.MEMORY)

    def record(self, reason: RefusalReason, client: str, detail: str) -> None:
        """Count a refusal, and log it once in a while for each client."""
        self._observe(reason)
        self._rejections.record(f"{reason} {client}", detail)

    def _replace(self, connection: LimitedConnection, held: Held) -> None:
        self._total += held.waiting - self._held[connection].waiting
        self._held[connection] = held

    def _close_unused(self) -> bool:
        for connection in list(_first(self._unused, MAX_CHECKED_UNUSED)):
            if not connection.has_unread_bytes():
                self.remove(connection)  # its descriptor is closed in the next turn
                connection.close_for_room(RefusalReason.UNUSED)
                return True
        return False

    def _close_unread(self) -> bool:
        victim = max(self._held, key=lambda each: self._held[each].unread, default=None)
        if victim is None or not self._held[victim].unread:
            return False
        self.remove(victim)
        victim.close_for_room(RefusalReason.UNREAD)
        return True


def _first(connections: Iterable[LimitedConnection], count: int) -> Iterable[LimitedConnection]:
    return (connection for connection, _ in zip(connections, range(count), strict=False))


def limits_of_process(
    *,
    share: float = 1.0,
    max_connections: int = 0,
    max_buffered_bytes: int = 0,
    max_body_bytes: Callable[[], int] = lambda: 0,
    observe: ObserveRefusal = lambda _: None,
    closes_idle: bool = False,
) -> ConnectionLimits:
    """Return limits that follow from the descriptors and the memory of this process.

    Parameters
    ----------
    share : float
        Share of a listener, where several have limits of their own.
    max_connections, max_buffered_bytes : int
        Limits in place of those that are derived; 0 for none.
    max_body_bytes : callable
        Returns the longest body; two of them are held at any rate.
    observe : callable
        Called with the reason of each refusal.
    closes_idle : bool
        See `ConnectionLimits`.
    """
    connections = max_connections or max(
        1, min(MAX_CONNECTIONS, int(share * CONNECTION_SHARE * descriptor_limit()))
    )
    buffered = max_buffered_bytes or max(
        int(share * MIN_BUFFERED_BYTES), int(share * MEMORY_SHARE * memory_limit())
    )
    return ConnectionLimits(
        connections,
        lambda: max(buffered, 2 * max_body_bytes()),
        observe,
        closes_idle=closes_idle,
    )


def descriptor_limit() -> int:
    """Return the number of descriptors that this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_CONNECTIONS if soft == resource.RLIM_INFINITY else soft


def memory_limit() -> int:
    """Return the bytes of memory that this process may use."""
    limits = [os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")]
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        soft, _ = resource.getrlimit(kind)
        if soft != resource.RLIM_INFINITY:
            limits.append(soft)
    for path in CGROUP_LIMITS:
        with contextlib.suppress(OSError, ValueError):  # another version, "max", or no cgroup
            limits.append(int(Path(path).read_text()))
    return min(limits)
