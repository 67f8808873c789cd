"""Estimates of when an endpoint would finish a request."""

from dataclasses import dataclass

from samphirehall.core.types import EndpointKind, Priority, Role
from samphirehall.routing.view import EndpointView, RoutingRequest

FIRST_STEP_SECONDS = 0.005
DECODE_ROLE_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class EngineRates:
    """What an engine of the fleet does in a second, for estimates only.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prompt tokens prefilled by an engine that does nothing else.
    token_seconds : float
        Time between two tokens of a sequence that runs alone.
    sequence_seconds : float
        What each further sequence adds to that time.
    max_batch : int
        Sequences that run at once.
    transfer_tokens_per_second : float
        Tokens of KV cache that one engine imports a second.
    transfer_seconds : float
        Time of a transfer, whatever its length.
    """

    prefill_tokens_per_second: float = 50_000.0
    token_seconds: float = 0.005
    sequence_seconds: float = 0.0001
    max_batch: int = 256
    transfer_tokens_per_second: float = 500_000.0
    transfer_seconds: float = 0.01


@dataclass(slots=True, frozen=True)
class Preferences:
    """Seconds that a less wanted endpoint has to be faster by.

    Parameters
    ----------
    other_zone_seconds : float
        For an endpoint of another availability zone.
    other_kind_seconds : float
        For the standard kind if the request can wait, for the cheap kind if it cannot.
    """

    other_zone_seconds: float = 0.02
    other_kind_seconds: float = 0.25


def queued_tokens(view: EndpointView, rates: EngineRates, *, now: float) -> float:
    """Return the prompt tokens thought to be before a new request.

    The last report, less what the engine has done since, plus what this host
    has sent since.
    """
    if view.report is None:
        return view.pending_tokens
    left: float = view.reported_tokens
    if left:
        left = max(0.0, left - (now - view.reported_at) * rates.prefill_tokens_per_second)
    return left + view.pending_since_report


def running_sequences(view: EndpointView) -> int:
    """Return the sequences thought to be on an endpoint."""
    if view.report is None:
        return view.in_flight
    return max(view.in_flight, view.reported_sequences + view.running_since_report)


def first_token_seconds(
    view: EndpointView, prompt_tokens: int, cached_tokens: int, rates: EngineRates, *, now: float
) -> float:
    """Return the estimated time to the first token.

    Parameters
    ----------
    view : EndpointView
        Where the request would go.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and those that need no prefill there.
    rates : EngineRates
        Rates of the engines.
    now : float
        Boot clock in seconds.
    """
    tokens = queued_tokens(view, rates, now=now) + max(1, prompt_tokens - cached_tokens)
    seconds = FIRST_STEP_SECONDS + tokens / rates.prefill_tokens_per_second
    over = running_sequences(view) - rates.max_batch
    if over > 0:
        seconds += over * rates.sequence_seconds * rates.max_batch
    if view.role is Role.DECODE:
        seconds *= DECODE_ROLE_FACTOR
    if view.slowness != 1.0:
        seconds *= view.present_slowness(now)
    return seconds


def decode_seconds(view: EndpointView, output_tokens: int, rates: EngineRates) -> float:
    """Return the estimated time from the first token to the last."""
    sequences = min(rates.max_batch, running_sequences(view) + 1)
    return output_tokens * (rates.token_seconds + sequences * rates.sequence_seconds)


def preference_seconds(
    view: EndpointView, request: RoutingRequest, preferences: Preferences
) -> float:
    """Return the seconds that count against a less wanted endpoint."""
    seconds = 0.0
    if view.info.zone != request.zone:
        seconds += preferences.other_zone_seconds
    wanted = EndpointKind.STANDARD if request.priority is Priority.URGENT else EndpointKind.CHEAP
    if view.info.kind is not wanted:
        seconds += preferences.other_kind_seconds
    return seconds
