"""Plain decisions about times and roles of hosts."""

from collections.abc import Iterable

from samphirehall.core.rendezvous import ranked
from samphirehall.settings.tables import MeshTable

BEAT_WIRE_BYTES = 150
BEAT_BUDGET_SHARE = 0.5
MAX_BEAT_SECONDS = 8.0
POLLERS = 2
SLOW_POLLERS = 1
SLOW_POLL_FACTOR = 4.0
UNVERIFIED_SECONDS = 8.0
POLL_SUBJECT = "configuration-poller"
REPORT_SUBJECT = "zone-reporter"


def beat_interval(mesh: MeshTable, *, peers: int) -> float:
    """Return the seconds between heartbeats to each of so many peers.

    Heartbeats, sent and received, with the headers of the network, take at
    most `BEAT_BUDGET_SHARE` of the byte budget while `MAX_BEAT_SECONDS` allows.
    """
    bytes_a_round = peers * 2 * BEAT_WIRE_BYTES
    kept = bytes_a_round / (BEAT_BUDGET_SHARE * mesh.byte_budget_per_second)
    return max(mesh.heartbeat_seconds, min(kept, MAX_BEAT_SECONDS))


def poll_interval(
    host: str, live: Iterable[str], *, base: float, unverified_for: float
) -> float | None:
    """Return the seconds between polls of the store, or None for a host that leaves it to others.

    Parameters
    ----------
    host : str
        This host.
    live : iterable of str
        Live hosts of its zone, itself included.
    base : float
        Seconds between polls of a poller.
    unverified_for : float
        Seconds since this host last knew that its configuration was the newest.
    """
    order = ranked(live, POLL_SUBJECT)
    rank = order.index(host)
    if rank < POLLERS:
        return base
    if rank < POLLERS + SLOW_POLLERS:
        return base * SLOW_POLL_FACTOR
    return base * SLOW_POLL_FACTOR if unverified_for > UNVERIFIED_SECONDS else None


def list_sender(live: Iterable[str]) -> str:
    """Return the host that passes the platform's endpoint list on to its zone."""
    return ranked(live, POLL_SUBJECT)[0]


def zone_reporter(live: Iterable[str]) -> str:
    """Return the host that tells the other zones how its own is."""
    return ranked(live, REPORT_SUBJECT)[0]
