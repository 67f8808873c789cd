"""Cause of the end of a request, derived from its final log line."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

from samphirehall.core.results import (
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_ENDPOINT,
    OK,
    OUTCOME_UNKNOWN,
    OVERLOADED,
    STREAM_CUT,
    by_code,
)
from samphirehall.explain.lines import LogLine

ESTIMATE_TOLERANCE_SECONDS = 0.05  # two intervals of the load updates between peers
MIN_SERVER_ERROR_STATUS = 500
UNTRACED = "not traced"

# Texts for the outcomes of sends that failed, to follow the name of the endpoint.
_FAILURE_TEXTS = {
    "not-sent": "could not be reached",
    "not-run": "refused to run it",
    "broken": "broke off its answer",
    "silent": "did not answer in time",
    "failed": "answered without its signature or with a failure",
    "cut": "was still at work when the time was over",
}


@dataclass(slots=True, frozen=True)
class Cause:
    """Cause of the end of a request.

    Parameters
    ----------
    name : str
        Short name, the same for all requests with this cause.
    text : str
        Description with the figures of this request.
    """

    name: str
    text: str


def is_final(line: LogLine) -> bool:
    """Return whether a line is the final one of a request."""
    return line.event in ("request", "client-left", "refuse", "request-crashed")


def succeeded_in_time(line: LogLine) -> bool:
    """Return whether a request succeeded within its latency targets."""
    return line.event == "request" and find_cause(line).name == "in time"


def find_cause(line: LogLine) -> Cause:
    """Return the cause of the end of a request from its final line."""
    fields = line.fields
    if line.event == "client-left":
        waited = f"the client closed its connection after {fields.get('seconds', 0.0):.3f} s"
        return Cause("client left", _join(waited, _format_failures(fields)))
    if line.event == "request-crashed":
        return Cause("fault of this system", "unexpected exception; the log line has its traceback")
    result = fields.get("result")
    if result == OK.code:
        return _explain_answer(fields)
    if result == OVERLOADED.code:
        return _explain_refusal(fields)
    if result == NO_ENDPOINT.code:
        return _explain_missing_endpoint(fields)
    if result in (DEADLINE_NOT_RUN.code, DEADLINE_UNKNOWN.code):
        return _explain_deadline(fields)
    if result in (OUTCOME_UNKNOWN.code, STREAM_CUT.code):
        return _explain_broken(fields)
    return _explain_result(result, fields)


def _explain_result(result: object, fields: dict[str, Any]) -> Cause:
    """Return the name and summary of a result code as the cause."""
    try:
        known = by_code(int(str(result)))
    except (KeyError, ValueError):
        return Cause(UNTRACED, f"result {result}")
    return Cause(known.name, _join(known.summary, str(fields.get("reason", ""))))


def _explain_answer(fields: dict[str, Any]) -> Cause:
    status = fields.get("status", 200)
    if status >= MIN_SERVER_ERROR_STATUS:
        return Cause("endpoint answered a failure", f"the endpoint answered with status {status}")
    target = fields.get("goal")
    first = fields.get("first_event_after", fields.get("seconds"))
    if target is not None and first is not None and first > target:
        return _explain_lateness(fields, first, target)
    longest_gap, gap_target = fields.get("longest_pause", 0.0), fields.get("pause_goal")
    if gap_target is not None and longest_gap > gap_target:
        text = f"gap of {longest_gap:.3f} s between two events; the target is {gap_target:.3f} s"
        return Cause("late: pause in the stream", _join(text, _format_failures(fields)))
    return Cause("in time", "answered within the latency targets")


def _explain_lateness(fields: dict[str, Any], first: float, target: float) -> Cause:
    summary = f"answered after {first:.3f} s; the latency target is {target:.3f} s"
    if failures := _format_failures(fields):
        return Cause("late: sent again", _join(summary, failures))
    choice = fields.get("choice", {})
    estimate = choice.get("first_event")
    if estimate is None:
        return Cause("late: slow endpoint", _join(summary, "the time was spent at the endpoint"))
    if estimate > target:
        return Cause("late: expected", _join(summary, _format_choice(choice)))
    prefill_seconds = fields.get("read_in")
    if prefill_seconds is not None and prefill_seconds > estimate + ESTIMATE_TOLERANCE_SECONDS:
        text = (
            f"prefill took {prefill_seconds:.3f} s; "
            f"the first event was estimated after {estimate:.3f} s"
        )
        return Cause(
            "late: slower reading than estimated", _join(summary, text, _format_choice(choice))
        )
    return Cause("late: slow start of generating", _join(summary, _format_choice(choice)))


def _explain_refusal(fields: dict[str, Any]) -> Cause:
    choice = fields.get("choice", {})
    reason = str(fields.get("reason", ""))
    details = _join(_format_choice(choice), _format_share(fields), _format_failures(fields))
    return Cause(f"refused: {reason}", details)


def _explain_missing_endpoint(fields: dict[str, Any]) -> Cause:
    if stopped := fields.get("stopped"):
        return Cause(f"no endpoint: {stopped}", _format_failures(fields) or stopped)
    if failures := _format_failures(fields):
        return Cause("no endpoint: all failed or full", failures)
    return Cause("no endpoint: none listed", "no endpoint of the service accepted new requests")


def _explain_deadline(fields: dict[str, Any]) -> Cause:
    failures = _format_failures(fields)
    if failures:
        return Cause("deadline: endpoints took all of the time", failures)
    return Cause("deadline: nothing was sent", "the deadline passed before the first send")


def _explain_broken(fields: dict[str, Any]) -> Cause:
    stopped = fields.get("stopped", "the request must not be retried")
    last = fields["sends"][-1][2] if fields.get("sends") else ""
    return Cause(
        f"broken: endpoint {_FAILURE_TEXTS.get(last, last)}",
        _join(_format_failures(fields), stopped),
    )


def _format_failures(fields: dict[str, Any]) -> str:
    """Return a text for the failed sends, each endpoint, purpose and outcome once."""
    kinds = Counter(
        (endpoint, purpose, outcome)
        for endpoint, purpose, outcome in fields.get("sends", ())
        if outcome in _FAILURE_TEXTS
    )
    return "; ".join(
        f"{endpoint} {_FAILURE_TEXTS[outcome]} ({purpose})" for endpoint, purpose, outcome in kinds
    )


def _format_share(fields: dict[str, Any]) -> str:
    share = fields.get("share")
    if not isinstance(share, dict):
        return ""
    return (
        f"the customer was served {share.get('served')} tokens/s of {share.get('asked')} asked "
        f"for; its fair share is {share.get('fair')}"
    )


def _format_choice(choice: dict[str, Any]) -> str:
    """Return a text for the estimates by which an engine was chosen; empty without them."""
    if "tokens_ahead" not in choice:
        return ""
    return (
        f"of {choice.get('considered')} engines {choice.get('reads')} was best: "
        f"{choice['tokens_ahead']} prompt tokens queued ahead, {choice.get('wait', 0.0):.3f} s "
        f"of waiting, {choice.get('unread_tokens')} uncached tokens to prefill at "
        f"{choice.get('tokens_per_second')} tokens/s, first event estimated after "
        f"{choice.get('first_event', 0.0):.3f} s"
    )


def _join(*parts: str) -> str:
    return "; ".join(part for part in parts if part)
