"""Choice of the host that takes the requests of one that reaches no endpoint."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

MAX_TRIED_HOSTS = 5  # for one request
MAX_TRIED_IN_ZONE = 2  # of them; a whole zone may have lost its paths
BACKOFF_SECONDS = 1.0  # of a host that did not take a request


@dataclass(slots=True, frozen=True)
class OtherHost:
    """Another host.

    Parameters
    ----------
    name, zone : str
        Name and availability zone.
    ip : str
        IP address.
    """

    name: str
    zone: str
    ip: str


class OtherHosts:
    """The other hosts of all zones, and which of them did not take a request lately.

    Parameters
    ----------
    host, zone : str
        Name and availability zone of this host.
    random_source : random.Random
        Spreads the requests over the hosts.
    """

    def __init__(self, host: str, zone: str, random_source: random.Random) -> None:
        self._host = host
        self._zone = zone
        self._random = random_source
        self._hosts: dict[str, OtherHost] = {}
        self._backoff_until: dict[str, float] = {}

    def update(self, hosts: Mapping[str, OtherHost]) -> None:
        """Replace the known hosts, by name; this host is left out."""
        self._hosts = {name: host for name, host in hosts.items() if name != self._host}
        known = self._backoff_until.items()
        self._backoff_until = {name: until for name, until in known if name in self._hosts}

    def record_refusal(self, host: OtherHost, *, now: float) -> None:
        """Record that a host could not be reached, or did not take a request."""
        self._backoff_until[host.name] = now + BACKOFF_SECONDS

    def choose(self, *, now: float) -> list[OtherHost]:
        """Return the hosts to try one after the other, those of this zone first.

        Bytes between zones are paid for, and take longer. One host in backoff comes last, so that a
        request for which no host can be reached is refused soon.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        hosts = list(self._hosts.values())
        self._random.shuffle(hosts)
        in_backoff = [host for host in hosts if self._backoff_until.get(host.name, now) > now]
        available = [host for host in hosts if host not in in_backoff]
        near = [host for host in available if host.zone == self._zone][:MAX_TRIED_IN_ZONE]
        far = [host for host in available if host.zone != self._zone]
        in_backoff.sort(key=lambda host: self._backoff_until[host.name])
        return [*near, *far, *in_backoff[:1]][:MAX_TRIED_HOSTS]
