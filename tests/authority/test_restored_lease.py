"""Leases in a table that is restored from an older copy."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirehall.authority.lease import LeaseLostError, LeaseTimes
from samphirehall.authority.lease_manager import LeaseManager
from tests.support.table import FaultyTable

TIMES = LeaseTimes(ttl=3.0, margin=0.6, delivery_limit=1.0)
FULL_WAIT_SECONDS = TIMES.ttl + TIMES.delivery_limit
pytestmark = pytest.mark.anyio


class Connection:
    """The table as one process sees it: it learns of a restoration with its next call."""

    def __init__(self, table):
        self._table = table
        self.era = table.era

    async def transact(self, checks, writes):
        self.era = self._table.era
        return await self._table.transact(checks, writes)

    async def read(self, keys):
        self.era = self._table.era
        return await self._table.read(keys)


class World:
    def __init__(self, processes=3):
        self.now = 100.0
        self.table = FaultyTable()
        self.copies = [self.table.store.copy()]
        self.managers = [self.start(f"host-{number}/1") for number in range(processes)]
        self.numbers = {}
        self.highest = (0, "")

    def start(self, name, *, first_start=False):
        return LeaseManager(
            Connection(self.table),
            "s",
            holder=name,
            times=TIMES,
            clock=lambda: self.now,
            first_start=first_start,
        )

    def save(self):
        self.copies.append(self.table.store.copy())

    def restore(self):
        self.table.store.restore(self.copies[-1])

    def grant(self, manager):
        try:
            return manager.grant(now=self.now)
        except LeaseLostError:
            return None

    async def step(self, index):
        await self.managers[index].step()
        self.check()

    def check(self):
        """Assert that one process holds the lease, and that its number was never another's."""
        grants = [grant for manager in self.managers if (grant := self.grant(manager))]
        assert len({grant.holder for grant in grants}) <= 1
        for manager in self.managers:
            if manager.exclusive_fencing(now=self.now) is not None:
                assert all(self.grant(other) is None for other in self.managers if other != manager)
        for grant in grants:
            assert self.numbers.setdefault(grant.fencing, grant.holder) == grant.holder
            assert (grant.fencing, grant.holder) >= self.highest
            self.highest = grant.fencing, grant.holder


class TestRestoredLease:
    async def test_fencing_number_given_out_before_the_restoration_is_not_given_out_again(self):
        world = World()
        await world.step(0)
        world.save()
        await world.managers[0].release()
        await world.step(1)
        lost = world.grant(world.managers[1]).fencing
        world.restore()
        await world.step(2)
        assert world.grant(world.managers[2]) is None
        world.now += FULL_WAIT_SECONDS
        await world.step(2)
        assert world.grant(world.managers[2]).fencing > lost

    async def test_grant_ends_as_soon_as_its_holder_learns_of_the_restoration(self):
        world = World()
        world.save()
        await world.step(0)
        world.restore()
        assert world.grant(world.managers[0])
        await world.step(0)
        assert world.grant(world.managers[0]) is None

    async def test_holder_knows_for_how_long_no_other_process_can_succeed_it(self):
        world = World()
        await world.step(0)
        number = world.grant(world.managers[0]).fencing
        world.now += TIMES.ttl - TIMES.margin
        assert world.grant(world.managers[0]) is None
        assert world.managers[0].exclusive_fencing(now=world.now) == number
        world.now += TIMES.delivery_limit
        assert world.managers[0].exclusive_fencing(now=world.now) is None

    async def test_first_lease_of_the_whole_system_is_taken_at_once(self):
        world = World()
        world.restore()
        first = LeaseManager(
            world.table,
            "s",
            holder="a/1",
            times=TIMES,
            clock=lambda: world.now,
            first_start=True,
        )
        await first.step()
        assert first.grant(now=world.now)

    # Guards against two holders if the store loses the first lease of a system.
    async def test_first_lease_lost_by_a_restoration_is_not_taken_while_its_grant_may_last(self):
        world = World()
        world.table.store.era = 1
        first, second = (world.start(f"host-{name}/1", first_start=True) for name in "ab")
        world.save()
        await first.step()
        await second.step()
        world.restore()
        assert world.grant(first)
        await second.step()
        assert world.grant(second) is None
        world.now += FULL_WAIT_SECONDS
        await second.step()
        assert world.grant(second)

    @pytest.mark.parametrize("released", [True, False], ids=["released", "absent"])
    async def test_lease_free_in_the_copy_is_not_taken_while_a_lost_grant_may_last(self, released):
        world = World()
        if released:
            await world.step(0)
            await world.managers[0].release()
        world.save()
        await world.step(1)
        world.restore()
        await world.step(2)
        assert world.grant(world.managers[2]) is None
        world.now += FULL_WAIT_SECONDS
        await world.step(2)
        assert world.grant(world.managers[2])

    async def test_holder_named_by_the_copy_does_not_take_the_lease_back_at_once(self):
        world = World()
        await world.step(0)
        world.save()
        await world.step(1)
        world.now += FULL_WAIT_SECONDS
        await world.step(1)
        assert world.grant(world.managers[1])
        world.restore()
        await world.step(0)
        await world.step(0)
        assert world.grant(world.managers[0]) is None


@settings(max_examples=300)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("step"), st.integers(0, 2)),
            st.tuples(st.just("wait"), st.sampled_from([0.1, 0.5, 1.0, 2.5, 4.1])),
            st.tuples(st.sampled_from(["save", "restore", "restart"]), st.integers(0, 2)),
        ),
        max_size=80,
    )
)
def test_two_processes_never_hold_a_restored_lease_or_share_a_number(events):
    async def play():
        world = World()
        for number, (event, value) in enumerate(events):
            if event == "step":
                await world.step(value)
            elif event == "wait":
                world.now += value
            elif event == "restart":
                world.managers[value] = world.start(f"host-{value}/r{number}")
            else:
                getattr(world, event)()
            world.check()

    anyio.run(play)
