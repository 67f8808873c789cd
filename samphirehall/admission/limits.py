"""Per-customer limits of requests and tokens per second and of requests in flight."""

import math
import random
from collections.abc import Iterable, Iterator

from samphirehall.admission.quota import HostQuota, Quota, QuotaBounds, QuotaKnowledge, Verdict
from samphirehall.admission.quota_ledger import QuotaLedger, SourceCount
from samphirehall.configuration.documents import CustomerPart
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED

BURST_SECONDS = 2.0
IN_FLIGHT_RETRY_AFTER_SECONDS = 1.0
HOST_STALE_SECONDS = 3.0  # six rounds of published counts
REQUESTS, TOKENS = "requests", "tokens"


class CustomerLimits:
    """Enforces the limits of each customer over all hosts together.

    Every host keeps the common level itself, from its own grants and the published counts of the
    others. Hosts whose counts are not heard are left their equal part.

    Parameters
    ----------
    now : float
        Boot clock in seconds.
    random_source : Random
        Source of the dither of the host's own buckets.
    """

    def __init__(self, *, now: float, random_source: random.Random | None = None) -> None:
        self._random = random_source or random.Random()
        self._bounds = QuotaBounds()
        self._quotas: dict[str, Quota] = {}
        self._hosts: dict[str, HostQuota] = {}
        self._published: dict[str, float] = {}
        self._ledger = QuotaLedger(
            self._bounds, stale_seconds=HOST_STALE_SECONDS, starts_full=True, now=now
        )
        self._in_flight: dict[str, int] = {}

    def acquire(
        self, customer: str, part: CustomerPart, tokens: float, *, hosts: int, now: float
    ) -> None:
        """Charge a request to its customer's limits.

        Parameters
        ----------
        customer : str
            Name of the customer.
        part : CustomerPart
            Limits of the customer for all hosts together.
        tokens : float
            Estimated number of prompt and output tokens.
        hosts : int
            Number of hosts that share the limits.
        now : float
            Boot clock in seconds.

        Raises
        ------
        SamphireError
            If a limit is reached; nothing is charged then.
        """
        in_flight = self._in_flight.get(customer, 0)
        if part.max_in_flight is not None and in_flight >= math.ceil(part.max_in_flight / hosts):
            detail = (
                f"customer {customer!r} has {in_flight} requests in flight on this host, limit "
            )
            detail += f"{part.max_in_flight} over {hosts} hosts"
            raise SamphireError(LIMIT_REACHED, detail, retry_after=IN_FLIGHT_RETRY_AFTER_SECONDS)
        requests, used = _name(REQUESTS, customer), _name(TOKENS, customer)
        rates = {requests: part.requests_per_second, used: part.tokens_per_second}
        if any(rate is not None or name in self._quotas for name, rate in rates.items()):
            self._set_rates(rates, now)
            self._ledger.record_known(hosts, now=now)
            self._take(requests, 1.0, now)
            try:
                self._take(used, tokens, now)
            except SamphireError:
                self._adjust(requests, -1.0, now)
                raise
        self._in_flight[customer] = in_flight + 1

    def release(self, customer: str, *, excess_tokens: float, now: float) -> None:
        """Record the end of a request.

        `excess_tokens` is the number of tokens it used above the estimate, negative
        if it used less.
        """
        in_flight = self._in_flight[customer] - 1
        if in_flight:
            self._in_flight[customer] = in_flight
        else:
            del self._in_flight[customer]
        self._adjust(_name(TOKENS, customer), excess_tokens, now)

    def counts(self, *, now: float) -> Iterator[tuple[str, SourceCount]]:
        """Yield the counts of this host for the other ones."""
        for name, host_quota in self._hosts.items():
            granted, demand = max(0.0, host_quota.granted), host_quota.demand.rate(now=now)
            uncounted = max(0.0, granted - self._published.get(name, 0.0))
            self._published[name] = granted
            yield name, SourceCount(granted, uncounted, demand)

    def receive(
        self, host: str, epoch: str, counts: Iterable[tuple[str, SourceCount]], *, now: float
    ) -> None:
        """Receive the counts of another host; `epoch` is the incarnation of its process."""
        self._ledger.record(host, epoch, counts, now=now)

    def _set_rates(self, rates: dict[str, float | None], now: float) -> None:
        quotas = dict(self._quotas)
        for name, rate in rates.items():
            if rate is None:
                quotas.pop(name, None)
                continue
            quota = quotas[name] = Quota(rate, max(1.0, rate * BURST_SECONDS))
            host_quota = self._hosts.setdefault(name, HostQuota(quota, self._bounds, self._random))
            host_quota.quota = quota
        if quotas != self._quotas:
            self._quotas = quotas
            self._ledger.set_quotas(quotas, now=now)

    def _take(self, name: str, units: float, now: float) -> None:
        """Charge units to one limit, if it exists.

        A request for more units than this host's part of the burst needs a full bucket, and leaves
        it overdrawn.

        Raises
        ------
        SamphireError
            The limit is reached.
        """
        quota = self._quotas.get(name)
        if quota is None:
            return
        host_quota = self._hosts[name]
        level = self._ledger.level(name, now=now)
        demand = self._ledger.demand(name, now=now) + host_quota.demand.rate(now=now)
        knowledge = QuotaKnowledge(level, demand, *self._ledger.hosts, 0.0)
        needed = min(units, quota.burst * knowledge.part)
        host_quota.demand.record(units, now=now)
        decision = host_quota.decide(needed, knowledge, now=now, waited=True)
        if decision.verdict is not Verdict.GRANT:
            unit, _, customer = name.partition("/")
            detail = f"customer {customer!r} exceeds its limit of {quota.rate} {unit} per second"
            raise SamphireError(LIMIT_REACHED, detail, retry_after=decision.retry_after)
        host_quota.granted += units - needed
        host_quota.acknowledged = host_quota.granted
        self._ledger.charge(name, units, now=now)

    def _adjust(self, name: str, units: float, now: float) -> None:
        """Correct what was charged to a limit, if it exists."""
        if name in self._quotas:
            host_quota = self._hosts[name]
            host_quota.granted += units
            host_quota.acknowledged = host_quota.granted
            self._ledger.charge(name, units, now=now)


def _name(unit: str, customer: str) -> str:
    return f"{unit}/{customer}"
