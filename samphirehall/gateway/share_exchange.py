"""What hosts tell each other of the work that they served and refused, by service and customer.

A member states its own work to the hub of its zone, a hub that of its zone to the other hubs, and
that of all zones to its members. Each states only the customers whose work changed most.
"""

from collections.abc import Callable, Mapping

from samphirehall.gateway.zone_messages import EncodedShares
from samphirehall.scheduling.fair_shares import ChangedRates, FairShares, FairShareTable, Rates

SHARE_INTERVAL_SECONDS = 0.25  # some 40 kB/s to and from a hub of 39 members; work decays in 4 s
_HUB, _MEMBER, _ZONE = "hub", "member/", "zone/"  # kinds of sources


class ShareExchange:
    """Makes and receives the fields of updates that hold served and refused work.

    Parameters
    ----------
    table : FairShareTable or None
        Work by service; without it nothing is sent and what is received is ignored.
    """

    def __init__(self, table: FairShareTable | None) -> None:
        self._table = table
        self._to_hub = _Channel()
        self._to_members = _Channel()
        self._to_zones = _Channel()

    def for_hub(self, *, now: float) -> EncodedShares:
        """Return the work of this host, for its hub."""
        return self._take(self._to_hub, lambda shares: shares.own_rates(now=now), now)

    def for_members(self, *, now: float) -> EncodedShares:
        """Return the work of all zones, for the members of this hub."""

        def told_rates(shares: FairShares) -> Rates:
            return shares.total_rates(now=now) if shares.is_worth_telling() else {}

        return self._take(self._to_members, told_rates, now)

    def for_zones(self, *, now: float) -> EncodedShares:
        """Return the work of this zone, for the other hubs."""

        def zone_rates(shares: FairShares) -> Rates:
            if not shares.is_worth_telling():
                return {}
            others = [name for name in shares.sources if not name.startswith(_MEMBER)]
            return shares.total_rates(now=now, without=others)

        return self._take(self._to_zones, zone_rates, now)

    def receive_member(self, host: str, shares: EncodedShares, *, now: float) -> None:
        """Receive the work of a member of the zone of this hub."""
        if self._table is not None:
            self._table.forget(_HUB)
            self._table.receive(_MEMBER + host, shares, now=now)

    def receive_zone(self, zone: str, shares: EncodedShares, *, now: float) -> None:
        """Receive the work of another zone."""
        if self._table is not None:
            self._table.receive(_ZONE + zone, shares, now=now)

    def receive_hub(self, shares: EncodedShares, *, now: float) -> None:
        """Receive the work of all zones, and take that of this host out of it."""
        table = self._table
        if table is None:
            return
        for service in table.services.values():
            for source in [name for name in service.sources if name != _HUB]:
                service.forget(source)
        table.receive(
            _HUB,
            {name: _without(rates, table, name, now) for name, rates in shares.items()},
            now=now,
        )

    def _take(
        self, channel: "_Channel", rates: Callable[[FairShares], Rates], now: float
    ) -> EncodedShares:
        if self._table is None or now - channel.sent_at < SHARE_INTERVAL_SECONDS:
            return {}
        channel.sent_at = now
        taken = {}
        for name, shares in self._table.services.items():
            changed = channel.changes.setdefault(name, ChangedRates()).take(rates(shares), now=now)
            if changed:
                taken[name] = changed
        return taken


class _Channel:
    """What one kind of receivers was sent."""

    def __init__(self) -> None:
        self.sent_at = float("-inf")
        self.changes: dict[str, ChangedRates] = {}


def _without(rates: Rates, table: FairShareTable, service: str, now: float) -> Rates:
    shares: FairShares | None = table.services.get(service)
    own: Mapping[str, tuple[float, float]] = shares.own_rates(now=now) if shares else {}
    rest = {}
    for customer, (served, refused) in rates.items():
        own_served, own_refused = own.get(customer, (0.0, 0.0))
        rest[customer] = max(0.0, served - own_served), max(0.0, refused - own_refused)
    return rest
