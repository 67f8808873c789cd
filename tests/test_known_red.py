"""The list of tests that are known to fail."""

import re
from pathlib import Path

import pytest

from tests.conftest import KNOWN_RED, known_red_entries

FIELDS = ("test: ", "command: ", "seen: ", "issue: ")
ENTRY = "test: tests/a.py::T::t\ncommand: make prove SEED=1\nseen: a cut\nissue: grace\n"


class TestKnownRed:
    def test_entry_names_its_test(self):
        assert list(known_red_entries(ENTRY)) == ["tests/a.py::T::t"]

    def test_text_without_entries_passes_nothing_over(self):
        assert known_red_entries("Tests that are known to fail; none now.\n") == {}

    @pytest.mark.parametrize("field", FIELDS)
    def test_every_entry_is_whole(self, field):
        for entry in known_red_entries(KNOWN_RED.read_text()).values():
            assert re.search(f"^{field}.", entry, re.MULTILINE)

    def test_every_entry_names_a_test_that_exists(self):
        for test in known_red_entries(KNOWN_RED.read_text()):
            file, _, name = test.partition("::")
            content = (Path(KNOWN_RED).parent / file).read_text()
            assert f"def {name.rpartition('::')[2].partition('[')[0]}(" in content
