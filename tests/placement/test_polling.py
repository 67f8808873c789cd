"""Polling: which host polls an engine, which hosts publish that it leaves, and how often."""

import pytest

from samphirehall.core.types import EndpointInfo, EndpointProtocol, EndpointState
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.placement.polling import (
    LEAVING_LIFETIME_SECONDS,
    LEAVING_PUBLISHER_COUNT,
    ReportPoller,
    assigned_endpoints,
    poll_interval,
)

ZONE = "prairie-1"
HOSTS = frozenset(f"host-{number}" for number in range(5))


def engine(name, zone=ZONE, state=EndpointState.READY):
    return EndpointInfo(name, "127.0.0.1:1", zone, EndpointProtocol.ENGINE, state=state)


def host_state(host, endpoints=()):
    state = NodeState(host, ZONE, 1)
    state.zone_hosts = HOSTS
    state.replace_endpoints(endpoints)
    return state


def leaving_facts(host, listed, now=0.0):
    state = host_state(host)
    ReportPoller(state, EndpointPools()).record_listed_endpoints(listed, now=now)
    return [fact.key for fact in state.fact_store.current(FactKind.ENDPOINT_LEAVING, now=now)]


class TestAssignedEndpoints:
    def test_exactly_one_host_polls_each_engine_of_the_zone(self):
        engines = [engine(f"engine-{number}") for number in range(20)] + [engine("far", "other")]
        assigned = [
            endpoint.endpoint_id
            for host in HOSTS
            for endpoint in assigned_endpoints(host_state(host, engines))
        ]
        assert sorted(assigned) == sorted(f"engine-{number}" for number in range(20))


class TestRecordListedEndpoints:
    def test_the_configured_number_of_hosts_publishes_that_an_endpoint_leaves(self):
        leaving = [engine("engine-1", state=EndpointState.LEAVING)]
        assert sum(leaving_facts(host, leaving) == ["engine-1"] for host in HOSTS) == (
            LEAVING_PUBLISHER_COUNT
        )

    def test_hosts_of_other_zones_publish_nothing(self):
        listed = [engine("engine-1", "other", EndpointState.LEAVING)]
        assert all(leaving_facts(host, listed) == [] for host in HOSTS)


class TestPublishLeaving:
    def test_publishes_again_before_the_fact_expires(self):
        state = host_state("host-0")
        poller = ReportPoller(state, EndpointPools())
        for now in (0.0, LEAVING_LIFETIME_SECONDS * 0.6, LEAVING_LIFETIME_SECONDS * 1.2):
            poller.publish_leaving("engine-1", "engine says so", now=now)
        check_at = LEAVING_LIFETIME_SECONDS * 1.9
        assert state.fact_store.contains(FactKind.ENDPOINT_LEAVING, "engine-1", now=check_at)


class TestPollInterval:
    @pytest.mark.parametrize("engines, seconds", [(1, 1.0), (40, 1.0), (146, 3.65)])
    def test_grows_with_the_engines_of_the_zone(self, engines, seconds):
        assert poll_interval(engines) == pytest.approx(seconds)
