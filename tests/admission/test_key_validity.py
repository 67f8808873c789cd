"""Check of a caller's key against withdrawals and isolation."""

import pytest

from samphirehall.admission.authentication import Caller
from samphirehall.admission.key_validity import check_key_validity
from samphirehall.configuration.documents import CustomerPart, RoutePart
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import ISOLATED, KEY_UNKNOWN
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.settings.tables import IsolationTable

NOW = 1000.0
ISOLATION = IsolationTable(notice_seconds=20.0, serve_seconds=300.0)


def caller(digest="digest", **part):
    return Caller("coop", CustomerPart(**part), "answer", RoutePart("model", "answer"), digest)


def state(verified_at=NOW):
    state = NodeState("host", "zone", 1)
    state.verification.record_confirmation(verified_at)
    return state


class TestCheckKeyValidity:
    def test_key_withdrawn_on_another_host_is_refused(self):
        host_state = state()
        check_key_validity(host_state, caller(), ISOLATION, now=NOW)
        host_state.fact_store.merge(
            Fact(FactKind.KEY_WITHDRAWN, "digest", "other", 1, 1, None, 60.0), now=NOW
        )
        with pytest.raises(SamphireError) as refused:
            check_key_validity(host_state, caller(), ISOLATION, now=NOW)
        assert refused.value.result is KEY_UNKNOWN
        check_key_validity(host_state, caller("another"), ISOLATION, now=NOW)

    @pytest.mark.parametrize(("limit", "age"), [(0.0, 21.0), (None, 321.0), (600.0, 621.0)])
    def test_isolated_host_serves_until_the_customers_limit(self, limit, age):
        limited_caller = caller(serve_when_isolated_seconds=limit)
        check_key_validity(state(), limited_caller, ISOLATION, now=NOW + age - 2)
        with pytest.raises(SamphireError) as refused:
            check_key_validity(state(), limited_caller, ISOLATION, now=NOW + age)
        assert refused.value.result is ISOLATED

    def test_open_route_needs_no_key(self):
        check_key_validity(state(verified_at=0.0), caller(""), ISOLATION, now=NOW * 100)
