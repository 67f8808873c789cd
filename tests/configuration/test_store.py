"""Configuration over a faulty store.

A version is accepted as a whole, a lost answer is resolved by reading, and no
process goes back to an older version.
"""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.configuration import store as store_module
from samphirehall.configuration.documents import CustomerPart
from samphirehall.configuration.store import (
    ConfigurationConflictError,
    apply_configuration,
    fetch_configuration,
    read_history,
    read_pointer,
    store_again,
)
from samphirehall.configuration.version import EMPTY_CONFIGURATION
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.node.gate import ConfigurationGate
from samphirehall.node.state import NodeState
from tests.support.table import FaultyTable, TableFaults


class FaultyStore(FaultyTable):
    """A faulty table with an object store that counts the stored objects."""

    def __post_init__(self):
        super().__post_init__()
        self.objects = {}
        self.puts = 0

    async def put_object(self, digest, content):
        self.puts += 1
        self.objects[digest] = content

    async def get_object(self, digest):
        if digest not in self.objects:
            raise PlatformUnavailableError(digest)
        return self.objects[digest]


async def no_sleep(seconds):
    await anyio.lowlevel.checkpoint()


def customers(weight: float):
    return {f"customers/c{number}": CustomerPart(weight=weight) for number in range(3)}


async def apply(store, weight, *, base=None, author="one"):
    return await apply_configuration(
        store, customers(weight), base_version=base, author=author, now=0.0
    )


@pytest.fixture(autouse=True)
def no_retry_pause(monkeypatch):
    monkeypatch.setattr(store_module, "POINTER_RETRY_INTERVAL_SECONDS", 0.0)


class TestApply:
    @given(seed=st.integers(0, 10_000), attempts=st.integers(2, 6))
    def test_reported_outcome_is_true_under_table_faults(self, seed, attempts):
        anyio.run(self._apply_many, seed, attempts)

    async def _apply_many(self, seed, attempts):
        store_module.POINTER_RETRY_INTERVAL_SECONDS = 0.0
        faults = TableFaults(drop=0.2, lose_answer=0.2, late=0.15, duplicate=0.15)
        store = FaultyStore(seed=seed, faults=faults, sleep=no_sleep)
        accepted, refused = {}, []
        for number in range(attempts):
            weight = float(number + 1)
            try:
                pointer = await apply(store, weight)
                assert pointer.version not in accepted
                accepted[pointer.version] = (pointer.change, weight)
            except ConfigurationConflictError:
                refused.append(weight)
            except PlatformUnavailableError:
                continue
        store.settle()
        store.faults = TableFaults()
        rows = await read_history(store)
        assert [row.version for row in rows] == list(range(len(rows), 0, -1))
        changes = {row.version: row.change for row in rows}
        for version, (change, weight) in accepted.items():
            assert changes[version] == change
            row = next(row for row in rows if row.version == version)
            configuration = await fetch_configuration(store, row, EMPTY_CONFIGURATION)
            assert configuration.parts == customers(weight)
        for row in rows:
            configuration = await fetch_configuration(store, row, EMPTY_CONFIGURATION)
            assert (
                configuration.customer("c0").weight not in refused
            ), "a refused change took effect"

    def test_conflict_names_the_accepted_version_and_author(self):
        anyio.run(self._race)

    async def _race(self):
        store = FaultyStore(seed=1)
        await apply(store, 1.0)
        await apply(store, 2.0, base=1, author="winner")
        with pytest.raises(ConfigurationConflictError, match=r"version 2 by 'winner'"):
            await apply(store, 3.0, base=1, author="loser")

    def test_only_changed_parts_are_stored(self):
        anyio.run(self._store_twice)

    async def _store_twice(self):
        store = FaultyStore(seed=1)
        await apply(store, 1.0)
        before = store.puts
        parts = {**customers(1.0), "customers/c1": CustomerPart(weight=5.0)}
        await apply_configuration(store, parts, base_version=1, author="a", now=0.0)
        assert store.puts - before == 2

    def test_history_shows_the_newest_versions(self, monkeypatch):
        monkeypatch.setattr(store_module, "MAX_HISTORY_VERSIONS", 3)
        anyio.run(self._long_history)

    async def _long_history(self):
        store = FaultyStore(seed=1)
        for number in range(6):
            await apply(store, float(number + 1))
        assert [row.version for row in await read_history(store)] == [6, 5, 4]


versions = st.integers(1, 6)
events = st.lists(
    st.one_of(
        st.tuples(st.just("store"), versions),
        st.tuples(st.just("peer"), versions),
        st.tuples(st.just("announced"), versions),
        st.tuples(st.just("all-answered"), versions),
        st.tuples(st.just("restart"), versions),
    ),
    max_size=25,
)


