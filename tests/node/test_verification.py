"""Whether a host that may be isolated or was paused still serves a customer."""

import pytest

from samphirehall.node.verification import (
    MIN_PAUSE_SECONDS,
    RESUME_CHECK_TIMEOUT_SECONDS,
    Verification,
    decide_serving,
)

ISOLATION_THRESHOLD_SECONDS = 15.0
DEFAULT_LIMIT_SECONDS = 300.0


def decide(verification, now, limit=None):
    return decide_serving(
        verification,
        isolation_limit=limit,
        default_isolation_limit=DEFAULT_LIMIT_SECONDS,
        isolation_threshold=ISOLATION_THRESHOLD_SECONDS,
        now=now,
    ).allowed


class TestDecideServing:
    @pytest.mark.parametrize(
        ("age", "limit", "allowed"),
        [
            (ISOLATION_THRESHOLD_SECONDS, 0.0, True),
            (ISOLATION_THRESHOLD_SECONDS + 0.1, 0.0, False),
            (ISOLATION_THRESHOLD_SECONDS + DEFAULT_LIMIT_SECONDS, None, True),
            (ISOLATION_THRESHOLD_SECONDS + DEFAULT_LIMIT_SECONDS + 0.1, None, False),
            (ISOLATION_THRESHOLD_SECONDS + 900, 1000.0, True),
        ],
    )
    def test_limit_is_the_customers(self, age, limit, allowed):
        verification = Verification("zone-1")
        verification.record_confirmation(100.0)
        assert decide(verification, 100.0 + age, limit) is allowed

    def test_host_that_never_verified_serves_for_the_limit_only(self):
        verification = Verification("zone-1")
        assert decide(verification, 100.0)
        assert not decide(
            verification, 100.0 + ISOLATION_THRESHOLD_SECONDS + DEFAULT_LIMIT_SECONDS + 0.1
        )

    def test_later_word_of_an_old_verification_counts(self):
        verification = Verification("zone-1")
        assert decide(verification, 1000.0)
        verification.record_confirmation(500.0)
        assert not decide(verification, 1000.1)

    def test_paused_host_checks_before_it_serves(self):
        verification = Verification("zone-1")
        verification.record_confirmation(100.0)
        verification.tick(100.0)
        resumed = 100.0 + MIN_PAUSE_SECONDS + 1
        assert not decide(verification, resumed), "before the first tick after the pause"
        assert verification.tick(resumed)
        assert not decide(verification, resumed + 0.1), "before anything was verified"
        verification.record_confirmation(resumed + 0.2)
        assert decide(verification, resumed + 0.3)

    def test_paused_and_isolated_host_falls_back_to_the_limit(self):
        verification = Verification("zone-1")
        verification.record_confirmation(100.0)
        verification.tick(100.0)
        verification.tick(130.0)
        later = 130.0 + RESUME_CHECK_TIMEOUT_SECONDS
        assert decide(verification, later)
        assert not decide(verification, later, limit=0.0)


class TestVerifiedAt:
    def test_store_out_for_all_is_told_from_isolation(self):
        verification = Verification("zone-1")
        verification.record_confirmation(10.0)
        verification.record_contact("zone-2", 50.0)
        other_zones = frozenset(("zone-2", "zone-3"))
        assert (
            verification.verified_at(other_zones, now=60.0) == 10.0
        ), "zone-3 may still reach the store"
        verification.record_contact("zone-3", 40.0)
        assert verification.verified_at(other_zones, now=60.0) == 40.0

    def test_only_host_is_always_verified(self):
        assert Verification("zone-1").verified_at(frozenset(), now=60.0) == 60.0
