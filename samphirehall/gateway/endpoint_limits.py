"""Rates that endpoints in need take from all hosts together, and the share of this host.

Answers the moment when some or most endpoints of a service take only a part of the requests
that they get, for many seconds, while hosts start and end. An endpoint's rate is divided among
hosts of its own zone, which hear each other best; all other hosts leave it alone. No host has
to ask another one before a send: with any number of hosts, the requests that they may send at
the same moment stay within a constant and the rate of one second.
"""

import logging
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass

from samphirehall.core.log import log_decision
from samphirehall.core.rendezvous import is_chosen, ranked
from samphirehall.gateway.types import ListedEndpoint

BURST_REQUESTS = 4.0  # that all hosts together may send at the same moment, whatever the rate
BURST_SECONDS = 1.0  # of the rate, which they may send beside these at the same moment
ENDED_LIMIT_LIFETIME_SECONDS = 30.0  # in which all hosts have heard that a limit ended
LIMITS_PER_DATAGRAM = 6  # a datagram must fit one packet
CHANGE_SENDS = 3  # in case a datagram is lost
NO_LIMIT = -1.0  # in a message

_log = logging.getLogger(__name__)

# Endpoint's incarnation, requests per second or `NO_LIMIT`, and seconds since it was stated.
LimitReport = tuple[str, float, float]


def host_share(
    limit: float,
    endpoint: ListedEndpoint,
    *,
    host: str,
    zone: str,
    zone_hosts: Sequence[str],
    zones: Sequence[str],
) -> tuple[float, float]:
    """Return the requests per second that one host may send, and its largest burst.

    Parameters
    ----------
    limit : float
        Requests per second that the endpoint takes from all hosts.
    endpoint : ListedEndpoint
        The endpoint.
    host, zone : str
        This host and its zone.
    zone_hosts : sequence of str
        Live hosts of this zone.
    zones : sequence of str
        Zones with live hosts.
    """
    owner = endpoint.zone
    if owner not in zones and owner != zone:
        owner = ranked({zone, *zones}, endpoint.incarnation)[0]
    if owner != zone:
        return 0.0, 0.0
    hosts = {host, *zone_hosts}
    burst = BURST_REQUESTS + BURST_SECONDS * limit
    count = min(len(hosts), int(burst))
    if not is_chosen(host, hosts, endpoint.incarnation, count=count):
        return 0.0, 0.0
    return limit / count, burst / count


@dataclass(slots=True)
class _Limit:
    """Limit of one incarnation of an endpoint, and what this host may send to it now.

    Parameters
    ----------
    rate : float or None
        Requests per second from all hosts; None once the endpoint states no limit.
    stated_at : float
        Boot clock in seconds of the latest answer to any host that states it.
    allowance : float
        Requests that this host may send at `counted_at`.
    counted_at : float
        Boot clock in seconds.
    """

    rate: float | None
    stated_at: float
    allowance: float
    counted_at: float


class LimitChannel:
    """Limits to send to one group of receivers: changes first, then all in turn."""

    def __init__(self) -> None:
        self._changes: dict[str, int] = {}
        self._next = 0

    def add_change(self, endpoint: str) -> None:
        """Queue an endpoint whose limit has changed."""
        self._changes[endpoint] = CHANGE_SENDS

    def choose(self, known: Sequence[str]) -> list[str]:
        """Return the endpoints of the next datagram.

        Parameters
        ----------
        known : sequence of str
            Endpoints with a limit, or with one that ended lately.
        """
        chosen = [name for name in self._changes if name in known][:LIMITS_PER_DATAGRAM]
        for name in chosen:
            self._changes[name] -= 1
        self._changes = {name: left for name, left in self._changes.items() if left > 0}
        others = [name for name in known if name not in chosen]
        free = LIMITS_PER_DATAGRAM - len(chosen)
        if others and free:
            start = self._next % len(others)
            self._next = start + free
            chosen += (others[start:] + others[:start])[:free]
        return chosen


