"""Runs of the whole system under faults; every checker is applied to every history."""

import pytest

from samphirehall.core.results import OK
from tests.promises.checkers import MIN_INTERRUPTED_STREAMS
from tests.promises.events import CallEnded, EngineOrdered, PlatformOrdered, UsageReported
from tests.promises.interruptions import interrupted_streams
from tests.promises.scenarios import SCENARIOS

SHORT_SEEDS = (1, 2)
SHORT_SEEDS_OF_SCENARIO = {"versions": (1,)}  # the others have two, within the time of CI
LONG_SEEDS = tuple(range(100, 110))
MIN_SUCCESSFUL_CALLS = 50
REQUIRED_EVENTS = {"orders": (EngineOrdered, PlatformOrdered, UsageReported)}


def _seeds(scenario, selected_seed, *, is_long):
    if selected_seed:
        return (selected_seed,)
    return LONG_SEEDS if is_long else SHORT_SEEDS_OF_SCENARIO.get(scenario, SHORT_SEEDS)


def _cases(config, *, is_long):
    selected_seed = config.getoption("--seed")
    return [
        (name, seed) for name in SCENARIOS for seed in _seeds(name, selected_seed, is_long=is_long)
    ]


def pytest_generate_tests(metafunc):
    if "scenario" in metafunc.fixturenames:
        is_long = "long" in metafunc.function.__name__
        metafunc.parametrize(("scenario", "seed"), _cases(metafunc.config, is_long=is_long))


def _assert_exercised(history, scenario):
    """Fail if the run lacks required events or has too few successful calls to be meaningful."""
    for kind in REQUIRED_EVENTS.get(scenario, ()):
        assert list(history.events_of_type(kind)), f"no {kind.__name__} in the run"
    successful = [
        call for call in history.events_of_type(CallEnded) if call.result == OK.code and call.ended
    ]
    assert len(successful) >= MIN_SUCCESSFUL_CALLS
    if scenario == "versions":
        assert len(interrupted_streams(history)) >= MIN_INTERRUPTED_STREAMS


class TestSeeds:
    @pytest.mark.prove
    def test_promises_hold(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)

    @pytest.mark.prove_long
    def test_promises_hold_long(self, prove, scenario, seed):
        _assert_exercised(prove(scenario, seed), scenario)
