"""Known hosts, from the platform's list, which may lag, and from the facts of other hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from samphirehall.core.decoding import convert, parse_address
from samphirehall.core.rendezvous import ranked
from samphirehall.core.types import HostInfo, HostState
from samphirehall.node.facts import Fact, FactKind, FactStore

HOST_FACT_LIFETIME_SECONDS = 600.0
HOST_FACT_REFRESH_INTERVAL_SECONDS = 200.0
LEAVING_FACT_LIFETIME_SECONDS = 30.0
REFRESH_INTERVAL_SECONDS = 5.0
MISSED_LISTS_BEFORE_REMOVAL = 3


@dataclass(slots=True)
class _MissedLists:
    fact_order: tuple[int, int]
    count: int = 0


@dataclass(slots=True)
class _Ranking:
    members: frozenset[str]
    ranked_hosts: list[str] = field(default_factory=list)


def encode_host(info: HostInfo) -> dict[str, str]:
    """Return the value of the fact that describes a host."""
    return {
        "zone": info.zone,
        "mesh": info.mesh_address,
        "operator": info.operator_address,
        "state": info.state.value,
    }


def decode_host(fact: Fact) -> HostInfo | None:
    """Return the host that a fact describes, or None if the fact is malformed."""
    value: Any = fact.value
    if not isinstance(value, Mapping) or fact.key != fact.owner:
        return None
    try:
        info = HostInfo(
            fact.key,
            convert(value["zone"], str),
            convert(value["mesh"], str),
            convert(value["operator"], str),
            HostState(value["state"]),
        )
    except (KeyError, ValueError):
        return None
    return None if info.mesh_address and parse_address(info.mesh_address) is None else info


class Directory:
    """Known hosts besides this one.

    A host is known while the platform lists it or while its own fact holds. The
    fact is ignored once `MISSED_LISTS_BEFORE_REMOVAL` lists in a row have left
    out the host while it was not connected.

    Parameters
    ----------
    local_host : HostInfo
        This host.
    fact_store : FactStore
        Facts of all hosts.
    """

    def __init__(self, local_host: HostInfo, fact_store: FactStore) -> None:
        self._local_host = local_host
        self._has_list = False
        self._fact_store = fact_store
        self._listed: dict[str, HostInfo] = {}
        self._missed_lists: dict[str, _MissedLists] = {}
        self._hosts: dict[str, HostInfo] = {}
        self._by_zone: dict[str, list[HostInfo]] = {}
        self._other_zones: frozenset[str] = frozenset()
        self._refreshed_at = float("-inf")
        self._rankings: dict[str, _Ranking] = {}
        fact_store.subscribe(self._on_fact)

    @property
    def has_list(self) -> bool:
        """Whether the platform's list has been read."""
        return self._has_list

    @property
    def local_host(self) -> HostInfo:
        """Host that the directory belongs to."""
        return self._local_host

    @property
    def hosts(self) -> Mapping[str, HostInfo]:
        """Known hosts besides this one, as of the last `refresh`."""
        return self._hosts

    @property
    def other_zones(self) -> frozenset[str]:
        """Availability zones of known hosts, except the zone of this host."""
        return self._other_zones

    def in_zone(self, zone: str) -> list[HostInfo]:
        """Return known hosts of a zone that are not leaving."""
        return self._by_zone.get(zone, [])

    def update_list(
        self, listed: Iterable[HostInfo], *, connected: frozenset[str], now: float
    ) -> None:
        """Replace the platform's list of hosts.

        Parameters
        ----------
        listed : iterable of HostInfo
            The list, which may lag.
        connected : frozenset of str
            Hosts that are connected now; a list without them does not count against them.
        now : float
            Boot clock in seconds.
        """
        self._listed = {info.host_id: info for info in listed}
        self._has_list = True
        for fact in self._fact_store.current(FactKind.HOST, now=now):
            if fact.key in self._listed or fact.key in connected:
                self._missed_lists.pop(fact.key, None)
                continue
            missed = self._missed_lists.get(fact.key)
            if missed is None or missed.fact_order < fact.order:
                missed = self._missed_lists[fact.key] = _MissedLists(fact.order)
            missed.count += 1
        self._refreshed_at = float("-inf")
        self.refresh(now=now)

    def refresh(self, *, now: float) -> None:
        """Recompute the known hosts after a change or every `REFRESH_INTERVAL_SECONDS`."""
        if now - self._refreshed_at < REFRESH_INTERVAL_SECONDS:
            return
        self._refreshed_at = now
        hosts = dict(self._listed)
        for fact in self._fact_store.current(FactKind.HOST, now=now):
            info = decode_host(fact)
            if info is not None and not self._is_removed(fact):
                hosts[info.host_id] = info
        hosts.pop(self._local_host.host_id, None)
        self._hosts = hosts
        self._by_zone = {}
        for info in hosts.values():
            zone = self._by_zone.setdefault(info.zone, [])
            if info.state is HostState.LIVE:
                zone.append(info)
        self._other_zones = frozenset(self._by_zone) - {self._local_host.zone}

    def delegates(self, zone: str) -> list[str]:
        """Return the hosts of another zone in the order in which this host prefers them."""
        members = frozenset(info.host_id for info in self.in_zone(zone))
        ranking = self._rankings.get(zone)
        if ranking is None or ranking.members != members:
            ranking = _Ranking(members, ranked(members, self._local_host.host_id))
            self._rankings[zone] = ranking
        return ranking.ranked_hosts

    def _on_fact(self, fact: Fact) -> None:
        if fact.kind is FactKind.HOST:
            self._refreshed_at = float("-inf")

    def _is_removed(self, fact: Fact) -> bool:
        missed = self._missed_lists.get(fact.key)
        if missed is None or missed.fact_order < fact.order:
            return False
        return missed.count >= MISSED_LISTS_BEFORE_REMOVAL
