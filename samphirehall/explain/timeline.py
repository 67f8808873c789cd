"""Collecting and formatting the log lines of one request in order of time."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from samphirehall.explain.causes import UNTRACED, find_cause, is_final, succeeded_in_time
from samphirehall.explain.lines import LogLine, read_lines

CONTEXT_BEFORE_SECONDS = 5.0  # an endpoint or store lost shortly before may be the cause
CONTEXT_AFTER_SECONDS = 3.0  # a crashed endpoint leaves the endpoint list about this late

DROPPED_EVENT = "log-lines-dropped"
# Fields that every line has, or that the timeline shows elsewhere.
HIDDEN_FIELDS = frozenset(
    ("time", "level", "logger", "message", "host", "program", "request", "incarnation")
)
# Events without a request id that show the state of a host at that time.
CONTEXT_EVENTS = frozenset(
    (
        "start",
        "stop",
        "drain",
        "reload",
        "serving",
        "shutdown-begin",
        "shutdown-end",
        "configuration",
        "configuration-unreadable",
        "catch-up-failed",
        "feed-gap",
        "hub",
        "reader",
        "store-lost",
        "store-regained",
        "platform-unavailable",
        "platform-available",
        "peers-unlisted",
        "peer-lost",
        "peer-regained",
        "takeover",
        "lease-lost",
        DROPPED_EVENT,
    )
)
OpenLines = Callable[[], Iterable[str]]


@dataclass(slots=True)
class Timeline:
    """Log lines of one request and their context.

    Parameters
    ----------
    request : str
        Id of the request.
    request_lines : list of LogLine
        Lines with the id of the request, in order of time.
    context_lines : list of LogLine
        Lines about its hosts and endpoints at that time, in order of time.
    dropped_lines : int
        Number of lines that its hosts dropped at that time.
    unreadable_lines : int
        Number of lines that could not be parsed.
    """

    request: str
    request_lines: list[LogLine] = field(default_factory=list)
    context_lines: list[LogLine] = field(default_factory=list)
    dropped_lines: int = 0
    unreadable_lines: int = 0


def collect_timeline(open_lines: OpenLines, request: str) -> Timeline:
    """Collect the lines of a request and their context.

    Parameters
    ----------
    open_lines : callable
        Returns all lines of all hosts, in any order; called twice.
    request : str
        Id of the request.
    """
    timeline = Timeline(request)
    for line in read_lines(open_lines()):
        if line is None:
            timeline.unreadable_lines += 1
        elif line.request == request:
            timeline.request_lines.append(line)
    timeline.request_lines.sort(key=lambda line: line.time)
    if not timeline.request_lines:
        return timeline
    begin = (
        min(line.time - line.fields.get("seconds", 0.0) for line in timeline.request_lines)
        - CONTEXT_BEFORE_SECONDS
    )
    end = timeline.request_lines[-1].time + CONTEXT_AFTER_SECONDS
    hosts = {line.host for line in timeline.request_lines}
    endpoints = set().union(*(_endpoints_in(line) for line in timeline.request_lines))
    for line in read_lines(open_lines()):
        if line is not None and begin <= line.time <= end and _is_context(line, hosts, endpoints):
            timeline.context_lines.append(line)
    timeline.context_lines.sort(key=lambda line: line.time)
    dropped = (
        line.fields.get("lines", 0)
        for line in timeline.context_lines
        if line.event == DROPPED_EVENT
    )
    timeline.dropped_lines = sum(dropped)
    return timeline


def count_causes(lines: Iterable[str]) -> tuple[Counter[str], dict[str, str]]:
    """Count the causes of requests that failed or were late; return an example request of each."""
    counts: Counter[str] = Counter()
    examples: dict[str, str] = {}
    for line in read_lines(lines):
        if line is None or not is_final(line) or succeeded_in_time(line):
            continue
        name = find_cause(line).name
        counts[name] += 1
        examples.setdefault(name, line.request or "")
    return counts, examples


def traced_fraction(counts: Counter[str]) -> float:
    """Return the fraction of counted requests whose cause is known; 1 without requests."""
    total = counts.total()
    return 1.0 - counts[UNTRACED] / total if total else 1.0


def format_timeline(timeline: Timeline) -> list[str]:
    """Format a timeline as text lines: events in order of time, then the cause."""
    if not timeline.request_lines:
        return [
            f"no log line has the request id {timeline.request}",
            *_format_missing_lines(timeline),
        ]
    origin = min(line.time - line.fields.get("seconds", 0.0) for line in timeline.request_lines)
    entries: list[tuple[float, str]] = [
        (line.time, f"{line.host}: {text}")
        for line in timeline.request_lines
        for text in _format_request_line(line)
    ]
    entries += [
        (line.time, f"{line.host}: {_format_event(line)}") for line in timeline.context_lines
    ]
    entries.sort(key=lambda item: item[0])
    lines = [f"request {timeline.request}; times are relative to its arrival, by the hosts' clocks"]
    lines += [f"{time - origin:+9.3f} s  {text}" for time, text in entries]
    lines += [
        f"cause: {find_cause(line).text}" for line in timeline.request_lines if is_final(line)
    ]
    return lines + _format_missing_lines(timeline)


def to_dict(timeline: Timeline) -> dict[str, Any]:
    """Return a timeline as a dict that can be encoded as JSON."""
    ends = [find_cause(line) for line in timeline.request_lines if is_final(line)]
    return {
        "request": timeline.request,
        "causes": [{"name": cause.name, "text": cause.text} for cause in ends],
        "lines": [line.fields for line in timeline.request_lines],
        "around": [line.fields for line in timeline.context_lines],
        "dropped": timeline.dropped_lines,
        "unreadable": timeline.unreadable_lines,
    }


def _endpoints_in(line: LogLine) -> set[str]:
    fields = line.fields
    endpoints = {send[0] for send in fields.get("sends", ())}
    choice = fields.get("choice") or {}
    endpoints.update(choice.get(key) for key in ("reads", "generates", "fetches", "endpoint"))
    endpoints.add(fields.get("endpoint"))
    return endpoints - {None}


def _is_context(line: LogLine, hosts: set[str], endpoints: set[str]) -> bool:
    if line.host not in hosts or line.request is not None:
        return False
    return line.event in CONTEXT_EVENTS or line.fields.get("endpoint") in endpoints


def _format_request_line(line: LogLine) -> list[str]:
    fields = line.fields
    if not is_final(line):
        return [_format_event(line)]
    request_summary = (
        f"route {fields.get('route')}, customer {fields.get('customer')}, "
        f"configuration {fields.get('configuration')}"
    )
    sends = [
        f"sent to {endpoint} ({purpose}): {outcome}"
        for endpoint, purpose, outcome in fields.get("sends", ())
    ]
    end = f"ended after {fields.get('seconds', 0.0):.3f} s: {find_cause(line).name}"
    if "result" in fields:
        end += f" (result {fields['result']}, {fields.get('outcome') or fields.get('run')})"
    return [request_summary, *sends, end]


def _format_event(line: LogLine) -> str:
    shown_fields = {key: value for key, value in line.fields.items() if key not in HIDDEN_FIELDS}
    pairs = ", ".join(f"{key} {value}" for key, value in shown_fields.items() if value is not None)
    return f"{line.event}: {pairs}"


def _format_missing_lines(timeline: Timeline) -> list[str]:
    lines = []
    if timeline.dropped_lines:
        lines.append(f"{timeline.dropped_lines} lines of its hosts were dropped at that time")
    if timeline.unreadable_lines:
        lines.append(f"{timeline.unreadable_lines} lines could not be parsed")
    return lines
