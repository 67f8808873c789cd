"""Readable tables of samphirectl."""

from samphirehall.programs.ctl_tables import format_status, format_table

STATUS = {
    "host": "host-a",
    "zone": "prairie-1",
    "configuration": 3,
    "endpoints": [
        {"endpoint_id": "engine-1", "zone": "prairie-1", "models": ["answer"], "health": "down"}
    ],
}


class TestFormatTable:
    def test_aligns_columns_and_marks_missing_cells(self):
        assert format_table(["A", "LONG"], [["xyz", None], [1.25, []]]) == (
            "A    LONG\nxyz  -\n1.2  -"
        )


class TestFormatStatus:
    def test_says_what_is_unhealthy_first(self):
        lines = format_status(STATUS).splitlines()
        assert lines[1] == "UNHEALTHY: endpoint engine-1 is down"
