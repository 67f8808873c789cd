"""Software version of streams in the store: faults, bounds, and random interleavings of both."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirehall.backing.table import Write
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import STREAM_UNKNOWN
from samphirehall.gateway.fleet import Fleet
from samphirehall.gateway.stream_store import (
    BASE_MOVE_SECONDS,
    BASE_PREFIX,
    BEGUN_PREFIX,
    SCAN_INTERVAL_SECONDS,
    StreamStore,
)
from samphirehall.routing.stream_versions import (
    MAX_RECORDS,
    RECORD_ALL_SECONDS,
    STREAM_LIFETIME_SECONDS,
)
from tests.gateway.helpers import MODEL, listed
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

V1, V2, V3 = VERSIONS = ("v1", "v2", "v3")
STEP_SECONDS = 2.0
LONGEST = 90.0


class SeenTable:
    """A host's view of the store: its era is the newest that an answer has stated."""

    def __init__(self, table):
        self._table = table
        self.era = 0

    async def transact(self, checks, writes):
        result = await self._table.transact(checks, writes)
        self.era = self._table.era
        return result

    async def read(self, keys):
        rows = await self._table.read(keys)
        self.era = self._table.era
        return rows

    async def scan(self, prefix, *, limit=1000):
        rows = await self._table.scan(prefix, limit=limit)
        self.era = self._table.era
        return rows


class World:
    """Hosts, engines of several versions, and the store, on one clock."""

    def __init__(self, hosts=2, *, offsets=(0.0, 0.0, 0.0), engines=(V1,)):
        self.now = 1000.0
        self.table = FaultyTable()
        self.offsets = offsets
        self.engines = set(engines)
        self.lagging = set()
        self.incarnation = 0
        self.streams = []
        self.hosts = [self.start(index) for index in range(hosts)]
        self.copy = self.table.store.copy()

    def start(self, index):
        self.incarnation += 1
        fleet = Fleet()
        offset = self.offsets[index]
        table = SeenTable(self.table)
        store = StreamStore(
            table,
            fleet,
            f"host-{index}/{self.incarnation}",
            is_hub=lambda: index == 0,
            list_is_current=lambda: True,
            list_era=lambda: table.era,
            list_complete_until=lambda: self.now,
            clock=lambda: self.now,
            agreed_time=lambda: 1e9 + self.now + offset,
        )
        store.fleet = fleet
        self._list(store)
        return store

    def restart(self, index):
        self.hosts[index] = self.start(index)

    def toggle(self, version):
        self.engines ^= {version}
        for index, store in enumerate(self.hosts):
            if index not in self.lagging:
                self._list(store)

    def _list(self, store):
        for version in VERSIONS:
            if version in self.engines and version not in store.fleet:
                entry = listed(version, service="model", stage="decode", software_version=version)
                store.fleet.update(entry, MODEL, now=self.now)
            elif version not in self.engines and version in store.fleet:
                store.fleet.remove(version, now=self.now)

    async def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + STEP_SECONDS)
            self.lagging.clear()
            for store in self.hosts:
                self._list(store)
                await store.follow_bases()
                await store.write()

    async def begin(self, index, version, *, lifetime=STREAM_LIFETIME_SECONDS):
        """Begin a stream; return its number, or None if the host does not begin it there."""
        store = self.hosts[index]
        if version not in self.engines or version not in store.fleet:
            return None
        try:
            required = store.begin_version("model")
        except SamphireError:
            return None
        if required not in (None, version) and required in store.fleet:
            return None
        number = len(self.streams)
        recording = store.begin(f"r{number}", "model", version, lifetime)
        if not recording.stored.is_set():
            await store.write()
        if not recording.stored.is_set() and not store.versions.may_go_unrecorded(
            recording.stream, agreed=1e9 + self.now + self.offsets[index]
        ):
            self.streams.append((None, self.now))
            return None
        is_safe = recording.stored.is_set() or self._is_implied(store, version, lifetime)
        self.streams.append((version if is_safe else None, self.now + lifetime))
        return number

    def _is_implied(self, store, version, lifetime):
        """Return whether a stream without a record is taken for one of this version to its end.

        If not, it was passed on because no engine of the implied version is left to join it with,
        and is safe only as long as none comes back.
        """
        base = store.versions.base("model")
        times = (1e9 + self.now, 1e9 + self.now + lifetime)
        return (
            base is not None
            and lifetime <= STREAM_LIFETIME_SECONDS
            and all(base.implied_version(era=0, agreed=time) in (None, version) for time in times)
        )

    async def check(self):
        """Check for each stream that no host lets it go on at another version."""
        for number, (version, ends_at) in enumerate(self.streams):
            if version is not None and self.now < ends_at:
                for index, store in enumerate(self.hosts):
                    store._last_scan_at = float("-inf")
                    found = await self.take_up(index, number, after=0.0, lifetime=LONGEST)
                    assert found in (None, version), f"r{number} at host {index}"

    async def take_up(self, index, number, *, after=SCAN_INTERVAL_SECONDS, lifetime=20.0):
        """Return the version at which a host lets a stream go on, or None if it refuses it."""
        self.now += after
        try:
            found = await self.hosts[index].origin(
                f"r{number}", "model", lifetime, arrived=self.now
            )
        except SamphireError as error:
            assert error.result is STREAM_UNKNOWN
            return None
        return found.version if found.version in self.engines else None


