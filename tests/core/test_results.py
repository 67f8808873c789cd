"""Tests of the result table and of the page that documents it."""

from pathlib import Path

import pytest

from samphirehall.core import results

PAGE = Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"


class TestTable:
    def test_page_lists_every_result(self):
        rows = [
            line
            for line in PAGE.read_text().splitlines()
            if line.startswith("| 1") or line.startswith(("| 2", "| 3", "| 4", "| 5"))
        ]
        expected = [
            f"| {item.code} | {item.name} | {item.http_status} | {item.run} "
            f"| {item.exit_status} | {item.summary} |"
            for item in results.table()
        ]
        assert rows == expected

    def test_names_are_unique(self):
        names = [item.name for item in results.table()]
        assert len(names) == len(set(names))

    @pytest.mark.parametrize("item", results.table(), ids=lambda item: item.name)
    def test_code_range_tells_what_ran(self, item):
        if 2000 <= item.code < 3000:
            assert item.run is results.RunState.NOT_RUN
        if 3000 <= item.code < 4000:
            assert item.run is results.RunState.UNKNOWN

    def test_unknown_code_lists_known_ones(self):
        with pytest.raises(ValueError, match=r"unknown result code 9.*2000"):
            results.by_code(9)
