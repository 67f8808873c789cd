"""Streams of a history whose engine ended in the middle of the answer."""

from collections import defaultdict

from tests.promises.events import CallEnded, EndpointCalled, FaultBegun, History

ENGINE_ENDS = frozenset(("kill", "release"))
COMPLETION_PATH = "POST /v1/chat/completions"


def streams_on_sound_hosts(history: History) -> list[CallEnded]:
    """Return the streams of customers, except those at an entry that was killed meanwhile."""
    killed = [
        (fault.target, fault.at)
        for fault in history.events_of_type(FaultBegun)
        if fault.target.endswith("-entry")
    ]
    return [
        call
        for call in history.events_of_type(CallEnded)
        if call.kind == "stream"
        and call.customer
        and not any(
            target == f"{call.host}-entry" and call.started <= at <= call.at
            for target, at in killed
        )
    ]


def interrupted_streams(history: History) -> list[CallEnded]:
    """Return the streams on sound hosts whose engine was killed or released under them."""
    runs = defaultdict(list)
    for run in history.events_of_type(EndpointCalled):
        if run.path == COMPLETION_PATH:
            runs[run.request_id].append(run)
    ends = [fault for fault in history.events_of_type(FaultBegun) if fault.action in ENGINE_ENDS]
    return [
        call
        for call in streams_on_sound_hosts(history)
        if call.received and any(_is_interrupted(call, runs[call.request_id], end) for end in ends)
    ]


def _is_interrupted(call: CallEnded, runs: list[EndpointCalled], end: FaultBegun) -> bool:
    before = [run for run in runs if run.at < end.at]
    if not before or before[-1].endpoint != end.target or end.at > call.at:
        return False
    return not call.ended or call.last_token > end.at
