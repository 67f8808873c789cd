"""Checkers, each of which lists the violations of one promise in a history."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import pairwise

from samphirehall.core.results import OK, REPLAYED
from samphirehall.standins.tokens import versions_in
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
from tests.promises.interruptions import interrupted_streams, streams_on_sound_hosts

MAX_IN_FORCE_DELAY_SECONDS = 9.0
MAX_KEY_WITHDRAWAL_SECONDS = 5.0
LEAVING_GRACE_SECONDS = 5.0
MIN_INTERRUPTED_STREAMS = 12  # fewer say nothing about the share that goes on
MIN_CONTINUED_FRACTION = 0.5  # of the share of new streams that begin
BOOKING = "booking"


@dataclass(slots=True, frozen=True)
class Violation:
    """Describes one violation of a promise."""

    promise: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: at {self.at:.3f}: {self.detail}"


Checker = Callable[[History], list[Violation]]
CHECKERS: list[Checker] = []


def checker(check: Callable[[History], Iterable[tuple[float, str]]]) -> Checker:
    """Register a generator of violations, as pairs of time and detail, as a checker."""
    promise = check.__name__

    def run(history: History) -> list[Violation]:
        return [Violation(promise, at, detail) for at, detail in check(history)]

    run.__name__ = promise
    run.__doc__ = check.__doc__
    CHECKERS.append(run)
    return run


def check_all(history: History) -> list[Violation]:
    """Return the violations that all checkers find."""
    return [violation for check in CHECKERS for violation in check(history)]


@checker
def exclusive_orders(history: History) -> Iterable[tuple[float, str]]:
    """No engine gets another order while one is being carried out."""
    for name, orders in _group_by(
        history.events_of_type(EngineOrdered), lambda order: order.endpoint
    ).items():
        current: EngineOrdered | None = None
        for order in orders:
            if not order.accepted:
                continue
            same = current is not None and order.order_id == current.order_id
            if current is not None and not same and order.at < current.settled:
                yield order.at, f"{name}: {order.order_id} during {current.order_id}"
            if not same:
                current = order


@checker
def no_stale_orders(history: History) -> Iterable[tuple[float, str]]:
    """No order with an older fencing number has an effect, whether the engine checks or not."""
    for name, orders in _group_by(
        history.events_of_type(EngineOrdered), lambda order: order.endpoint
    ).items():
        highest = 0
        for order in orders:
            if order.accepted and order.fencing < highest:
                yield order.at, f"{name}: {order.order_id} with {order.fencing} after {highest}"
            highest = max(highest, order.fencing)


@checker
def one_sender_of_platform_orders(history: History) -> Iterable[tuple[float, str]]:
    """The platform gets endpoint orders from one process at a time."""
    yield from _overlapping_senders(history.events_of_type(PlatformOrdered))


@checker
def one_sender_of_usage(history: History) -> Iterable[tuple[float, str]]:
    """The platform gets usage reports from one process at a time."""
    yield from _overlapping_senders(history.events_of_type(UsageReported))


@checker
def one_report_a_window(history: History) -> Iterable[tuple[float, str]]:
    """No window of a customer is reported with different figures."""
    first: dict[tuple[int, str], str] = {}
    for report in history.events_of_type(UsageReported):
        first_figures = first.setdefault((report.window, report.customer), report.figures)
        if first_figures != report.figures:
            detail = f"{report.customer} in {report.window}: {first_figures}, then {report.figures}"
            yield report.at, detail


@checker
def whole_answers(history: History) -> Iterable[tuple[float, str]]:
    """What a caller gets is the whole answer to its own request, or plainly not whole."""
    for call in history.events_of_type(CallEnded):
        if not call.expected or call.result != OK.code:
            continue
        if not call.expected.startswith(call.received):
            yield call.at, f"{call.marker}: {call.received!r} for {call.expected!r}"
        elif call.ended and call.received != call.expected:
            yield call.at, f"{call.marker}: ended after {call.received!r} of {call.expected!r}"


@checker
def one_software_version(history: History) -> Iterable[tuple[float, str]]:
    """No answer holds tokens of two software versions."""
    for call in history.events_of_type(CallEnded):
        versions = versions_in(call.received) if call.expected else []
        if len(versions) > 1:
            yield call.at, f"{call.marker}: joined from versions {versions}"


@checker
def interrupted_streams_go_on(history: History) -> Iterable[tuple[float, str]]:
    """Of streams whose engine ended, a share goes on that is half of that of new ones at least."""
    interrupted = interrupted_streams(history)
    if len(interrupted) < MIN_INTERRUPTED_STREAMS:
        return
    streams = streams_on_sound_hosts(history)
    begun = sum(bool(call.received) for call in streams) / len(streams)
    went_on = sum(call.ended for call in interrupted) / len(interrupted)
    if went_on < MIN_CONTINUED_FRACTION * begun:
        detail = f"{went_on:.2f} of {len(interrupted)} interrupted streams went on"
        yield interrupted[-1].at, f"{detail}, {begun:.2f} of {len(streams)} streams began"


@checker
def at_most_once(history: History) -> Iterable[tuple[float, str]]:
    """A booking runs at most once, and all its answers are the same."""
    calls = [call for call in history.events_of_type(CallEnded) if call.kind == BOOKING]
    runs = _group_by(history.events_of_type(EndpointCalled), lambda call: call.body)
    for (_, key), group in _group_by(
        calls, lambda call: (call.customer, call.idempotency_key)
    ).items():
        marker = group[0].marker
        booking_runs = [run for body, found in runs.items() if marker in body for run in found]
        if len(booking_runs) > 1:
            yield booking_runs[1].at, f"booking {key} ran {len(booking_runs)} times"
        successful = [
            call for call in group if call.result in (OK.code, REPLAYED.code) and call.ended
        ]
        if successful and not booking_runs:
            yield successful[0].at, f"booking {key} was answered but never ran"
        if len({call.received for call in successful}) > 1:
            yield successful[-1].at, f"booking {key} had different answers"


@checker
def not_run_is_true(history: History) -> Iterable[tuple[float, str]]:
    """A request that was refused as not run reached no endpoint."""
    reached = _group_by(history.events_of_type(EndpointCalled), lambda call: call.request_id)
    for call in history.events_of_type(CallEnded):
        if call.says_not_run and call.request_id in reached:
            endpoint = reached[call.request_id][0].endpoint
            yield call.at, f"{call.marker}: refused as not run but reached {endpoint}"


@checker
def own_customer_only(history: History) -> Iterable[tuple[float, str]]:
    """A key that was never issued runs nothing; a withdrawn one stops within seconds."""
    runs = history.events_of_type(EndpointCalled)
    for call in history.events_of_type(CallEnded):
        if not call.customer and any(call.marker in run.path + run.body for run in runs):
            yield call.at, f"{call.marker}: ran without a customer"
    for withdrawn in history.events_of_type(KeyWithdrawn):
        limit = withdrawn.at + MAX_KEY_WITHDRAWAL_SECONDS
        for call in history.events_of_type(CallEnded):
            if call.key != withdrawn.key or call.result != OK.code:
                continue
            late = max(call.started, call.last_token)
            if late > limit:
                seconds = late - withdrawn.at
                yield call.at, f"{call.marker}: ran {seconds:.1f} s after the key's withdrawal"


@checker
def no_key_at_endpoints(history: History) -> Iterable[tuple[float, str]]:
    """No endpoint sees a customer key."""
    for call in history.events_of_type(EndpointCalled):
        if call.key_seen:
            yield call.at, f"{call.endpoint} saw a key at {call.path}"


@checker
def leaving_gets_nothing_new(history: History) -> Iterable[tuple[float, str]]:
    """A leaving endpoint receives no new work after a few seconds."""
    for leaving in history.events_of_type(EndpointLeaving):
        for call in history.events_of_type(EndpointCalled):
            late = call.at - leaving.at
            if call.endpoint == leaving.endpoint and late > LEAVING_GRACE_SECONDS:
                yield call.at, f"{call.endpoint} got {call.path} {late:.1f} s after it began to go"


@checker
def planned_stops_cut_nothing(history: History) -> Iterable[tuple[float, str]]:
    """No call ends badly while the only thing that happens is a planned stop or change."""
    windows = _planned_windows(history)
    faults = history.events_of_type(FaultBegun)
    for call in history.events_of_type(CallEnded):
        if any(fault.at <= call.at and call.started <= fault.until for fault in faults):
            continue
        if not any(begin <= call.at and call.started <= end for begin, end in windows):
            continue
        if call.error or (not call.ended and not call.says_not_run):
            what = call.error or f"result {call.result}"
            yield call.at, f"{call.marker}: {call.kind} at {call.host} was cut: {what}"


@checker
def stops_end_cleanly(history: History) -> Iterable[tuple[float, str]]:
    """A process told to stop ends by itself with status 0."""
    for stop in history.events_of_type(StopEnded):
        if stop.status != 0:
            yield stop.at, f"{stop.process} ended with {stop.status}"


@checker
def configuration_never_reverts(history: History) -> Iterable[tuple[float, str]]:
    """No host shows a lower version than before; no version is accepted twice."""
    highest: dict[str, int] = defaultdict(int)
    for seen in history.events_of_type(ConfigurationSeen):
        if 0 < seen.version < highest[seen.host]:
            yield seen.at, f"{seen.host}: {seen.version} after {highest[seen.host]}"
        highest[seen.host] = max(highest[seen.host], seen.version)
    versions: dict[int, str] = {}
    for accepted in history.events_of_type(ConfigurationAccepted):
        author = versions.setdefault(accepted.version, accepted.author)
        if author != accepted.author:
            authors = f"{author} and {accepted.author}"
            yield accepted.at, f"version {accepted.version} was accepted for {authors}"


@checker
def configuration_in_force_in_time(history: History) -> Iterable[tuple[float, str]]:
    """An accepted version is in force on every host that is well, within seconds."""
    seen_by_host = _group_by(history.events_of_type(ConfigurationSeen), lambda seen: seen.host)
    faults = history.events_of_type(FaultBegun)
    for accepted in history.events_of_type(ConfigurationAccepted):
        limit = accepted.at + MAX_IN_FORCE_DELAY_SECONDS
        for host, seen in seen_by_host.items():
            faulty = any(
                fault.at <= limit and accepted.at <= fault.until
                for fault in faults
                if host in fault.target
            )
            after = [item for item in seen if item.at > limit]
            if faulty or not after:
                continue
            if after[0].version < accepted.version:
                detail = f"{host} has {after[0].version}, {accepted.version} was accepted"
                yield after[0].at, detail


def _overlapping_senders(
    orders: Iterable[PlatformOrdered | UsageReported],
) -> Iterable[tuple[float, str]]:
    for before, order in pairwise(orders):
        if order.fencing < before.fencing:
            detail = f"{order.holder} with {order.fencing} after {before.holder}"
            yield order.at, f"{detail} with {before.fencing}"
        elif order.fencing == before.fencing and order.holder != before.holder:
            yield order.at, f"{order.holder} and {before.holder} both with {order.fencing}"


def _planned_windows(history: History) -> list[tuple[float, float]]:
    ends = history.events_of_type(StopEnded)
    windows = []
    for begun in history.events_of_type(StopBegun):
        found = [end.at for end in ends if end.process == begun.process and end.at > begun.at]
        windows.append((begun.at, found[0] if found else float("inf")))
    leaving = history.events_of_type(EndpointLeaving)
    return windows + [(item.at, item.at + LEAVING_GRACE_SECONDS) for item in leaving]


def _group_by(events: Iterable, key: Callable) -> dict:
    groups = defaultdict(list)
    for event in events:
        groups[key(event)].append(event)
    return dict(groups)