class TestMonotonic:
    """No process applies an older version, in whatever order versions arrive."""

    @given(events)
    def test_version_in_force_never_decreases_across_restarts(self, event_sequence):
        highest_version, now = 0, 0.0
        state, gate = self._start(now)
        for event, version in event_sequence:
            now += 0.1
            if event == "restart":
                highest_version = max(highest_version, state.configuration.version)
                state, gate = self._start(now)
                state.record_known_version(highest_version)
            elif event == "store":
                state.record_known_version(max(version, highest_version))
                gate.record_store_answer(now=now)
                gate.offer(EMPTY_CONFIGURATION.with_changes(version, {}, ()), now=now)
            elif event == "peer":
                gate.offer(EMPTY_CONFIGURATION.with_changes(version, {}, ()), now=now)
            elif event == "announced":
                state.record_known_version(version)
            else:
                gate.record_peer_answer(all_answered=True, now=now)
            version_in_force = state.configuration.version
            assert version_in_force == 0 or version_in_force >= highest_version
            highest_version = max(highest_version, version_in_force)

    def _start(self, now):
        state = NodeState("host", "zone", int(now * 1000))
        return state, ConfigurationGate(state, started_at=now)

    def test_nothing_is_in_force_before_all_peers_answered_or_a_timeout(self):
        state, gate = self._start(0.0)
        gate.offer(EMPTY_CONFIGURATION.with_changes(4, {}, ()), now=1.0)
        assert state.configuration.version == 0
        gate.record_peer_answer(all_answered=False, now=1.0)
        assert state.configuration.version == 0, "peers without an answer may have a newer version"
        gate.record_peer_answer(all_answered=False, now=5.0)
        assert state.configuration.version == 4


class TestRestoredTable:
    @pytest.fixture
    def anyio_backend(self):
        return "asyncio"

    async def restored(self):
        """Return a store that has lost versions 2 and 3, and what hosts know of them."""
        store = FaultyStore()
        pointers = [await apply(store, 1.0)]
        copy = store.store.copy()
        pointers += [await apply(store, 2.0), await apply(store, 3.0)]
        configurations = [
            await fetch_configuration(store, pointer, EMPTY_CONFIGURATION) for pointer in pointers
        ]
        store.store.restore(copy)
        return store, list(zip(configurations, pointers, strict=True))

    @pytest.mark.anyio
    async def test_version_that_a_host_has_is_stored_again_as_it_was_accepted(self):
        store, versions = await self.restored()
        configuration, accepted = versions[2]
        assert await store_again(store, configuration, accepted)
        pointer, _ = await read_pointer(store)
        assert (pointer.version, pointer.change) == (3, accepted.change)
        fetched = await fetch_configuration(store, pointer, EMPTY_CONFIGURATION)
        assert fetched.parts == configuration.parts
        assert not await store_again(store, *versions[1])

    @pytest.mark.anyio
    @pytest.mark.parametrize("stored_again", [False, True])
    async def test_change_after_the_restoration_has_no_number_of_a_lost_version(self, stored_again):
        store, versions = await self.restored()
        if stored_again:
            assert await store_again(store, *versions[1])
        changed = await apply(store, 4.0)
        assert changed.version > versions[2][1].version
        assert (await apply(store, 5.0)).version == changed.version + 1

    @pytest.mark.anyio
    async def test_change_during_the_restoration_has_no_number_of_a_lost_version(self):
        store = FaultyStore()
        await apply(store, 1.0)
        copy = store.store.copy()
        put_object, is_restored = store.put_object, False

        async def restore_while_objects_are_put(digest, content):
            nonlocal is_restored
            if not is_restored:
                is_restored = True
                lost.append(await apply(store, 2.0))
                store.store.restore(copy)
            await put_object(digest, content)

        lost, store.put_object = [], restore_while_objects_are_put
        changed = await apply(store, 3.0)
        assert changed.version > lost[0].version
        assert (await read_pointer(store))[0] == changed

    @pytest.mark.anyio
    async def test_host_with_a_lost_version_takes_the_change_after_the_restoration(self):
        store, versions = await self.restored()
        newest, _ = versions[2]
        state = NodeState("host-a/1", "zone-1", 1)
        gate = ConfigurationGate(state, started_at=0.0)
        gate.record_store_answer(now=0.0)
        assert gate.offer(newest, now=0.0)
        changed = await fetch_configuration(store, await apply(store, 4.0), newest)
        assert gate.offer(changed, now=1.0)
        assert state.configuration.parts == changed.parts

    @pytest.mark.anyio
    async def test_started_host_waits_for_peers_before_an_older_version_comes_into_force(self):
        _, versions = await self.restored()
        state = NodeState("host-a/1", "zone-1", 1)
        gate = ConfigurationGate(state, started_at=0.0)
        gate.record_store_answer(now=0.0, may_be_older=True)
        assert not gate.offer(versions[0][0], now=0.0)
        assert gate.offer(versions[2][0], now=1.0) is False
        assert gate.record_peer_answer(all_answered=True, now=1.0)
        assert state.configuration.version == 3
