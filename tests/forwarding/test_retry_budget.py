"""The retry budget and its backoff."""

import random

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.forwarding.retry_budget import (
    MAX_BACKOFF_SECONDS,
    RetryBudget,
    retry_delay,
)


class TestRetryBudget:
    @given(steps=st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=200))
    def test_retries_stay_below_the_ratio_and_the_floor(self, steps):
        budget = RetryBudget(now=0.0, ratio=0.2, floor_per_second=1.0, max_saved_retries=10.0)
        now, first_attempts, retries = 0.0, 0, 0
        for is_first, elapsed in steps:
            now += elapsed
            if is_first:
                budget.record_first_attempt()
                first_attempts += 1
            else:
                retries += budget.spend(now=now)
            assert retries <= 10.0 + 0.2 * first_attempts + now + 1e-6

    def test_floor_refills_an_empty_budget(self):
        budget = RetryBudget(now=0.0, floor_per_second=1.0, max_saved_retries=1.0)
        assert budget.spend(now=0.0)
        assert not budget.spend(now=0.5)
        assert budget.spend(now=1.1)

    @given(retries=st.integers(0, 100), seed=st.integers(0, 1000))
    def test_delays_are_bounded(self, retries, seed):
        delay = retry_delay(retries, random_source=random.Random(seed))
        assert 0 <= delay <= MAX_BACKOFF_SECONDS
