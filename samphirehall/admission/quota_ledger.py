"""Level of the common token bucket of each customer, kept by the hub of a zone.

A hub adds up what its members and the other zones granted. Counters are cumulative, so a lost
update is made up for by the next one. A source that was not heard before, or not lately, states
which of its grants nobody has counted yet, so that none is counted twice.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from samphirehall.admission.quota import STALE_SECONDS, Quota, QuotaBounds

KNOWN_HOSTS_SECONDS = 60.0  # a host that is not heard for longer has ended
NEW_HUB_SECONDS = 1.0  # in which a new hub hears its members and the other zones
ZONE_STALE_SECONDS = 0.55  # two updates between hubs of 79 hosts
SUM_SECONDS = 0.02  # for which sums over all sources hold, so that a request costs no sum
# A zone silent for longer has been left out of the common bucket while it granted.
LEFT_OUT_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class SourceCount:
    """Grants and demand of one customer at one source.

    Parameters
    ----------
    granted : float
        Units granted since the source began.
    uncounted : float
        Those of them that a hub has to count that hears the source for the first time.
    demand : float
        Units per second that callers ask for.
    """

    granted: float
    uncounted: float
    demand: float


@dataclass(slots=True)
class _Source:
    epoch: str
    heard_at: float
    hosts: int
    is_zone: bool
    stale_seconds: float  # silence after which the source no longer counts as heard
    elsewhere: frozenset[str]  # other zones that it hears, if it is a zone
    hears_more_since: float = float("inf")  # since when it hears zones that this hub does not
    counts: dict[str, SourceCount] = field(default_factory=dict)


class LargestCount:
    """Largest of the counts recorded within a time."""

    __slots__ = ("_counts", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._counts: deque[tuple[float, int]] = deque()  # decreasing counts

    def record(self, count: int, *, now: float) -> int:
        """Record a count; return the largest within the time."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - self._seconds:
            self._counts.popleft()
        return self._counts[0][1]


class CommonBucket:
    """Token bucket of a customer for the hosts that hear each other.

    It holds and gains the part of the burst and of the rate that these hosts are of all hosts.
    """

    __slots__ = ("_level", "_quota", "_updated_at")

    def __init__(self, quota: Quota, level: float, *, now: float) -> None:
        self._quota = quota
        self._level = level
        self._updated_at = now

    def level(self, part: float, *, now: float) -> float:
        """Return the level, where `part` is the part of all hosts that are heard."""
        elapsed = max(0.0, now - self._updated_at)
        gained = elapsed * self._quota.rate * part
        self._level = min(self._quota.burst * part, self._level + gained)
        self._updated_at = max(now, self._updated_at)
        return self._level

    def charge(self, units: float) -> None:
        """Subtract units that were granted."""
        self._level -= units

    def set_quota(self, quota: Quota, bounds: QuotaBounds) -> None:
        """Replace the quota; the overdraft shrinks with it, so that it is repaid as soon."""
        if self._level < 0:
            before, after = bounds.usable_debt(self._quota), bounds.usable_debt(quota)
            self._level *= min(1.0, after / before) if before > 0 else 1.0
        self._level = min(self._level, quota.burst)
        self._quota = quota


