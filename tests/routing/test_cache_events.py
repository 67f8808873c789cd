import random

from samphirehall.endpoints.pools import EndpointPools
from samphirehall.routing.cache_events import CacheEvent, CacheEventPoller
from tests.routing.helpers import engine, fleet_of


class TestCacheEventPoller:
    def test_events_update_the_index_and_repeated_ones_are_ignored(self):
        fleet, _ = fleet_of(engine("a"))
        watch = CacheEventPoller(fleet, EndpointPools(), "z1", random.Random(0))
        stored = [CacheEvent(1, 11, True), CacheEvent(2, 12, True), CacheEvent(5, 13, True)]
        watch.apply("a", stored)
        assert fleet.prefixes.matches([11, 12, 13]) == {"a": 3}
        watch.apply("a", [CacheEvent(6, 12, False)])
        watch.apply("a", stored)
        assert fleet.prefixes.matches([11, 12, 13]) == {"a": 1}
