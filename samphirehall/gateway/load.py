"""Work that hosts have sent to endpoints: their own, and what others told last."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

RANKS = 10  # ranks of urgency that are told apart
PEER_LOAD_SECONDS = 1.0  # older news of a peer's work says nothing: requests last about as long


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
    unread_tokens: list[int] = field(default_factory=lambda: [0] * RANKS)

    def tokens_up_to(self, rank: int) -> int:
        """Return the tokens that are read before a new prompt of this rank."""
        return sum(self.unread_tokens[: clamp_rank(rank) + 1])


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """What a peer said of its work, and when it was heard on the boot clock.

    `demand` holds the prompt tokens a second that its callers ask for, by service.
    """

    heard_at: float
    loads: dict[str, EndpointLoad]
    demand: dict[str, float]


def clamp_rank(rank: int) -> int:
    """Return a rank within the range that is told apart."""
    return min(max(rank, 0), RANKS - 1)


class LoadBoard:
    """Own work by endpoint, and that of peers."""

    def __init__(self) -> None:
        self._own: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._peers: dict[str, PeerLoad] = {}
        self.changes = 0

    @contextmanager
    def request(self, endpoint_id: str) -> Iterator[None]:
        """Count a request at an endpoint while the context lasts."""
        load = self._own[endpoint_id]
        load.requests += 1
        self.changes += 1
        try:
            yield
        finally:
            load.requests -= 1
            self._drop_if_idle(endpoint_id, load)

    @contextmanager
    def reading(self, endpoint_id: str, tokens: int, rank: int) -> Iterator[None]:
        """Count prompt tokens that an endpoint has to read while the context lasts."""
        load = self._own[endpoint_id]
        place = clamp_rank(rank)
        load.unread_tokens[place] += tokens
        self.changes += 1
        try:
            yield
        finally:
            load.unread_tokens[place] -= tokens
            self._drop_if_idle(endpoint_id, load)

    def own(self) -> dict[str, EndpointLoad]:
        """Return this host's work."""
        return self._own

    def hear(
        self,
        peer: str,
        loads: dict[str, EndpointLoad],
        demand: dict[str, float],
        *,
        now: float,
    ) -> None:
        """Replace what is known of a peer's work."""
        self._peers[peer] = PeerLoad(now, loads, demand)

    def reading_demand(self, own: float, service: str, *, now: float) -> float:
        """Return the prompt tokens a second that all hosts' callers ask of a service."""
        heard = (
            peer.demand.get(service, 0.0)
            for peer in self._peers.values()
            if now - peer.heard_at < PEER_LOAD_SECONDS
        )
        return own + sum(heard)

    def at(self, endpoint_id: str, *, now: float) -> EndpointLoad:
        """Return the work of all hosts at an endpoint."""
        total = EndpointLoad()
        for load in self._loads_of(endpoint_id, now):
            total.requests += load.requests
            for rank, tokens in enumerate(load.unread_tokens):
                total.unread_tokens[rank] += tokens
        return total

    def _loads_of(self, endpoint_id: str, now: float) -> Iterator[EndpointLoad]:
        if endpoint_id in self._own:
            yield self._own[endpoint_id]
        for peer in self._peers.values():
            if now - peer.heard_at < PEER_LOAD_SECONDS and endpoint_id in peer.loads:
                yield peer.loads[endpoint_id]

    def _drop_if_idle(self, endpoint_id: str, load: EndpointLoad) -> None:
        self.changes += 1
        if load.requests == 0 and not any(load.unread_tokens):
            self._own.pop(endpoint_id, None)
