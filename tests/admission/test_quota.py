import random

import pytest

from samphirehall.admission.quota import (
    HostQuota,
    OfferedDemand,
    Quota,
    QuotaBounds,
    QuotaKnowledge,
    Regime,
    Verdict,
)
from samphirehall.admission.quota_ledger import QuotaLedger, SourceCount

QUOTA = Quota(100.0, 100.0)
BOUNDS = QuotaBounds(8.0, 0.1, 100.0)
ALONE = QuotaKnowledge(0.0, 0.0, 1, 10, float("inf"))


def knowledge(level=100.0, *, demand=10.0, heard=10, known=10, age=0.1):
    return QuotaKnowledge(level, demand, heard, known, age)


def host_quota(quota=QUOTA, bounds=BOUNDS):
    return HostQuota(quota, bounds, random.Random(1))


def ledger(*, now=0.0):
    created = QuotaLedger(BOUNDS, now=now)
    created.set_quotas({"c": QUOTA}, now=now)
    return created


def counts(granted, uncounted=None, demand=0.0):
    return [("c", SourceCount(granted, granted if uncounted is None else uncounted, demand))]


def charged(kept, *args, **fields):
    return kept.record(*args, **fields).get("c", 0.0)


class TestHostQuota:
    def test_request_waits_only_for_an_acknowledgement(self):
        host = host_quota()
        verdicts = [host.decide(9.0, knowledge(), now=0.0).verdict for _ in range(2)]
        assert verdicts == [Verdict.GRANT, Verdict.WAIT]
        host.acknowledged = host.granted
        assert host.decide(9.0, knowledge(), now=0.1).verdict is Verdict.GRANT

    def test_request_that_has_waited_is_granted_unless_the_level_falls(self):
        for level, verdict in ((95.0, Verdict.GRANT), (10.0, Verdict.REFUSE)):
            host = host_quota()
            host.decide(9.0, knowledge(level), now=0.0)
            decision = host.decide(9.0, knowledge(level), now=0.1, waited=True)
            assert decision.verdict is verdict

    def test_request_above_burst_and_overrun_is_refused_even_by_a_full_bucket(self):
        decision = host_quota().decide(500.0, knowledge(), now=0.0)
        assert decision.verdict is Verdict.REFUSE

    def test_host_out_of_touch_grants_its_equal_part_and_no_burst(self):
        host = host_quota()
        silent = knowledge(age=2.0)
        grants = [
            host.decide(1.0, silent, now=step / 100, waited=True).verdict for step in range(1000)
        ]
        assert grants.count(Verdict.GRANT) == pytest.approx(100, abs=2)
        assert host.outstanding == 0  # the common bucket leaves this part out

    def test_stalled_host_does_not_save_up_its_share(self):
        host = host_quota()
        silent = knowledge(age=2.0)
        host.decide(1.0, silent, now=0.0)
        grants = [host.decide(1.0, silent, now=30.0, waited=True).verdict for _ in range(100)]
        assert grants.count(Verdict.GRANT) <= 11

    def test_started_host_waits_for_its_hub(self):
        assert host_quota().decide(1.0, ALONE, now=0.0).verdict is Verdict.WAIT

    def test_overdrawn_bucket_slows_the_shares_to_a_stop(self):
        debt = BOUNDS.usable_debt(QUOTA)
        granted = []
        for level in (-0.7 * debt, -debt):
            host = host_quota()
            host.demand.record(100.0, now=0.0)
            late = knowledge(level, demand=50.0)
            decisions = [host.decide(1.0, late, now=1 + n / 100) for n in range(300)]
            assert all(decision.regime is Regime.SHARE for decision in decisions)
            granted.append(sum(each.verdict is Verdict.GRANT for each in decisions))
        assert 5 < granted[0] < 60 and granted[1] == 0

    def test_retry_time_of_a_request_that_does_not_fit_is_that_until_it_does(self):
        """Guards against a caller that is told 0.1 s again and again until the level has risen."""
        quota = Quota(0.5, 1.0)
        host = host_quota(quota, QuotaBounds(8.0, 0.1, 0.0))
        empty = knowledge(0.0, demand=0.0, heard=1, known=1)
        decision = host.decide(1.0, empty, now=0.0, waited=True)
        missing = 1.0 - QuotaBounds(8.0, 0.1, 0.0).usable_debt(quota)
        assert decision.verdict is Verdict.REFUSE
        assert decision.retry_after == pytest.approx(missing / 0.5)

    def test_retry_time_in_a_surge_is_that_until_the_level_lasts(self):
        """Guards against a caller that is told 0.1 s while the demand keeps the free regime off."""
        level = BOUNDS.free_level(QUOTA) + 1
        decision = host_quota().decide(50.0, knowledge(level, demand=440.0), now=0.0)
        assert decision.verdict is Verdict.REFUSE
        assert decision.retry_after == pytest.approx((90.0 - level) / 100.0)

    def test_smallest_rate_that_a_configuration_can_hold_raises_nothing(self):
        """Guards against a division by a part of the rate that is rounded to zero."""
        host = host_quota(Quota(5e-324, 1.0), QuotaBounds(8.0, 0.0, 0.0))
        decision = host.decide(1.0, knowledge(-1.0, heard=1, known=10), now=0.0, waited=True)
        assert decision.verdict is Verdict.REFUSE and decision.retry_after == 10

    def test_units_given_back_may_be_used_again(self):
        host = host_quota()
        host.decide(9.0, knowledge(), now=0.0)
        host.give_back(9.0, now=0.0)
        assert host.granted == host.outstanding == 0
        assert host.decide(9.0, knowledge(), now=0.0).verdict is Verdict.GRANT


