"""Text tables that samphirectl prints."""

from samphirehall.programs.ctl_tables import format_status, format_table

STATUS = {
    "host": "host-a",
    "zone": "prairie-1",
    "configuration": 3,
    "hosts": [
        {"host": "host-a", "zone": "prairie-1", "state": "live", "configuration": 3},
        {"host": "host-b", "zone": "prairie-2", "state": "suspect", "configuration": 3},
        {"host": "host-c", "zone": "prairie-3", "state": "live", "configuration": 2},
    ],
    "leases": [{"scope": "platform", "holder": "host-a", "fencing": 4, "ends_in": 4.5}],
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
        assert lines[1:4] == [
            "UNHEALTHY: endpoint engine-1 is down",
            "UNHEALTHY: host host-b is suspect",
            "UNHEALTHY: host host-c has configuration version 2",
        ]
