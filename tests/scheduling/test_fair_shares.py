"""Shares of customers in served work, and what is sent of them."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.scheduling.fair_shares import (
    COMPACTION_SECONDS,
    DECAY_SECONDS,
    MAX_CHANGED_CUSTOMERS,
    MAX_CUSTOMERS,
    REFRESH_SECONDS,
    SOURCE_TIMEOUT_SECONDS,
    ChangedRates,
    FairShares,
    FairShareTable,
    max_min_level,
)


def works(**rates):
    return {name: (served * 1.0, refused * 1.0) for name, (served, refused) in rates.items()}


class TestLevel:
    @given(st.lists(st.floats(0, 1e6), max_size=20), st.floats(1, 1e6))
    def test_shares_use_the_capacity_unless_all_demands_are_met(self, demands, capacity):
        level = max_min_level(demands, capacity)
        if level is None:
            assert sum(demands) <= capacity * 1.000001
        else:
            assert sum(min(demand, level) for demand in demands) == pytest.approx(capacity)


class TestShare:
    def test_no_share_without_refusals(self):
        shares = FairShares()
        shares.record_served("big", 1e6, now=0.0)
        shares.record_served("little", 1.0, now=0.0)
        assert shares.share("big", now=0.1) is None

    def test_customer_that_takes_the_most_is_above_its_share_and_the_refused_one_below(self):
        shares = FairShares()
        shares.receive("h", works(big=(900, 0), little=(100, 400)), now=0.0)
        big, little = (shares.share(name, now=0.1) for name in ("big", "little"))
        assert big.use == pytest.approx(1.8) and little.use == pytest.approx(0.2)
        assert big.wait_factor < 1 < little.wait_factor
        assert big.admitted_fraction < 1 and little.admitted_fraction == 1

    def test_shares_are_over_again_soon_after_the_last_refusal(self):
        shares = FairShares()
        shares.record_served("big", 1000.0, now=0.0)
        shares.record_refused("big", 1000.0, now=0.0)
        assert shares.share("big", now=0.1) is not None
        for step in range(1, 60):
            shares.record_served("big", 100.0, now=step / 2)
        assert shares.share("big", now=30.0) is None

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 3), st.integers(1, 500))))
    def test_counts_decay_alike_however_they_are_compacted(self, events):
        shares, now, expected = FairShares(), 0.0, {}
        for customer, passed, tokens in events:
            now += passed * COMPACTION_SECONDS
            decay = math.exp(-passed * COMPACTION_SECONDS / DECAY_SECONDS)
            expected = {name: amount * decay for name, amount in expected.items()}
            shares.record_served(customer, tokens, now=now)
            expected[customer] = expected.get(customer, 0.0) + tokens
        rates = shares.own_rates(now=now)
        for customer, amount in expected.items():
            served = rates.get(customer, (0.0, 0.0))[0] * DECAY_SECONDS
            assert served == pytest.approx(amount, abs=1.0 + 1e-6 * amount)


class TestReceived:
    def test_later_word_of_a_source_replaces_its_earlier_one(self):
        shares = FairShares()
        shares.receive("h", works(big=(900, 0)), now=0.0)
        shares.receive("h", works(big=(500, 0), little=(10, 0)), now=0.0)
        rates = shares.total_rates(now=0.0)
        assert rates["big"] == pytest.approx((500, 0))
        assert rates["little"] == pytest.approx((10, 0))
        shares.forget("h")
        assert sum(map(sum, shares.total_rates(now=0.0).values())) == pytest.approx(0)

    def test_silent_source_is_forgotten(self):
        shares = FairShares()
        shares.receive("h", works(big=(1e15, 0)), now=0.0)
        shares.own_rates(now=SOURCE_TIMEOUT_SECONDS + COMPACTION_SECONDS)
        assert not shares.sources

    def test_messages_cannot_make_a_host_hold_any_number_of_customers(self):
        shares = FairShares()
        for start in range(0, 2 * MAX_CUSTOMERS, 16):
            names = [f"c{start + number}" for number in range(16)]
            shares.receive("h", dict.fromkeys(names, (1.0, 0.0)), now=0.0)
        assert len(shares.total_rates(now=0.0)) == MAX_CUSTOMERS
        table = FairShareTable()
        for number in range(1000):
            table.receive("h", {f"s{number}": works(big=(1, 0))}, now=0.0)
        assert len(table.services) < 100


class TestChangedRates:
    def test_largest_changes_go_first_and_all_are_sent_in_turn(self):
        changes = ChangedRates()
        rates = {f"c{number}": (1000.0 + number, 0.0) for number in range(40)}
        rounds = [changes.take(rates, now=0.0) for _ in range(3)]
        assert [len(taken) for taken in rounds] == [MAX_CHANGED_CUSTOMERS, MAX_CHANGED_CUSTOMERS, 8]
        assert "c39" in rounds[0] and "c0" in rounds[2]
        assert set().union(*rounds) == set(rates)

    def test_decay_alone_is_not_sent(self):
        changes = ChangedRates()
        assert changes.take({"big": (1000.0, 0.0)}, now=0.0)
        decayed = 1000.0 * math.exp(-1.0 / DECAY_SECONDS)
        assert changes.take({"big": (decayed, 0.0)}, now=1.0) == {}

    def test_lost_word_is_repeated(self):
        changes = ChangedRates()
        changes.take({"big": (1000.0, 0.0)}, now=0.0)
        assert changes.take({"big": (1000.0, 0.0)}, now=0.01) == {}
        assert changes.take({"big": (1000.0, 0.0)}, now=REFRESH_SECONDS + 0.1)
