"""Customer quotas that hold over all hosts together, decided by each host alone.

The hub of a zone keeps the level of one token bucket for all hosts; see `quota_ledger`. A host
knows that level a few tenths of a second late, and knows its own later grants exactly. While the
level is high, a host grants freely within an allowance. Otherwise it uses its own bucket, which
fills at its share of the rate. Nothing here waits, sends or reads a clock.
"""

import enum
import math
import random
from collections import deque
from dataclasses import dataclass

from samphirehall.admission.token_bucket import TokenBucket

DEMAND_DECAY_SECONDS = 2.0  # long enough for hosts that see a request a second
# Other hosts know the demand of this one that much later, at most. A share is computed from the
# lowest demand within this time, so that the shares of all hosts never add up to more than one.
MAX_KNOWLEDGE_LAG_SECONDS = 1.0
STALE_SECONDS = 1.0  # seven heartbeats of a hub; without an update for longer, a host is on its own
# Rate-seconds granted above the rate before hosts notice that all load is eight times the usual,
# which is 1 / 1.8 of the quota, with knowledge that is 0.35 s old: (8 / 1.8 - 1) * 0.35.
SURGE_RATE_SECONDS = 1.2
USABLE_OVERRUN = 0.8  # of the permitted overrun; the rest covers the dither of the buckets
MAX_FREE_DEBT = 0.4  # of the permitted overrun, in which requests are still granted freely
MAX_FREE_LEVEL = 0.5  # of the burst, above which requests are always granted freely
FULL_LEVEL = 0.9  # of the burst, at which a measured demand above the rate is disregarded
DEMAND_HORIZON_SECONDS = 0.5  # that the level must last at the present demand to grant freely
FREE_SHARES = 2.0  # of the level; a host often grants two large requests within one update
EQUAL_PART_FREE = 0.3  # of the allowance that is divided equally; the rest follows the demand
EQUAL_PART_SHARED = 0.1  # of the rate, for hosts whose demand is new
HOST_BUCKET_SECONDS = 1.0  # of a host's rate that its own bucket holds
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class Quota:
    """Limit of a customer over all hosts together.

    Parameters
    ----------
    rate, burst : float
        Units per second, and the most units granted at once after a pause.
    counts_tokens : bool
        Whether the units are prompt and output tokens; otherwise they are requests.
    plain_tokens : float
        Tokens that a request counts for that states none.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Return the units of a request with this number of tokens; None if it states none."""
        if not self.counts_tokens:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Permitted excess over quotas: a fraction and a number of units in each window of seconds."""

    window: float = 8.0
    overrun: float = 0.1
    slack: float = 0.0

    def usable_debt(self, quota: Quota) -> float:
        """Return by how much the common bucket of a customer may be overdrawn."""
        permitted = self.overrun * (quota.rate * self.window + quota.burst) + self.slack
        return USABLE_OVERRUN * permitted

    def free_level(self, quota: Quota) -> float:
        """Return the level from which requests are granted freely."""
        debt = self.usable_debt(quota)
        needed = SURGE_RATE_SECONDS * quota.rate - debt
        return min(MAX_FREE_LEVEL * quota.burst, max(-MAX_FREE_DEBT * debt, needed))


@dataclass(slots=True, frozen=True)
class QuotaKnowledge:
    """What a host knows of a customer's grants by all hosts.

    Parameters
    ----------
    level : float
        Level of the common bucket, without the grants that are not acknowledged.
    demand : float
        Units per second that callers ask for at all hosts.
    heard, known : int
        Hosts that share the common bucket, and all hosts of the last minute.
    age : float
        Seconds since the hub was heard; 0 at the hub, infinite before the first update.
    """

    level: float
    demand: float
    heard: int
    known: int
    age: float

    @property
    def part(self) -> float:
        """Part of all hosts that share the common bucket, and so part of the quota."""
        return self.heard / self.known

    @property
    def in_touch(self) -> bool:
        """Whether the hub has been heard lately."""
        return self.age < STALE_SECONDS


class Verdict(enum.StrEnum):
    """Whether a request is granted, refused, or waits for the hub's next update."""

    GRANT = "granted"
    WAIT = "waits"
    REFUSE = "refused"


