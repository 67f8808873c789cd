"""Relay the event stream of an engine to the caller, whole events only."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from anyio.lowlevel import checkpoint_if_cancelled

from samphirehall.core.turns import Turn
from samphirehall.gateway.connections import IncompleteResponseError, Response
from samphirehall.gateway.events import Event, EventSplitter
from samphirehall.gateway.plain import (
    MAX_ANSWER_BYTES,
    MIN_SERVER_ERROR_STATUS,
    NOT_RUN_STATUSES,
    answer_headers,
    end_to_end_headers,
)
from samphirehall.gateway.request_state import Caller, RequestState, SendOutcome
from samphirehall.gateway.silence import SilenceLimit
from samphirehall.gateway.types import Headers
from samphirehall.gateway.wire_codec import WireCodec

# Callers abandon a stream after a gap of the longest of these.
MIN_ABANDONED_GAP_SECONDS = 2.0
ABANDONED_GAP_LATENCY_FACTOR = 4.0  # times the latency target
ABANDONED_GAP_TARGET_FACTOR = 8.0  # times the target gap
RESUME_SECONDS = 0.4  # to resume a stream on another engine before its caller abandons it


@dataclass(slots=True)
class Delivery:
    """Progress of one stream towards the caller, across engines.

    Parameters
    ----------
    caller : Caller
        Receiver of the stream.
    last_event_number : int or None
        Number of the last event that the caller has received.
    resumable : bool
        Whether all events so far had numbers, so that another engine can continue.
    first_event_at, last_event_at : float or None
        Boot clock in seconds of the first and the last event.
    longest_gap : float
        Longest gap in seconds between two events.
    splitter : EventSplitter
        Splitter of the response that is being relayed.
    events : int
        Events received from engines.
    """

    caller: Caller
    last_event_number: int | None
    resumable: bool = True
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    splitter: EventSplitter = field(default_factory=EventSplitter)
    events: int = 0

    def record_event(self, *, now: float) -> None:
        """Record the arrival of an event and update the longest gap."""
        if self.last_event_at is not None:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        self.events += 1


async def relay_stream(
    request_state: RequestState,
    delivery: Delivery,
    response: Response,
    limit: SilenceLimit,
    on_event: Callable[[], Awaitable[None]],
) -> None:
    """Relay the events that the caller lacks, then complete its response.

    Parameters
    ----------
    request_state : RequestState
        State of the request that the stream answers.
    delivery : Delivery
        Progress of the stream.
    response : Response
        Response of the engine.
    limit : SilenceLimit
        Limit of the send; it is restarted with each event.
    on_event : callable
        Called when an event arrives, before it is forwarded. The head of a resumable stream is
        forwarded after it as well, as a retry before the first event may change the version.

    Raises
    ------
    IncompleteResponseError
        The stream broke off, ended inside an event, or does not continue the former one.
    """
    delivery.splitter = EventSplitter()
    continues = delivery.caller.started
    route = request_state.route
    gap_limit = inter_event_gap_limit(route.latency_target, route.inter_event_gap_target)
    if not (continues or route.resumable):
        await delivery.caller.start(200, _stream_headers(response))
    async for event in _received_events(response, delivery):
        restart_silence_limit(limit, request_state, gap_limit)
        await on_event()
        if limit.expired:
            await checkpoint_if_cancelled()
        limit.stop()  # the time that the caller takes to read is no silence of the endpoint
        if not delivery.caller.started:
            await delivery.caller.start(200, _stream_headers(response))
        if continues and event.number is None:
            raise IncompleteResponseError("an event without a number in a continued stream")
        await _forward_event(delivery, event)
        restart_silence_limit(limit, request_state, gap_limit)
    limit.stop()
    if delivery.splitter.is_inside_event:
        raise IncompleteResponseError("the stream ended inside an event")
    if not delivery.caller.started:
        await delivery.caller.start(200, _stream_headers(response))
    if delivery.splitter.remainder:
        await delivery.caller.write(delivery.splitter.remainder)
    await delivery.caller.finish()


async def handle_failure_response(
    wire_codec: WireCodec,
    request_state: RequestState,
    delivery: Delivery,
    response: Response,
    limit: SilenceLimit,
) -> SendOutcome:
    """Return the outcome of a response without a stream; forward it if it is final."""
    body = await response.read(max_bytes=MAX_ANSWER_BYTES)
    if wire_codec.reports_not_run(response.status, response.headers):
        return SendOutcome.NOT_RUN
    unusable = response.status < 300 or response.status in NOT_RUN_STATUSES
    if unusable or delivery.caller.started:
        return SendOutcome.FAILED
    is_last_attempt = request_state.runs + 1 >= request_state.route.max_attempts
    if (
        response.status >= MIN_SERVER_ERROR_STATUS
        and request_state.route.resumable
        and not is_last_attempt
    ):
        return SendOutcome.FAILED
    limit.stop()
    request_state.extra_log_fields["status"] = response.status
    await delivery.caller.start(response.status, answer_headers(response.status, response.headers))
    await delivery.caller.write(body)
    await delivery.caller.finish()
    return SendOutcome.ANSWERED


def restart_silence_limit(limit: SilenceLimit, request_state: RequestState, seconds: float) -> None:
    """Restart the limit if another engine may continue the request."""
    if request_state.route.resumable and request_state.runs + 1 < request_state.route.max_attempts:
        limit.restart(seconds)


async def _received_events(response: Response, delivery: Delivery) -> AsyncIterator[Event]:
    """Yield events as they arrive; those that arrived together in turns of the event loop."""
    turn = Turn()
    async for data in response.chunks():
        turn.restart()
        for event in delivery.splitter.feed(data):
            await turn.step()
            yield event


async def _forward_event(delivery: Delivery, event: Event) -> None:
    """Forward an event unless the caller already has it.

    A stream whose event was cut off on its way to the caller is not resumed.
    """
    last_number = delivery.last_event_number
    if event.number is not None and last_number is not None and event.number <= last_number:
        return
    resumable, delivery.resumable = delivery.resumable and event.number is not None, False
    await delivery.caller.write(event.data)
    delivery.resumable = resumable
    if event.number is not None:
        delivery.last_event_number = event.number


def inter_event_gap_limit(latency_target: float, gap_target: float | None) -> float:
    """Return the seconds of silence after which a stream should go on at another engine.

    Sound engines are silent for over a second at times, so this is as late as callers allow.
    """
    return abandoned_gap(latency_target, gap_target) - RESUME_SECONDS


def abandoned_gap(latency_target: float, gap_target: float | None) -> float:
    """Return the seconds of silence after which callers abandon a stream."""
    return max(
        MIN_ABANDONED_GAP_SECONDS,
        ABANDONED_GAP_LATENCY_FACTOR * latency_target,
        ABANDONED_GAP_TARGET_FACTOR * (gap_target or 0.0),
    )


def _stream_headers(response: Response) -> Headers:
    return [pair for pair in end_to_end_headers(response.headers) if pair[0] != b"content-length"]
