from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.types import EngineLoad
from samphirehall.routing.concurrency import (
    MAX_CONCURRENCY,
    MIN_CONCURRENCY,
    QueueLimits,
    adapt_concurrency,
    host_concurrency_limit,
)
from samphirehall.routing.view import EndpointView
from tests.routing.helpers import engine

AIMS = QueueLimits()


def view(concurrency, reported=0, local=0):
    return EndpointView(
        engine("e"),
        concurrency_limit=concurrency,
        reported_sequences=reported,
        local_in_flight_at_report=local,
    )


class TestAdaptConcurrency:
    @given(st.floats(MIN_CONCURRENCY, MAX_CONCURRENCY), st.integers(0, 2000), st.integers(0, 2000))
    def test_stays_in_bounds(self, concurrency, running, waiting):
        load = EngineLoad(running=running, waiting=waiting)
        assert MIN_CONCURRENCY <= adapt_concurrency(concurrency, load, AIMS) <= MAX_CONCURRENCY

    def test_waiting_sequences_lower_it_to_the_batch(self):
        assert adapt_concurrency(100.0, EngineLoad(running=16, waiting=40), AIMS) < 18

    def test_increases_only_when_used(self):
        assert adapt_concurrency(10.0, EngineLoad(running=9), AIMS) > 10
        assert adapt_concurrency(10.0, EngineLoad(running=3), AIMS) == 10
        assert adapt_concurrency(10.0, EngineLoad(running=9, waiting=0), AIMS) > 10
        assert adapt_concurrency(17.6, EngineLoad(running=16, waiting=1), AIMS) == 17.6

    def test_reaches_a_large_batch_within_ten_reports(self):
        concurrency = 32.0
        for _ in range(10):
            concurrency = adapt_concurrency(concurrency, EngineLoad(running=int(concurrency)), AIMS)
        assert concurrency >= 600

    def test_long_prefill_queue_lowers_it(self):
        load = EngineLoad(running=20, queued_prompt_tokens=100_000)
        assert adapt_concurrency(20.0, load, AIMS) < 20


class TestHostConcurrencyLimit:
    def test_even_part_when_all_hosts_are_busy(self):
        assert host_concurrency_limit([view(30.0, reported=30, local=10)], hosts=3) == 10

    def test_all_that_the_other_hosts_leave_unused(self):
        assert host_concurrency_limit([view(30.0, reported=10, local=10)], hosts=3) == 30

    def test_at_least_one(self):
        assert host_concurrency_limit([], hosts=3) == 1
