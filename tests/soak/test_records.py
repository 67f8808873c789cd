"""The checks of a soak run find each promise that is broken in hand-made records."""

import pytest

from tests.soak.records import MIN_UNANSWERED, Records, Run, Sent, broken_promises


def sent(request_id="r", kind="book", *, status=200, ended_at=0.1, **fields):
    fields = {"is_whole": status is not None, **fields}
    return Sent(request_id, kind, 0, 0.0, 3.0, status, ended_at=ended_at, **fields)


def run(request_id="r", **fields):
    return Run(request_id, "t0", b"", "acme", **fields)


def records(requests, runs=(), **fields):
    bodies = {request.request_id: b"" for request in requests}
    return Records(list(requests), list(runs), bodies=bodies, **fields)


BROKEN = {
    "LOST after it was passed on": records([sent(status=None)], [run()]),
    "LOST after it was read": records([sent(status=None, ended_at=0.5)]),
    "TWICE": records([sent()], [run(), run()]),
    "REFUSED": records([sent(status=503)], [run()]),
    "MIXED": records([sent(is_right=False)], [run()]),
    "ORDER": records([sent(kind="chat", versions={"1.0", "2.0"})], [run()]),
    "UNASKED body": records([sent()], [Run("r", "t0", b"x", "acme")]),
    "UNASKED customer": records([sent()], [Run("r", "t0", b"", "other")]),
    "UNASKED id": records([sent()], [run("other")]),
    "DENIED": records([sent(status=401)]),
    "CONFIG": records([sent(str(n), status=None, ended_at=4.0) for n in range(MIN_UNANSWERED)]),
    "ONE": records([], usage=[(1, {"acme": 2}), (1, {"acme": 3})]),
    "host": records([], ended_hosts=["host 0 ended by itself"]),
}
KEPT = {
    "answered": records([sent()], [run()]),
    "refused before it ran": records([sent(status=503)], [run(is_run=False)]),
    "closed before it was read": records([sent(status=None)]),
    "broken off by the endpoint": records([sent(status=None)], [run(is_broken=True)]),
    "cut at its deadline": records([sent("r", "chat", status=None, ended_at=3.0)], [run()]),
    "host disrupted": records([sent(status=None)], [run()], disrupted=[(0, -1.0, -0.5)]),
    "repeated as it may be": records([sent(kind="read")], [run(), run()]),
    "usage sent again": records([], usage=[(1, {"acme": 2}), (1, {"acme": 2})]),
}


class TestBrokenPromises:
    @pytest.mark.parametrize("name", BROKEN)
    def test_broken_promise_is_found(self, name):
        (line,) = broken_promises(BROKEN[name])
        assert line.startswith(name.split()[0])

    @pytest.mark.parametrize("name", KEPT)
    def test_what_the_pages_allow_is_not_counted(self, name):
        assert broken_promises(KEPT[name]) == []
