"""Each checker accepts a valid history and rejects one with an added violation."""

import pytest

from tests.promises.checkers import CHECKERS, MAX_IN_FORCE_DELAY_SECONDS, check_all
from tests.promises.events import (
    CallEnded,
    ConfigurationAccepted,
    ConfigurationSeen,
    EndpointCalled,
    EndpointLeaving,
    EngineOrdered,
    FaultBegun,
    History,
    KeyWithdrawn,
    PlatformOrdered,
    StopBegun,
    StopEnded,
    UsageReported,
)


def _call(at, marker, **values):
    defaults = {
        "started": at - 1.0,
        "kind": "stream",
        "host": "host-a",
        "customer": "petal-coop",
        "key": "petal-coop",
        "request_id": f"req-{marker}-{at}",
        "status": 200,
        "result": 1000,
        "run": "ran",
        "expected": "a b c",
        "received": "a b c",
        "last_token": at,
        "ended": True,
    }
    return CallEnded(at=at, marker=marker, **{**defaults, **values})


def _booking(at, marker="freight-1", **values):
    defaults = {
        "kind": "booking",
        "idempotency_key": f"key-{marker}",
        "expected": "",
        "received": "done",
    }
    return _call(at, marker, **{**defaults, **values})


def _endpoint_called(at, marker, *, endpoint="desk-1", request_id="req-0", key_seen=False):
    return EndpointCalled(
        at=at,
        endpoint=endpoint,
        request_id=request_id,
        path="POST /freight",
        body=f'{{"booking": "{marker}"}}',
        key_seen=key_seen,
    )


def _order(at, order_id, fencing, *, endpoint="engine-1", settled=0.0, accepted=True):
    return EngineOrdered(
        at=at,
        endpoint=endpoint,
        order_id=order_id,
        fencing=fencing,
        accepted=accepted,
        checks_fencing=False,
        settled=settled or at,
    )


def _platform_order(at, fencing, holder):
    return PlatformOrdered(
        at=at, order_id=f"ord-{at}", fencing=fencing, holder=holder, accepted=True
    )


def _report(at, fencing, holder, figures="7"):
    return UsageReported(
        at=at,
        window=60,
        customer="petal-coop",
        figures=figures,
        fencing=fencing,
        holder=holder,
    )


def _accepted(at, version, author="first"):
    return ConfigurationAccepted(at=at, version=version, author=author)


def _seen(at, version, host="host-a"):
    return ConfigurationSeen(at=at, host=host, version=version)


def _interrupted(streams, *, went_on):
    """Return streams whose engine is killed, of which the first `went_on` end well."""
    events = [FaultBegun(at=5.0, action="kill", target="engine-1", until=10.0)]
    for number in range(streams):
        request_id = f"req-stream-{number}"
        events.append(
            EndpointCalled(
                at=4.5,
                endpoint="engine-1",
                request_id=request_id,
                path="POST /v1/chat/completions",
                body="",
                key_seen=False,
            )
        )
        fields = {} if number < went_on else {"ended": False, "received": "a", "last_token": 4.9}
        events.append(_call(6.0, f"call-{number}", started=4.4, request_id=request_id, **fields))
    return events


def _good_history():
    return [
        _order(1.0, "ord-1", 1, settled=2.0),
        _order(1.5, "ord-1", 2, settled=2.5),
        _order(3.0, "ord-2", 2),
        _order(3.5, "ord-0", 1, accepted=False),
        _platform_order(1.0, 1, "host-a"),
        _platform_order(2.0, 2, "host-b"),
        _report(61.0, 1, "host-a"),
        _report(62.0, 2, "host-b"),
        _call(5.0, "call-1"),
        _call(5.0, "call-2", received="a b", ended=False, error="reset"),
        _call(5.0, "call-5", expected=" w1-v2 w2-v2", received=" w1-v2 w2-v2"),
        _endpoint_called(6.0, "freight-1"),
        _booking(7.0),
        _booking(8.0, result=1001),
        _booking(9.0, "freight-2", status=503, result=2011, run="not-run", ended=False),
        KeyWithdrawn(at=20.0, key="old"),
        _call(24.0, "call-3", key="old", started=23.0),
        EndpointLeaving(at=30.0, endpoint="desk-2"),
        _endpoint_called(34.0, "freight-3", endpoint="desk-2"),
        StopBegun(at=40.0, process="host-a-entry"),
        _call(41.0, "call-4", status=503, result=2012, run="not-run", received="", ended=False),
        StopEnded(at=42.0, process="host-a-entry", status=0),
        *_interrupted(12, went_on=6),
        FaultBegun(at=50.0, action="kill", target="host-a-control", until=60.0),
        _accepted(50.0, 1),
        _seen(70.0, 1),
        _accepted(71.0, 2),
        _seen(75.0, 2),
        _seen(90.0, 2),
    ]


