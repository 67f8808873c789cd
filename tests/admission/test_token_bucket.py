import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.admission.token_bucket import TokenBucket


class TestTokenBucket:
    @given(
        rate=st.floats(0.1, 100),
        burst=st.floats(1, 50),
        steps=st.lists(st.tuples(st.floats(0, 2), st.floats(0.1, 5)), max_size=60),
    )
    def test_never_gives_more_than_rate_and_burst(self, rate, burst, steps):
        bucket = TokenBucket(rate, burst, now=0.0)
        now = taken = 0.0
        for passed, units in steps:
            now += passed
            if bucket.take(units, now=now):
                taken += units
            assert taken <= burst + rate * now + max(0.0, units - burst) + 1e-6

    def test_take_succeeds_after_the_estimated_wait(self):
        bucket = TokenBucket(2.0, 4.0, now=0.0)
        assert bucket.take(4.0, now=0.0)
        wait = bucket.seconds_until(1.0, now=0.0)
        assert wait == pytest.approx(0.5)
        assert not bucket.take(1.0, now=wait - 0.01)
        assert bucket.take(1.0, now=wait)

    def test_adjustment_may_overdraw(self):
        bucket = TokenBucket(10.0, 10.0, now=0.0)
        bucket.adjust(30.0, now=0.0)
        assert bucket.level(now=0.0) == -20.0
        assert not bucket.take(1.0, now=2.0)
        assert bucket.take(1.0, now=2.2)
