from pathlib import Path

import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.load.scenario import load_scenario

SCENARIOS = sorted((Path(__file__).parents[2] / "scenarios").glob("*.toml"))

GOOD = """
name = "small"
[workloads.verdicts]
route = "answer"
[customers.coop]
[[phases]]
seconds = 5
rate = 2
mix = {verdicts = 1}
"""


class TestLoadScenario:
    @pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
    def test_shipped_scenarios_are_valid(self, path):
        assert load_scenario(path).seconds > 0

    @pytest.mark.parametrize(
        ("old", "new", "named"),
        [
            ("mix = {verdicts = 1}", "mix = {letters = 1}", "letters"),
            ("rate = 2", "rate = -2", "rate"),
            ("rate = 2", "rate = 2\nshares = {other = 1}", "other"),
            ('route = "answer"', 'route = "answer"\ndeadline = 3', "deadline"),
            ("seconds = 5", "seconds =", "Invalid value"),
        ],
    )
    def test_error_names_what_was_wrong(self, tmp_path, old, new, named):
        path = tmp_path / "bad.toml"
        path.write_text(GOOD.replace(old, new))
        with pytest.raises(SamphireError, match=named):
            load_scenario(path)
