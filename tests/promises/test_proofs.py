"""Runs of the whole system under faults; every checker reads every history."""

import pytest

from samphirehall.core.results import OK
from tests.promises.events import CallEnded, EngineOrdered, PlatformOrdered, UsageReported
from tests.promises.scenarios import SCENARIOS

SHORT_SEEDS = (1, 2)
LONG_SEEDS = tuple(range(100, 110))
LEAST_GOOD_CALLS = 50
MUST_HAPPEN = {"orders": (EngineOrdered, PlatformOrdered, UsageReported)}


def _cases(config, seeds):
    chosen = config.getoption("--seed")
    return [(name, seed) for name in SCENARIOS for seed in ([chosen] if chosen else seeds)]


def pytest_generate_tests(metafunc):
    if "scenario" in metafunc.fixturenames:
        seeds = LONG_SEEDS if "long" in metafunc.function.__name__ else SHORT_SEEDS
        metafunc.parametrize(("scenario", "seed"), _cases(metafunc.config, seeds))


def _assert_exercised(history, scenario):
    """Fail for a run in which too little happened to prove anything."""
    for kind in MUST_HAPPEN.get(scenario, ()):
        assert list(history.of(kind)), f"no {kind.__name__} in the run"
    good = [call for call in history.of(CallEnded) if call.result == OK.code and call.ended]
    assert len(good) >= LEAST_GOOD_CALLS


class TestSeeds:
    @pytest.mark.prove
    def test_promises_hold(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)

    @pytest.mark.prove_long
    def test_promises_hold_long(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)
