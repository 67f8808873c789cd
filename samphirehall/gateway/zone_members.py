"""What a hub knows of the hosts of its zone."""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.decoding import Address
from samphirehall.gateway.zone_messages import MemberUpdate

MEMBER_TIMEOUT_SECONDS = 6.0  # usage counts of a host cut off for less are waited for
NO_WINDOW = -1


@dataclass(slots=True)
class Member:
    """Latest update of one host.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port.
    process : str
        Incarnation of its process.
    sequence : int
        Number of the update, to be acknowledged.
    seen_at : float
        Boot clock in seconds of its arrival.
    closed_window : int
        Latest usage window that the host has closed.
    """

    address: Address
    process: str
    sequence: int = 0
    seen_at: float = float("-inf")
    closed_window: int = NO_WINDOW


class ZoneMembers:
    """The hosts that send their updates to this hub."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._lost: dict[str, float] = {}

    def clear(self) -> None:
        """Forget all members."""
        self._members.clear()

    def record(self, update: MemberUpdate, address: Address, *, now: float) -> bool:
        """Record an update; return False if a later one of the same process has arrived before."""
        member = self._members.get(update.host)
        if member is None or member.process != update.process:
            member = self._members[update.host] = Member(address, update.process)
        elif update.sequence <= member.sequence:
            return False
        member.address, member.sequence, member.seen_at = address, update.sequence, now
        closed = [window for window, (is_closed, _) in update.usage.items() if is_closed]
        member.closed_window = max([member.closed_window, *closed])
        return True

    def live(self, *, now: float) -> dict[str, Member]:
        """Return the members heard within `MEMBER_TIMEOUT_SECONDS` by name."""
        return {
            name: member
            for name, member in self._members.items()
            if now - member.seen_at < MEMBER_TIMEOUT_SECONDS
        }

    def remove_silent(self, *, now: float) -> list[tuple[str, float]]:
        """Remove members that are no longer live; return their names and silence in seconds."""
        live = self.live(now=now)
        silent = [
            (name, now - member.seen_at)
            for name, member in self._members.items()
            if name not in live
        ]
        for name, _ in silent:
            self._lost[name] = self._members.pop(name).seen_at
        return silent

    def regained(self, name: str, *, now: float) -> float | None:
        """Return how long a member had been silent that is heard again; None for any other."""
        seen_at = self._lost.pop(name, None)
        return None if seen_at is None else now - seen_at

    def closed_window(self, own: int, *, now: float) -> int:
        """Return the latest usage window that this host and all live members have closed.

        Parameters
        ----------
        own : int
            Latest window that this host has closed.
        now : float
            Boot clock in seconds.
        """
        return min([own, *(member.closed_window for member in self.live(now=now).values())])


def names_by_address(members: Iterable[tuple[str, Member]]) -> list[tuple[str, str]]:
    """Return names and addresses of members for a datagram."""
    return [(name, f"{member.address[0]}:{member.address[1]}") for name, member in members]