VIOLATIONS = [
    ("exclusive_orders", [_order(1.2, "ord-9", 1)]),
    ("no_stale_orders", [_order(4.0, "ord-1", 1)]),
    ("one_sender_of_platform_orders", [_platform_order(2.5, 1, "host-a")]),
    ("one_sender_of_platform_orders", [_platform_order(2.5, 2, "host-c")]),
    ("one_sender_of_usage", [_report(63.0, 1, "host-a")]),
    ("one_report_a_window", [_report(63.0, 2, "host-b", figures="8")]),
    ("whole_answers", [_call(5.0, "call-9", received="a x", ended=False)]),
    ("whole_answers", [_call(5.0, "call-9", received="a b")]),
    (
        "one_software_version",
        [_call(5.0, "call-9", expected=" w1-v1 w2-v1 w3-v1", received=" w1-v1 w2-v1 w3-v2")],
    ),
    (
        "one_software_version",
        [_call(5.0, "call-9", expected=" w1 w2", received=" w1 w2-v2", ended=False)],
    ),
    ("interrupted_streams_go_on", _interrupted(12, went_on=5)),
    ("interrupted_streams_go_on", _interrupted(12, went_on=0)),
    ("whole_answers", [_call(5.0, "call-9", expected=" w1-v1 w2-v1", received=" w1-v1 w2-v2")]),
    ("at_most_once", [_endpoint_called(6.5, "freight-1", endpoint="desk-2")]),
    ("at_most_once", [_booking(9.0, received="other")]),
    ("at_most_once", [_booking(9.0, "freight-8")]),
    (
        "not_run_is_true",
        [
            _endpoint_called(9.0, "freight-2", request_id="req-x"),
            _booking(9.5, "freight-2", request_id="req-x", result=2009, run="not-run"),
        ],
    ),
    ("own_customer_only", [_call(27.0, "call-9", key="old", started=26.0)]),
    ("own_customer_only", [_call(30.0, "call-9", key="old", started=19.0, last_token=26.0)]),
    ("own_customer_only", [_call(9.0, "call-9", customer=""), _endpoint_called(8.5, "call-9")]),
    ("no_key_at_endpoints", [_endpoint_called(9.0, "freight-9", key_seen=True)]),
    ("leaving_gets_nothing_new", [_endpoint_called(36.0, "freight-4", endpoint="desk-2")]),
    ("planned_stops_cut_nothing", [_call(41.5, "call-9", error="reset", ended=False)]),
    ("planned_stops_cut_nothing", [_call(41.5, "call-9", result=3000, run="unknown", ended=False)]),
    ("stops_end_cleanly", [StopEnded(at=43.0, process="host-b-entry", status=None)]),
    ("configuration_never_reverts", [_seen(91.0, 1)]),
    ("configuration_never_reverts", [_accepted(72.0, 2, author="second")]),
    (
        "configuration_in_force_in_time",
        [_seen(71.5 + MAX_IN_FORCE_DELAY_SECONDS, 1, host="host-b")],
    ),
]


class TestCheckers:
    def test_good_history_is_taken(self):
        assert check_all(History(_good_history())) == []

    @pytest.mark.parametrize(("promise", "events"), VIOLATIONS)
    def test_planted_fault_is_found(self, promise, events):
        found = check_all(History([*_good_history(), *events]))
        assert promise in {violation.promise for violation in found}

    def test_every_checker_has_a_planted_fault(self):
        assert {check.__name__ for check in CHECKERS} == {promise for promise, _ in VIOLATIONS}


class TestHistory:
    def test_file_brings_back_every_event(self, tmp_path):
        path = tmp_path / "history.jsonl"
        History(_good_history()).write(path)
        assert History.read(path).events_of_type(CallEnded) == History(
            _good_history()
        ).events_of_type(CallEnded)
