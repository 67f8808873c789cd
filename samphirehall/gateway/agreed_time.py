"""Wall-clock time that tolerates clock jumps on a minority of hosts."""

import statistics

# Older offsets may predate a clock jump; peers send several updates a second.
MAX_CLOCK_AGE_SECONDS = 3.0


class AgreedTime:
    """The wall clock of this host, corrected by the median of all hosts' clocks."""

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

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
        offsets = [
            offset
            for received_at, offset in self._offsets.values()
            if now - received_at < MAX_CLOCK_AGE_SECONDS
        ]
        return wall + statistics.median([0.0, *offsets])
