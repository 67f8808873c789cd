"""Which configuration a host may put in force after a start.

Before the restart, this host may have had any known version in force. To avoid
going back to an older one, it puts nothing in force until the store or the
reachable peers have reported the newest version, and nothing older than that.
"""

from samphirehall.configuration.version import Configuration
from samphirehall.node.state import NodeState

PEER_ANSWER_TIMEOUT_SECONDS = 3.0


class ConfigurationGate:
    """Withholds configurations until the host knows which version is the newest.

    Parameters
    ----------
    state : NodeState
        State in which configurations are put in force.
    started_at : float
        Boot clock, in seconds, of the start of the process.
    """

    def __init__(self, state: NodeState, *, started_at: float) -> None:
        self._state = state
        self._started_at = started_at
        self._candidate: Configuration | None = None
        self._store_answered = False
        self._restored_store_answered = False
        self._peer_answered = False
        self._all_answered = False

    @property
    def is_open(self) -> bool:
        """Whether any configuration is in force."""
        return self._state.configuration.version > 0

    @property
    def newest_available(self) -> Configuration:
        """Newest configuration that this host has, in force or withheld."""
        in_force = self._state.configuration
        if self._candidate is None or self._candidate.version <= in_force.version:
            return in_force
        return self._candidate

    def offer(self, configuration: Configuration, *, now: float) -> bool:
        """Accept a configuration from the store or a peer; return whether it came into force."""
        if configuration.version <= self.newest_available.version:
            return False
        self._candidate = configuration
        self._state.record_known_version(configuration.version)
        return self._open(now)

    def record_store_answer(self, *, now: float, may_be_older: bool = False) -> bool:
        """Record that the store reported the newest version; return whether one came into force.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        may_be_older : bool
            Whether the store was restored from a copy since the version was accepted, so that
            other hosts may have a newer one; they are then waited for.
        """
        if may_be_older:
            self._restored_store_answered = True
        else:
            self._store_answered = True
        return self._open(now)

    def record_peer_answer(self, *, all_answered: bool, now: float) -> bool:
        """Record that a peer reported the versions it knows; return whether one came into force.

        Parameters
        ----------
        all_answered : bool
            Whether every known host of the zone has answered.
        now : float
            Boot clock in seconds.
        """
        self._peer_answered = True
        self._all_answered = self._all_answered or all_answered
        return self._open(now)

    def _open(self, now: float) -> bool:
        candidate = self._candidate
        has_waited = now - self._started_at > PEER_ANSWER_TIMEOUT_SECONDS
        if candidate is None or not may_put_in_force(
            candidate.version,
            is_open=self.is_open,
            highest_known_version=self._state.highest_known_version,
            store_answered=self._store_answered or (self._restored_store_answered and has_waited),
            peers_answered=self._all_answered or (self._peer_answered and has_waited),
        ):
            return False
        return self._state.put_in_force(candidate)


def may_put_in_force(
    version: int,
    *,
    is_open: bool,
    highest_known_version: int,
    store_answered: bool,
    peers_answered: bool,
) -> bool:
    """Decide whether a version may come into force on this host.

    Parameters
    ----------
    version : int
        Version of which the host has all parts.
    is_open : bool
        Whether a version is already in force in this process.
    highest_known_version : int
        Highest version known to be in force on any host or in the store.
    store_answered, peers_answered : bool
        Whether the store, or enough peers, reported the newest version.
    """
    if is_open:
        return True
    return version >= highest_known_version and (store_answered or peers_answered)
