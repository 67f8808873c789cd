from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.types import EngineLoad
from samphirehall.routing.outstanding import (
    MAX_ALLOWED,
    MIN_ALLOWED,
    QueueAims,
    adapted,
    concurrency_limit,
)
from samphirehall.routing.view import EndpointView
from tests.routing.helpers import engine

AIMS = QueueAims()


def view(allowed, reported=0, own=0):
    return EndpointView(
        engine("e"), allowed=allowed, reported_sequences=reported, own_at_report=own
    )


class TestAdapted:
    @given(st.floats(MIN_ALLOWED, MAX_ALLOWED), st.integers(0, 2000), st.integers(0, 2000))
    def test_stays_in_bounds(self, allowed, running, waiting):
        load = EngineLoad(running=running, waiting=waiting)
        assert MIN_ALLOWED <= adapted(allowed, load, AIMS) <= MAX_ALLOWED

    def test_waiting_brings_it_down_to_the_batch(self):
        assert adapted(100.0, EngineLoad(running=16, waiting=40), AIMS) < 18

    def test_grows_only_when_used(self):
        assert adapted(10.0, EngineLoad(running=9), AIMS) > 10
        assert adapted(10.0, EngineLoad(running=3), AIMS) == 10
        assert adapted(10.0, EngineLoad(running=9, waiting=0), AIMS) > 10
        assert adapted(17.6, EngineLoad(running=16, waiting=1), AIMS) == 17.6

    def test_reaches_a_large_batch_within_ten_reports(self):
        allowed = 32.0
        for _ in range(10):
            allowed = adapted(allowed, EngineLoad(running=int(allowed)), AIMS)
        assert allowed >= 600

    def test_long_prefill_queue_brings_it_down(self):
        load = EngineLoad(running=20, queued_prompt_tokens=100_000)
        assert adapted(20.0, load, AIMS) < 20


class TestConcurrencyLimit:
    def test_even_part_when_all_hosts_are_busy(self):
        assert concurrency_limit([view(30.0, reported=30, own=10)], hosts=3) == 10

    def test_all_that_the_others_leave(self):
        assert concurrency_limit([view(30.0, reported=10, own=10)], hosts=3) == 30

    def test_at_least_one(self):
        assert concurrency_limit([], hosts=3) == 1
