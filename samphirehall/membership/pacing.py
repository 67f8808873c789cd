"""Plain decisions about times and roles of hosts."""

from collections.abc import Iterable

from samphirehall.core.rendezvous import ranked
from samphirehall.settings.tables import MeshTable

HEARTBEAT_WIRE_BYTES = 150
HEARTBEAT_BUDGET_FRACTION = 0.5
MAX_HEARTBEAT_INTERVAL_SECONDS = 8.0
FAST_POLLERS = 2
SLOW_POLLERS = 1
SLOW_POLL_FACTOR = 4.0
MAX_UNVERIFIED_SECONDS = 8.0
POLL_SUBJECT = "configuration-poller"
REPORT_SUBJECT = "zone-reporter"


def heartbeat_interval(mesh: MeshTable, *, peers: int) -> float:
    """Return the seconds between heartbeats to each of so many peers.

    Heartbeats, sent and received, with the headers of the network, take at
    most `BEAT_BUDGET_SHARE` of the byte budget while `MAX_BEAT_SECONDS` allows.
    """
    bytes_per_round = peers * 2 * HEARTBEAT_WIRE_BYTES
    budget_interval = bytes_per_round / (HEARTBEAT_BUDGET_FRACTION * mesh.byte_budget_per_second)
    return max(mesh.heartbeat_seconds, min(budget_interval, MAX_HEARTBEAT_INTERVAL_SECONDS))


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
    if rank < FAST_POLLERS:
        return base
    if rank < FAST_POLLERS + SLOW_POLLERS:
        return base * SLOW_POLL_FACTOR
    return base * SLOW_POLL_FACTOR if unverified_for > MAX_UNVERIFIED_SECONDS else None


def choose_endpoint_list_sender(live: Iterable[str]) -> str:
    """Return the host that passes the platform's endpoint list on to its zone."""
    return ranked(live, POLL_SUBJECT)[0]


def choose_zone_reporter(live: Iterable[str]) -> str:
    """Return the host that tells the other zones how its own is."""
    return ranked(live, REPORT_SUBJECT)[0]