class Regime(enum.StrEnum):
    """How a request is decided: by the common level, by this host's share, or by an equal part."""

    FREE = "free"
    SHARE = "share"
    ALONE = "alone"


@dataclass(slots=True, frozen=True)
class QuotaDecision:
    """A verdict, how it was found, and after which time a refused request may be granted."""

    verdict: Verdict
    regime: Regime
    level: float
    retry_after: float = 0.0


class OfferedDemand:
    """Decaying average of the units per second that callers ask for at one host."""

    __slots__ = ("_lows", "_rate", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0
        self._lows: deque[tuple[float, float]] = deque()  # increasing rates

    def rate(self, *, now: float) -> float:
        """Return the present demand."""
        elapsed = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed / DEMAND_DECAY_SECONDS)

    def lowest(self, *, now: float) -> float:
        """Return the lowest demand within `MAX_KNOWLEDGE_LAG_SECONDS`."""
        while self._lows and self._lows[0][0] < now - MAX_KNOWLEDGE_LAG_SECONDS:
            self._lows.popleft()
        present = self.rate(now=now)
        return min(present, self._lows[0][1]) if self._lows else present

    def record(self, units: float, *, now: float) -> None:
        """Record a request, whether or not it is granted."""
        rate = self.rate(now=now)
        while self._lows and self._lows[-1][1] >= rate:
            self._lows.pop()
        self._lows.append((now, rate))
        self._rate = rate + units / DEMAND_DECAY_SECONDS
        self._updated_at = now

    def withdraw(self, units: float, *, now: float) -> None:
        """Leave out a request that was granted but did not run."""
        self._rate = max(0.0, self.rate(now=now) - units / DEMAND_DECAY_SECONDS)
        self._updated_at = now


class ShareBucket:
    """Bucket that one host fills at its share of a rate.

    A request is granted while the level is not below zero and may overdraw the bucket, so that
    large requests wait no longer than small ones. It starts overdrawn by a random part of a
    request: a bucket is on average overdrawn by half of one, so that many hosts that start at
    once grant no more than the rate.
    """

    __slots__ = ("_bucket",)

    def __init__(self, first_units: float, source: random.Random, *, now: float) -> None:
        self._bucket = TokenBucket(0.0, 0.0, now=now)
        self._bucket.adjust(source.random() * first_units, now=now)

    def fill(self, rate: float, *, now: float) -> None:
        """Fill the bucket at a rate since the last call; it holds a second's worth."""
        self._bucket.set_rate(rate, rate * HOST_BUCKET_SECONDS)
        self._bucket.level(now=now)

    def take(self, units: float, *, now: float) -> bool:
        """Take units if the bucket is not overdrawn; return whether it was not."""
        return self._bucket.take_overdrawn(units, now=now)

    def give_back(self, units: float, *, now: float) -> None:
        """Return units of a grant that was not used."""
        self._bucket.adjust(-units, now=now)

    def seconds_until(self, *, now: float) -> float:
        """Return the seconds until a request is granted at the present rate."""
        return self._bucket.seconds_until(0.0, now=now)


