"""A time of day that a few jumping clocks do not move."""

import statistics

MAX_CLOCK_AGE_SECONDS = (
    3.0  # a peer's clock may have jumped since; peers are heard several times a second
)


class AgreedTime:
    """The wall clock of this host, corrected by the median of all hosts' clocks."""

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def record_peer_clock(self, peer: str, peer_wall: float, *, wall: float, now: float) -> None:
        """Take note of a peer's wall clock, just received.

        Parameters
        ----------
        peer : str
            Host.
        peer_wall, wall : float
            Its wall clock and this host's, in seconds since 1970.
        now : float
            Boot clock in seconds.
        """
        self._offsets[peer] = (now, peer_wall - wall)

    def estimate(self, *, wall: float, now: float) -> float:
        """Return the agreed seconds since 1970."""
        offsets = [
            ahead
            for heard_at, ahead in self._offsets.values()
            if now - heard_at < MAX_CLOCK_AGE_SECONDS
        ]
        return wall + statistics.median([0.0, *offsets])
