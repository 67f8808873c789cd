"""Which requests a stopping host takes."""

import pytest

from samphirehall.core.stopping import StopSchedule, takes_request

SCHEDULE = StopSchedule(open_until=103.0, finish_by=107.0)


@pytest.mark.parametrize(
    ("now", "deadline", "taken"),
    [
        (100.0, 102.0, True),
        (102.9, 111.0, True),
        (103.0, 107.0, True),
        (103.0, 107.1, False),
        (104.4, 110.4, False),
        (106.9, 107.0, True),
        (107.0, 107.0, False),
        (107.5, 107.6, False),
    ],
)
def test_late_in_a_stop_only_requests_that_end_before_it_are_taken(now, deadline, taken):
    assert takes_request(SCHEDULE, deadline, now=now) is taken


def test_host_that_is_not_stopping_takes_any_request():
    assert takes_request(None, 1e9, now=0.0)
