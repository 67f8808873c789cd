"""Polling of the cache events that engines publish."""

import random
from dataclasses import dataclass

import anyio
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.decoding import Unsigned, decode
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.view import EndpointView

POLL_INTERVAL_SECONDS = 1.0
MAX_ENGINES_PER_ROUND = 8
RESPONSE_TIMEOUT_SECONDS = 0.5
MAX_RESPONSE_BYTES = 256 * 1024
HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache; a gap in the numbers means lost events.

    `block` is the hash of a block, and `stored` is false if it was evicted.
    """

    number: Unsigned
    block: int
    stored: bool


_decoder = msgspec.json.Decoder(list[CacheEvent])


class CacheEventPoller:
    """Applies the engines' cache events to the prefix index.

    Each round polls a bounded random sample of the engines, so that the cost
    per host does not grow with the fleet. Missed events only make the
    estimates less accurate.

    Parameters
    ----------
    fleet : Fleet
        Endpoints to poll, and the prefix index to update.
    pools : EndpointPools
        Connection pools of the engines.
    zone : str
        Availability zone whose engines are polled.
    random_source : random.Random
        Source of the random sample.
    """

    def __init__(
        self, fleet: Fleet, pools: EndpointPools, zone: str, random_source: random.Random
    ) -> None:
        self._fleet = fleet
        self._pools = pools
        self._zone = zone
        self._random = random_source
        self._last_event_numbers: dict[str, int] = {}

    async def run(self) -> None:
        """Poll a sample of the engines in each round, until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            engines = self._fleet.engines(self._zone, now=boot_seconds())
            sampled = self._random.sample(engines, min(MAX_ENGINES_PER_ROUND, len(engines)))
            async with anyio.create_task_group() as group:
                for view in sampled:
                    group.start_soon(self._poll, view)

    def apply(self, endpoint_id: str, events: list[CacheEvent]) -> None:
        """Apply an engine's events to the index, ignoring those already applied."""
        last_number = self._last_event_numbers.get(endpoint_id, 0)
        for event in events:
            if event.number <= last_number:
                continue
            last_number = event.number
            if event.stored:
                self._fleet.prefixes.store(endpoint_id, [event.block])
            else:
                self._fleet.prefixes.remove_block(endpoint_id, event.block)
        self._last_event_numbers[endpoint_id] = last_number

    async def _poll(self, view: EndpointView) -> None:
        endpoint_id = view.info.endpoint_id
        after = self._last_event_numbers.get(endpoint_id, 0)
        events = await _fetch(self._pools.pool_for(view.info.address), after)
        self.apply(endpoint_id, events)


async def _fetch(pool: ConnectionPool, after: int) -> list[CacheEvent]:
    try:
        with anyio.fail_after(RESPONSE_TIMEOUT_SECONDS):
            async with pool.request("GET", f"/cache-events?after={after}") as response:
                body = await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
                if response.status != HTTP_OK:
                    return []
                return decode(body, _decoder)
    except (*TRANSPORT_ERRORS, TimeoutError, ValueError):
        return []
