"""Intervals of heartbeats and polls, and roles of hosts within a zone."""

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
    """Return the seconds between heartbeats to each peer.

    Heartbeats, sent and received, with network headers, take at most
    `HEARTBEAT_BUDGET_FRACTION` of the byte budget, unless this needs an interval
    over `MAX_HEARTBEAT_INTERVAL_SECONDS`.
    """
    bytes_per_round = peers * 2 * HEARTBEAT_WIRE_BYTES
    budget_interval = bytes_per_round / (HEARTBEAT_BUDGET_FRACTION * mesh.byte_budget_per_second)
    return max(mesh.heartbeat_seconds, min(budget_interval, MAX_HEARTBEAT_INTERVAL_SECONDS))


def poll_interval(
    host: str, live_hosts: Iterable[str], *, base_interval: float, unverified_for: float
) -> float | None:
    """Return the seconds between polls of the store, or None if this host does not poll.

    Of the live hosts of a zone, `FAST_POLLERS` poll at the base interval and
    `SLOW_POLLERS` at a longer one. The other hosts poll, at the longer one, only
    while they have not been verified for `MAX_UNVERIFIED_SECONDS`.

    Parameters
    ----------
    host : str
        This host.
    live_hosts : iterable of str
        Live hosts of its zone, itself included.
    base_interval : float
        Seconds between polls of a fast poller.
    unverified_for : float
        Seconds since this host last knew that its configuration was the newest.
    """
    order = ranked(live_hosts, POLL_SUBJECT)
    rank = order.index(host)
    if rank < FAST_POLLERS:
        return base_interval
    if rank < FAST_POLLERS + SLOW_POLLERS:
        return base_interval * SLOW_POLL_FACTOR
    return base_interval * SLOW_POLL_FACTOR if unverified_for > MAX_UNVERIFIED_SECONDS else None


def choose_endpoint_list_sender(live: Iterable[str]) -> str:
    """Return the host that distributes the platform's endpoint list to its zone."""
    return ranked(live, POLL_SUBJECT)[0]


def choose_zone_reporter(live: Iterable[str]) -> str:
    """Return the host that publishes the report of its zone."""
    return ranked(live, REPORT_SUBJECT)[0]
