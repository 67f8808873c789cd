"""Claims on a table that drops calls, loses answers, delays writes and has outages."""

import contextlib
import random
from dataclasses import dataclass, field
from unittest import mock

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import STORE_UNAVAILABLE
from samphirehall.forwarding import group_commit
from samphirehall.forwarding.claims import (
    RESTORED_WAIT_SECONDS,
    ClaimState,
    ClaimStore,
    StoredOutcome,
)
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

OUTCOME = StoredOutcome(200, "application/json", "booked", "desk-1")
FAULTS = TableFaults(max_delay=0.002, drop=0.15, lose_answer=0.15, late=0.15, duplicate=0.1)
FAULTLESS = TableFaults()


@contextlib.asynccontextmanager
async def running_store(table, seed=0):
    """Run the claim store of one host."""
    store = ClaimStore(table, random_source=random.Random(seed))
    async with anyio.create_task_group() as group:
        group.start_soon(store.run)
        yield store
        group.cancel_scope.cancel()


async def claim(store, key="k", seconds=5.0, fingerprint="f"):
    deadline = boot_seconds() + seconds
    return await store.claim("coop", key, fingerprint=fingerprint, deadline=deadline)


class TestClaim:
    async def test_second_attempt_gets_the_stored_outcome(self):
        table = FaultyTable()
        async with running_store(table) as first, running_store(table) as second:
            claim_row = await claim(first)
            await first.record_outcome(claim_row, OUTCOME)
            replay = await claim(second)
        assert claim_row.won and not replay.won
        assert replay.claim.outcome == OUTCOME

    async def test_second_attempt_waits_for_the_first(self):
        table = FaultyTable()
        async with (
            running_store(table) as first,
            running_store(table) as second,
            anyio.create_task_group() as group,
        ):
            claim_row = await claim(first)

            async def settle_later():
                await anyio.sleep(0.05)
                await first.record_outcome(claim_row, OUTCOME)

            group.start_soon(settle_later)
            replay = await claim(second)
        assert replay.claim.state is ClaimState.RAN

    async def test_refused_attempt_may_run_again(self):
        table = FaultyTable()
        async with running_store(table) as first, running_store(table) as second:
            first.mark_refused(await claim(first))
            await first.flush()
            assert (await claim(second)).won

    async def test_claim_of_a_stopped_host_stays_open_and_is_not_won_again(self):
        table = FaultyTable()
        async with running_store(table) as first:
            assert (await claim(first, seconds=0.01)).won
        async with running_store(table) as second:
            claim_row = await claim(second, seconds=0.2)
        assert not claim_row.won and claim_row.claim.state is ClaimState.OPEN

    async def test_claim_in_an_outage_fails_at_its_deadline_and_a_retry_wins(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        async with running_store(table) as store:
            with pytest.raises(SamphireError) as raised:
                await claim(store, seconds=0.05)
            assert raised.value.result is STORE_UNAVAILABLE
            table.faults = FAULTLESS
            assert (await claim(store)).won

    async def test_claim_written_after_its_deadline_does_not_block_a_retry(self):
        table = FaultyTable(faults=TableFaults(late=1.0))
        async with running_store(table) as store:
            with pytest.raises(SamphireError):
                await claim(store, seconds=0.05)
            table.settle()
            table.faults = FAULTLESS
            assert (await claim(store)).won

    async def test_conflict_on_one_row_does_not_fail_the_other_rows(self):
        table = FaultyTable()
        async with running_store(table) as store:
            await store.record_outcome(await claim(store, "taken"), OUTCOME)
            won = {}

            async def claim_key(key):
                won[key] = (await claim(store, key)).won

            async with anyio.create_task_group() as group:
                for key in ("taken", "a", "b", "c"):
                    group.start_soon(claim_key, key)
        assert won == {"taken": False, "a": True, "b": True, "c": True}

    async def test_concurrent_claims_share_transactions(self):
        table = FaultyTable()
        async with running_store(table) as store, anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(claim, store, f"k{number}")
        assert table.store.transactions <= 3

    async def test_expired_claims_are_deleted_and_others_kept(self):
        table = FaultyTable()
        async with running_store(table) as store:
            await claim(store, "old")
            for _ in range(200):
                await store.delete_expired(1, now=0.0)
            await store.flush()
            assert table.store.scan("claims/", 10)
            for _ in range(200):
                await store.delete_expired(1, now=1e12)
            await store.flush()
        assert not table.store.scan("claims/", 10)


@dataclass
class Callers:
    """How often each key ran, and the keys whose callers were told that nothing ran."""

    ran: dict[str, int] = field(default_factory=dict)
    not_run: set[str] = field(default_factory=set)

    async def book(self, store, key, seconds, dispatches):
        try:
            claim_row = await claim(store, key, seconds)
        except SamphireError as error:
            assert error.result is STORE_UNAVAILABLE
            self.not_run.add(key)
            return
        if not claim_row.won:
            return
        if not dispatches:
            store.mark_refused(claim_row)
            return
        self.ran[key] = self.ran.get(key, 0) + 1
        await store.record_outcome(claim_row, OUTCOME)


class TestConcurrentAttempts:
    @given(
        seed=st.integers(0, 2**32),
        attempts=st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 3), st.sampled_from([0.005, 0.05]), st.booleans()
            ),
            min_size=1,
            max_size=14,
        ),
    )
    @settings(max_examples=150)
    def test_each_key_runs_at_most_once_and_a_key_reported_not_run_can_be_claimed(
        self, seed, attempts
    ):
        anyio.run(self._check, seed, attempts)

    async def _check(self, seed, attempts):
        table = FaultyTable(seed, faults=FAULTS)
        callers = Callers()
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(mock.patch.object(group_commit, "MAX_BACKOFF_SECONDS", 0.004))
            hosts = [
                await stack.enter_async_context(running_store(table, seed + n)) for n in range(3)
            ]
            async with anyio.create_task_group() as group:
                for number, key, seconds, dispatches in attempts:
                    group.start_soon(callers.book, hosts[number], f"k{key}", seconds, dispatches)
            assert all(count == 1 for count in callers.ran.values())
            table.faults = FAULTLESS
            for store in hosts:
                await store.flush()
            table.settle()
            for key in callers.not_run - callers.ran.keys():
                claim_row = await claim(hosts[0], key, seconds=2.0)
                assert (
                    claim_row.won
                ), "the caller was told not-run, but the key cannot be claimed again"
        assert all(count == 1 for count in callers.ran.values())


