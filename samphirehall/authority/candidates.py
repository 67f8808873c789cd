"""How often a candidate looks at a lease, so that candidates neither herd nor load the store."""

import random
from collections.abc import Iterable

from samphirehall.core.rendezvous import ranked

LONGEST_POLL_SECONDS = 30.0
JITTER = 0.1


def candidate_rank(host: str, hosts: Iterable[str], scope: str) -> int:
    """Return the place of `host` among the candidates of a scope; 0 is the first."""
    return ranked({host, *hosts}, scope).index(host)


def poll_seconds(rank: int, renewal_interval: float, *, random_source: random.Random) -> float:
    """Return the seconds until a candidate looks at the lease again.

    Parameters
    ----------
    rank : int
        Place among the candidates; the first ones look about as often as the
        holder renews, the others more and more rarely.
    renewal_interval : float
        Seconds between two renewals of the holder.
    random_source : random.Random
        Spreads candidates of the same rank.
    """
    seconds = min(renewal_interval * (rank + 1), LONGEST_POLL_SECONDS)
    return seconds * random_source.uniform(1 - JITTER, 1 + JITTER)


def first_poll_seconds(
    rank: int, renewal_interval: float, *, random_source: random.Random
) -> float:
    """Return the seconds until a new process first looks; none for the first candidate."""
    longest = min(renewal_interval * rank, LONGEST_POLL_SECONDS)
    return random_source.uniform(0.0, longest)
