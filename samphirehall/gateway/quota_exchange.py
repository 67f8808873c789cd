"""Customers' quotas on one host, and the knowledge that it exchanges with its hub.

A member sends its hub the counters that changed. The hub keeps the level of one bucket for all
hosts by customer, sends it to the members, and sends the counters of its zone to other hubs.
"""

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from samphirehall.admission.quota import (
    STALE_SECONDS,
    HostQuota,
    Quota,
    QuotaBounds,
    QuotaDecision,
    QuotaKnowledge,
    Verdict,
)
from samphirehall.admission.quota_ledger import QuotaLedger, SourceCount
from samphirehall.gateway.types import Customer
from samphirehall.gateway.zone_messages import (
    MAX_RATE,
    EncodedQuotaCount,
    EncodedQuotaLevel,
    HubQuotas,
)

RECENT_SECONDS = 0.6  # for which a zone has no hub if its hub ends
MAX_UNACKNOWLEDGED = 64  # updates of this host whose counters are remembered
# Age of an acknowledged update that is normal: a heartbeat, an interval of the hub and two ways.
ACKNOWLEDGEMENT_SECONDS = 0.7
SHORT_NUMBER = 1000  # from which a fraction of a unit does not matter
MIN_DEMAND = 1e-3  # units per second; a smaller demand is not sent


@dataclass(slots=True)
class _ZoneCount:
    """Units that the hosts of this zone granted a customer while this host is the hub."""

    granted: float = 0.0
    history: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, units: float, now: float) -> None:
        if not self.history or now - self.history[-1][0] > RECENT_SECONDS / 16:
            self.history.append((now, self.granted))
        self.granted += units

    def recent(self, now: float) -> float:
        while self.history and now - self.history[0][0] > RECENT_SECONDS:
            self.history.popleft()
        return max(0.0, self.granted - self.history[0][1]) if self.history else 0.0


@dataclass(slots=True)
class _HubState:
    """Latest numbers that this host's hub has sent."""

    levels: dict[str, tuple[float, float, float]]  # level, demand, grants of the zone
    heard: int
    known: int
    received_at: float
    sent_at: float


@dataclass(slots=True)
class _SentCounts:
    """Counters in one update of this host."""

    sent_at: float
    counts: dict[str, tuple[float, float]]  # granted, and demand as sent
    granted_alone: dict[str, float]


