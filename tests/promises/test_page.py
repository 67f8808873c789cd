"""The promises page names only tests that exist, and every checker and scenario."""

import re
from pathlib import Path

import pytest

from tests.promises.checkers import CHECKERS
from tests.promises.scenarios import SCENARIOS

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "PROMISES.md").read_text()
PROMISE_COUNT = 12


def _test_names(file):
    source = (ROOT / file).read_text()
    names = set(re.findall(r"def (test_\w+)", source))
    for feature in re.findall(r'scenarios\("(.+?)"\)', source):
        text = (ROOT / file).with_name(feature).read_text()
        titles = re.findall(r"Scenario: (.+)", text)
        names |= {"test_" + re.sub(r"\W+", "_", title.lower()) for title in titles}
    return names


class TestPage:
    def test_every_promise_has_a_row(self):
        numbers = re.findall(r"^\| (\d+)\. ", PAGE, re.MULTILINE)
        assert numbers == [str(number) for number in range(1, PROMISE_COUNT + 1)]

    @pytest.mark.parametrize("test", sorted(set(re.findall(r"`(tests/\S+::\w+)`", PAGE))))
    def test_named_test_exists(self, test):
        file, _, name = test.partition("::")
        assert name.rpartition("::")[2] in _test_names(file)

    def test_every_checker_is_named(self):
        assert [check.__name__ for check in CHECKERS if f"`{check.__name__}`" not in PAGE] == []

    def test_every_scenario_has_a_row(self):
        assert [name for name in SCENARIOS if f"| {name} |" not in PAGE] == []
