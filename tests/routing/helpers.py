"""Builders of fleets, load reports and requests for the routing tests."""

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointInfo, EndpointKind, EndpointProtocol, EngineLoad, Role
from samphirehall.endpoints.compact_report import encode_report
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.policy import RoutingSetup
from samphirehall.routing.prefix_aware import prefix_aware
from samphirehall.routing.view import RoutingRequest

LIFETIME = 60.0


def engine(name, *, zone="z1", role=Role.MIXED, kind=EndpointKind.STANDARD, version=""):
    return EndpointInfo(
        name,
        "127.0.0.1:1",
        zone,
        EndpointProtocol.ENGINE,
        kind,
        role,
        models=("answer",),
        software_version=version,
    )


def fleet_of(*infos):
    state = NodeState("host", "z1", 1)
    state.replace_endpoints(infos)
    return Fleet(state), state


def publish_report(state, name, *, queued=0, running=0, **fields):
    load = EngineLoad(running=running, queued_prompt_tokens=queued)
    report = EngineReport(name, load=load, **fields)
    value = encode_report(report)
    now = boot_seconds()
    state.fact_store.publish(FactKind.ENGINE_REPORT, name, value, lifetime=LIFETIME, now=now)


def candidates_of(fleet, *, excluded=frozenset(), now=None, **fields):
    now = boot_seconds() if now is None else now
    return fleet.candidates("answer", EndpointProtocol.ENGINE, excluded=excluded, now=now, **fields)


def names(views):
    return sorted(view.info.endpoint_id for view in views)


def request(**fields):
    return RoutingRequest("answer", "z1", boot_seconds() + 60, **fields)


def policy_over(fleet, **fields):
    return prefix_aware(RoutingSetup(fleet.prefixes, find_endpoint=fleet.find, **fields))