class TestRestoredTable:
    async def test_request_whose_claim_a_restored_table_has_lost_is_not_won_again(self):
        table = FaultyTable()
        copy = table.store.copy()
        async with running_store(table) as first, running_store(table) as second:
            claim_row = await claim(first)
            await first.record_outcome(claim_row, OUTCOME)
            table.store.restore(copy)
            again = await claim(second)
        assert claim_row.won and not again.won
        assert again.claim.outcome == OUTCOME

    async def test_request_that_still_runs_at_the_restoration_is_not_won_again(self):
        table = FaultyTable()
        copy = table.store.copy()
        async with running_store(table) as first, running_store(table) as second:
            claim_row = await claim(first)
            table.store.restore(copy)
            async with anyio.create_task_group() as group:
                group.start_soon(anyio.sleep, RESTORED_WAIT_SECONDS + 0.5)
                again = await claim(second, seconds=RESTORED_WAIT_SECONDS + 1.0)
            first.mark_ran(claim_row)
            await first.flush()
            replay = await claim(second)
        assert not again.won and not replay.won
        assert replay.claim.state is ClaimState.RAN

    async def test_new_request_is_won_once_all_had_time_to_write_their_claims(self):
        table = FaultyTable()
        copy = table.store.copy()
        async with running_store(table) as store:
            await claim(store, "before")
            table.store.restore(copy)
            assert (await claim(store, "after")).won

    async def test_request_with_a_near_deadline_is_refused_as_not_run_and_may_come_again(self):
        table = FaultyTable()
        copy = table.store.copy()
        async with running_store(table) as store:
            await claim(store, "before")
            table.store.restore(copy)
            with pytest.raises(SamphireError) as caught:
                await claim(store, "after", seconds=0.5)
            assert caught.value.result is STORE_UNAVAILABLE
            assert 0 < caught.value.retry_after <= RESTORED_WAIT_SECONDS
            await anyio.sleep(caught.value.retry_after)
            assert (await claim(store, "after")).won

    async def test_claim_given_up_before_the_restoration_does_not_come_back(self):
        table = FaultyTable()
        copy = table.store.copy()
        async with running_store(table) as first, running_store(table) as second:
            refused = await claim(first)
            first.mark_refused(refused)
            await first.flush()
            table.store.restore(copy)
            assert (await claim(second)).won
