"""Model placement: follows demand, keeps the weight store's rate and the last copy of a model."""

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.placement.models import (
    LOAD,
    UNLOAD,
    EngineModels,
    WantedModel,
    WeightBudget,
    decide_model_order,
)

GIGABYTE = 1e9


def wanted(name, share, weight_bytes=GIGABYTE):
    return WantedModel(name, share, int(weight_bytes))


class TestDecideModelOrder:
    def test_loads_the_model_that_is_missing_most(self):
        engines = [EngineModels("a", frozenset({"x@1"})), EngineModels("b", frozenset({"x@1"}))]
        order = decide_model_order(
            engines, [wanted("x@1", 0.5), wanted("y@1", 0.5)], budget_bytes=2 * GIGABYTE
        )
        assert (order.action, order.model) == (LOAD, "y@1")

    def test_loads_nothing_over_the_byte_budget(self):
        engines = [EngineModels("a", frozenset())]
        assert decide_model_order(engines, [wanted("x@1", 1)], budget_bytes=1) is None

    def test_unloads_an_old_version_only_after_the_new_one_is_loaded(self):
        old = [EngineModels("a", frozenset({"x@1"}), capacity=1)]
        assert decide_model_order(old, [wanted("x@2", 1)], budget_bytes=0) is None
        both = [EngineModels("a", frozenset({"x@1", "x@2"}))]
        order = decide_model_order(both, [wanted("x@2", 1)], budget_bytes=0)
        assert (order.action, order.model) == (UNLOAD, "x@1")

    @given(
        st.lists(st.frozensets(st.sampled_from(["x@1", "y@1", "z@1"])), min_size=1, max_size=5),
        st.floats(0, 1),
    )
    def test_never_unloads_the_last_copy_of_a_wanted_model(self, loaded, share):
        engines = [
            EngineModels(f"e{number}", names, capacity=2) for number, names in enumerate(loaded)
        ]
        models = [wanted("x@1", share), wanted("y@1", 1 - share), wanted("z@1", 0)]
        order = decide_model_order(engines, models, budget_bytes=2 * GIGABYTE)
        if order is not None and order.action == UNLOAD:
            assert sum(order.model in engine.loaded for engine in engines) > 1


class TestWeightBudget:
    @given(st.lists(st.tuples(st.floats(0, 10), st.floats(0, 500)), max_size=30))
    def test_never_spends_more_than_rate_and_burst_allow(self, steps):
        budget = WeightBudget(bytes_per_second=100, burst_bytes=200)
        now = spent = 0.0
        for elapsed, amount in steps:
            now += elapsed
            if amount <= budget.available(now=now):
                budget.spend(amount)
                spent += amount
        assert spent <= 200 + 100 * now + 1e-6
