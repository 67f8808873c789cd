"""Placement of a zone: which orders a step returns under which fleet rules."""

from dataclasses import replace

import pytest

from samphirehall.configuration.documents import FleetPart, ModelPart, RoutePart
from samphirehall.configuration.version import Configuration
from samphirehall.core.types import EndpointInfo, EndpointKind, EndpointProtocol, Role
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.placement.demand import Demand
from samphirehall.placement.models import ModelOrder
from samphirehall.placement.roles import RoleChange
from samphirehall.placement.views import EngineView
from samphirehall.placement.zone import CountOrder, ZonePlacement, uninterruptible_share

ZONE = "prairie-1"
DECODE_HEAVY = {"answer": Demand(100, 6000)}


def engine(name, role=Role.PREFILL, models=("answer@2",)):
    info = EndpointInfo(name, "127.0.0.1:1", ZONE, EndpointProtocol.ENGINE)
    return EngineView(info, EngineReport(name, role, list(models)))


def configuration(**rules):
    parts = {
        "models/answer": ModelPart("2"),
        "routes/answer": RoutePart("model", "answer"),
        "fleet": FleetPart(**rules),
    }
    return Configuration(1, parts)


def decide(placement, engines, rules, *, demand=None, now=100.0):
    listed = [view.info for view in engines]
    return placement.decide(engines, listed, demand or {}, configuration(**rules), now=now)


class TestZonePlacement:
    def test_returns_no_order_unless_the_rules_allow_it(self):
        engines = [engine("a"), engine("b"), engine("c", models=())]
        assert decide(ZonePlacement(ZONE), engines, {}, demand=DECODE_HEAVY) == []

    @pytest.mark.parametrize(
        "rule, kind",
        [
            ("change_roles", RoleChange),
            ("place_models", ModelOrder),
            ("order_endpoints", CountOrder),
        ],
    )
    def test_returns_only_orders_that_the_rules_allow(self, rule, kind):
        engines = [engine("a"), engine("b"), engine("c", models=())]
        orders = decide(ZonePlacement(ZONE), engines, {rule: True}, demand=DECODE_HEAVY)
        assert orders and all(isinstance(order, kind) for order in orders)

    def test_does_not_repeat_a_count_order(self):
        placement = ZonePlacement(ZONE)
        rules = {"order_endpoints": True}
        for order in decide(placement, [engine("a")], rules, demand=DECODE_HEAVY):
            placement.record_count_order(order, now=100)
        assert decide(placement, [engine("a")], rules, demand=DECODE_HEAVY, now=101) == []

    def test_an_engine_keeps_a_new_role_for_the_dwell_time(self):
        placement = ZonePlacement(ZONE)
        engines = [engine("a"), engine("b")]
        (first,) = decide(placement, engines, {"change_roles": True}, demand=DECODE_HEAVY)
        placement.record_role_change(first, now=100)
        engines = [
            (
                replace(view, report=EngineReport(view.endpoint_id, first.role, ["answer@2"]))
                if view.endpoint_id == first.endpoint_id
                else view
            )
            for view in engines
        ]
        rules = {"change_roles": True}
        following = decide(placement, engines, rules, demand=DECODE_HEAVY, now=130)
        assert all(order.endpoint_id != first.endpoint_id for order in following)

    def test_orders_standard_endpoints_when_cheap_ones_do_not_start(self):
        placement = ZonePlacement(ZONE)
        rules = {"order_endpoints": True, "cheap_share": 0.5}
        for now in (100, 101, 140):
            for order in decide(placement, [engine("a")], rules, demand=DECODE_HEAVY, now=now):
                placement.record_count_order(order, now=now)
                if now == 100 and order.kind is EndpointKind.STANDARD:
                    first = order.count
                last = order
        assert last.kind is EndpointKind.STANDARD
        assert last.count > first


class TestUninterruptibleShare:
    def test_counts_urgent_routes(self):
        urgent = RoutePart("model", "answer", priority="urgent")
        parts = {"routes/answer": urgent, "routes/draft": RoutePart("model", "draft")}
        demand = {"answer": Demand(30, 0), "draft": Demand(70, 0)}
        assert uninterruptible_share(Configuration(1, parts), demand) == pytest.approx(0.3)
