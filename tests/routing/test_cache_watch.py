import random

from samphirehall.endpoints.pools import EndpointPools
from samphirehall.routing.cache_watch import CacheEvent, CacheWatch
from tests.routing.helpers import engine, fleet_of


class TestCacheWatch:
    def test_events_come_into_the_index_and_repeats_do_not(self):
        fleet, _ = fleet_of(engine("a"))
        watch = CacheWatch(fleet, EndpointPools(), "z1", random.Random(0))
        stored = [CacheEvent(1, 11, True), CacheEvent(2, 12, True), CacheEvent(5, 13, True)]
        watch.take("a", stored)
        assert fleet.prefixes.matches([11, 12, 13]) == {"a": 3}
        watch.take("a", [CacheEvent(6, 12, False)])
        watch.take("a", stored)
        assert fleet.prefixes.matches([11, 12, 13]) == {"a": 1}
