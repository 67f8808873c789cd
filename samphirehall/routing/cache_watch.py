"""Following the cache events that engines publish, late and with gaps."""

import random
from dataclasses import dataclass

import anyio
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.view import EndpointView

ROUND_SECONDS = 1.0
ENGINES_A_ROUND = 8
ANSWER_SECONDS = 0.5
MAX_ANSWER_BYTES = 256 * 1024
HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache; a gap in the numbers means lost events."""

    number: int
    block: int
    stored: bool


class CacheWatch:
    """Takes the engines' cache events into the prefix index.

    Each round asks a bounded number of engines, so that the cost to a host
    does not grow with the fleet; what is missed only makes estimates worse.

    Parameters
    ----------
    fleet : Fleet
        Engines, and the index to keep up to date.
    pools : EndpointPools
        Connections to the engines.
    zone : str
        Availability zone whose engines are asked.
    random_source : random.Random
        Chooses the engines of a round.
    """

    def __init__(
        self, fleet: Fleet, pools: EndpointPools, zone: str, random_source: random.Random
    ) -> None:
        self._fleet = fleet
        self._pools = pools
        self._zone = zone
        self._random = random_source
        self._seen: dict[str, int] = {}

    async def run(self) -> None:
        """Ask some engines each round until cancelled."""
        while True:
            await anyio.sleep(ROUND_SECONDS)
            engines = self._fleet.engines(self._zone, now=boot_seconds())
            asked = self._random.sample(engines, min(ENGINES_A_ROUND, len(engines)))
            async with anyio.create_task_group() as group:
                for view in asked:
                    group.start_soon(self._ask, view)

    def take(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Bring the index up to an engine's events; older and repeated ones are left out."""
        seen = self._seen.get(endpoint_id, 0)
        for event in events:
            if event.number <= seen:
                continue
            seen = event.number
            if event.stored:
                self._fleet.prefixes.store(endpoint_id, [event.block])
            else:
                self._fleet.prefixes.remove(endpoint_id, event.block)
        self._seen[endpoint_id] = seen

    async def _ask(self, view: EndpointView) -> None:
        endpoint_id = view.info.endpoint_id
        after = self._seen.get(endpoint_id, 0)
        events = await _fetch(self._pools.pool_for(view.info.address), after)
        self.take(endpoint_id, events)


async def _fetch(pool: ConnectionPool, after: int) -> list[CacheEvent]:
    try:
        with anyio.fail_after(ANSWER_SECONDS):
            async with pool.request("GET", f"/cache-events?after={after}") as response:
                body = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
                if response.status != HTTP_OK:
                    return []
                return msgspec.json.decode(body, type=list[CacheEvent])
    except (*TRANSPORT_ERRORS, TimeoutError, ValueError):
        return []
