"""Replicas of tables of a store that is restored from an older copy."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.gateway.rows import (
    RESTORED_ROW_SECONDS,
    ChangeSet,
    HistoryGoneError,
    RowChange,
    Rows,
    StoreVersion,
    TableFollower,
    TableReplica,
    keep_known_rows,
)

pytestmark = pytest.mark.anyio


class Store:
    """Row source whose versions go back when it is restored."""

    def __init__(self):
        self.era, self.number, self.rows, self.history = 1, 0, {}, []
        self.copies = []
        self.snapshots = 0

    @property
    def version(self):
        return StoreVersion(self.era, self.number)

    def put(self, key, value):
        self.number += 1
        change = RowChange(key, self.version, value)
        self.history.append(change)
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = change

    def save(self):
        self.copies.append((self.number, dict(self.rows), list(self.history)))

    def restore(self):
        self.number, rows, history = self.copies[-1]
        self.rows, self.history = dict(rows), list(history)
        self.era += 1

    def _stamped(self, changes):
        return [
            RowChange(row.key, StoreVersion(self.era, row.version.number), row.value)
            for row in changes
        ]

    async def snapshot(self, table):
        self.snapshots += 1
        return Rows(self._stamped(self.rows.values()), self.version)

    async def changes(self, table, *, after, wait):
        if after.number > self.number:
            raise HistoryGoneError
        changed = [row for row in self.history if row.version.number > after.number]
        return Rows(self._stamped(changed), self.version)


class Reader:
    """Host that follows a table, with the values that it believes."""

    def __init__(self, store, **options):
        self.believed = {}
        self.follower = TableFollower(store, "t", self.take, **options)

    def take(self, change):
        if change.value is None:
            self.believed.pop(change.key, None)
        else:
            self.believed[change.key] = change.value

    async def read(self, times=3):
        for _ in range(times):
            await self.follower.step()


class TestRestoredStore:
    async def test_row_written_after_the_restoration_is_applied(self):
        store = Store()
        store.put("config", b"1")
        store.save()
        reader = Reader(store)
        for number in range(9):
            store.put("config", b"lost %d" % number)
        await reader.read()
        store.restore()
        store.put("config", b"2")
        await reader.read()
        assert reader.believed == {"config": b"2"}

    async def test_rows_whose_numbers_were_given_out_again_are_not_skipped(self):
        store = Store()
        store.put("a", b"1")
        store.save()
        reader = Reader(store)
        for _ in range(3):
            store.put("a", b"lost")
        await reader.read()
        store.restore()
        store.put("b", b"new")
        for number in range(8):
            store.put("a", b"%d" % number)
        await reader.read()
        assert reader.believed == {"a": b"7", "b": b"new"}

    async def test_store_that_has_no_history_is_not_called_without_pause(self):
        class Forgetful(Store):
            async def changes(self, table, *, after, wait):
                raise HistoryGoneError

        store = Forgetful()
        reader = Reader(store)
        with anyio.move_on_after(0.6):
            await reader.follower.run()
        assert store.snapshots <= 4


class TestRestoredEndpoints:
    """Rows that their writers repeat."""

    def reader(self, store):
        return Reader(store, restore=keep_known_rows)

    async def test_state_replaced_before_the_restoration_does_not_come_back(self):
        store = Store()
        store.put("e", b"ready")
        store.save()
        store.put("e", b"leaving")
        reader = self.reader(store)
        await reader.read()
        store.restore()
        await reader.read()
        assert reader.believed == {"e": b"leaving"}
        store.put("e", b"moved")
        await reader.read()
        assert reader.believed == {"e": b"moved"}

    async def test_endpoint_that_left_before_the_restoration_does_not_come_back(self):
        store = Store()
        store.put("gone", b"ready")
        store.put("e", b"ready")
        store.save()
        reader = self.reader(store)
        await reader.read()
        store.put("gone", None)
        await reader.read()
        store.restore()
        await reader.read()
        assert reader.believed == {"e": b"ready"}
        store.put("gone", b"ready")
        await reader.read()
        assert reader.believed == {"e": b"ready", "gone": b"ready"}

    async def test_endpoint_that_the_copy_lacks_stays_until_it_had_time_to_return(
        self, monkeypatch
    ):
        now = 1000.0
        monkeypatch.setattr("samphirehall.gateway.rows.boot_seconds", lambda: now)
        store = Store()
        store.save()
        store.put("returns", b"ready")
        store.put("dead", b"ready")
        reader = self.reader(store)
        await reader.read()
        store.restore()
        await reader.read()
        assert set(reader.believed) == {"returns", "dead"}
        store.put("returns", b"ready")
        now += RESTORED_ROW_SECONDS
        await reader.read()
        assert set(reader.believed) == {"returns"}

    async def test_endpoint_newer_than_all_that_is_known_is_used_at_once(self):
        store = Store()
        store.put("a", b"ready")
        reader = self.reader(store)
        await reader.read()
        store.put("b", b"ready")
        store.save()
        store.restore()
        await reader.read()
        assert set(reader.believed) == {"a", "b"}


class TestHostsBehind:
    def replica(self):
        believed = {}

        def take(change):
            believed[change.key] = change.value

        return TableReplica(take), believed

    def test_changes_of_an_earlier_era_are_ignored(self):
        replica, believed = self.replica()
        replica.apply_snapshot(Rows([], StoreVersion(2, 10)), now=0.0)
        row = RowChange("lost", StoreVersion(1, 90), b"ready")
        changes = ChangeSet(StoreVersion(1, 80), StoreVersion(1, 99), [row])
        assert replica.apply_change_set(changes, now=0.0)
        assert believed == {} and replica.position == StoreVersion(2, 10)

    def test_snapshot_of_an_earlier_era_is_ignored(self):
        replica, believed = self.replica()
        row = RowChange("e", StoreVersion(2, 9), b"ready")
        replica.apply_snapshot(Rows([row], StoreVersion(2, 10)), now=0.0)
        replica.apply_snapshot(Rows([], StoreVersion(1, 99)), now=0.0)
        assert believed == {"e": b"ready"}

    def test_member_of_an_earlier_era_asks_for_the_list(self):
        replica, _ = self.replica()
        replica.apply_snapshot(Rows([], StoreVersion(1, 99)), now=0.0)
        changes = ChangeSet(StoreVersion(2, 10), StoreVersion(2, 12), [])
        assert not replica.apply_change_set(changes, now=0.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "put", "delete", "save", "restore", "read"]),
            st.sampled_from("abc"),
        ),
        max_size=60,
    )
)
def test_reader_agrees_with_the_store_after_each_restoration(steps):
    """Plays any order of writes, copies, restorations and reads, with and without merging."""

    async def play():
        store = Store()
        store.save()
        readers = [Reader(store), Reader(store, restore=keep_known_rows)]
        for index, (step, key) in enumerate(steps):
            if step == "put":
                store.put(key, b"%d" % index)
            elif step == "delete":
                store.put(key, None)
            elif step == "read":
                for reader in readers:
                    await reader.read(times=2)
            else:
                getattr(store, step)()
        for key in "abc":
            store.put(key, b"again" if key in store.rows else None)
        for reader in readers:
            await reader.read()
        assert readers[0].believed == {key: row.value for key, row in store.rows.items()}
        rows = readers[1].believed
        assert {key: rows.get(key) for key in store.rows} == dict.fromkeys(store.rows, b"again")

    anyio.run(play)
