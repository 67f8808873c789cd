"""Fair shares of customers in the work that a service does.

Work is counted in tokens: uncached prompt tokens and output tokens. A host counts exactly what it
served and refused, and receives what others did. All counts decay exponentially at the same rate
everywhere, so a count that nobody adds to needs no message. The fair share is the max-min share of
the served work over what customers asked for, which is what they were served and refused. Without
refusals all demands are met, and there is no share to compare with.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

DECAY_SECONDS = 4.0  # some times a request's duration, and shorter than a change of the load
COMPUTATION_INTERVAL_SECONDS = 0.05  # between computations of the share; hosts hear less often
MIN_REFUSED_FRACTION = 0.01  # of the served work; below it the service counts as keeping up
MIN_TOLD_FRACTION = 0.005  # of the served work, from which hubs tell others of it
PICTURE_AGE_SECONDS = 0.15  # by which hosts know late what other hosts send to engines
# Factors of the bound of the wait for customers that were served nothing, just their share, and
# far more.
NO_USE_WAIT_FACTOR = 2.0
FULL_USE_WAIT_FACTOR = 1.0
MIN_WAIT_FACTOR = 0.5  # queues shorter than about the age of the picture run empty unseen
OVERUSE_EXPONENT = 2.0  # of the use, by which the bound falls above the share
# Hosts admit somewhat more of the excess than the share, as engines would idle by any error below.
EXCESS_MARGIN = 1.15
MIN_USE = 1e-3  # keeps a quotient finite
# Fractions of its share in use between which a customer's urgent work stops to overtake other work.
# If it stops later, the other work gets less than half of its share.
FULL_OVERTAKING_USE, NO_OVERTAKING_USE = 0.6, 1.0
MAX_CUSTOMERS = 2048  # of one service; further ones are known only to the hosts that serve them
MAX_SERVICES = 64
MIN_WORK_TOKENS = 1.0  # smaller remains are dropped
COMPACTION_SECONDS = 10.0
SOURCE_TIMEOUT_SECONDS = 30.0  # the work of a silent source has decayed to a thousandth by then

MAX_CHANGED_CUSTOMERS = 16  # per update, which must fit one packet with all else
MIN_CHANGE_FRACTION = 0.01  # of all work; a smaller change does not alter a decision
REFRESH_SECONDS = 2.0  # after which a receiver may lack an update; datagrams are lost

Rates = Mapping[str, tuple[float, float]]  # served and refused tokens per second by customer


@dataclass(slots=True, frozen=True)
class CustomerShare:
    """Share of a customer in a service that does not keep up with its demand.

    Parameters
    ----------
    served, demand, fair : float
        Tokens per second that the customer was served, that it asked for, and its fair share.
    """

    served: float
    demand: float
    fair: float

    @property
    def use(self) -> float:
        """Served work as a fraction of the fair share."""
        return self.served / self.fair

    @property
    def wait_factor(self) -> float:
        """Factor of the queue wait up to which requests of the customer are admitted."""
        if self.use <= 1:
            return NO_USE_WAIT_FACTOR + (FULL_USE_WAIT_FACTOR - NO_USE_WAIT_FACTOR) * self.use
        return max(MIN_WAIT_FACTOR, FULL_USE_WAIT_FACTOR * self.use**-OVERUSE_EXPONENT)

    @property
    def admitted_fraction(self) -> float:
        """Fraction of the customer's requests that fit its share.

        The fraction grows to all of them while the customer uses little of its share.
        """
        fitting = EXCESS_MARGIN * self.fair / max(self.fair, self.demand)
        return min(1.0, fitting / max(self.use, MIN_USE))

    @property
    def urgency(self) -> float:
        """Fraction of the less urgent work that the customer's requests may overtake.

        A customer above its share overtakes nothing, so that urgent work of some customers
        does not starve the other work of others.
        """
        span = NO_OVERTAKING_USE - FULL_OVERTAKING_USE
        return min(1.0, max(0.0, (NO_OVERTAKING_USE - self.use) / span))

    @property
    def seconds_above(self) -> float:
        """Seconds after which the served work has decayed to the fair share."""
        return DECAY_SECONDS * math.log(self.use) if self.use > 1 else 0.0


@dataclass(slots=True)
class _Work:
    served: float = 0.0
    refused: float = 0.0

    def add(self, served: float, refused: float) -> None:
        self.served = max(0.0, self.served + served)
        self.refused = max(0.0, self.refused + refused)


class FairShares:
    """Work by customer of one service: that of this host, and that received from others."""

    def __init__(self) -> None:
        # Amounts are scaled by exp((now - epoch) / DECAY_SECONDS), so that none has to decay.
        self._epoch = 0.0
        self._own: dict[str, _Work] = {}
        self._received: dict[str, dict[str, _Work]] = {}
        self._heard_at: dict[str, float] = {}
        self._total: dict[str, _Work] = {}
        self._fair: float | None = None
        self._fair_at = float("-inf")

    @property
    def sources(self) -> Collection[str]:
        """Sources of the work received from others."""
        return self._received.keys()

    def record_served(self, customer: str, tokens: float, *, now: float) -> None:
        """Record work that this host had done for a customer."""
        self._record(customer, tokens, 0.0, now)

    def record_refused(self, customer: str, tokens: float, *, now: float) -> None:
        """Record work that this host refused to a customer."""
        self._record(customer, 0.0, tokens, now)

    def receive(self, source: str, rates: Rates, *, now: float) -> None:
        """Replace the work of some customers that a source has stated before."""
        scale = self._scale(now)
        self._heard_at[source] = now
        received = self._received.setdefault(source, {})
        for customer, (served, refused) in rates.items():
            if customer not in self._total and len(self._total) >= MAX_CUSTOMERS:
                continue
            new = _Work(served * DECAY_SECONDS * scale, refused * DECAY_SECONDS * scale)
            old = received.get(customer, _Work())
            received[customer] = new
            total = self._total.setdefault(customer, _Work())
            total.add(new.served - old.served, new.refused - old.refused)

    def forget(self, source: str) -> None:
        """Discard the work of a source that is now counted elsewhere."""
        self._heard_at.pop(source, None)
        for customer, work in self._received.pop(source, {}).items():
            self._total[customer].add(-work.served, -work.refused)

    def own_rates(self, *, now: float) -> Rates:
        """Return the work of this host in tokens per second."""
        return self._rates(self._own, now)

    def total_rates(self, *, now: float, without: Collection[str] = ()) -> Rates:
        """Return the work of this host and all sources but some, in tokens per second."""
        self._scale(now)
        works = {name: _Work(work.served, work.refused) for name, work in self._total.items()}
        for source in without:
            for customer, work in self._received.get(source, {}).items():
                works[customer].add(-work.served, -work.refused)
        return self._rates(works, now)

    def is_worth_telling(self) -> bool:
        """Return whether so much work is refused that other hosts may soon need the shares."""
        served = sum(work.served for work in self._total.values())
        refused = sum(work.refused for work in self._total.values())
        return refused > MIN_TOLD_FRACTION * served

    def fair_rate(self, *, now: float) -> float | None:
        """Return the fair share in tokens per second; None while all demand is met."""
        scale = self._scale(now)
        if now - self._fair_at >= COMPUTATION_INTERVAL_SECONDS:
            self._fair_at = now
            level = _fair_level(self._total.values())
            self._fair = None if level is None else level / scale / DECAY_SECONDS
        return self._fair

    def share(self, customer: str, *, now: float) -> CustomerShare | None:
        """Return the share of a customer, or None while the service keeps up with the demand."""
        scale, fair = self._scale(now), self.fair_rate(now=now)
        if fair is None:
            return None
        work = self._total.get(customer, _Work())
        served, refused = (tokens / scale / DECAY_SECONDS for tokens in (work.served, work.refused))
        return CustomerShare(served, served + refused, fair)

    def _record(self, customer: str, served: float, refused: float, now: float) -> None:
        scale = self._scale(now)
        for works in (self._own, self._total):
            works.setdefault(customer, _Work()).add(served * scale, refused * scale)

    def _rates(self, works: Mapping[str, _Work], now: float) -> Rates:
        divisor = self._scale(now) * DECAY_SECONDS
        return {
            customer: (work.served / divisor, work.refused / divisor)
            for customer, work in works.items()
        }

    def _scale(self, now: float) -> float:
        if now - self._epoch >= COMPACTION_SECONDS:
            self._compact(now)
        return math.exp((now - self._epoch) / DECAY_SECONDS)

    def _compact(self, now: float) -> None:
        """Move the epoch to `now`, and drop what has decayed."""
        factor = math.exp(-(now - self._epoch) / DECAY_SECONDS)
        self._epoch, self._fair_at = now, float("-inf")
        for source, heard_at in list(self._heard_at.items()):
            if now - heard_at >= SOURCE_TIMEOUT_SECONDS:
                del self._heard_at[source], self._received[source]
        self._own = _decayed(self._own, factor)
        self._received = {name: _decayed(works, factor) for name, works in self._received.items()}
        self._total = {}
        for works in (self._own, *self._received.values()):
            for customer, work in works.items():
                self._total.setdefault(customer, _Work()).add(work.served, work.refused)


class FairShareTable:
    """Fair shares by service."""

    def __init__(self) -> None:
        self._services: dict[str, FairShares] = {}

    @property
    def services(self) -> Mapping[str, FairShares]:
        """Services with work."""
        return self._services

    def short_count(self, *, now: float) -> int:
        """Return the number of services that do not keep up with their demand."""
        return sum(shares.fair_rate(now=now) is not None for shares in self._services.values())

    def of(self, service: str) -> FairShares:
        """Return the fair shares of a service that the configuration names."""
        return self._services.setdefault(service, FairShares())

    def receive(self, source: str, rates: Mapping[str, Rates], *, now: float) -> None:
        """Receive work by service; see `FairShares.receive`."""
        for service, work in rates.items():
            if service in self._services or len(self._services) < MAX_SERVICES:
                self.of(service).receive(source, work, now=now)

    def forget(self, source: str) -> None:
        """Discard the work of a source that is now counted elsewhere."""
        for shares in self._services.values():
            shares.forget(source)


class ChangedRates:
    """Chooses the customers whose work a receiver knows least well."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[float, tuple[float, float]]] = {}

    def take(self, rates: Rates, *, now: float) -> dict[str, tuple[int, int]]:
        """Return the rates that changed most since they were sent, at most 16 customers."""
        least = max(1.0, MIN_CHANGE_FRACTION * sum(map(sum, rates.values())))
        changes = {customer: self._change(customer, rate, now) for customer, rate in rates.items()}
        changed = [customer for customer, change in changes.items() if change >= least]
        chosen = sorted(changed, key=changes.__getitem__, reverse=True)[:MAX_CHANGED_CUSTOMERS]
        self._sent = {name: sent for name, sent in self._sent.items() if name in rates}
        for customer in chosen:
            self._sent[customer] = now, rates[customer]
        return {name: (round(rates[name][0]), round(rates[name][1])) for name in chosen}

    def _change(self, customer: str, rate: tuple[float, float], now: float) -> float:
        sent_at, (served, refused) = self._sent.get(customer, (float("-inf"), (0.0, 0.0)))
        if now - sent_at >= REFRESH_SECONDS:
            return sum(rate)
        decay = math.exp(-(now - sent_at) / DECAY_SECONDS)
        return abs(rate[0] - served * decay) + abs(rate[1] - refused * decay)


def max_min_level(demands: Collection[float], capacity: float) -> float | None:
    """Return the largest share that all demands together leave; None if they can all be met."""
    left = capacity
    for position, demand in enumerate(sorted(demands)):
        waiting = len(demands) - position
        if demand * waiting > left:
            return left / waiting
        left -= demand
    return None


def _fair_level(works: Collection[_Work]) -> float | None:
    """Return the fair share in the unit of the works; None while refusals are negligible."""
    served = sum(work.served for work in works)
    refused = sum(work.refused for work in works)
    if served <= 0 or refused < MIN_REFUSED_FRACTION * served:
        return None
    return max_min_level([work.served + work.refused for work in works], served)


def _decayed(works: Mapping[str, _Work], factor: float) -> dict[str, _Work]:
    return {
        customer: _Work(work.served * factor, work.refused * factor)
        for customer, work in works.items()
        if (work.served + work.refused) * factor >= MIN_WORK_TOKENS
    }
