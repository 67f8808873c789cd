"""Prefill rates of single engines in the views of a host."""

import logging
import math
import random

import pytest

from samphirehall.gateway.engine_rates import (
    MIN_COMMON_CALLS,
    common_speed,
    count_uneven,
    engine_rate,
    lasting_factors,
    record_prefill,
)
from samphirehall.gateway.generation_plan import EngineView, GenerationPlan
from samphirehall.gateway.types import Stage
from tests.gateway.helpers import MODEL, context, engine

TOKENS_PER_SECOND, OVERHEAD, TOKENS = 30_000.0, 0.03, 9_000


def lasting_factor(gateway_context, listed):
    return lasting_factors(gateway_context, [listed])[listed.endpoint_id]


def make_plan(listed, *, ahead=0):
    view = EngineView(
        listed.endpoint_id, listed.address, "a", listed.stage, 0, ahead, ahead, 0, 1.0, 0.03
    )
    return GenerationPlan(view, view, None, TOKENS, 0.0, 0.5)


@pytest.fixture
def site():
    """Return a context with four engines that prefill, and a function that records calls."""
    gateway_context, _ = context()
    engines = [engine(f"p{n}", Stage.PREFILL) for n in range(4)]
    for listed in engines:
        gateway_context.fleet.update(listed, MODEL)

    def call(listed, *, factor=1.0, count=1, ahead=0):
        for _ in range(count):
            seconds = OVERHEAD + (TOKENS + ahead) / (TOKENS_PER_SECOND * factor)
            record_prefill(gateway_context, make_plan(listed, ahead=ahead), seconds)

    return gateway_context, engines, call


class TestEngineRates:
    def test_engines_that_differ_get_rates_of_their_own(self, site):
        gateway_context, engines, call = site
        for _ in range(20):
            call(engines[0], factor=0.5)
            for listed in engines[1:]:
                call(listed)
        slow, _ = engine_rate(gateway_context, engines[0])
        normal, overhead = engine_rate(gateway_context, engines[1])
        assert slow == pytest.approx(0.5 * TOKENS_PER_SECOND, rel=0.2)
        assert normal == gateway_context.prefill_rate("model", Stage.PREFILL).tokens_per_second
        assert overhead == pytest.approx(OVERHEAD, abs=0.03)
        assert count_uneven(gateway_context) == (1, 0)

    def test_first_calls_teach_the_common_rate_only(self, site):
        gateway_context, engines, call = site
        call(engines[0], factor=4.0, count=MIN_COMMON_CALLS - 1)
        assert len(gateway_context.speeds) == 0

    def test_slowness_of_all_engines_is_no_difference(self, site):
        gateway_context, engines, call = site
        for factor in (1.0, 0.5):
            for _ in range(15):
                for listed in engines:
                    call(listed, factor=factor)
        assert count_uneven(gateway_context) == (0, 0)
        rate = gateway_context.prefill_rate("model", Stage.PREFILL).tokens_per_second
        assert rate == pytest.approx(0.5 * TOKENS_PER_SECOND, rel=0.2)

    def test_calls_that_met_a_queue_teach_the_engine_but_not_the_common_rate(self, site):
        gateway_context, engines, call = site
        call(engines[1], count=20)
        before = gateway_context.prefill_rate("model", Stage.PREFILL).tokens_per_second
        call(engines[0], factor=0.4, count=40, ahead=3_000)
        assert gateway_context.prefill_rate("model", Stage.PREFILL).tokens_per_second == before
        assert lasting_factor(gateway_context, engines[0]) < 0.6

    def test_engine_keeps_its_factor_when_its_stage_changes(self, site):
        gateway_context, engines, call = site
        call(engines[1], count=20)
        call(engines[0], factor=0.5, count=20)
        before = lasting_factor(gateway_context, engines[0])
        changed = engine("p0", Stage.DECODE)
        gateway_context.fleet.update(changed, MODEL)
        assert lasting_factor(gateway_context, changed) == before < 0.7
        rate, _ = engine_rate(gateway_context, changed)
        common = gateway_context.prefill_rate("model", Stage.DECODE).tokens_per_second
        assert rate == pytest.approx(before * common, rel=0.01)

    def test_delays_of_hosts_do_not_make_equal_engines_that_prefill_fast_uneven(self, site):
        """Else fast engines are taken for slow ones, and requests refused while they are free."""
        gateway_context, engines, _ = site
        source = random.Random(1)
        for _ in range(100):
            for number, listed in enumerate(engines):
                delay = source.uniform(0.0, 0.03) * (number + 1)
                seconds = 0.015 + delay
                record_prefill(gateway_context, make_plan(listed), seconds)
        assert count_uneven(gateway_context) == (0, 0)
        assert len(set(lasting_factors(gateway_context, engines).values())) == 1

    def test_change_is_logged_once(self, site, caplog):
        caplog.set_level(logging.INFO)
        _, engines, call = site
        call(engines[1], count=20)
        call(engines[0], factor=0.5, count=30)
        lines = [record for record in caplog.records if record.message == "engine-speed"]
        assert len(lines) == 1
        assert lines[0].endpoint == engines[0].incarnation and lines[0].factor < 0.85

    def test_only_listed_incarnations_have_a_common_speed(self, site):
        gateway_context, engines, _ = site
        find = common_speed(gateway_context)
        rate = gateway_context.prefill_rate("model", Stage.PREFILL).tokens_per_second
        assert find(engines[0].incarnation) == math.log(rate)
        assert find("p0/77") is None and find("other/0") is None and find("") is None
