"""Passing the stream of an engine on to the caller, whole events only."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio

from samphirehall.gateway.connections import Answer
from samphirehall.gateway.dialect import Dialect
from samphirehall.gateway.events import Event, EventSplitter
from samphirehall.gateway.journey import Caller, Journey, SendOutcome
from samphirehall.gateway.plain import (
    MAX_ANSWER_BYTES,
    MIN_SERVER_ERROR_STATUS,
    NOT_RUN_STATUSES,
    end_to_end_headers,
)
from samphirehall.gateway.types import Headers

PAUSES = 8.0  # pauses of the goal's length after which callers give a stream up
LEAST_PAUSE_S = 1.0  # shorter silences are ordinary preemptions


@dataclass(slots=True)
class Delivery:
    """What the caller has of a stream.

    Parameters
    ----------
    caller : Caller
        Where the stream goes.
    last_event : int or None
        Number of the last event that the caller has.
    resumable : bool
        Whether all events so far had numbers.
    first_event_at, last_event_at : float or None
        Boot clock in seconds of the first and the last event.
    longest_pause : float
        Longest time in seconds between two events.
    """

    caller: Caller
    last_event: int | None
    resumable: bool = True
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause: float = 0.0
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def note_event(self, *, now: float) -> None:
        """Take note that an event has arrived."""
        if self.last_event_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now


async def relay(
    journey: Journey,
    delivery: Delivery,
    answer: Answer,
    scope: anyio.CancelScope,
    on_event: Callable[[], None],
) -> None:
    """Pass the events of an answer on, those that the caller lacks, and end the stream.

    Parameters
    ----------
    journey : Journey
        The request.
    delivery : Delivery
        What the caller has.
    answer : Answer
        The stream.
    scope : CancelScope
        Ends the send when the engine is silent for too long.
    on_event : callable
        Called with each event that arrives, before it is passed on.
    """
    delivery.splitter = EventSplitter()
    if not delivery.caller.started:
        await delivery.caller.start(200, _stream_headers(answer))
    async for event in _events(answer, delivery):
        on_event()
        allow_silence(scope, journey, _pause_limit(journey))
        await _deliver(delivery, event)
    if delivery.splitter.rest:
        await delivery.caller.write(delivery.splitter.rest)
    await delivery.caller.finish()


async def settle_failure(
    dialect: Dialect, journey: Journey, delivery: Delivery, answer: Answer
) -> SendOutcome:
    """Say what an answer without a stream means; pass a final one on."""
    body = await answer.read(max_bytes=MAX_ANSWER_BYTES)
    if dialect.says_not_run(answer.status, answer.headers):
        return SendOutcome.NOT_RUN
    hopeless = answer.status < 300 or answer.status in NOT_RUN_STATUSES
    if hopeless or delivery.caller.started:
        return SendOutcome.FAILED
    last_try = journey.runs + 1 >= journey.route.max_attempts
    if answer.status >= MIN_SERVER_ERROR_STATUS and journey.route.resumable and not last_try:
        return SendOutcome.FAILED
    journey.notes["status"] = answer.status
    await delivery.caller.start(answer.status, end_to_end_headers(answer.headers))
    await delivery.caller.write(body)
    await delivery.caller.finish()
    return SendOutcome.ANSWERED


def allow_silence(scope: anyio.CancelScope, journey: Journey, seconds: float) -> None:
    """Give an engine some seconds for what comes next, if another may go on in its place."""
    if journey.route.resumable and journey.runs + 1 < journey.route.max_attempts:
        scope.deadline = anyio.current_time() + seconds


async def _events(answer: Answer, delivery: Delivery) -> AsyncIterator[Event]:
    async for data in answer.chunks():
        for event in delivery.splitter.feed(data):
            yield event


async def _deliver(delivery: Delivery, event: Event) -> None:
    """Pass an event on unless the caller has it."""
    if event.number is None:
        delivery.resumable = False
    elif delivery.last_event is not None and event.number <= delivery.last_event:
        return
    else:
        delivery.last_event = event.number
    await delivery.caller.write(event.data)


def _pause_limit(journey: Journey) -> float:
    return max(LEAST_PAUSE_S, PAUSES * (journey.route.inter_event_gap_target or 0.0))


def _stream_headers(answer: Answer) -> Headers:
    return [pair for pair in end_to_end_headers(answer.headers) if pair[0] != b"content-length"]
