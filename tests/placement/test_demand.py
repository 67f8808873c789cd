"""Demand: sums over the entries of a zone, and the moving average by model."""

import pytest

from samphirehall.node.facts import FactKind, FactStore
from samphirehall.placement.demand import Demand, DemandAverage, demand_by_model


class TestDemandByModel:
    def test_sums_the_facts_of_entries_in_the_zone(self):
        store = FactStore("host-a", 1)
        for host, rate in (("host-a", 10.0), ("host-b", 32.0), ("host-far", 99.0)):
            store.owner = f"{host}/entry"
            value = {"prefill_tokens_per_second": rate, "waiting": 1}
            store.publish(FactKind.DEMAND, "answer", value, lifetime=5, now=0)
        demand = demand_by_model(store.current(FactKind.DEMAND, now=1), {"host-a", "host-b"})
        assert demand == {"answer": Demand(42.0, 0.0, 2)}


class TestDemandAverage:
    def test_approaches_a_step_gradually(self):
        average = DemandAverage(time_constant=10)
        average.update({"answer": Demand(100, 10)}, now=0)
        after = average.update({"answer": Demand(200, 10)}, now=1)
        assert after["answer"].prefill_tokens_per_second == pytest.approx(110)

    def test_drops_to_zero_for_a_model_without_demand(self):
        average = DemandAverage(time_constant=1)
        average.update({"answer": Demand(100, 10)}, now=0)
        assert average.update({}, now=10)["answer"] == Demand(0, 0, 0)
