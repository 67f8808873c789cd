"""Poll intervals of lease candidates.

They are jittered and grow with the rank of a candidate, so that candidates do not
poll in step or overload the store.
"""

import random
from collections.abc import Iterable

from samphirehall.core.rendezvous import ranked

MAX_POLL_INTERVAL_SECONDS = 30.0
POLL_JITTER_FRACTION = 0.1


def candidate_rank(host: str, hosts: Iterable[str], scope: str) -> int:
    """Return the rank of `host` among the candidates of a scope, starting at 0."""
    return ranked({host, *hosts}, scope).index(host)


def poll_interval(rank: int, renewal_interval: float, *, random_source: random.Random) -> float:
    """Return the seconds until a candidate reads the lease rows again.

    Parameters
    ----------
    rank : int
        Rank among the candidates. The first candidate polls about as often as the
        holder renews; the interval grows in proportion to the rank.
    renewal_interval : float
        Seconds between two renewals of the holder.
    random_source : random.Random
        Source of the jitter, which spreads candidates of the same rank.
    """
    interval = min(renewal_interval * (rank + 1), MAX_POLL_INTERVAL_SECONDS)
    return interval * random_source.uniform(1 - POLL_JITTER_FRACTION, 1 + POLL_JITTER_FRACTION)


def initial_poll_delay(
    rank: int, renewal_interval: float, *, random_source: random.Random
) -> float:
    """Return the seconds until a new process first reads the rows; 0 for the first candidate."""
    max_delay = min(renewal_interval * rank, MAX_POLL_INTERVAL_SECONDS)
    return random_source.uniform(0.0, max_delay)