class QuotaLedger:
    """What a hub knows of the grants of all hosts.

    Parameters
    ----------
    bounds : QuotaBounds
        Permitted excess.
    stale_seconds : float
        Silence after which a member no longer counts as heard.
    starts_full : bool
        Whether a new quota starts with a full bucket; otherwise it starts at the level from which
        requests are granted freely, so that hosts that restart together gain no burst.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        *,
        stale_seconds: float = STALE_SECONDS,
        starts_full: bool = False,
        now: float,
    ) -> None:
        self.bounds = bounds
        self._stale_seconds = stale_seconds
        self._starts_full = starts_full
        self._quotas: dict[str, Quota] = {}
        self._buckets: dict[str, CommonBucket] = {}
        self._sources: dict[str, _Source] = {}
        self._summed_at = float("-inf")
        self._demands: dict[str, float] = {}  # at members and zones, as of then
        self._member_demands: dict[str, float] = {}
        self._told_heard = 1
        self._told_demands: dict[str, float] = {}
        self._told_until = now
        self._known = LargestCount(KNOWN_HOSTS_SECONDS)
        self._hosts = (1, 1)
        self._sharing: set[str] = set()  # zones that share the common buckets
        self._known.record(1, now=now)

    @property
    def hosts(self) -> tuple[int, int]:
        """Hosts that share the common bucket, and all hosts of the last minute."""
        return self._hosts

    def set_quotas(self, quotas: Mapping[str, Quota], *, now: float) -> None:
        """Apply the quotas of a configuration."""
        part = self._part(now)
        for name, quota in quotas.items():
            if name not in self._buckets:
                level = quota.burst if self._starts_full else self.bounds.free_level(quota)
                self._buckets[name] = CommonBucket(quota, level, now=now)
            elif self._quotas[name] != quota:
                self._buckets[name].level(part, now=now)
                self._buckets[name].set_quota(quota, self.bounds)
        for name in self._buckets.keys() - quotas.keys():
            del self._buckets[name]
        self._quotas = dict(quotas)

    def begin(
        self,
        levels: Mapping[str, float],
        demands: Mapping[str, float],
        hosts: tuple[int, int],
        *,
        now: float,
    ) -> None:
        """Begin to keep the levels, from what an earlier hub told.

        Its demands and heard hosts count until this hub has heard the members itself; otherwise
        the first members that it hears would take the shares of all.
        """
        self._sources.clear()
        self._summed_at = float("-inf")
        self._told_heard, known = hosts
        self._told_demands = dict(demands)
        self._told_until = now + NEW_HUB_SECONDS
        self.record_known(known, now=now)
        self._buckets = {
            name: CommonBucket(quota, levels.get(name, self.bounds.free_level(quota)), now=now)
            for name, quota in self._quotas.items()
        }

    def record_known(self, hosts: int, *, now: float) -> None:
        """Record the number of all hosts that another host knows, or that are listed."""
        known = self._known.record(hosts, now=now)
        self._hosts = self._hosts[0], max(known, self._hosts[0])

    def record(
        self,
        name: str,
        epoch: str,
        counts: Iterable[tuple[str, SourceCount]],
        *,
        hosts: int = 1,
        is_zone: bool = False,
        elsewhere: frozenset[str] = frozenset(),
        now: float,
    ) -> dict[str, float]:
        """Record the counters of a member or a zone; return the units that are new, by customer.

        Parameters
        ----------
        name : str
            Name of the source.
        epoch : str
            Incarnation of the source; its counters start at zero with each.
        counts : iterable of pairs of str and SourceCount
            Customers whose numbers may have changed, and their numbers.
        hosts : int
            Number of hosts that the source stands for.
        is_zone : bool
            Whether the source is another zone.
        elsewhere : frozenset of str
            Source names of the zones, besides that of this hub, that such a source hears.
        now : float
            Boot clock in seconds.
        """
        source = self._sources.get(name)
        stale = ZONE_STALE_SECONDS if is_zone else self._stale_seconds
        silent = 0.0 if source is None else now - source.heard_at
        continues = source is not None and (source.epoch == epoch or is_zone)
        if source is None or not continues:
            source = self._sources[name] = _Source(epoch, now, hosts, is_zone, stale, elsewhere)
        is_same = source.epoch == epoch
        is_known = source.hosts == hosts and source.elsewhere == elsewhere
        if not is_known or silent >= source.stale_seconds or not continues:
            self._summed_at = float("-inf")
        source.epoch, source.heard_at, source.hosts = epoch, now, hosts
        source.elsewhere = elsewhere
        if not is_same:
            # The counters may go on, but customers that the new hub leaves out ask for nothing.
            source.counts = {
                customer: replace(count, demand=0.0) for customer, count in source.counts.items()
            }
        part = self._part(now)
        is_left_out = is_zone and name not in self._sharing
        charged = {}
        for customer, count in counts:
            bucket = self._buckets.get(customer)
            if bucket is None:
                continue
            before = source.counts.get(customer)
            source.counts[customer] = count
            units = min(count.granted, count.uncounted)
            if before is not None and silent < source.stale_seconds:
                difference = count.granted - before.granted
                # A new hub goes on counting where the earlier one ended, if it knows that.
                units = difference if is_same or difference >= 0 else units
            elif is_zone and silent >= LEFT_OUT_SECONDS:
                units = 0.0
            if is_left_out:
                units = 0.0
            if units:
                bucket.level(part, now=now)
                bucket.charge(units)
                charged[customer] = units
        return charged

    def charge(self, customer: str, units: float, *, now: float) -> None:
        """Record a grant of the hub itself, or one given back if negative."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level(self._part(now), now=now)
            bucket.charge(units)

    def level(self, customer: str, *, now: float) -> float:
        """Return the level of a customer's bucket."""
        return self._buckets[customer].level(self._part(now), now=now)

    def demand(self, customer: str, *, members_only: bool = False, now: float) -> float:
        """Return the demand of a customer at the members, and at other zones, that are heard."""
        self._sum(now)
        if members_only:
            return self._member_demands.get(customer, 0.0)
        total = self._demands.get(customer, 0.0)
        if now >= self._told_until:
            return total
        return max(total, self._told_demands.get(customer, 0.0))

    def count_members(self, *, now: float) -> int:
        """Return the number of members that are heard."""
        return sum(not source.is_zone for source in self._live(now))

    def zones(self, *, now: float) -> list[str]:
        """Return the source names of the zones that are heard."""
        return [
            name
            for name, each in self._sources.items()
            if each.is_zone and self._is_live(each, now)
        ]

    def _is_live(self, source: _Source, now: float) -> bool:
        return now - source.heard_at < source.stale_seconds

    def _live(self, now: float) -> Iterator[_Source]:
        for source in self._sources.values():
            if self._is_live(source, now):
                yield source

    def _part(self, now: float) -> float:
        """Return the part of all hosts that share the common bucket."""
        self._sum(now)
        return self._hosts[0] / self._hosts[1]

    def _sum(self, now: float) -> None:
        """Add up the hosts and the demand of all sources that are heard, unless done lately."""
        if 0 <= now - self._summed_at < SUM_SECONDS:
            return
        self._summed_at = now
        self._forget_ended(now)
        heard, members = 1, defaultdict[str, float](float)
        zones = defaultdict[str, float](float)
        self._sharing = self._sharing_zones(now)
        for name, source in self._sources.items():
            if not self._is_live(source, now) or (source.is_zone and name not in self._sharing):
                continue
            heard += source.hosts
            sums = zones if source.is_zone else members
            for customer, count in source.counts.items():
                sums[customer] += count.demand
        if now < self._told_until:
            heard = max(heard, self._told_heard)
        self._hosts = heard, self._known.record(heard, now=now)
        self._member_demands = dict(members)
        self._demands = {name: members[name] + zones[name] for name in {*members, *zones}}

    def _forget_ended(self, now: float) -> None:
        """Forget members that have ended; they report what is uncounted if they are heard again."""
        ended = [
            name
            for name, source in self._sources.items()
            if not source.is_zone and now - source.heard_at >= KNOWN_HOSTS_SECONDS
        ]
        for name in ended:
            del self._sources[name]

    def _sharing_zones(self, now: float) -> set[str]:
        """Return the zones that share the common buckets with this one.

        A zone that goes on hearing others which this one does not is left out: they all would use
        its part of the rate, without knowing of each other. A new hub has not heard all zones yet.
        """
        heard = set(self.zones(now=now))
        for name in heard:
            source = self._sources[name]
            if source.elsewhere <= heard or now < self._told_until:
                source.hears_more_since = float("inf")
            else:
                source.hears_more_since = min(now, source.hears_more_since)
        return {
            name
            for name in heard
            if now - self._sources[name].hears_more_since < ZONE_STALE_SECONDS
        }
