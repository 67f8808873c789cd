"""Metrics of a host, and the bound on their label values."""

import subprocess
import sys

import pytest
from prometheus_client import CollectorRegistry

from samphirehall.core.results import NO_ENDPOINT, OK
from samphirehall.forwarding.connection_limits import RefusalReason
from samphirehall.gateway.metrics import GatewayMetrics
from samphirehall.gateway.request_state import RequestState, SendOutcome
from samphirehall.gateway.types import Customer
from tests.gateway.helpers import DESK, ROUTES, request


@pytest.fixture
def metrics():
    return GatewayMetrics()


@pytest.fixture
def registry(metrics):
    registry = CollectorRegistry()
    registry.register(metrics)
    return registry


def request_state(*sends, **notes):
    made = RequestState(
        request(), ROUTES[0], DESK, Customer("acme"), 0, 1.0, 1, extra_log_fields=notes
    )
    for send in sends:
        made.record_send(*send)
    return made


class TestRequests:
    def test_request_is_counted_by_route_result_and_customer(self, registry, metrics):
        metrics.observe_request(request_state(("e1", "run", SendOutcome.ANSWERED)), OK, 0.02)
        value = registry.get_sample_value
        assert value("samphire_requests_total", {"route": "read", "result": "1000"}) == 1
        assert value("samphire_customer_requests_total", {"customer": "acme", "run": "ran"}) == 1
        labels = {"purpose": "run", "outcome": "answered"}
        assert value("samphire_sends_total", labels) == 1

    def test_wait_and_longest_gap_of_a_stream_are_observed(self, registry, metrics):
        metrics.observe_request(request_state(choice={"wait": 0.3}, longest_pause=0.2), OK, 0.5)
        assert registry.get_sample_value("samphire_wait_seconds_sum") == 0.3
        assert registry.get_sample_value("samphire_longest_pause_seconds_sum") == 0.2

    def test_admissions_are_counted_by_reason(self, registry, metrics):
        refused = request_state(admission="above its fair share")
        metrics.observe_request(refused, NO_ENDPOINT, 0.01)
        labels = {"reason": "above its fair share"}
        assert registry.get_sample_value("samphire_admissions_total", labels) == 1

    def test_streams_are_counted_by_kind_and_outcome(self, registry, metrics):
        chat = next(route for route in ROUTES if route.resumable)
        for resumes, notes in [(None, {"first_event_after": 0.1}), ("r0", {})]:
            state = request_state(**notes)
            state.route, state.request.resumes = chat, resumes
            metrics.observe_request(state, OK, 0.5)
        value = registry.get_sample_value
        assert value("samphire_streams_total", {"kind": "new", "outcome": "went-on"}) == 1
        assert value("samphire_streams_total", {"kind": "taken-up", "outcome": "refused"}) == 1

    def test_hedges_are_counted_by_winner_and_refusals_by_reason(self, registry, metrics):
        for won in ("first", "hedge", "hedge"):
            state = request_state(hedge={"endpoint": "e2", "after": 0.1, "won": won})
            state.hedged = True
            metrics.observe_request(state, OK, 0.2)
        metrics.observe_request(request_state(hedge={"refused": "share"}), OK, 0.2)
        value = registry.get_sample_value
        for won, count in [("first", 1), ("hedge", 2)]:
            assert value("samphire_hedges_total", {"service": "desk", "won": won}) == count
        labels = {"service": "desk", "reason": "share"}
        assert value("samphire_hedges_refused_total", labels) == 1

    # Guards against alerts on endpoints whose requests this host cancelled itself.
    def test_cancelled_loser_is_no_failure_of_its_endpoint(self, registry, metrics):
        metrics.observe_request(request_state(("e1", "run", SendOutcome.CANCELLED)), OK, 0.2)
        value = registry.get_sample_value
        assert value("samphire_endpoint_failures_total", {"endpoint": "e1"}) is None
        labels = {"purpose": "run", "outcome": "cancelled"}
        assert value("samphire_sends_total", labels) == 1

    def test_refused_connections_are_counted_by_port_and_reason(self, registry, metrics):
        metrics.observe_refused_connection("clients", RefusalReason.MEMORY)
        labels = {"port": "clients", "reason": "memory"}
        assert registry.get_sample_value("samphire_connections_refused_total", labels) == 1

    def test_failures_are_counted_by_endpoint_until_it_is_unlisted(self, registry, metrics):
        sends = [("e1", "run", SendOutcome.NOT_SENT), ("e2", "run", SendOutcome.NOT_RUN)]
        metrics.observe_request(request_state(*sends), NO_ENDPOINT, 0.01)
        name = "samphire_endpoint_failures_total"
        assert registry.get_sample_value(name, {"endpoint": "e1"}) == 1
        metrics.remove_unlisted_endpoints({"e2"})
        assert registry.get_sample_value(name, {"endpoint": "e1"}) is None
        assert registry.get_sample_value(name, {"endpoint": "e2"}) == 1


class TestStore:
    def test_calls_are_observed_by_kind_and_success(self, registry, metrics):
        metrics.observe_store_call("range", 0.004, True)
        metrics.observe_store_call("range", 1.0, False)
        name = "samphire_store_call_seconds_count"
        for answered in ("true", "false"):
            labels = {"call": "range", "answered": answered}
            assert registry.get_sample_value(name, labels) == 1


class TestImports:
    def test_host_that_is_not_scraped_does_not_import_the_client_library(self):
        code = (
            "import sys; import samphirehall.programs.node; "
            "print([name for name in ('prometheus_client', 'fire', 'hdrh') if name in sys.modules])"
        )
        printed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        assert printed.stdout == b"[]\n"
