"""Until when the endpoint list of a host holds all endpoints that any host knows.

Nothing here waits or sends. A host that reads the store knows it from the feed. A hub also knows
it from the other zones and its members: what they knew when they were last heard, it knows too.
All other hosts are told by their hub. What a host handles after it stood still may be as old as
that took, so its age counts from before, as does the time on the way.
"""

TRANSIT_SECONDS = 0.12  # of a datagram between two hosts, at most
MAX_TICK_SECONDS = 0.3  # between two ticks of a process that does not stand still
SETTLE_SECONDS = 0.25  # in which a process handles what arrived while it stood still


class StandstillMeter:
    """Tells how old what is handled now may be, as this process may have stood still."""

    __slots__ = ("_delay", "_delayed_until", "_longest_gap", "_ticked_at")

    def __init__(self, *, now: float) -> None:
        self._ticked_at = now
        self._delay = 0.0
        self._delayed_until = now
        self._longest_gap = 0.0

    def tick(self, *, now: float) -> None:
        """Record that the process runs; called periodically, and more often than is measured."""
        gap = now - self._ticked_at
        self._longest_gap = max(self._longest_gap, gap)
        if gap > MAX_TICK_SECONDS:
            self._delay = gap + (self._delay if now < self._delayed_until else 0.0)
            self._delayed_until = now + SETTLE_SECONDS
        self._ticked_at = now

    def take_longest_gap(self) -> float:
        """Return the longest time in seconds between two ticks since the last call."""
        longest, self._longest_gap = self._longest_gap, 0.0
        return longest

    def delay(self, *, now: float) -> float:
        """Return the seconds since what is handled now may have been sent."""
        gap = now - self._ticked_at
        waited = gap if gap > MAX_TICK_SECONDS else 0.0
        return TRANSIT_SECONDS + waited + (self._delay if now < self._delayed_until else 0.0)


class ListKnowledge:
    """Until when the endpoint list of this host holds all endpoints that any host knows."""

    def __init__(self) -> None:
        self._told_until = float("-inf")
        self._agreed_at: dict[str, float] = {}

    def record_told(self, until: float) -> None:
        """Record until when another host, whose list is not newer, knew that its list is whole."""
        self._told_until = max(self._told_until, until)

    def record_agreement(self, source: str, at: float) -> None:
        """Record when another zone or host knew nothing of the list that this host does not."""
        self._agreed_at[source] = max(at, self._agreed_at.get(source, at))

    def complete_until(self, read_until: float, sources: frozenset[str] | None) -> float:
        """Return until when the list of this host holds all that any host knows.

        Parameters
        ----------
        read_until : float
            Until when this host knows it from the store; minus infinity if it does not read it.
        sources : frozenset of str or None
            Zones and hosts that may know more, at a hub that hears all of them; else None.
        """
        known = max(self._told_until, read_until)
        if not sources:
            return known
        agreed = min(self._agreed_at.get(source, float("-inf")) for source in sources)
        return max(known, agreed)