def test_lowest_demand_is_never_above_what_others_may_still_know():
    demand = OfferedDemand()
    for step in range(100):
        demand.record(1.0, now=step / 100)
    assert demand.rate(now=1.0) > 20 and demand.lowest(now=1.0) == 0
    assert 0 < demand.lowest(now=1.5) < demand.rate(now=1.5)


class TestLedger:
    def test_counters_are_never_counted_twice(self):
        kept = ledger()
        assert charged(kept, "m", "m/1", counts(5.0), now=0.0) == 5
        assert charged(kept, "m", "m/1", counts(5.0), now=0.1) == 0
        assert charged(kept, "m", "m/1", counts(8.0, 3.0), now=0.2) == 3
        assert charged(kept, "m", "m/1", counts(6.0, 0.0), now=0.3) == -2

    def test_new_hub_counts_only_what_no_hub_has_counted(self):
        assert charged(ledger(), "m", "m/1", counts(1000.0, 3.0), now=0.0) == 3

    def test_member_that_was_out_of_touch_is_charged_without_its_equal_part(self):
        kept = ledger()
        kept.record("m", "m/1", counts(5.0), now=0.0)
        assert charged(kept, "m", "m/1", counts(95.0, 2.0), now=5.0) == 2

    def test_restarted_member_begins_at_zero(self):
        kept = ledger()
        kept.record("m", "m/1", counts(500.0), now=0.0)
        assert charged(kept, "m", "m/2", counts(4.0), now=0.1) == 4

    def test_new_hub_of_a_zone_goes_on_counting(self):
        kept = ledger()
        kept.record("zone:b", "h1", counts(500.0, 0.0), is_zone=True, now=0.0)
        assert charged(kept, "zone:b", "h2", counts(507.0, 7.0), is_zone=True, now=0.3) == 7
        assert charged(kept, "zone:b", "h3", counts(2.0, 2.0), is_zone=True, now=0.6) == 2

    def test_demand_told_by_an_earlier_hub_of_a_zone_ends_with_it(self):
        """Guards against shares that stay small as a restarted zone no longer has a customer."""
        kept = ledger()
        kept.record("zone:b", "h1", counts(500.0, demand=800.0), is_zone=True, now=0.0)
        kept.record("zone:b", "h2", [], is_zone=True, now=0.3)
        assert kept.demand("c", now=0.4) == 0
        assert charged(kept, "zone:b", "h2", counts(502.0, 2.0), is_zone=True, now=0.5) == 2

    def test_hosts_that_are_cut_off_keep_their_part_of_the_rate_and_burst(self):
        kept = ledger()
        kept.record("zone:b", "h1", [], hosts=9, is_zone=True, now=0.0)
        kept.charge("c", -1000.0, now=0.0)
        assert kept.level("c", now=0.1) == 100
        assert kept.level("c", now=1.0) == 10
        kept.charge("c", 10.0, now=1.0)
        assert kept.level("c", now=1.5) == pytest.approx(5.0)

    def test_zones_that_are_cut_off_for_longer_than_a_minute_stay_within_the_rate_together(self):
        """Guards against two zones that each grant the whole rate after a long cut."""
        zones = [ledger(), ledger()]
        for kept in zones:
            kept.record("zone:other", "h1", [], hosts=9, is_zone=True, now=0.0)
            kept.record_known(18, now=0.0)
            for second in range(70):
                kept.level("c", now=float(second))
        parts = [heard / known for heard, known in (kept.hosts for kept in zones)]
        assert sum(parts) <= 1

    def test_ended_hosts_are_known_for_a_minute(self):
        kept = ledger()
        kept.record("zone:b", "h1", [], hosts=9, is_zone=True, now=0.0)
        for second in range(62):
            kept.level("c", now=float(second))
        assert kept.hosts == (1, 1)

    def test_ended_members_are_forgotten(self):
        """Guards against a hub whose memory and work grow with each host that has ever run."""
        kept = ledger()
        for second in range(200):
            kept.record(f"m{second}", "p", counts(5.0), now=float(second))
            kept.level("c", now=float(second))
        assert len(kept._sources) <= 62

    def test_lowered_limit_also_lowers_the_debt_to_repay(self):
        kept = ledger()
        kept.charge("c", 100.0 + kept.level("c", now=0.0), now=0.0)
        kept.set_quotas({"c": Quota(10.0, 10.0)}, now=0.0)
        assert -100 < kept.level("c", now=0.0) < -50
        kept.charge("c", -1000.0, now=0.0)
        assert kept.level("c", now=0.0) == 10
