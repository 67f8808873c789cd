"""What one host knows of its zone and of the other zones."""

from collections.abc import Iterator
from dataclasses import dataclass

from samphirehall.gateway.zone_members import ZoneMembers
from samphirehall.gateway.zone_messages import ZoneSummary

ZONE_TIMEOUT_SECONDS = 6.0  # a zone not heard for longer is cut off; its usage is not awaited


@dataclass(slots=True, frozen=True)
class StoreContact:
    """When a zone last heard from the store, and through which host.

    Parameters
    ----------
    at : float
        Boot clock of this host in seconds.
    reader : str or None
        Host that read the store.
    """

    at: float = float("-inf")
    reader: str | None = None


class ZoneView:
    """Hosts of this zone, states of the other zones, and the latest contact with the store.

    Parameters
    ----------
    host, zone : str
        Name and availability zone of this host.

    Attributes
    ----------
    members : ZoneMembers
        Hosts that send their updates to this one, while it is the hub.
    listed_members : list of str
        Live hosts as listed by the hub that this host follows.
    contact : StoreContact
        Latest contact of the zone with the store, as told by the hub or, at the hub, by any host.
    reads_for_zone : bool
        Whether this host reads the store for its zone, and not only for itself.
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self._zones: dict[str, tuple[float, ZoneSummary]] = {}
        self._readers: dict[str, tuple[str, float]] = {}
        self._most_hosts = 1
        self.members = ZoneMembers()
        self.listed_members: list[str] = []
        self.contact = StoreContact()
        self.reads_for_zone = False

    @property
    def most_hosts(self) -> int:
        """Largest number of hosts ever counted, which is never below the live ones."""
        return self._most_hosts

    def record_zone(self, summary: ZoneSummary, *, now: float) -> None:
        """Record the state of another zone."""
        self._zones[summary.zone] = now, summary

    def record_reader(self, zone: str, hub: str, contact_at: float | None) -> None:
        """Record whether another zone reads the store, and when it last heard from it."""
        if contact_at is None:
            self._readers.pop(zone, None)
        else:
            self._readers[zone] = hub, contact_at

    def other_readers(self, *, max_age: float, now: float) -> list[str]:
        """Return the hubs of other zones that read the store and have heard from it lately."""
        return [hub for hub, contact_at in self._readers.values() if now - contact_at < max_age]

    def other_zones(self, *, now: float) -> Iterator[ZoneSummary]:
        """Yield the states of the other zones that are heard."""
        for zone, (heard_at, summary) in self._zones.items():
            if now - heard_at < ZONE_TIMEOUT_SECONDS and zone != self._zone:
                yield summary

    def count_hosts(self, *, now: float) -> int:
        """Return the number of live hosts of all zones."""
        own = max(len(self.listed_members), len(self.members.live(now=now)) + 1)
        count = own + sum(summary.hosts for summary in self.other_zones(now=now))
        self._most_hosts = max(self._most_hosts, count)
        return count

    def live_hosts(self, *, is_hub: bool, now: float) -> list[str]:
        """Return the names of the live hosts of this zone, including this one."""
        names = self.members.live(now=now) if is_hub else self.listed_members
        return sorted({self._host, *names})

    def others_closed(self, window: int, *, now: float) -> bool:
        """Return whether the other zones that are heard have closed and stored a usage window."""
        return all(summary.closed_window >= window for summary in self.other_zones(now=now))
