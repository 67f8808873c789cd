"""The page on configuration lists every key of every table, with range and default."""

import dataclasses
import typing
from pathlib import Path

import pytest

from samphirehall.configuration.documents import PART_TYPES, FleetPart
from samphirehall.settings import ControlSettings, EntrySettings
from tests.support.pages import rows

PAGE = Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


def tables() -> dict[str, type]:
    found = {}
    for settings in (EntrySettings, ControlSettings):
        for name, hint in typing.get_type_hints(settings, include_extras=True).items():
            if dataclasses.is_dataclass(hint):
                found[f"[{name}]"] = hint
    found.update({f"[{name}.<name>]": part for name, part in PART_TYPES.items()})
    found["[fleet]"] = FleetPart
    return found


def shown() -> dict[str, list[tuple[str, ...]]]:
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
        assert shown().keys() == tables().keys()

    @pytest.mark.parametrize("heading", tables())
    def test_lists_every_key_with_range_and_default(self, heading):
        expected = list(rows(tables()[heading]))
        assert [row[:3] for row in shown()[heading]] == expected

    def test_says_what_every_key_is_for(self):
        short = [row for section in shown().values() for row in section if len(row[3]) < 8]
        assert short == []