class TestBaseVersion:
    async def test_no_stream_is_recorded_while_one_version_serves(self):
        world = World()
        await world.advance(10.0)
        number = await world.begin(0, V1)
        assert await world.table.scan(BEGUN_PREFIX) == []
        assert await world.take_up(1, number) == V1

    async def test_stream_of_another_version_is_recorded_before_its_first_event(self):
        world = World(engines=(V1, V1, V2))
        await world.advance(10.0)
        number = await world.begin(0, V2)
        assert len(await world.table.scan(BEGUN_PREFIX)) == 1
        assert await world.take_up(1, number) == V2

    async def test_base_moves_once_no_engine_of_it_is_left_for_some_seconds(self):
        world = World()
        await world.advance(10.0)
        number = await world.begin(0, V1)
        world.toggle(V2)
        world.toggle(V1)
        await world.advance(BASE_MOVE_SECONDS - 1.0)
        assert world.table.value(BASE_PREFIX + "model")["version"] == V1
        await world.advance(2 * BASE_MOVE_SECONDS)
        assert world.table.value(BASE_PREFIX + "model")["version"] == V2
        world.toggle(V1)
        assert await world.take_up(1, number) == V1

    async def test_streams_are_recorded_for_two_lifetimes_after_a_move(self):
        world = World()
        await world.advance(10.0)
        world.toggle(V2)
        world.toggle(V1)
        await world.advance(10.0)
        assert await world.begin(0, V2) is not None
        assert len(await world.table.scan(BEGUN_PREFIX)) == 1
        await world.advance(RECORD_ALL_SECONDS + 10.0)
        assert await world.begin(0, V2) is not None
        assert await world.table.scan(BEGUN_PREFIX) == []

    async def test_base_that_returned_is_not_trusted_until_its_row_is_read_again(self):
        world = World()
        await world.advance(10.0)
        world.toggle(V2)
        world.toggle(V1)
        world.now += 1.0
        world.toggle(V1)
        assert await world.begin(0, V1) is not None
        assert len(await world.table.scan(BEGUN_PREFIX)) == 1

    async def test_stream_longer_than_the_lifetime_is_recorded(self):
        world = World()
        await world.advance(10.0)
        number = await world.begin(0, V1, lifetime=3 * RECORD_ALL_SECONDS)
        world.toggle(V2)
        world.toggle(V1)
        await world.advance(2 * RECORD_ALL_SECONDS)
        assert world.table.value(BASE_PREFIX + "model")["version"] == V2
        world.toggle(V1)
        assert await world.take_up(1, number) == V1

    async def test_unreadable_rows_make_streams_without_a_record_unknown(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        recorded = await world.begin(0, V2)
        await world.table.transact([], [Write(f"{BEGUN_PREFIX}host-9/1", {"streams": [1]})])
        assert await world.take_up(1, recorded) == V2
        world.streams.append((V1, world.now))
        assert await world.take_up(1, len(world.streams) - 1) is None

    @pytest.mark.parametrize("name", [BASE_PREFIX + "other", f"{BEGUN_PREFIX}host-9/1"])
    @pytest.mark.parametrize(
        "value",
        [
            None,
            [],
            {"streams": [["k", "model", V1, 1e300]]},
            {"streams": [["k" * 1000, "model", V1, 0.0]]},
            {"version": V1, "era": 10**40, "moved_at": 0, "former": None, "confirmed_at": 0},
            {"version": V1, "era": 0, "moved_at": -1, "former": None, "confirmed_at": 0},
            {"version": V1 * 1000, "era": 0, "moved_at": 0, "former": None, "confirmed_at": 0},
        ],
        ids=range(7),
    )
    async def test_rows_out_of_range_hide_no_record(self, name, value):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        recorded = await world.begin(0, V2)
        await world.table.transact([], [Write(name, value if value is not None else 0)])
        assert await world.take_up(1, recorded) == V2
        await world.advance(40.0)


class TestEnds:
    async def test_ended_streams_leave_the_store(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        await world.begin(0, V2)
        await world.begin(1, V2)
        world.restart(1)
        await world.advance(100.0)
        assert await world.table.scan(BEGUN_PREFIX) == []

    async def test_stream_is_known_after_all_hosts_ended(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        numbers = {version: await world.begin(0, version) for version in (V1, V2)}
        for index in range(2):
            world.restart(index)
        for version, number in numbers.items():
            assert await world.take_up(1, number) == version

    async def test_host_with_a_lagging_clock_finds_records(self):
        world = World(offsets=(0.0, -4.0, 0.0), engines=(V1, V2))
        await world.advance(10.0)
        assert await world.take_up(0, await world.begin(1, V2)) == V2
        assert await world.take_up(1, await world.begin(0, V2)) == V2


class TestStoreFaults:
    async def test_streams_begin_at_the_base_while_the_store_is_away(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        world.table.faults = TableFaults(outage=True)
        assert await world.begin(0, V2) is None
        number = await world.begin(0, V1)
        assert number is not None and await world.begin(0, V2) is None
        assert await world.take_up(0, number) == V1
        assert await world.take_up(1, number) is None
        world.table.faults = TableFaults()
        await world.advance(2.0)
        assert await world.begin(0, V2) is not None

    async def test_take_up_goes_on_without_the_store_if_one_version_served_for_a_lifetime(self):
        world = World()
        await world.advance(STREAM_LIFETIME_SECONDS + 10.0)
        number = await world.begin(0, V1)
        world.table.faults = TableFaults(outage=True)
        assert await world.take_up(1, number) == V1

    async def test_streams_begin_without_a_record_once_the_base_has_no_engines(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        world.table.faults = TableFaults(outage=True)
        world.toggle(V1)
        number = await world.begin(0, V2)
        assert number is not None
        assert await world.take_up(1, number) is None

    async def test_stream_without_a_record_is_refused_after_the_store_came_back_older(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        copy = world.table.store.copy()
        numbers = {version: await world.begin(0, version) for version in (V1, V2)}
        world.table.store.restore(copy)
        await world.advance(4.0)
        assert await world.take_up(1, numbers[V1]) is None
        assert await world.take_up(1, numbers[V2]) == V2
        assert await world.take_up(0, numbers[V1]) == V1

    async def test_move_of_the_base_lost_with_a_restored_store_is_written_again(self):
        world = World()
        await world.advance(10.0)
        copy = world.table.store.copy()
        world.toggle(V2)
        world.toggle(V1)
        await world.advance(10.0)
        world.table.store.restore(copy)
        await world.advance(10.0)
        assert world.table.value(BASE_PREFIX + "model")["version"] == V2


class TestBounds:
    async def test_flood_of_unknown_streams_costs_few_calls(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        store, before = world.hosts[1], world.table.operations

        async def take_up(number):
            with pytest.raises(SamphireError):
                await store.origin(f"unknown-{number}", "other", 20.0, arrived=world.now)

        async with anyio.create_task_group() as group:
            for number in range(500):
                group.start_soon(take_up, number)
        assert world.table.operations - before <= 2

    async def test_records_of_one_host_are_bounded(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        store = world.hosts[0]
        for number in range(2 * MAX_RECORDS):
            store.begin(f"x{number}", "model", V2, 20.0)
        assert await store.write()
        (row,) = await world.table.scan(BEGUN_PREFIX)
        assert len(row.value["streams"]) == MAX_RECORDS

    async def test_late_write_does_not_replace_a_newer_one(self):
        world = World(engines=(V1, V2))
        await world.advance(10.0)
        world.table.faults = TableFaults(late=1.0)
        assert await world.begin(0, V2) is None
        world.table.faults = TableFaults()
        assert await world.hosts[0].write()
        number = await world.begin(0, V2)
        assert number is not None
        world.table.settle()
        assert await world.take_up(1, number) == V2


HOSTS = st.integers(0, 2)
ACTIONS = st.one_of(
    st.tuples(st.just("toggle"), st.sampled_from(VERSIONS)),
    st.tuples(st.just("lag"), HOSTS),
    st.tuples(
        st.just("begin"), HOSTS, st.sampled_from(VERSIONS), st.sampled_from((5.0, 20.0, LONGEST))
    ),
    st.tuples(st.just("advance"), st.sampled_from((0.5, 2.0, 6.0, 18.0, 45.0))),
    st.tuples(st.just("restart"), HOSTS),
    st.tuples(st.just("restart-all")),
    st.tuples(st.just("faults"), st.sampled_from(("none", "outage", "lossy"))),
    st.tuples(st.just("copy")),
    st.tuples(st.just("restore")),
)
FAULTS = {
    "none": TableFaults(),
    "outage": TableFaults(outage=True),
    "lossy": TableFaults(drop=0.2, lose_answer=0.2, late=0.2),
}


async def play(actions, offsets):
    world = World(3, offsets=offsets, engines=(V1, V2))
    await world.advance(4.0)
    for name, *arguments in actions:
        match name:
            case "toggle":
                world.toggle(*arguments)
            case "lag":
                world.lagging.add(*arguments)
            case "begin":
                index, version, lifetime = arguments
                await world.begin(index, version, lifetime=lifetime)
            case "advance":
                await world.advance(*arguments)
            case "restart":
                world.restart(*arguments)
            case "restart-all":
                for index in range(3):
                    world.restart(index)
            case "faults":
                world.table.faults = FAULTS[arguments[0]]
            case "copy":
                world.copy = world.table.store.copy()
            case "restore":
                world.table.store.restore(world.copy)
        await world.check()


@settings(max_examples=500)
@given(st.lists(ACTIONS, max_size=40), st.tuples(*[st.floats(-2.0, 2.0)] * 3))
def test_stream_never_goes_on_at_another_version_than_the_one_that_began_it(actions, offsets):
    anyio.run(play, actions, offsets)