class HostQuota:
    """Grants of one host to one customer.

    Parameters
    ----------
    quota : Quota
        The customer's limit; may be replaced at any time, as may the bounds.
    bounds : QuotaBounds
        Permitted excess.
    source : Random
        Source of the dither of the host's own bucket.

    Attributes
    ----------
    granted : float
        Units granted since the process started, less those given back.
    acknowledged : float
        Those of them that the common level includes, or that were granted from the host's equal
        part of the rate, which the common bucket leaves out.
    granted_alone : float
        Units granted from the host's equal part since the process started, less those given back.
    demand : OfferedDemand
        What callers ask for at this host.
    """

    __slots__ = (
        "_bucket",
        "_regime",
        "_source",
        "acknowledged",
        "bounds",
        "demand",
        "granted",
        "granted_alone",
        "quota",
    )

    def __init__(self, quota: Quota, bounds: QuotaBounds, source: random.Random) -> None:
        self.quota = quota
        self.granted = 0.0
        self.acknowledged = 0.0
        self.granted_alone = 0.0
        self.demand = OfferedDemand()
        self.bounds = bounds
        self._source = source
        self._regime = Regime.FREE
        self._bucket: ShareBucket | None = None

    @property
    def outstanding(self) -> float:
        """Units granted that the common level does not include yet."""
        return max(0.0, self.granted - self.acknowledged)

    def decide(
        self, units: float, knowledge: QuotaKnowledge, *, now: float, waited: bool = False
    ) -> QuotaDecision:
        """Grant or refuse a request, or let it wait for the next update of the hub.

        Parameters
        ----------
        units : float
            Units that the request counts for.
        knowledge : QuotaKnowledge
            What this host knows of the others.
        now : float
            Boot clock in seconds.
        waited : bool
            Whether the request has waited as long as it may; then it is granted or refused.
        """
        if units > self.quota.burst + self.bounds.usable_debt(self.quota):
            return QuotaDecision(Verdict.REFUSE, self._regime, knowledge.level, MAX_RETRY_SECONDS)
        if not knowledge.in_touch:
            decision = self._decide_by_share(units, knowledge, Regime.ALONE, now)
            if decision.verdict is Verdict.REFUSE and not waited and math.isinf(knowledge.age):
                # A host that has just started hears its hub within a fraction of a second.
                return QuotaDecision(Verdict.WAIT, Regime.ALONE, decision.level)
            return decision
        level = knowledge.level - self.outstanding
        if not self._is_free(level, units, knowledge):
            if not waited and self._is_free(knowledge.level, units, knowledge):
                return QuotaDecision(Verdict.WAIT, Regime.SHARE, level)
            return self._decide_by_share(units, knowledge, Regime.SHARE, now)
        self._regime, self._bucket = Regime.FREE, None
        # An update that is later than a request can wait says nothing against the request.
        may_exceed = self.outstanding <= 0 or (waited and self._is_calm(knowledge))
        if may_exceed or self.outstanding + units <= self._allowance(knowledge, now):
            self.granted += units
            return QuotaDecision(Verdict.GRANT, Regime.FREE, level)
        verdict = Verdict.REFUSE if waited else Verdict.WAIT
        return QuotaDecision(verdict, Regime.FREE, level, MIN_RETRY_SECONDS)

    def acknowledge(self, granted: float, granted_alone: float) -> None:
        """Record that the common level includes what was granted at an earlier moment.

        That may be less than before, if units have been given back.
        """
        self.acknowledged = granted + self.granted_alone - granted_alone

    def give_back(self, units: float, *, now: float) -> None:
        """Return the units of a request that was granted but did not run."""
        if self._regime is Regime.ALONE:
            self.acknowledged -= units
            self.granted_alone -= units
        self.granted -= units
        self.demand.withdraw(units, now=now)
        if self._bucket is not None:
            self._bucket.give_back(units, now=now)

    def _free_level(self, knowledge: QuotaKnowledge) -> float:
        return self.bounds.free_level(self.quota) * knowledge.part

    def _usable_debt(self, knowledge: QuotaKnowledge) -> float:
        return self.bounds.usable_debt(self.quota) * knowledge.part

    def _fits(self, level: float, units: float, knowledge: QuotaKnowledge) -> bool:
        """Return whether a request overdraws the common bucket no more than is permitted."""
        return level - units >= -self._usable_debt(knowledge)

    def _is_free(self, level: float, units: float, knowledge: QuotaKnowledge) -> bool:
        """Return whether the level is high enough, also for the demand of the next moment."""
        return self._fits(level, units, knowledge) and level >= self._lasting_level(knowledge)

    def _lasting_level(self, knowledge: QuotaKnowledge) -> float:
        """Return the level from which requests are granted freely at the present demand."""
        free_level, part = self._free_level(knowledge), knowledge.part
        excess = max(0.0, knowledge.demand - self.quota.rate * part) * DEMAND_HORIZON_SECONDS
        full_level = FULL_LEVEL * self.quota.burst * part
        return max(free_level, min(free_level + excess, full_level))

    def _is_calm(self, knowledge: QuotaKnowledge) -> bool:
        """Return whether the common level is nearer to the full one than to that of the shares."""
        full = self.quota.burst * knowledge.part
        return knowledge.level >= (full + self._free_level(knowledge)) / 2

    def _allowance(self, knowledge: QuotaKnowledge, now: float) -> float:
        """Return the units that may be outstanding in the free regime."""
        debt = self._usable_debt(knowledge)
        share = self._share(EQUAL_PART_FREE, knowledge, now)
        available = min(FREE_SHARES * max(0.0, knowledge.level), knowledge.level + debt)
        return share * available

    def _share(self, equal_part: float, knowledge: QuotaKnowledge, now: float) -> float:
        """Return this host's share of what the heard hosts may grant."""
        lowest = self.demand.lowest(now=now)
        by_demand = lowest / max(lowest, knowledge.demand) if lowest > 0 else 0.0
        return equal_part / knowledge.heard + (1 - equal_part) * by_demand

    def _share_rate(self, knowledge: QuotaKnowledge, regime: Regime, now: float) -> float:
        if regime is Regime.ALONE:
            return self.quota.rate / knowledge.known
        level = knowledge.level - self.outstanding
        start = min(0.0, self._free_level(knowledge))
        debt = self._usable_debt(knowledge)
        scale = 1.0 if level >= start else max(0.0, (level + debt) / max(1e-9, start + debt))
        rate = self.quota.rate * knowledge.part
        return scale * rate * self._share(EQUAL_PART_SHARED, knowledge, now)

    def _decide_by_share(
        self, units: float, knowledge: QuotaKnowledge, regime: Regime, now: float
    ) -> QuotaDecision:
        if self._bucket is None or self._regime is not regime:
            self._regime, self._bucket = regime, ShareBucket(units, self._source, now=now)
        bucket = self._bucket
        bucket.fill(self._share_rate(knowledge, regime, now), now=now)
        level = knowledge.level - self.outstanding
        fits = regime is Regime.ALONE or self._fits(level, units, knowledge)
        if fits and bucket.take(units, now=now):
            self.granted += units
            if regime is Regime.ALONE:
                self.acknowledged += units
                self.granted_alone += units
            return QuotaDecision(Verdict.GRANT, regime, level)
        wait = bucket.seconds_until(now=now)
        if regime is Regime.SHARE:
            lasting_level = self._lasting_level(knowledge)
            wait = min(wait, self._seconds_until(lasting_level, level, knowledge))
            # Neither the own bucket nor a free level helps a request that does not fit.
            fitting = units - self._usable_debt(knowledge)
            wait = max(wait, self._seconds_until(fitting, level, knowledge))
        retry_after = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        return QuotaDecision(Verdict.REFUSE, regime, level, retry_after)

    def _seconds_until(self, wanted: float, level: float, knowledge: QuotaKnowledge) -> float:
        """Return the seconds until the common level is as wanted if nothing else is granted."""
        missing = max(0.0, wanted - level)
        rate = self.quota.rate * knowledge.part  # rounded to zero if it is too small for a float
        return missing / rate if rate > 0 else MAX_RETRY_SECONDS
