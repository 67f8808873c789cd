"""Per-customer limits of requests and tokens per second and of requests in flight."""

import math
from dataclasses import dataclass

from samphirehall.admission.token_bucket import TokenBucket
from samphirehall.configuration.documents import CustomerPart
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED

BURST_SECONDS = 2.0
IN_FLIGHT_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class _Buckets:
    part: CustomerPart
    hosts: int
    requests: TokenBucket | None
    tokens: TokenBucket | None


class CustomerLimits:
    """Enforces this host's even part of the limits of each customer.

    If a customer's configuration or the number of hosts changes, its token
    buckets are replaced by full ones.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Buckets] = {}
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
        buckets = self._get_buckets(customer, part, hosts, now)
        if buckets.requests is not None and not buckets.requests.take(1.0, now=now):
            wait_seconds = buckets.requests.seconds_until(1.0, now=now)
            raise self._rate_error(customer, "requests", part.requests_per_second, wait_seconds)
        if buckets.tokens is not None and not buckets.tokens.take(tokens, now=now):
            if buckets.requests is not None:
                buckets.requests.adjust(-1.0, now=now)
            wait_seconds = buckets.tokens.seconds_until(tokens, now=now)
            raise self._rate_error(customer, "tokens", part.tokens_per_second, wait_seconds)
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
        buckets = self._buckets.get(customer)
        if buckets is not None and buckets.tokens is not None:
            buckets.tokens.adjust(excess_tokens, now=now)

    def _get_buckets(self, customer: str, part: CustomerPart, hosts: int, now: float) -> _Buckets:
        buckets = self._buckets.get(customer)
        if buckets is None or buckets.part != part or buckets.hosts != hosts:
            buckets = self._buckets[customer] = _Buckets(
                part,
                hosts,
                _make_bucket(part.requests_per_second, hosts, now),
                _make_bucket(part.tokens_per_second, hosts, now),
            )
        return buckets

    def _rate_error(
        self, customer: str, unit: str, rate: float | None, wait_seconds: float
    ) -> SamphireError:
        detail = f"customer {customer!r} exceeds its limit of {rate} {unit} per second"
        return SamphireError(LIMIT_REACHED, detail, retry_after=max(0.1, wait_seconds))


def _make_bucket(rate: float | None, hosts: int, now: float) -> TokenBucket | None:
    if rate is None:
        return None
    host_rate = rate / hosts
    return TokenBucket(host_rate, max(1.0, host_rate * BURST_SECONDS), now=now)
