"""Load of endpoints: requests of this host, and the latest load received from other hosts."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

RANK_COUNT = 10  # a rank outside 0 to 9 is counted with the nearest of them
MAX_LOAD_AGE_SECONDS = 1.0  # requests last about as long, so older updates are obsolete


@dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint.

    Parameters
    ----------
    requests : int
        Requests in flight.
    pending_prefill_tokens : list of int
        Prompt tokens still to be prefilled, by rank.
    """

    requests: int = 0
    pending_prefill_tokens: list[int] = field(default_factory=lambda: [0] * RANK_COUNT)

    def to_numbers(self) -> list[int]:
        """Return the requests, then the pending tokens by rank."""
        return [self.requests, *self.pending_prefill_tokens]

    @classmethod
    def from_numbers(cls, numbers: Sequence[int]) -> "EndpointLoad | None":
        """Return the load encoded by `to_numbers`, or None if the count of numbers is wrong."""
        if len(numbers) != 1 + RANK_COUNT:
            return None
        return cls(numbers[0], list(numbers[1:]))

    def add(self, numbers: Sequence[int], *, sign: int = 1) -> None:
        """Add, or with a `sign` of -1 subtract, a load; a negative result counts as none."""
        self.requests = max(0, self.requests + sign * numbers[0])
        for rank, tokens in enumerate(numbers[1:]):
            pending = self.pending_prefill_tokens
            pending[rank] = max(0, pending[rank] + sign * tokens)

    def tokens_up_to(self, rank: int) -> int:
        """Return the tokens that are prefilled before a new prompt of this rank."""
        return sum(self.pending_prefill_tokens[: clamp_rank(rank) + 1])


@dataclass(slots=True, frozen=True)
class ReceivedLoad:
    """Load received from a host or a zone, and the boot-clock time at which it was received.

    `demand` holds the uncached prompt tokens per second of its callers, by service.
    """

    received_at: float
    loads: Mapping[str, EndpointLoad]
    demand: Mapping[str, float]


def decode_loads(numbers_by_endpoint: Mapping[str, Sequence[int]]) -> dict[str, EndpointLoad]:
    """Decode loads by endpoint; entries of the wrong length are left out."""
    decoded = {name: EndpointLoad.from_numbers(n) for name, n in numbers_by_endpoint.items()}
    return {name: load for name, load in decoded.items() if load is not None}


def subtract_loads(
    total: Mapping[str, EndpointLoad], part: Mapping[str, Sequence[int]]
) -> dict[str, EndpointLoad]:
    """Return the loads that remain of `total` without `part`; `total` is changed."""
    for name, numbers in part.items():
        if name in total:
            total[name].add(numbers, sign=-1)
    return dict(total)


def clamp_rank(rank: int) -> int:
    """Return a rank limited to the range that is counted separately."""
    return min(max(rank, 0), RANK_COUNT - 1)


class LoadTracker:
    """Load by endpoint: that of this host, and those received from other hosts or whole zones.

    `change_count` grows with each change of this host's load; `on_change` is called then.
    """

    def __init__(self) -> None:
        self._local: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._received: dict[str, ReceivedLoad] = {}
        self.change_count = 0
        self.on_change: Callable[[], None] = lambda: None

    @contextmanager
    def track_request(self, endpoint_id: str) -> Iterator[None]:
        """Count a request as in flight at an endpoint while the context is open."""
        load = self._local[endpoint_id]
        load.requests += 1
        self._record_change()
        try:
            yield
        finally:
            load.requests -= 1
            self._drop_if_idle(endpoint_id, load)

    @contextmanager
    def track_prefill(self, endpoint_id: str, tokens: int, rank: int) -> Iterator[None]:
        """Count prompt tokens as pending at an endpoint while the context is open."""
        load = self._local[endpoint_id]
        clamped_rank = clamp_rank(rank)
        load.pending_prefill_tokens[clamped_rank] += tokens
        self._record_change()
        try:
            yield
        finally:
            load.pending_prefill_tokens[clamped_rank] -= tokens
            self._drop_if_idle(endpoint_id, load)

    def local_loads(self) -> dict[str, EndpointLoad]:
        """Return the load caused by this host, by endpoint."""
        return self._local

    def receive(
        self,
        source: str,
        loads: Mapping[str, EndpointLoad],
        demand: Mapping[str, float],
        *,
        now: float,
    ) -> None:
        """Replace the load and demand of a host or zone by those just received."""
        self._received[source] = ReceivedLoad(now, loads, demand)

    def forget(self, sources: Iterable[str]) -> None:
        """Discard what was received from hosts or zones that are now counted elsewhere."""
        for source in sources:
            self._received.pop(source, None)

    def sum_loads(self, sources: Iterable[str], *, now: float) -> dict[str, list[int]]:
        """Return the load of this host and some sources together, as numbers by endpoint."""
        totals: dict[str, EndpointLoad] = {}
        for loads in [self._local, *(fresh.loads for fresh in self._fresh(sources, now))]:
            for name, load in loads.items():
                totals.setdefault(name, EndpointLoad()).add(load.to_numbers())
        return {name: load.to_numbers() for name, load in totals.items()}

    def sum_demand(
        self, local: Mapping[str, float], sources: Iterable[str], *, now: float
    ) -> dict[str, float]:
        """Return the prefill demand of this host and some sources together, by service."""
        totals = dict(local)
        for fresh in self._fresh(sources, now):
            for service, rate in fresh.demand.items():
                totals[service] = totals.get(service, 0.0) + rate
        return totals

    def prefill_demand(self, local: float, service: str, *, now: float) -> float:
        """Return the prefill demand on a service over all hosts, in tokens per second."""
        received = self._fresh(self._received, now)
        return local + sum(source.demand.get(service, 0.0) for source in received)

    def total_load(self, endpoint_id: str, *, now: float) -> EndpointLoad:
        """Return the load of an endpoint over all hosts."""
        total = EndpointLoad()
        for load in self._endpoint_loads(endpoint_id, now):
            total.add(load.to_numbers())
        return total

    def _endpoint_loads(self, endpoint_id: str, now: float) -> Iterator[EndpointLoad]:
        if endpoint_id in self._local:
            yield self._local[endpoint_id]
        for source in self._fresh(self._received, now):
            if endpoint_id in source.loads:
                yield source.loads[endpoint_id]

    def _fresh(self, sources: Iterable[str], now: float) -> Iterator[ReceivedLoad]:
        for source in sources:
            received = self._received.get(source)
            if received is not None and now - received.received_at < MAX_LOAD_AGE_SECONDS:
                yield received

    def _record_change(self) -> None:
        self.change_count += 1
        self.on_change()

    def _drop_if_idle(self, endpoint_id: str, load: EndpointLoad) -> None:
        self._record_change()
        if load.requests == 0 and not any(load.pending_prefill_tokens):
            self._local.pop(endpoint_id, None)