class HostQuotas:
    """Quotas of all customers on one host.

    Parameters
    ----------
    host : str
        Name of this host.
    random_source : Random
        Source of the dither of the host's own buckets.
    clock : callable
        Boot clock in seconds.

    Attributes
    ----------
    on_change : callable
        Called when a counter has changed that the hub should know soon.
    listed_hosts : int
        Number of hosts that are listed in the store, for a host that has heard none.
    zone : str
        Name under which other hubs receive the counters of this zone.
    """

    def __init__(self, host: str, random_source: random.Random, clock: Callable[[], float]) -> None:
        self._host = host
        self._random = random_source
        self._clock = clock
        self._bounds = QuotaBounds()
        self._quotas: dict[str, Quota] = {}
        self._customers: dict[str, HostQuota] = {}
        self._ledger: QuotaLedger | None = None  # while this host is the hub
        self._epoch = ""
        self._zone_counts: dict[str, _ZoneCount] = {}
        self._hub_state: _HubState | None = None
        self._sent: OrderedDict[int, _SentCounts] = OrderedDict()
        self._acknowledged_at = float("-inf")  # when the latest acknowledged update was sent
        self._acknowledged: dict[str, tuple[float, float]] = {}
        self._updated = anyio.Event()
        self.on_change: Callable[[], None] = lambda: None
        self.listed_hosts = 1
        self.zone = ""

    @property
    def active(self) -> bool:
        """Whether any customer has a quota."""
        return bool(self._quotas)

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Apply the permitted excess over quotas."""
        if bounds != self._bounds:
            self._bounds = bounds
            for host_quota in self._customers.values():
                host_quota.bounds = bounds
            if self._ledger is not None:
                self._ledger.bounds = bounds

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Apply the quotas of the customers of a configuration."""
        now = self._clock()
        self._quotas = {each.name: each.quota for each in customers if each.quota is not None}
        # Counters of customers without a quota are kept, as hubs expect them to go on.
        for name in self._customers.keys() & self._quotas.keys():
            self._customers[name].quota = self._quotas[name]
        if self._ledger is not None:
            self._ledger.set_quotas(self._quotas, now=now)

    def set_role(self, *, is_hub: bool, now: float) -> None:
        """Apply that another host, or this one, has become the hub.

        A new hub goes on from the levels that the earlier one told it.
        """
        self._sent.clear()
        self._acknowledged.clear()
        if self._ledger is not None:
            self._hub_state = self._own_state(self._ledger, now)
            self._acknowledged_at = now
        self._ledger, self._zone_counts = None, {}
        if not is_hub:
            return
        self._epoch = f"{self._host}/{now:.3f}"
        self._ledger = QuotaLedger(self._bounds, now=now)
        self._ledger.set_quotas(self._quotas, now=now)
        self._ledger.record_known(self.listed_hosts, now=now)
        state = self._hub_state
        if state is not None:
            levels = {name: self._told_level(state, name, now) for name in self._quotas}
            heard = state.heard if now - state.sent_at < 2 * STALE_SECONDS else 1
            demands = {name: demand for name, (_, demand, _) in state.levels.items()}
            self._ledger.begin(levels, demands, (heard, state.known), now=now)
            self._zone_counts = {
                name: _ZoneCount(granted) for name, (_, _, granted) in state.levels.items()
            }
        for name, host_quota in self._customers.items():
            self._record(name, host_quota, host_quota.outstanding, now)

    # Decisions

    def decide(self, customer: Customer, units: float, *, waited: bool) -> QuotaDecision:
        """Grant or refuse a request of a customer that has a quota, or let it wait."""
        now = self._clock()
        host_quota = self._host_quota(customer)
        decision = host_quota.decide(units, self.knowledge(customer.name), now=now, waited=waited)
        if decision.verdict is Verdict.GRANT:
            self._record(customer.name, host_quota, units, now)
        return decision

    def offer(self, customer: Customer, units: float) -> None:
        """Record that a request has arrived, whether or not it will be granted."""
        self._host_quota(customer).demand.record(units, now=self._clock())

    def give_back(self, customer: Customer, units: float) -> None:
        """Return the units of a request that was granted but did not run."""
        now = self._clock()
        host_quota = self._customers.get(customer.name)
        if host_quota is not None:
            host_quota.give_back(units, now=now)
            self._record(customer.name, host_quota, -units, now)

    def knowledge(self, name: str) -> QuotaKnowledge:
        """Return what this host knows of a customer."""
        now = self._clock()
        own_demand = self._customers[name].demand.rate(now=now) if name in self._customers else 0.0
        if self._ledger is not None and name in self._quotas:
            level = self._ledger.level(name, now=now)
            demand = self._ledger.demand(name, now=now) + own_demand
            return QuotaKnowledge(level, demand, *self._ledger.hosts, 0.0)
        state = self._hub_state
        if state is None or name not in self._quotas:
            return QuotaKnowledge(0.0, own_demand, 1, max(1, self.listed_hosts), float("inf"))
        _, demand, _ = state.levels.get(name, (0.0, 0.0, 0.0))
        level = self._told_level(state, name, now)
        # A hub that does not hear this host leaves it out, so the host is on its own as well.
        unheard = now - self._acknowledged_at - ACKNOWLEDGEMENT_SECONDS
        age = max(now - state.sent_at, unheard)
        return QuotaKnowledge(level, demand, state.heard, state.known, age)

    async def wait_for_update(self, seconds: float) -> None:
        """Wait until the hub's next update arrives, but no longer than some seconds."""
        with anyio.move_on_after(seconds):
            await self._updated.wait()

    def _host_quota(self, customer: Customer) -> HostQuota:
        if customer.name not in self._customers:
            quota = self._quotas.get(customer.name, customer.quota)
            assert quota is not None
            self._customers[customer.name] = HostQuota(quota, self._bounds, self._random)
        return self._customers[customer.name]

    def _record(self, name: str, host_quota: HostQuota, units: float, now: float) -> None:
        if self._ledger is not None:
            host_quota.acknowledged = host_quota.granted
            self._ledger.charge(name, units, now=now)
            self._zone_counts.setdefault(name, _ZoneCount()).add(units, now)
        self.on_change()

    def _told_level(self, state: _HubState, name: str, now: float) -> float:
        """Return the level that the hub has told, with what was gained since."""
        quota, part = self._quotas[name], state.heard / state.known
        burst = quota.burst * part
        level, _, _ = state.levels.get(name, (burst, 0.0, 0.0))
        return min(burst, level + max(0.0, now - state.received_at) * quota.rate * part)

    # Messages

    def member_counts(self, sequence: int, *, now: float) -> list[EncodedQuotaCount] | None:
        """Return the counters that the hub may not know, for the update of this number."""
        if not self._quotas:
            return None
        counts: list[EncodedQuotaCount] = []
        for name in self._customers.keys() & self._quotas.keys():
            host_quota = self._customers[name]
            granted, demand = host_quota.granted, _rounded_up(host_quota.demand.rate(now=now))
            if (granted, demand) != self._acknowledged.get(name, (0.0, 0.0)):
                counts.append((name, _short(granted), _short(host_quota.outstanding), demand))
        included = {name: (self._customers[name].granted, demand) for name, _, _, demand in counts}
        alone = {name: self._customers[name].granted_alone for name in included}
        self._sent[sequence] = _SentCounts(now, included, alone)
        while len(self._sent) > MAX_UNACKNOWLEDGED:
            self._sent.popitem(last=False)
        return counts

    def receive_member(
        self, host: str, process: str, counts: list[EncodedQuotaCount] | None, *, now: float
    ) -> None:
        """As the hub, receive the counters of a member."""
        if counts is None or self._ledger is None:
            return
        charged = self._ledger.record(host, process, _decoded(counts), now=now)
        for name, units in charged.items():
            self._zone_counts.setdefault(name, _ZoneCount()).add(units, now)

    def state_for_members(self, *, has_load: bool, now: float) -> HubQuotas | None:
        """As the hub, return the levels of all common buckets that are not full or in use."""
        if self._ledger is None or not self._quotas:
            return None
        state = self._own_state(self._ledger, now)
        levels: list[EncodedQuotaLevel] = [
            (name, _short(level), _rounded_up(demand), _short(granted))
            for name, (level, demand, granted) in state.levels.items()
        ]
        hosts = 1 + self._ledger.count_members(now=now)
        return HubQuotas(
            self._epoch, hosts, state.heard, state.known, levels=levels, has_load=has_load
        )

    def state_for_hubs(self, *, now: float) -> HubQuotas | None:
        """As the hub, return the counters of this zone."""
        ledger = self._ledger
        if ledger is None or not self._quotas:
            return None
        counts: list[EncodedQuotaCount] = []
        for name in self._quotas:
            count = self._zone_counts.get(name, _ZoneCount())
            demand = self._zone_demand(ledger, name, now)
            if count.granted or demand:
                granted, recent = _short(max(0.0, count.granted)), _short(count.recent(now))
                counts.append((name, granted, recent, _rounded_up(demand)))
        hosts = 1 + ledger.count_members(now=now)
        zones = ledger.zones(now=now)
        return HubQuotas(self._epoch, hosts, *ledger.hosts, counts=counts, zones=zones)

    def receive_zone(self, zone: str, quotas: HubQuotas | None, *, now: float) -> None:
        """As the hub, receive the counters of another zone."""
        if quotas is None or self._ledger is None:
            return
        self._ledger.record(
            zone,
            quotas.epoch,
            _decoded(quotas.counts),
            hosts=quotas.hosts,
            is_zone=True,
            elsewhere=frozenset(quotas.zones) - {self.zone},
            now=now,
        )

    def receive_hub(
        self, quotas: HubQuotas | None, acknowledged: int, *, delay: float, now: float
    ) -> None:
        """As a member, receive the levels from the hub.

        Parameters
        ----------
        quotas : HubQuotas or None
            The hub's numbers.
        acknowledged : int
            Number of the latest update of this host that they include.
        delay : float
            Seconds for which they may have been on the way.
        now : float
            Boot clock in seconds.
        """
        if quotas is None or self._ledger is not None:
            return
        levels = {name: (level, demand, granted) for name, level, demand, granted in quotas.levels}
        known = max(quotas.heard, quotas.known)
        self._hub_state = _HubState(levels, quotas.heard, known, now, now - delay)
        sent = self._sent.get(acknowledged)
        if sent is not None:
            self._acknowledged_at = sent.sent_at
            self._acknowledged.update(sent.counts)
            for name, (granted, _) in sent.counts.items():
                self._customers[name].acknowledge(granted, sent.granted_alone[name])
            while self._sent and next(iter(self._sent)) <= acknowledged:
                self._sent.popitem(last=False)
        self._updated.set()
        self._updated = anyio.Event()

    def _own_state(self, ledger: QuotaLedger, now: float) -> _HubState:
        levels = {}
        for name, quota in self._quotas.items():
            level = ledger.level(name, now=now)
            heard, known = ledger.hosts
            demand = ledger.demand(name, now=now) + self._own_demand(name, now)
            if demand >= MIN_DEMAND or level < quota.burst * heard / known:
                count = self._zone_counts.get(name, _ZoneCount())
                levels[name] = level, demand, max(0.0, count.granted)
        return _HubState(levels, *ledger.hosts, now, now)

    def _zone_demand(self, ledger: QuotaLedger, name: str, now: float) -> float:
        return ledger.demand(name, members_only=True, now=now) + self._own_demand(name, now)

    def _own_demand(self, name: str, now: float) -> float:
        if name not in self._customers:
            return 0.0
        return self._customers[name].demand.rate(now=now)


def _decoded(counts: Iterable[EncodedQuotaCount]) -> list[tuple[str, SourceCount]]:
    return [(name, SourceCount(*numbers)) for name, *numbers in counts]


def _short(number: float) -> float:
    """Return a number in range and in a form that takes few bytes in a message."""
    number = max(-MAX_RATE, min(number, MAX_RATE))
    return round(number) if abs(number) >= SHORT_NUMBER else round(number, 3)


def _rounded_up(demand: float) -> float:
    """Return a demand with two digits and never too low, as shares are divided by it."""
    if demand < MIN_DEMAND:
        return 0.0
    step = 10.0 ** (math.floor(math.log10(demand)) - 1)
    return _short(math.ceil(demand / step) * step)
