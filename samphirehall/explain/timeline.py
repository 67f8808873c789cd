"""Collecting the lines that belong to one request, and telling them in order."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from samphirehall.explain.causes import UNTRACED, cause_of, is_end, was_served
from samphirehall.explain.lines import LogLine, read_lines

BEFORE_S = 5.0  # an endpoint's end or a lost store this long before may explain a failure
AFTER_S = 3.0  # an endpoint that crashed is off the list about so much later

DROPPED = "log-lines-dropped"
# Fields that each line has, or that the story tells in another way.
COMMON_FIELDS = frozenset(
    ("time", "level", "logger", "message", "host", "program", "request", "incarnation")
)
# Lines of a request's host that tell what the host believed at the time.
HOST_EVENTS = frozenset(
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
        "feed-gap",
        "store-lost",
        "store-regained",
        "platform-unavailable",
        "platform-available",
        "peers-unlisted",
        "peer-lost",
        "peer-regained",
        "takeover",
        "lease-lost",
        DROPPED,
    )
)
OpenLines = Callable[[], Iterable[str]]


@dataclass(slots=True)
class Story:
    """What is known of one request.

    Parameters
    ----------
    request : str
        Identifier.
    own : list of LogLine
        Lines about the request, in order of time.
    around : list of LogLine
        Lines about its endpoints and hosts at that time, in order of time.
    dropped : int
        Lines that its hosts left out at that time.
    unreadable : int
        Lines of the files that could not be read.
    """

    request: str
    own: list[LogLine] = field(default_factory=list)
    around: list[LogLine] = field(default_factory=list)
    dropped: int = 0
    unreadable: int = 0


def collect_story(open_lines: OpenLines, request: str) -> Story:
    """Return the story of a request.

    Parameters
    ----------
    open_lines : callable
        Returns all lines of all hosts, in any order; called twice.
    request : str
        Identifier.
    """
    story = Story(request)
    for line in read_lines(open_lines()):
        if line is None:
            story.unreadable += 1
        elif line.request == request:
            story.own.append(line)
    story.own.sort(key=lambda line: line.time)
    if not story.own:
        return story
    begin = min(line.time - line.fields.get("seconds", 0.0) for line in story.own) - BEFORE_S
    end = story.own[-1].time + AFTER_S
    hosts = {line.host for line in story.own}
    endpoints = set().union(*(_endpoints_of(line) for line in story.own))
    for line in read_lines(open_lines()):
        if line is not None and begin <= line.time <= end and _is_around(line, hosts, endpoints):
            story.around.append(line)
    story.around.sort(key=lambda line: line.time)
    lost = (line.fields.get("lines", 0) for line in story.around if line.event == DROPPED)
    story.dropped = sum(lost)
    return story


def count_causes(lines: Iterable[str]) -> tuple[Counter[str], dict[str, str]]:
    """Return how often each cause ended a request without success, and an example of each."""
    counts: Counter[str] = Counter()
    examples: dict[str, str] = {}
    for line in read_lines(lines):
        if line is None or not is_end(line) or was_served(line):
            continue
        name = cause_of(line).name
        counts[name] += 1
        examples.setdefault(name, line.request or "")
    return counts, examples


def traced_share(counts: Counter[str]) -> float:
    """Return the part of the requests without success that have a cause."""
    total = counts.total()
    return 1.0 - counts[UNTRACED] / total if total else 1.0


def tell(story: Story) -> list[str]:
    """Return the story in plain words, a line each."""
    if not story.own:
        return [f"no line is about {story.request}", *_gaps(story)]
    origin = min(line.time - line.fields.get("seconds", 0.0) for line in story.own)
    told: list[tuple[float, str]] = [
        (line.time, f"{line.host}: {text}") for line in story.own for text in _tell_own(line)
    ]
    told += [(line.time, f"{line.host}: {_tell_event(line)}") for line in story.around]
    told.sort(key=lambda item: item[0])
    lines = [f"request {story.request}; times count from its arrival, by the hosts' clocks"]
    lines += [f"{time - origin:+9.3f} s  {text}" for time, text in told]
    lines += [f"cause: {cause_of(line).text}" for line in story.own if is_end(line)]
    return lines + _gaps(story)


def as_data(story: Story) -> dict[str, Any]:
    """Return the story for programs."""
    ends = [cause_of(line) for line in story.own if is_end(line)]
    return {
        "request": story.request,
        "causes": [{"name": cause.name, "text": cause.text} for cause in ends],
        "lines": [line.fields for line in story.own],
        "around": [line.fields for line in story.around],
        "dropped": story.dropped,
        "unreadable": story.unreadable,
    }


def _endpoints_of(line: LogLine) -> set[str]:
    fields = line.fields
    named = {send[0] for send in fields.get("sends", ())}
    choice = fields.get("choice") or {}
    named.update(choice.get(key) for key in ("reads", "generates", "fetches", "endpoint"))
    named.add(fields.get("endpoint"))
    return named - {None}


def _is_around(line: LogLine, hosts: set[str], endpoints: set[str]) -> bool:
    if line.host not in hosts or line.request is not None:
        return False
    return line.event in HOST_EVENTS or line.fields.get("endpoint") in endpoints


def _tell_own(line: LogLine) -> list[str]:
    fields = line.fields
    if not is_end(line):
        return [_tell_event(line)]
    where = (
        f"route {fields.get('route')}, customer {fields.get('customer')}, "
        f"configuration {fields.get('configuration')}"
    )
    sends = [
        f"sent to {endpoint} ({purpose}): {outcome}"
        for endpoint, purpose, outcome in fields.get("sends", ())
    ]
    end = f"ended after {fields.get('seconds', 0.0):.3f} s: {cause_of(line).name}"
    if "result" in fields:
        end += f" (result {fields['result']}, {fields.get('outcome') or fields.get('run')})"
    return [where, *sends, end]


def _tell_event(line: LogLine) -> str:
    shown = {key: value for key, value in line.fields.items() if key not in COMMON_FIELDS}
    pairs = ", ".join(f"{key} {value}" for key, value in shown.items() if value is not None)
    return f"{line.event}: {pairs}"


def _gaps(story: Story) -> list[str]:
    gaps = []
    if story.dropped:
        gaps.append(f"{story.dropped} lines of its hosts were left out at that time")
    if story.unreadable:
        gaps.append(f"{story.unreadable} lines could not be read")
    return gaps
