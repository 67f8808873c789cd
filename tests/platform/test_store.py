"""Client of the users' store, against the stand-in over real sockets."""

import anyio
import pytest

from samphirehall.authority.lease import LeaseTimes
from samphirehall.authority.lease_manager import LeaseManager
from samphirehall.backing.table import ABSENT, Check, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.gateway.rows import (
    HistoryGoneError,
    RowChange,
    Rows,
    StoreVersion,
    TableFollower,
)
from samphirehall.platform.store import Store
from tests.platform.standin import platform_standin

pytestmark = pytest.mark.anyio


class TestTable:
    async def test_transaction_checks_versions(self):
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            first = await store.transact([Check("k", ABSENT)], [Write("k", {"n": 1})])
            again = await store.transact([Check("k", ABSENT)], [Write("k", {"n": 2})])
            assert first.committed and not again.committed
            assert again.conflicts[0].value == {"n": 1}
            version = first.versions["k"]
            assert (await store.transact([Check("k", version)], [Write("k", None)])).committed
            assert await store.read(["k"]) == {}
            await store.aclose()

    async def test_scan_reads_all_pages(self, monkeypatch):
        monkeypatch.setattr("samphirehall.platform.store.MAX_PAGE_ROWS", 3)
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            for number in range(8):
                standin.put("samphirehall", f"a/{number}", number)
            standin.put("samphirehall", "b/0", "other")
            assert [row.value for row in await store.scan("a/")] == list(range(8))
            await store.aclose()

    @pytest.mark.parametrize("status", [429, 503, 500])
    async def test_error_status_raises_platform_unavailable(self, status):
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            standin.faults.status = status
            with pytest.raises(PlatformUnavailableError):
                await store.read(["k"])
            await store.aclose()

    @pytest.mark.parametrize("status", [410, 412])
    async def test_status_of_another_call_is_no_answer(self, status):
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            standin.faults.status = status
            with pytest.raises(PlatformUnavailableError):
                await store.read(["k"])
            if status == 410:
                with pytest.raises(PlatformUnavailableError):
                    await store.transact([], [Write("k", 1)])
            await store.aclose()

    async def test_page_without_a_readable_row_is_no_end_of_the_table(self, monkeypatch):
        monkeypatch.setattr("samphirehall.platform.store.MAX_PAGE_ROWS", 2)
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            for number in range(4):
                standin.put("samphirehall", f"a/{number}", number)
            monkeypatch.setattr("samphirehall.platform.store._decode_rows", lambda answer: [])
            with pytest.raises(PlatformUnavailableError):
                await store.scan("a/")
            await store.aclose()

    async def test_calls_are_observed(self):
        seen = []
        async with platform_standin() as (standin, _):
            store = Store(standin.address, lambda *call: seen.append(call))
            await store.read(["k"])
            standin.faults.status = 503
            with pytest.raises(PlatformUnavailableError):
                await store.transact([], [Write("k", 1)])
            await store.aclose()
        assert [(kind, answered) for kind, _, answered in seen] == [
            ("range", True),
            ("transaction", False),
        ]

    async def test_lost_answer_raises_platform_unavailable_after_the_write_took_effect(
        self, monkeypatch
    ):
        monkeypatch.setattr("samphirehall.platform.store.CALL_TIMEOUT_SECONDS", 0.2)
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            standin.faults.lose_answers = True
            with pytest.raises(PlatformUnavailableError):
                await store.transact([], [Write("k", 1)])
            assert standin.product_rows() == {"k": 1}
            await store.aclose()

    async def test_lease_has_one_holder_at_a_time(self):
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            times = LeaseTimes(1.0, 0.2, 0.1)
            one = LeaseManager(store, "duties", holder="a/1", times=times)
            two = LeaseManager(store, "duties", holder="b/1", times=times)
            await one.step()
            await two.step()
            assert one.grant(now=boot_seconds()).fencing == 1
            assert two._grant is None
            await store.aclose()


class ScriptedSource:
    """Row source that returns or raises the given answers in order, then blocks."""

    def __init__(self, answers):
        self._answers = answers

    async def snapshot(self, table):
        return await self._next()

    async def changes(self, table, *, after, wait):
        return await self._next()

    async def _next(self):
        if not self._answers:
            await anyio.sleep_forever()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestTableFollower:
    async def start_follower(self, group, standin, changes):
        follower = TableFollower(Store(standin.address), "op", changes.append)
        group.start_soon(follower.run)
        with anyio.fail_after(2):
            await follower.snapshot_received.wait()
        return follower

    async def wait_until(self, condition):
        with anyio.fail_after(4):
            while not condition():
                await anyio.sleep(0.02)

    async def test_changes_and_removals_are_delivered(self):
        changes = []
        async with platform_standin() as (standin, _), anyio.create_task_group() as group:
            standin.put("op", "config", {"version": 1})
            await self.start_follower(group, standin, changes)
            standin.put("op", "config", {"version": 2})
            standin.put("op", "config", None)
            await self.wait_until(lambda: changes and changes[-1].value is None)
            group.cancel_scope.cancel()

    async def test_rows_removed_during_a_history_gap_are_reported_as_removed(self):
        changes = []
        async with platform_standin() as (standin, _), anyio.create_task_group() as group:
            standin.put("op", "x", 1)
            await self.start_follower(group, standin, changes)
            standin.faults.drop_history = True
            standin.rows.clear()
            standin.version += 1
            standin._notify()
            await self.wait_until(lambda: changes[-1].value is None)
            assert changes[-1].key == "x"
            group.cancel_scope.cancel()

    async def test_store_that_fell_silent_is_left_for_a_new_call(self):
        changes = []
        async with platform_standin() as (standin, _), anyio.create_task_group() as group:
            follower = await self.start_follower(group, standin, changes)
            standin.faults.silent = True
            await self.wait_until(lambda: not follower.available)
            standin.faults.silent = False
            standin.put("op", "config", {"version": 3})
            with anyio.fail_after(2):
                await self.wait_until(lambda: changes and changes[-1].key == "config")
            group.cancel_scope.cancel()

    async def test_an_older_row_never_replaces_a_newer_one(self):
        newer, older = StoreVersion(1, 7), StoreVersion(1, 5)
        answers = [
            Rows([RowChange("config", newer, b"new")], newer),
            HistoryGoneError(),
            Rows([RowChange("config", older, b"old")], older),
        ]
        changes = []
        with anyio.move_on_after(0.3):
            await TableFollower(ScriptedSource(answers), "op", changes.append).run()
        assert [change.value for change in changes] == [b"new"]
