"""The budget of retries."""

import random

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.forwarding.retry_budget import (
    BACKOFF_LIMIT_SECONDS,
    RetryBudget,
    retry_pause,
)


class TestRetryBudget:
    @given(steps=st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=200))
    def test_retries_stay_below_the_ratio_and_the_floor(self, steps):
        budget = RetryBudget(now=0.0, ratio=0.2, floor_per_second=1.0, max_tokens=10.0)
        now, firsts, retries = 0.0, 0, 0
        for is_first, pause in steps:
            now += pause
            if is_first:
                budget.earn()
                firsts += 1
            else:
                retries += budget.spend(now=now)
            assert retries <= 10.0 + 0.2 * firsts + now + 1e-6

    def test_the_floor_gives_retries_back(self):
        budget = RetryBudget(now=0.0, floor_per_second=1.0, max_tokens=1.0)
        assert budget.spend(now=0.0)
        assert not budget.spend(now=0.5)
        assert budget.spend(now=1.1)

    @given(retries=st.integers(0, 100), seed=st.integers(0, 1000))
    def test_pauses_are_bounded(self, retries, seed):
        pause = retry_pause(retries, random_source=random.Random(seed))
        assert 0 <= pause <= BACKOFF_LIMIT_SECONDS
