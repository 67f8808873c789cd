import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointState, Role
from samphirehall.node.facts import FactKind
from tests.routing.helpers import (
    LIFETIME,
    candidates_of,
    engine,
    fleet_of,
    names,
    publish_report,
    request,
)


class TestCandidates:
    @given(
        excluded=st.sets(st.sampled_from("abcdef")),
        leaving=st.sets(st.sampled_from("abcdef")),
        suspects=st.sets(st.sampled_from("abcdef")),
        states=st.lists(st.sampled_from(list(EndpointState)), min_size=6, max_size=6),
    )
    def test_never_excluded_nor_leaving_nor_unready(self, excluded, leaving, suspects, states):
        infos = [
            dataclasses.replace(engine(name), state=state)
            for name, state in zip("abcdef", states, strict=True)
        ]
        fleet, state = fleet_of(*infos)
        now = boot_seconds()
        for name in leaving:
            state.fact_store.publish(
                FactKind.ENDPOINT_LEAVING, name, "", lifetime=LIFETIME, now=now
            )
        for name in suspects:
            fleet.record_failure(name, now=now)
        found = set(names(candidates_of(fleet, excluded=excluded)))
        ready = {info.endpoint_id for info in infos if info.state is EndpointState.READY}
        usable = ready - excluded - leaving
        assert found == (usable - suspects or usable)

    @pytest.mark.parametrize("fields", [{"leaving": True}, {"changing": True}])
    def test_engine_that_reports_leaving_or_changing_is_left_out(self, fields):
        fleet, state = fleet_of(engine("a"), engine("b"))
        publish_report(state, "a", **fields)
        assert names(candidates_of(fleet)) == ["b"]

    def test_prefill_engine_is_only_offered_for_prefill(self):
        fleet, state = fleet_of(engine("a"), engine("b", role=Role.PREFILL))
        assert names(candidates_of(fleet)) == ["a"]
        now = boot_seconds()
        assert names(fleet.prefill_candidates("answer", excluded=set(), now=now)) == ["b"]
        publish_report(state, "b", role=Role.MIXED)
        assert names(candidates_of(fleet)) == ["a", "b"]

    def test_new_table_replaces_the_old(self):
        fleet, state = fleet_of(engine("a"))
        state.replace_endpoints([engine("b")])
        assert names(candidates_of(fleet)) == ["b"]

    def test_endpoint_that_is_delisted_during_a_call_gets_no_more(self):
        fleet, state = fleet_of(engine("a"), engine("b"))
        fleet.begin_call("a")
        state.replace_endpoints([engine("b")])
        assert names(candidates_of(fleet)) == ["b"]
        assert names(fleet.engines("z1", now=boot_seconds())) == ["b"]


class TestSoftwareVersion:
    def test_answer_is_continued_by_engines_of_its_version_and_of_unknown_ones(self):
        fleet, _ = fleet_of(engine("a", version="v1"), engine("b", version="v2"), engine("c"))
        assert names(candidates_of(fleet)) == ["a", "b", "c"]
        assert names(candidates_of(fleet, software_version="v1")) == ["a", "c"]
        assert names(candidates_of(fleet, software_version="")) == ["c"]

    def test_penalized_engine_of_the_version_is_returned_if_there_is_no_other(self):
        fleet, _ = fleet_of(engine("a", version="v1"), engine("b", version="v2"))
        fleet.record_failure("a", now=boot_seconds())
        assert names(candidates_of(fleet)) == ["b"]
        assert names(candidates_of(fleet, software_version="v1")) == ["a"]

    @pytest.mark.parametrize("state", list(EndpointState))
    def test_version_is_there_while_an_engine_serves_or_is_about_to(self, state):
        info = dataclasses.replace(engine("a", version="v1"), state=state)
        fleet, _ = fleet_of(info, engine("b", version="v2"))
        expected = state in (EndpointState.STARTING, EndpointState.READY, EndpointState.CHANGING)
        assert fleet.has_version("answer", "v1", now=boot_seconds()) is expected

    @pytest.mark.parametrize("fields", [{"leaving": True}, {"role": Role.PREFILL}])
    def test_version_is_gone_if_its_engine_reports_that_it_takes_no_answers(self, fields):
        fleet, state = fleet_of(engine("a", version="v1"), engine("b", version="v2"))
        publish_report(state, "a", **fields)
        assert not fleet.has_version("answer", "v1", now=boot_seconds())

    def test_cached_prefixes_are_forgotten_when_the_version_changes(self):
        fleet, state = fleet_of(engine("a", version="v1"), engine("b", version="v1"))
        for name in ("a", "b"):
            fleet.prefixes.store(name, [1, 2])
        state.replace_endpoints([engine("a", version="v2"), engine("b", version="v1")])
        candidates_of(fleet)
        assert fleet.prefixes.matches([1, 2]) == {"b": 2}


class TestFailurePenalty:
    def test_grows_with_each_failure_and_ends_with_success(self):
        fleet, _ = fleet_of(engine("a"), engine("b"))
        fleet.record_failure("a", now=0.0)
        assert not fleet.is_penalized("a", now=1.5)
        fleet.record_failure("a", now=2.0)
        assert fleet.is_penalized("a", now=3.5)
        fleet.record_success("a")
        assert not fleet.is_penalized("a", now=3.5)

    def test_one_request_probes_after_the_penalty(self):
        fleet, _ = fleet_of(engine("a"), engine("b"))
        fleet.record_failure("a", now=0.0)
        assert names(candidates_of(fleet, now=1.5)) == ["a", "b"]
        fleet.begin_call("a")
        assert names(candidates_of(fleet, now=1.5)) == ["b"]


class TestPrefillAccounting:
    def test_ends_once_and_records_the_prefix(self):
        fleet, _ = fleet_of(engine("a"))
        view = candidates_of(fleet)[0]
        sample_request = request(block_hashes=[1, 2], prompt_tokens=100)
        call = fleet.begin_prefill(
            "a", sample_request, cached_tokens=40, estimated_first_token=0.0, now=0.0
        )
        assert view.local_pending_tokens == 60
        fleet.end_prefill(call, answered=True, now=1.0)
        fleet.end_prefill(call, answered=False, now=2.0)
        assert view.local_pending_tokens == 0
        assert fleet.prefixes.matches([1, 2, 3]) == {"a": 2}

    def test_call_may_end_after_its_endpoint_is_delisted(self):
        fleet, state = fleet_of(engine("a"))
        fleet.begin_call("a")
        call = fleet.begin_prefill(
            "a", request(), cached_tokens=0, estimated_first_token=0.0, now=0.0
        )
        state.replace_endpoints([])
        fleet.end_prefill(call, answered=False, now=1.0)
        fleet.end_call("a")
        fleet.record_failure("a", now=1.0)
        assert candidates_of(fleet) == []
