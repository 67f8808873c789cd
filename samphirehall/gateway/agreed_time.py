"""Wall-clock time that tolerates clock jumps on a minority of hosts."""

import statistics

# Older offsets may predate a clock jump; peers send several updates a second.
MAX_CLOCK_AGE_SECONDS = 3.0


class AgreedTime:
    """The wall clock of this host, corrected by the median of all hosts' clocks.

    A hub takes the median of the clocks of its members and of the times that other hubs
    agreed on; its members follow the result.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}
        self._followed: tuple[float, float] | None = None

    def follow(self, agreed: float, *, wall: float, now: float) -> None:
        """Follow a time that other hosts agreed on.

        Parameters
        ----------
        agreed, wall : float
            Agreed time just received, and wall clock of this host, in seconds since 1970.
        now : float
            Boot clock in seconds.
        """
        self._followed = (now, agreed - wall)

    def stop_following(self) -> None:
        """Use the median of the clocks received by this host again."""
        self._followed = None

    def record_peer_clock(self, peer: str, peer_wall: float, *, wall: float, now: float) -> None:
        """Record the offset of a peer's wall clock from an update just received.

        Parameters
        ----------
        peer : str
            Name of the peer host.
        peer_wall, wall : float
            Wall clocks of the peer and of this host, in seconds since 1970.
        now : float
            Boot clock in seconds.
        """
        self._offsets[peer] = (now, peer_wall - wall)

    def estimate(self, *, wall: float, now: float) -> float:
        """Return the corrected wall-clock time in seconds since 1970."""
        if self._followed is not None and now - self._followed[0] < MAX_CLOCK_AGE_SECONDS:
            return wall + self._followed[1]
        offsets = [
            offset
            for received_at, offset in self._offsets.values()
            if now - received_at < MAX_CLOCK_AGE_SECONDS
        ]
        return wall + statistics.median([0.0, *offsets])
