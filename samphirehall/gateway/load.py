"""Load of endpoints: requests of this host, and the latest load received from peers."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

RANK_COUNT = 10  # a rank outside 0 to 9 is counted with the nearest of them
MAX_PEER_LOAD_AGE_SECONDS = 1.0  # requests last about as long, so older updates are obsolete


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

    def tokens_up_to(self, rank: int) -> int:
        """Return the tokens that are prefilled before a new prompt of this rank."""
        return sum(self.pending_prefill_tokens[: clamp_rank(rank) + 1])


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Load that a peer published, and the boot-clock time at which it was received.

    `demand` holds the uncached prompt tokens per second of its callers, by service.
    """

    received_at: float
    loads: dict[str, EndpointLoad]
    demand: dict[str, float]


def clamp_rank(rank: int) -> int:
    """Return a rank limited to the range that is counted separately."""
    return min(max(rank, 0), RANK_COUNT - 1)


class LoadTracker:
    """Load by endpoint: that of this host, and that of its peers.

    `change_count` grows with each change of this host's load.
    """

    def __init__(self) -> None:
        self._local: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._peers: dict[str, PeerLoad] = {}
        self.change_count = 0

    @contextmanager
    def track_request(self, endpoint_id: str) -> Iterator[None]:
        """Count a request as in flight at an endpoint while the context is open."""
        load = self._local[endpoint_id]
        load.requests += 1
        self.change_count += 1
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
        self.change_count += 1
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
        peer: str,
        loads: dict[str, EndpointLoad],
        demand: dict[str, float],
        *,
        now: float,
    ) -> None:
        """Replace the load and demand of a peer by those just received."""
        self._peers[peer] = PeerLoad(now, loads, demand)

    def prefill_demand(self, local: float, service: str, *, now: float) -> float:
        """Return the prefill demand on a service over all hosts, in tokens per second."""
        remote = (
            peer.demand.get(service, 0.0)
            for peer in self._peers.values()
            if now - peer.received_at < MAX_PEER_LOAD_AGE_SECONDS
        )
        return local + sum(remote)

    def total_load(self, endpoint_id: str, *, now: float) -> EndpointLoad:
        """Return the load of an endpoint over all hosts."""
        total = EndpointLoad()
        for load in self._endpoint_loads(endpoint_id, now):
            total.requests += load.requests
            for rank, tokens in enumerate(load.pending_prefill_tokens):
                total.pending_prefill_tokens[rank] += tokens
        return total

    def _endpoint_loads(self, endpoint_id: str, now: float) -> Iterator[EndpointLoad]:
        if endpoint_id in self._local:
            yield self._local[endpoint_id]
        for peer in self._peers.values():
            if now - peer.received_at < MAX_PEER_LOAD_AGE_SECONDS and endpoint_id in peer.loads:
                yield peer.loads[endpoint_id]

    def _drop_if_idle(self, endpoint_id: str, load: EndpointLoad) -> None:
        self.change_count += 1
        if load.requests == 0 and not any(load.pending_prefill_tokens):
            self._local.pop(endpoint_id, None)
