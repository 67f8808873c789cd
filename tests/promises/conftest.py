"""Fixtures of the proof runs."""

import pytest

from tests.promises.checkers import check_all
from tests.promises.runs import run_scenario


@pytest.fixture
def prove(tmp_path):
    """Return a function that runs one seed of a scenario and checks its history."""

    def run(scenario, seed):
        history = run_scenario(tmp_path / "run", scenario, seed)
        path = tmp_path / "history.jsonl"
        history.write(path)
        violations = check_all(history)
        listing = "\n".join(map(str, violations))
        assert not violations, f"{scenario} seed {seed}, history {path}:\n{listing}"
        return history

    return run
