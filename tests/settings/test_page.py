"""docs/CONFIGURATION.md lists every key of every table with its range and default."""

import dataclasses
import typing
from pathlib import Path

import pytest

from samphirehall.configuration.documents import PART_TYPES, FleetPart
from samphirehall.settings import ControlSettings, EntrySettings
from tests.support.pages import settings_rows

PAGE = Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


def expected_tables() -> dict[str, type]:
    found = {}
    for settings in (EntrySettings, ControlSettings):
        for name, hint in typing.get_type_hints(settings, include_extras=True).items():
            if dataclasses.is_dataclass(hint):
                found[f"[{name}]"] = hint
    found.update({f"[{name}.<name>]": part for name, part in PART_TYPES.items()})
    found["[fleet]"] = FleetPart
    return found


def page_tables() -> dict[str, list[tuple[str, ...]]]:
    sections, heading = {}, ""
    for line in PAGE.read_text().splitlines():
        if line.startswith("### "):
            heading = line.removeprefix("### ").strip("`")
            sections[heading] = []
        elif heading and line.startswith("| `"):
            cells = [cell.strip() for cell in line.strip("|").split(" | ")]
            sections[heading].append((cells[0].strip("`"), *cells[1:]))
    return sections


class TestPage:
    def test_lists_every_table(self):
        assert page_tables().keys() == expected_tables().keys()

    @pytest.mark.parametrize("heading", expected_tables())
    def test_lists_every_key_with_range_and_default(self, heading):
        expected_rows = list(settings_rows(expected_tables()[heading]))
        assert [row[:3] for row in page_tables()[heading]] == expected_rows

    def test_every_key_has_a_description(self):
        short = [row for section in page_tables().values() for row in section if len(row[3]) < 8]
        assert short == []
