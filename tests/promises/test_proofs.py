"""Runs of the whole system under faults; every checker is applied to every history."""

import pytest

from samphirehall.core.results import OK
from tests.promises.events import CallEnded, EngineOrdered, PlatformOrdered, UsageReported
from tests.promises.scenarios import SCENARIOS

SHORT_SEEDS = (1, 2)
LONG_SEEDS = tuple(range(100, 110))
MIN_SUCCESSFUL_CALLS = 50
REQUIRED_EVENTS = {"orders": (EngineOrdered, PlatformOrdered, UsageReported)}


def _cases(config, seeds):
    selected_seed = config.getoption("--seed")
    return [
        (name, seed) for name in SCENARIOS for seed in ([selected_seed] if selected_seed else seeds)
    ]


def pytest_generate_tests(metafunc):
    if "scenario" in metafunc.fixturenames:
        seeds = LONG_SEEDS if "long" in metafunc.function.__name__ else SHORT_SEEDS
        metafunc.parametrize(("scenario", "seed"), _cases(metafunc.config, seeds))


def _assert_exercised(history, scenario):
    """Fail if the run lacks required events or has too few successful calls to be meaningful."""
    for kind in REQUIRED_EVENTS.get(scenario, ()):
        assert list(history.events_of_type(kind)), f"no {kind.__name__} in the run"
    successful = [
        call for call in history.events_of_type(CallEnded) if call.result == OK.code and call.ended
    ]
    assert len(successful) >= MIN_SUCCESSFUL_CALLS


class TestSeeds:
    @pytest.mark.prove
    def test_promises_hold(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)

    @pytest.mark.prove_long
    def test_promises_hold_long(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)
