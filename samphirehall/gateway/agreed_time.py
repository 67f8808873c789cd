"""A time of day that a few jumping clocks do not move."""

import statistics

FRESH_S = 3.0  # a peer's clock may have jumped since; peers are heard several times a second


class AgreedTime:
    """The wall clock of this host, corrected by the median of all hosts' clocks."""

    def __init__(self) -> None:
        self._ahead: dict[str, tuple[float, float]] = {}

    def hear(self, peer: str, peer_wall: float, *, wall: float, now: float) -> None:
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
        self._ahead[peer] = (now, peer_wall - wall)

    def at(self, *, wall: float, now: float) -> float:
        """Return the agreed seconds since 1970."""
        fresh = [ahead for heard_at, ahead in self._ahead.values() if now - heard_at < FRESH_S]
        return wall + statistics.median([0.0, *fresh])
