import random
from collections import Counter

import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointKind, Priority, Role
from samphirehall.routing.policy import NoEndpointError
from tests.routing.helpers import (
    candidates_of,
    engine,
    fleet_of,
    policy_over,
    publish_report,
    request,
)


def choose(fleet, sample_request, *, seed=0, excluded=frozenset()):
    now = boot_seconds()
    return policy_over(fleet)(
        candidates_of(fleet, excluded=excluded, now=now),
        sample_request,
        now=now,
        random_source=random.Random(seed),
    )


def chosen(fleet, sample_request, **options):
    return choose(fleet, sample_request, **options).endpoint.info.endpoint_id


class TestPrefixAware:
    def test_holder_of_the_prefix_is_preferred(self):
        fleet, _ = fleet_of(*(engine(f"e{n}") for n in range(20)))
        fleet.prefixes.store("e7", [1, 2, 3, 4, 5, 6])
        sample_request = request(block_hashes=[1, 2, 3, 4, 5, 6], prompt_tokens=6 * 1024)
        assert {chosen(fleet, sample_request, seed=seed) for seed in range(10)} == {"e7"}

    def test_busy_holder_is_avoided(self):
        fleet, state = fleet_of(*(engine(f"e{n}") for n in range(3)))
        fleet.prefixes.store("e1", [1, 2])
        publish_report(state, "e1", queued=500_000)
        sample_request = request(block_hashes=[1, 2], prompt_tokens=2048)
        assert "e1" not in {chosen(fleet, sample_request, seed=seed) for seed in range(10)}

    def test_local_calls_since_the_report_count(self):
        fleet, state = fleet_of(engine("e0"), engine("e1"))
        for name in ("e0", "e1"):
            publish_report(state, name)
        sample_request = request(prompt_tokens=100_000)
        first = chosen(fleet, sample_request)
        fleet.begin_call(first)
        fleet.begin_prefill(
            first, sample_request, cached_tokens=0, estimated_first_token=0.0, now=boot_seconds()
        )
        assert {chosen(fleet, sample_request, seed=seed) for seed in range(10)} == {"e0", "e1"} - {
            first
        }

    def test_simultaneous_decisions_spread_over_endpoints(self):
        counts = Counter()
        for seed in range(200):
            fleet, state = fleet_of(*(engine(f"e{n}") for n in range(10)))
            for number in range(10):
                publish_report(state, f"e{number}", queued=1000 * number)
            counts[chosen(fleet, request(prompt_tokens=1000), seed=seed)] += 1
        assert max(counts.values()) < 130

    @pytest.mark.parametrize(
        ("priority", "kind"),
        [
            (Priority.URGENT, EndpointKind.STANDARD),
            (Priority.NORMAL, EndpointKind.CHEAP),
            (Priority.BATCH, EndpointKind.CHEAP),
        ],
    )
    def test_only_urgent_requests_prefer_the_standard_kind(self, priority, kind):
        fleet, _ = fleet_of(engine("s"), engine("c", kind=EndpointKind.CHEAP))
        decision = choose(fleet, request(priority=priority))
        assert decision.endpoint.info.kind is kind

    def test_local_zone_is_preferred_unless_it_is_busy(self):
        fleet, state = fleet_of(engine("near"), engine("far", zone="z2"))
        assert chosen(fleet, request(prompt_tokens=100)) == "near"
        publish_report(state, "near", queued=500_000)
        assert chosen(fleet, request(prompt_tokens=100)) == "far"

    def test_slow_endpoint_is_avoided_and_tried_again_later(self):
        fleet, _ = fleet_of(engine("slow"), engine("other"))
        sample_request = request(prompt_tokens=50_000)
        for _ in range(5):
            call = fleet.begin_prefill(
                "slow", sample_request, cached_tokens=0, estimated_first_token=0.1, now=0.0
            )
            fleet.end_prefill(call, answered=True, now=2.0)
        views = candidates_of(fleet, now=2.0)
        policy = policy_over(fleet)
        early = policy(views, sample_request, now=2.0, random_source=random.Random(1))
        assert early.endpoint.info.endpoint_id == "other"
        later = {
            policy(
                views, sample_request, now=120.0, random_source=random.Random(seed)
            ).endpoint.info.endpoint_id
            for seed in range(20)
        }
        assert later == {"slow", "other"}

    def test_no_candidate(self):
        fleet, _ = fleet_of(engine("a"))
        with pytest.raises(NoEndpointError):
            choose(fleet, request(), excluded={"a"})


class TestSplit:
    def test_long_prompt_uses_a_prefill_engine_when_that_is_faster(self):
        fleet, _ = fleet_of(engine("p", role=Role.PREFILL), engine("d", role=Role.DECODE))
        sample_request = request(prompt_tokens=20_000, output_tokens=20)
        sample_request.prefill_candidates = fleet.prefill_candidates(
            "answer", excluded=set(), now=boot_seconds()
        )
        decision = choose(fleet, sample_request)
        assert decision.prefill_engine.info.endpoint_id == "p"
        assert decision.endpoint.info.endpoint_id == "d"

    def test_both_engines_have_one_software_version(self):
        sample_request = request(prompt_tokens=20_000, output_tokens=20)
        for version in ("v1", "v2"):
            fleet, _ = fleet_of(
                engine("p", role=Role.PREFILL, version=version),
                engine("d1", role=Role.DECODE, version="v1"),
                engine("d2", role=Role.DECODE, version="v2"),
            )
            sample_request.prefill_candidates = fleet.prefill_candidates(
                "answer", excluded=set(), now=boot_seconds()
            )
            decision = choose(fleet, sample_request)
            assert decision.prefill_engine.info.software_version == version
            assert decision.endpoint.info.software_version == version

    def test_prompt_is_not_split_between_software_versions(self):
        fleet, _ = fleet_of(
            engine("p", role=Role.PREFILL, version="v1"),
            engine("d", role=Role.DECODE, version="v2"),
        )
        sample_request = request(prompt_tokens=20_000, output_tokens=20)
        sample_request.prefill_candidates = fleet.prefill_candidates(
            "answer", excluded=set(), now=boot_seconds()
        )
        assert choose(fleet, sample_request).prefill_engine is None

    def test_short_prompt_is_not_worth_a_transfer(self):
        fleet, _ = fleet_of(engine("p", role=Role.PREFILL), engine("m"))
        sample_request = request(prompt_tokens=50, output_tokens=200)
        sample_request.prefill_candidates = fleet.prefill_candidates(
            "answer", excluded=set(), now=boot_seconds()
        )
        assert choose(fleet, sample_request).prefill_engine is None


class TestDefaultHolder:
    def test_hosts_agree_on_where_an_unknown_prefix_goes(self):
        sample_request = request(block_hashes=[12345, 6], prompt_tokens=4096)
        endpoint_ids = set()
        for seed in range(20):
            fleet, _ = fleet_of(*(engine(f"e{n}") for n in range(10)))
            endpoint_ids.add(chosen(fleet, sample_request, seed=seed))
        assert len(endpoint_ids) == 1

    def test_busy_default_holder_is_avoided(self):
        sample_request = request(block_hashes=[3, 6], prompt_tokens=4096)
        fleet, state = fleet_of(*(engine(f"e{n}") for n in range(10)))
        publish_report(state, "e3", queued=100_000)
        assert "e3" not in {chosen(fleet, sample_request, seed=seed) for seed in range(20)}
