"""Why a request ended as it did, worked out from the line that tells its end."""

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

LATER_S = 0.05  # an estimate that is missed by less explains nothing; two ticks of peers' news
FIRST_SERVER_ERROR = 500
UNTRACED = "not traced"

# What a send's outcome says of the endpoint.
_OUTCOMES = {
    "not-sent": "could not be reached",
    "not-run": "refused to run it",
    "broken": "broke off its answer",
    "silent": "did not answer in time",
    "failed": "answered without its signature or with a failure",
    "cut": "was still at work when the time was over",
}


@dataclass(slots=True, frozen=True)
class Cause:
    """Why a request ended as it did.

    Parameters
    ----------
    name : str
        Short name that requests with the same cause share.
    text : str
        What happened to this request.
    """

    name: str
    text: str


def is_end(line: LogLine) -> bool:
    """Return whether a line tells the end of a request."""
    return line.event in ("request", "client-left", "refuse", "request-crashed")


def was_served(line: LogLine) -> bool:
    """Return whether a request ended with a success in time."""
    return line.event == "request" and cause_of(line).name == "in time"


def cause_of(line: LogLine) -> Cause:
    """Return why a request ended as a line tells it."""
    fields = line.fields
    if line.event == "client-left":
        waited = f"the client closed its connection after {fields.get('seconds', 0.0):.3f} s"
        return Cause("client left", _join(waited, _failures(fields)))
    if line.event == "request-crashed":
        return Cause("fault of this system", "an unexpected error; the line holds its trace")
    result = fields.get("result")
    if result == OK.code:
        return _cause_of_answer(fields)
    if result == OVERLOADED.code:
        return _cause_of_refusal(fields)
    if result == NO_ENDPOINT.code:
        return _cause_without_endpoint(fields)
    if result in (DEADLINE_NOT_RUN.code, DEADLINE_UNKNOWN.code):
        return _cause_of_deadline(fields)
    if result in (OUTCOME_UNKNOWN.code, STREAM_CUT.code):
        return _cause_of_break(fields)
    return _cause_of_result(result, fields)


def _cause_of_result(result: object, fields: dict[str, Any]) -> Cause:
    """Return the cause of a result that explains itself."""
    try:
        known = by_code(int(str(result)))
    except (KeyError, ValueError):
        return Cause(UNTRACED, f"result {result}")
    return Cause(known.name, _join(known.summary, str(fields.get("reason", ""))))


def _cause_of_answer(fields: dict[str, Any]) -> Cause:
    status = fields.get("status", 200)
    if status >= FIRST_SERVER_ERROR:
        return Cause("endpoint answered a failure", f"the endpoint answered with status {status}")
    goal = fields.get("goal")
    first = fields.get("first_event_after", fields.get("seconds"))
    if goal is not None and first is not None and first > goal:
        return _cause_of_lateness(fields, first, goal)
    pause, limit = fields.get("longest_pause", 0.0), fields.get("pause_goal")
    if limit is not None and pause > limit:
        text = f"the stream stood still for {pause:.3f} s; {limit:.3f} s are allowed"
        return Cause("late: pause in the stream", _join(text, _failures(fields)))
    return Cause("in time", "the whole answer came in time")


def _cause_of_lateness(fields: dict[str, Any], first: float, goal: float) -> Cause:
    late = f"the answer began after {first:.3f} s; the goal is {goal:.3f} s"
    if failures := _failures(fields):
        return Cause("late: sent again", _join(late, failures))
    choice = fields.get("choice", {})
    estimate = choice.get("first_event")
    if estimate is None:
        return Cause("late: slow endpoint", _join(late, "the endpoint took all of that time"))
    if estimate > goal:
        return Cause("late: expected", _join(late, _plan(choice)))
    read = fields.get("read_in")
    if read is not None and read > estimate + LATER_S:
        text = f"reading took {read:.3f} s, and {estimate:.3f} s were expected in all"
        return Cause("late: slower reading than estimated", _join(late, text, _plan(choice)))
    return Cause("late: slow start of generating", _join(late, _plan(choice)))


def _cause_of_refusal(fields: dict[str, Any]) -> Cause:
    choice = fields.get("choice", {})
    reason = str(fields.get("reason", ""))
    return Cause(f"refused: {reason}", _join(_plan(choice), _failures(fields)))


def _cause_without_endpoint(fields: dict[str, Any]) -> Cause:
    if stopped := fields.get("stopped"):
        return Cause(f"no endpoint: {stopped}", _failures(fields) or stopped)
    if failures := _failures(fields):
        return Cause("no endpoint: all failed or full", failures)
    return Cause("no endpoint: none listed", "no endpoint of the service took new work")


def _cause_of_deadline(fields: dict[str, Any]) -> Cause:
    text = _failures(fields)
    if text:
        return Cause("deadline: endpoints took all of the time", text)
    return Cause("deadline: nothing was sent", "the time was over before a send")


def _cause_of_break(fields: dict[str, Any]) -> Cause:
    stopped = fields.get("stopped", "it may not be sent again")
    last = fields["sends"][-1][2] if fields.get("sends") else ""
    return Cause(f"broken: endpoint {_OUTCOMES.get(last, last)}", _join(_failures(fields), stopped))


def _failures(fields: dict[str, Any]) -> str:
    """Return what the sends that were not answered came to, each kind once."""
    kinds = Counter(
        (endpoint, purpose, outcome)
        for endpoint, purpose, outcome in fields.get("sends", ())
        if outcome in _OUTCOMES
    )
    return "; ".join(
        f"{endpoint} {_OUTCOMES[outcome]} ({purpose})" for endpoint, purpose, outcome in kinds
    )


def _plan(choice: dict[str, Any]) -> str:
    """Return the figures by which engines were chosen, in words."""
    if "tokens_ahead" not in choice:
        return ""
    return (
        f"of {choice.get('considered')} engines {choice.get('reads')} was best: "
        f"{choice['tokens_ahead']} prompt tokens before this one, {choice.get('wait', 0.0):.3f} s "
        f"of waiting, {choice.get('unread_tokens')} tokens to read at "
        f"{choice.get('tokens_per_second')} a second, first event expected after "
        f"{choice.get('first_event', 0.0):.3f} s"
    )


def _join(*parts: str) -> str:
    return "; ".join(part for part in parts if part)
