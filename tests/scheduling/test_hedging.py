"""Decision to hedge: the delay follows the answer times, and the limit holds over all hosts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.scheduling import hedging
from samphirehall.scheduling.hedging import (
    MAX_SAVED_HEDGES,
    MIN_SAMPLES,
    WINDOW_SECONDS,
    AnswerTimes,
    Hedging,
    has_free_slot,
    is_overloaded,
)

SHARE = 0.1
SERVICE = "desk"


def recorded(times, *, share=SHARE, now=0.0):
    host = Hedging(share)
    for seconds in times:
        host.record_attempt("read", SERVICE, seconds, now=now)
    return host


def delay(host, *, now=0.0):
    estimate = host.estimate("read", SERVICE, now=now)
    return estimate and estimate.hedge_delay


class TestDelay:
    def test_no_hedge_before_enough_answers_are_known(self):
        assert delay(recorded([0.05] * (MIN_SAMPLES - 1))) is None
        assert delay(recorded([0.05] * MIN_SAMPLES)) is not None

    # Guards against a single slow answer that sets the delay of a high quantile.
    def test_high_quantile_needs_more_answers(self):
        assert delay(recorded([0.05] * 150, share=0.001)) is None
        assert delay(recorded([0.05] * 200, share=0.001)) is not None

    def test_delay_is_the_quantile_that_uses_the_share_up(self):
        times = [0.05] * 85 + [0.2] * 10 + [0.5] * 5
        assert delay(recorded(times)) == pytest.approx(0.2, rel=0.02)
        assert delay(recorded(times, share=0.01)) is None
        assert delay(recorded(times * 2, share=0.01)) == pytest.approx(0.5, rel=0.02)

    # Guards against hedges in vain where all answers take the same time.
    def test_delay_is_well_above_the_median(self):
        assert delay(recorded([0.05] * 100)) == pytest.approx(0.075, rel=0.02)

    def test_routes_and_services_have_their_own_times(self):
        host = recorded([0.05] * 100)
        for _ in range(100):
            host.record_attempt("list", SERVICE, 0.4, now=0.0)
        assert delay(host) == pytest.approx(0.075, rel=0.02)
        assert host.estimate("read", "other", now=0.0) is None

    def test_old_answers_are_forgotten(self):
        host = recorded([0.5] * 100)
        now = WINDOW_SECONDS + 1
        for _ in range(100):
            host.record_attempt("read", SERVICE, 0.05, now=now)
        assert delay(host, now=now) == pytest.approx(0.5, rel=0.02)
        now += WINDOW_SECONDS
        assert delay(host, now=now) == pytest.approx(0.075, rel=0.02)
        assert delay(host, now=now + 2 * WINDOW_SECONDS) is None

    # Guards against memory that grows with each route that was ever in force.
    def test_withdrawn_routes_are_dropped(self):
        host = Hedging(SHARE)
        for number in range(50):
            host.record_attempt(f"r{number}", SERVICE, 0.05, now=number * WINDOW_SECONDS)
        assert len(host._times) <= 3

    @given(st.floats(0, 1e9))
    def test_any_time_can_be_recorded(self, seconds):
        times = AnswerTimes(0.9, now=0.0)
        times.record(seconds, now=0.0)
        assert times.estimate(now=0.0) is None


class TestLimit:
    @given(st.floats(0.001, 1.0), st.lists(st.booleans(), max_size=300))
    def test_hedges_never_exceed_the_share_of_the_requests(self, share, events):
        host, requests, hedges = Hedging(share), 0, 0
        for is_request in events:
            if is_request:
                host.record_request(SERVICE)
                requests += 1
            else:
                hedges += host.acquire(SERVICE)
            assert hedges <= share * requests + 1e-6

    # Guards against hosts that each save hedges and start them together when endpoints slow down.
    @pytest.mark.parametrize("hosts", [1, 30, 300])
    def test_share_holds_over_many_hosts_also_in_a_burst(self, hosts):
        seeded = random.Random(hosts)
        fleet = [Hedging(SHARE) for _ in range(hosts)]
        for _ in range(100 * hosts):
            seeded.choice(fleet).record_request(SERVICE)
        burst = sum(host.acquire(SERVICE) for host in fleet for _ in range(50))
        assert burst <= MAX_SAVED_HEDGES * hosts
        requests, hedges = 100 * hosts, burst
        for _ in range(100 * hosts):
            host = seeded.choice(fleet)
            host.record_request(SERVICE)
            requests += 1
            hedges += host.acquire(SERVICE)
        assert 0.05 * requests < hedges <= SHARE * requests + 1e-6

    def test_small_share_adds_up_without_loss(self):
        host = Hedging(0.05)
        for _ in range(20):
            assert not host.allows(SERVICE)
            host.record_request(SERVICE)
        assert host.acquire(SERVICE) and not host.acquire(SERVICE)

    def test_services_have_their_own_limit(self):
        host = Hedging(1.0)
        host.record_request("other")
        assert not host.allows(SERVICE) and host.allows("other")


class TestOverload:
    def test_service_that_is_nearly_full_is_overloaded(self):
        assert not is_overloaded([(3, 6)] * 4)
        assert is_overloaded([(5, 6)] * 4)
        assert is_overloaded([])

    # Guards against no hedges at all while the requests of one slow endpoint wait.
    def test_queue_of_one_slow_endpoint_is_no_overload(self):
        assert not is_overloaded([(40, 6), (1, 6), (1, 6), (1, 6)])

    def test_hedge_needs_a_free_slot(self):
        assert has_free_slot(5, 6) and not has_free_slot(6, 6) and not has_free_slot(7, 6)


class Load:
    """Requests of many hosts that learn alone, with answer times by `draw`.

    Parameters
    ----------
    draw : callable
        Returns the answer time of an endpoint, given its number, the time and a random source.
    """

    HOSTS, ENDPOINTS, REQUESTS_PER_HOST_AND_SECOND = 24, 12, 5

    def __init__(self, draw):
        self.draw = draw
        self.seeded = random.Random(7)
        self.fleet = [Hedging(SHARE) for _ in range(self.HOSTS)]
        self.requests = self.hedges = 0

    def run(self, start, seconds):
        """Make the requests of some seconds; return their latencies, sorted."""
        latencies = []
        for number in range(int(seconds * self.HOSTS * self.REQUESTS_PER_HOST_AND_SECOND)):
            now = start + number / (self.HOSTS * self.REQUESTS_PER_HOST_AND_SECOND)
            latencies.append(self.request(now))
        return sorted(latencies)

    def request(self, now):
        host = self.seeded.choice(self.fleet)
        host.record_request(SERVICE)
        self.requests += 1
        first, other = self.seeded.sample(range(self.ENDPOINTS), 2)
        time = recorded_time = self.draw(first, now, self.seeded)
        late = delay(host, now=now)
        if late is not None and time > late and host.acquire(SERVICE):
            self.hedges += 1
            hedged = late + self.draw(other, now, self.seeded)
            time = recorded_time = min(time, hedged)
        host.record_attempt("read", SERVICE, recorded_time, now=now)
        return time


def usual(seeded):
    return 0.05 * seeded.uniform(0.8, 1.2)


class TestLoads:
    def test_one_slow_endpoint_no_longer_decides_the_tail(self):
        load = Load(lambda number, now, seeded: usual(seeded) * (8 if number == 0 else 1))
        load.run(0, 60)
        latencies = load.run(60, 60)
        assert latencies[int(0.96 * len(latencies))] < 0.2
        assert load.hedges <= SHARE * load.requests

    # Guards against hedges that add load to endpoints which are all slow.
    def test_all_endpoints_slow_ends_the_hedges_within_two_windows(self):
        load = Load(lambda number, now, seeded: usual(seeded) * (4 if now >= 60 else 1))
        load.run(0, 60)
        assert load.hedges == 0
        load.run(60, 2 * WINDOW_SECONDS)
        assert load.hedges <= SHARE * load.requests
        before = load.hedges
        load.run(60 + 2 * WINDOW_SECONDS, 30)
        assert load.hedges == before

    def test_cold_caches_are_not_hedged_beyond_the_limit(self):
        def draw(number, now, seeded):
            return usual(seeded) * (6 if seeded.random() < max(0.0, 1 - now / 20) else 1)

        load = Load(draw)
        load.run(0, 5)
        assert load.hedges <= SHARE * load.requests
        load.run(5, 4 * WINDOW_SECONDS)
        before = load.hedges
        load.run(5 + 4 * WINDOW_SECONDS, 30)
        assert load.hedges == before

    def test_rare_slow_answers_are_hedged_at_little_extra_work(self):
        load = Load(
            lambda number, now, seeded: usual(seeded) * (10 if seeded.random() < 0.04 else 1)
        )
        load.run(0, 60)
        load.requests = load.hedges = 0
        latencies = load.run(60, 60)
        assert latencies[int(0.99 * len(latencies))] < 0.2
        assert 0.02 < load.hedges / load.requests < 0.06


def test_library_is_not_imported_without_times(monkeypatch):
    monkeypatch.setattr(hedging, "_new_histogram", lambda: pytest.fail("a histogram was made"))
    host = Hedging(SHARE)
    host.record_request(SERVICE)
    assert host.estimate("read", SERVICE, now=0.0) is None
