import pytest

from samphirehall.load.caller import RetryBudget
from samphirehall.load.outcome import Histogram, Outcome, summarize, summarize_by_customer


class TestHistogram:
    def test_percentile_is_in_seconds(self):
        histogram = Histogram()
        for hundredths in range(1, 101):
            histogram.record(hundredths / 100)
        assert histogram.percentile(50) == pytest.approx(0.5, rel=0.01)
        assert histogram.percentile(99) == pytest.approx(0.99, rel=0.01)

    def test_nothing_recorded(self):
        assert Histogram().percentile(50) is None


class TestSummary:
    def test_good_is_whole_and_in_time(self):
        outcomes = [
            Outcome("a", "w", 0, 1000, complete=True, in_time=True, tokens=10),
            Outcome("a", "w", 0, 1000, complete=True, in_time=False, tokens=10),
            Outcome("b", "w", 0, 2007, "not-run", in_time=True),
        ]
        summary = summarize(outcomes)
        assert (summary.requests, summary.good, summary.late, summary.tokens) == (3, 1, 1, 10)
        assert summary.codes == {(2007, "not-run"): 1}
        assert summarize_by_customer(outcomes)["b"].good == 0


class TestRetryBudget:
    def test_retries_are_a_share_of_requests(self):
        budget = RetryBudget(0.1)
        taken = 0
        for _ in range(1000):
            budget.record_request()
            taken += budget.try_acquire()
        assert 90 <= taken <= 102
