"""Claims against a table that loses answers, delays writes and goes away."""

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
from samphirehall.forwarding.claims import ClaimState, ClaimStore, StoredOutcome
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

OUTCOME = StoredOutcome(200, "application/json", "booked", "desk-1")
FAULTS = TableFaults(max_delay=0.002, drop=0.15, lose_answer=0.15, late=0.15, duplicate=0.1)
FAULTLESS = TableFaults()


@contextlib.asynccontextmanager
async def host(table, seed=0):
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
        async with host(table) as first, host(table) as second:
            held = await claim(first)
            await first.settle(held, OUTCOME)
            replay = await claim(second)
        assert held.won and not replay.won
        assert replay.claim.outcome == OUTCOME

    async def test_second_attempt_waits_for_the_first(self):
        table = FaultyTable()
        async with host(table) as first, host(table) as second, anyio.create_task_group() as group:
            held = await claim(first)

            async def settle_later():
                await anyio.sleep(0.05)
                await first.settle(held, OUTCOME)

            group.start_soon(settle_later)
            replay = await claim(second)
        assert replay.claim.state is ClaimState.RAN

    async def test_refused_attempt_may_run_again(self):
        table = FaultyTable()
        async with host(table) as first, host(table) as second:
            first.refuse(await claim(first))
            await first.flush()
            assert (await claim(second)).won

    async def test_a_dead_host_leaves_an_unknown_outcome(self):
        table = FaultyTable()
        async with host(table) as first:
            assert (await claim(first, seconds=0.01)).won
        async with host(table) as second:
            held = await claim(second, seconds=0.2)
        assert not held.won and held.claim.state is ClaimState.OPEN

    async def test_deadline_in_an_outage_is_not_run_and_a_retry_runs(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        async with host(table) as store:
            with pytest.raises(SamphireError) as raised:
                await claim(store, seconds=0.05)
            assert raised.value.result is STORE_UNAVAILABLE
            table.faults = FAULTLESS
            assert (await claim(store)).won

    async def test_a_write_that_lands_after_the_deadline_never_blocks_a_retry(self):
        table = FaultyTable(faults=TableFaults(late=1.0))
        async with host(table) as store:
            with pytest.raises(SamphireError):
                await claim(store, seconds=0.05)
            table.settle()
            table.faults = FAULTLESS
            assert (await claim(store)).won

    async def test_conflict_on_one_row_does_not_sink_the_others(self):
        table = FaultyTable()
        async with host(table) as store:
            await store.settle(await claim(store, "taken"), OUTCOME)
            won = {}

            async def one(key):
                won[key] = (await claim(store, key)).won

            async with anyio.create_task_group() as group:
                for key in ("taken", "a", "b", "c"):
                    group.start_soon(one, key)
        assert won == {"taken": False, "a": True, "b": True, "c": True}

    async def test_claims_that_arrive_together_ride_together(self):
        table = FaultyTable()
        async with host(table) as store, anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(claim, store, f"k{number}")
        assert table.store.transactions <= 3

    async def test_expired_claims_are_deleted_and_others_kept(self):
        table = FaultyTable()
        async with host(table) as store:
            await claim(store, "old")
            for _ in range(200):
                await store.clean(1, now=0.0)
            await store.flush()
            assert table.store.scan("claims/", 10)
            for _ in range(200):
                await store.clean(1, now=1e12)
            await store.flush()
        assert not table.store.scan("claims/", 10)


@dataclass
class Callers:
    """What callers were told and what ran, by key."""

    ran: dict[str, int] = field(default_factory=dict)
    not_run: set[str] = field(default_factory=set)

    async def book(self, store, key, seconds, dispatches):
        try:
            held = await claim(store, key, seconds)
        except SamphireError as error:
            assert error.result is STORE_UNAVAILABLE
            self.not_run.add(key)
            return
        if not held.won:
            return
        if not dispatches:
            store.refuse(held)
            return
        self.ran[key] = self.ran.get(key, 0) + 1
        await store.settle(held, OUTCOME)


class TestHistories:
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
    def test_no_key_runs_twice_and_not_run_can_run_later(self, seed, attempts):
        anyio.run(self._check, seed, attempts)

    async def _check(self, seed, attempts):
        table = FaultyTable(seed, faults=FAULTS)
        callers = Callers()
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(mock.patch.object(group_commit, "BACKOFF_LIMIT_SECONDS", 0.004))
            hosts = [await stack.enter_async_context(host(table, seed + n)) for n in range(3)]
            async with anyio.create_task_group() as group:
                for number, key, seconds, dispatches in attempts:
                    group.start_soon(callers.book, hosts[number], f"k{key}", seconds, dispatches)
            assert all(count == 1 for count in callers.ran.values())
            table.faults = FAULTLESS
            for store in hosts:
                await store.flush()
            table.settle()
            for key in callers.not_run - callers.ran.keys():
                held = await claim(hosts[0], key, seconds=2.0)
                assert held.won, "a refusal said not-run, but the key can never run"
        assert all(count == 1 for count in callers.ran.values())
