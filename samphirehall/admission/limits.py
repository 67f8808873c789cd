"""A customer's own limits: requests and tokens a second, and requests in flight."""

import math
from dataclasses import dataclass

from samphirehall.admission.token_bucket import TokenBucket
from samphirehall.configuration.documents import CustomerPart
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED

BURST_SECONDS = 2.0
IN_FLIGHT_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class _Buckets:
    part: CustomerPart
    hosts: int
    requests: TokenBucket | None
    tokens: TokenBucket | None


class CustomerLimits:
    """Limits of all customers on this host, which takes an even part of each rate.

    A change of a customer's part or of the number of hosts starts its buckets
    anew.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Buckets] = {}
        self._in_flight: dict[str, int] = {}

    def enter(
        self, customer: str, part: CustomerPart, tokens: float, *, hosts: int, now: float
    ) -> None:
        """Count a request against its customer's limits.

        Parameters
        ----------
        customer : str
            Name of the customer.
        part : CustomerPart
            Its limits for all hosts together.
        tokens : float
            Estimated prompt and output tokens.
        hosts : int
            Hosts that share the limits.
        now : float
            Boot clock in seconds.

        Raises
        ------
        SamphireError
            A limit is reached; nothing was counted.
        """
        held = self._in_flight.get(customer, 0)
        if part.max_in_flight is not None and held >= math.ceil(part.max_in_flight / hosts):
            detail = f"customer {customer!r} has {held} requests in flight here, limit "
            detail += f"{part.max_in_flight} on {hosts} hosts"
            raise SamphireError(LIMIT_REACHED, detail, retry_after=IN_FLIGHT_RETRY_SECONDS)
        buckets = self._buckets_of(customer, part, hosts, now)
        if buckets.requests is not None and not buckets.requests.take(1.0, now=now):
            wait = buckets.requests.seconds_until(1.0, now=now)
            raise self._rate_error(customer, "requests", part.requests_per_second, wait)
        if buckets.tokens is not None and not buckets.tokens.take(tokens, now=now):
            if buckets.requests is not None:
                buckets.requests.correct(-1.0, now=now)
            wait = buckets.tokens.seconds_until(tokens, now=now)
            raise self._rate_error(customer, "tokens", part.tokens_per_second, wait)
        self._in_flight[customer] = held + 1

    def leave(self, customer: str, *, excess_tokens: float, now: float) -> None:
        """Count a request as over; `excess_tokens` is what it used above the estimate."""
        held = self._in_flight[customer] - 1
        if held:
            self._in_flight[customer] = held
        else:
            del self._in_flight[customer]
        buckets = self._buckets.get(customer)
        if buckets is not None and buckets.tokens is not None:
            buckets.tokens.correct(excess_tokens, now=now)

    def _buckets_of(self, customer: str, part: CustomerPart, hosts: int, now: float) -> _Buckets:
        buckets = self._buckets.get(customer)
        if buckets is None or buckets.part != part or buckets.hosts != hosts:
            buckets = self._buckets[customer] = _Buckets(
                part,
                hosts,
                _bucket(part.requests_per_second, hosts, now),
                _bucket(part.tokens_per_second, hosts, now),
            )
        return buckets

    def _rate_error(
        self, customer: str, unit: str, rate: float | None, wait: float
    ) -> SamphireError:
        detail = f"customer {customer!r} is over {rate} {unit} a second"
        return SamphireError(LIMIT_REACHED, detail, retry_after=max(0.1, wait))


def _bucket(rate: float | None, hosts: int, now: float) -> TokenBucket | None:
    if rate is None:
        return None
    own = rate / hosts
    return TokenBucket(own, max(1.0, own * BURST_SECONDS), now=now)
