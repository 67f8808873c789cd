"""Work that hosts have sent to endpoints: their own, and what others told last."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

RANK_COUNT = 10  # ranks of urgency that are told apart
MAX_PEER_LOAD_AGE_SECONDS = (
    1.0  # older news of a peer's work says nothing: requests last about as long
)


@dataclass(slots=True)
class EndpointLoad:
    """Work at one endpoint.

    Parameters
    ----------
    requests : int
        Requests sent and not answered in full.
    unread_tokens : list of int
        Prompt tokens that are still to be read, by rank of urgency.
    """

    requests: int = 0
    pending_prefill_tokens: list[int] = field(default_factory=lambda: [0] * RANK_COUNT)

    def tokens_up_to(self, rank: int) -> int:
        """Return the tokens that are read before a new prompt of this rank."""
        return sum(self.pending_prefill_tokens[: clamp_rank(rank) + 1])


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """What a peer said of its work, and when it was heard on the boot clock.

    `demand` holds the prompt tokens a second that its callers ask for, by service.
    """

    received_at: float
    loads: dict[str, EndpointLoad]
    demand: dict[str, float]


def clamp_rank(rank: int) -> int:
    """Return a rank within the range that is told apart."""
    return min(max(rank, 0), RANK_COUNT - 1)


class LoadTracker:
    """Own work by endpoint, and that of peers."""

    def __init__(self) -> None:
        self._local: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._peers: dict[str, PeerLoad] = {}
        self.change_count = 0

    @contextmanager
    def track_request(self, endpoint_id: str) -> Iterator[None]:
        """Count a request at an endpoint while the context lasts."""
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
        """Count prompt tokens that an endpoint has to read while the context lasts."""
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
        """Return this host's work."""
        return self._local

    def receive(
        self,
        peer: str,
        loads: dict[str, EndpointLoad],
        demand: dict[str, float],
        *,
        now: float,
    ) -> None:
        """Replace what is known of a peer's work."""
        self._peers[peer] = PeerLoad(now, loads, demand)

    def prefill_demand(self, local: float, service: str, *, now: float) -> float:
        """Return the prompt tokens a second that all hosts' callers ask of a service."""
        remote = (
            peer.demand.get(service, 0.0)
            for peer in self._peers.values()
            if now - peer.received_at < MAX_PEER_LOAD_AGE_SECONDS
        )
        return local + sum(remote)

    def total_load(self, endpoint_id: str, *, now: float) -> EndpointLoad:
        """Return the work of all hosts at an endpoint."""
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