class EndpointLimits:
    """Limits that endpoints state to any host, and this host's use of them.

    Parameters
    ----------
    share : callable
        Returns the rate and the largest burst of this host for a limit and an endpoint; see
        `host_share`.
    """

    def __init__(self, share: Callable[[float, ListedEndpoint], tuple[float, float]]) -> None:
        self._share = share
        self._limits: dict[str, _Limit] = {}
        self._channels: list[LimitChannel] = []
        self.on_change: Callable[[], None] = lambda: None

    def open_channel(self) -> LimitChannel:
        """Return a new channel to which all changes from now on are added."""
        channel = LimitChannel()
        self._channels.append(channel)
        return channel

    def limit(self, incarnation: str) -> float | None:
        """Return the requests per second that an endpoint takes; None without a limit."""
        known = self._limits.get(incarnation)
        return known.rate if known else None

    @property
    def limited_count(self) -> int:
        """Number of endpoints that state a limit."""
        return sum(known.rate is not None for known in self._limits.values())

    def record(
        self,
        incarnation: str,
        rate: float | None,
        *,
        at: float,
        now: float,
        source: str = "stated in an answer",
    ) -> None:
        """Record what an answer to this host or a peer states.

        Parameters
        ----------
        incarnation : str
            Incarnation of the endpoint.
        rate : float or None
            Requests per second from all hosts; None without a limit.
        at, now : float
            Boot clock in seconds of the answer and of the record.
        source : str
            Where it was stated, for the log.
        """
        known = self._limits.get(incarnation)
        before = known.rate if known else None
        if known is None:
            if rate is None:
                return
            self._limits[incarnation] = _Limit(rate, at, 1.0, now)
        elif at <= known.stated_at:
            return
        else:
            known.rate, known.stated_at = rate, at
        if rate == before:
            return
        log_decision(
            _log, "endpoint-limit", source, endpoint=incarnation, limit=rate, before=before
        )
        for channel in self._channels:
            channel.add_change(incarnation)
        self.on_change()

    def delay(self, endpoint: ListedEndpoint, *, now: float) -> float:
        """Return the seconds until this host may send a request; infinite without a share."""
        known = self._limits.get(endpoint.incarnation) if self._limits else None
        if known is None or known.rate is None:
            return 0.0
        rate = self._count(known, endpoint, now)
        if known.allowance >= 1.0:
            return 0.0
        return (1.0 - known.allowance) / rate if rate > 0 else float("inf")

    def take(self, endpoint: ListedEndpoint, *, now: float) -> bool:
        """Count one request to an endpoint if this host may send it; return whether it may."""
        if self.delay(endpoint, now=now) > 0:
            return False
        known = self._limits.get(endpoint.incarnation)
        if known is not None and known.rate is not None:
            known.allowance -= 1.0
        return True

    def reports(self, channel: LimitChannel, *, now: float) -> list[LimitReport]:
        """Return the limits for the next datagram of a channel."""
        self._expire(now)
        return [
            (name, NO_LIMIT if known.rate is None else known.rate, now - known.stated_at)
            for name in channel.choose(list(self._limits))
            for known in [self._limits[name]]
        ]

    def receive(self, reports: Sequence[LimitReport], *, now: float) -> None:
        """Record limits that a peer sent."""
        for incarnation, rate, age in reports:
            stated = None if rate < 0 else rate
            self.record(incarnation, stated, at=now - age, now=now, source="stated to a peer")

    def keep_only(self, incarnations: Container[str]) -> None:
        """Forget the limits of all other endpoints, which are gone."""
        for incarnation in [name for name in self._limits if name not in incarnations]:
            del self._limits[incarnation]

    def _count(self, known: _Limit, endpoint: ListedEndpoint, now: float) -> float:
        """Update the allowance of this host; return its rate."""
        assert known.rate is not None
        rate, burst = self._share(known.rate, endpoint)
        earned = known.allowance + rate * max(0.0, now - known.counted_at)
        known.allowance, known.counted_at = min(burst, earned), now
        return rate

    def _expire(self, now: float) -> None:
        for name in [
            name
            for name, known in self._limits.items()
            if known.rate is None and now - known.stated_at >= ENDED_LIMIT_LIFETIME_SECONDS
        ]:
            del self._limits[name]
