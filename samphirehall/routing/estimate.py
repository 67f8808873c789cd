"""Estimates of the latency of a request on an endpoint."""

from dataclasses import dataclass

from samphirehall.core.types import EndpointKind, Priority, Role
from samphirehall.routing.view import EndpointView, RoutingRequest

FIRST_DECODE_STEP_SECONDS = 0.005
DECODE_ROLE_PREFILL_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class EngineRates:
    """Throughput of a typical engine, used only for estimates.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prefill throughput of an engine that decodes nothing.
    token_seconds : float
        Seconds per decoded token of a sequence that runs alone.
    sequence_seconds : float
        Seconds that each further sequence in the batch adds to `token_seconds`.
    max_batch : int
        Maximum number of sequences in a batch.
    transfer_tokens_per_second : float
        KV cache, in tokens, that one engine imports per second.
    transfer_seconds : float
        Fixed seconds per KV transfer, independent of its length.
    """

    prefill_tokens_per_second: float = 50_000.0
    token_seconds: float = 0.005
    sequence_seconds: float = 0.0001
    max_batch: int = 256
    transfer_tokens_per_second: float = 500_000.0
    transfer_seconds: float = 0.01


@dataclass(slots=True, frozen=True)
class Preferences:
    """Penalties, in seconds, added to the estimate of a less preferred endpoint.

    Parameters
    ----------
    other_zone_seconds : float
        Penalty of an endpoint in another availability zone.
    other_kind_seconds : float
        Penalty of the standard kind, or of the cheap kind if the request is urgent.
    """

    other_zone_seconds: float = 0.02
    other_kind_seconds: float = 0.25


def pending_prefill_tokens(view: EndpointView, rates: EngineRates, *, now: float) -> float:
    """Estimate the prompt tokens that an engine has to prefill before a new request.

    Starts from the engine's last report, subtracts what it should have
    prefilled since, and adds what this host has sent since.
    """
    if view.report is None:
        return view.local_pending_tokens
    remaining: float = view.reported_pending_tokens
    if remaining:
        remaining = max(0.0, remaining - (now - view.reported_at) * rates.prefill_tokens_per_second)
    return remaining + view.local_pending_since_report


def running_sequences(view: EndpointView) -> int:
    """Estimate the number of sequences that an endpoint has running or waiting."""
    if view.report is None:
        return view.in_flight
    return max(view.in_flight, view.reported_sequences + view.local_started_since_report)


def first_token_seconds(
    view: EndpointView, prompt_tokens: int, cached_tokens: int, rates: EngineRates, *, now: float
) -> float:
    """Estimate the seconds until the first token.

    Parameters
    ----------
    view : EndpointView
        Endpoint that the request would be sent to.
    prompt_tokens, cached_tokens : int
        Tokens of the prompt, and those of them that the endpoint has cached.
    rates : EngineRates
        Engine rates that the estimate uses.
    now : float
        Boot clock in seconds.
    """
    prefill_tokens = pending_prefill_tokens(view, rates, now=now) + max(
        1, prompt_tokens - cached_tokens
    )
    seconds = FIRST_DECODE_STEP_SECONDS + prefill_tokens / rates.prefill_tokens_per_second
    excess_sequences = running_sequences(view) - rates.max_batch
    if excess_sequences > 0:
        seconds += excess_sequences * rates.sequence_seconds * rates.max_batch
    if view.role is Role.DECODE:
        seconds *= DECODE_ROLE_PREFILL_FACTOR
    if view.slowness != 1.0:
        seconds *= view.current_slowness(now)
    return seconds


def decode_seconds(view: EndpointView, output_tokens: int, rates: EngineRates) -> float:
    """Estimate the seconds from the first token to the last."""
    sequences = min(rates.max_batch, running_sequences(view) + 1)
    return output_tokens * (rates.token_seconds + sequences * rates.sequence_seconds)


def preference_seconds(
    view: EndpointView, request: RoutingRequest, preferences: Preferences
) -> float:
    """Return the penalty, in seconds, of an endpoint's zone and kind for a request."""
    seconds = 0.0
    if view.info.zone != request.zone:
        seconds += preferences.other_zone_seconds
    preferred_kind = (
        EndpointKind.STANDARD if request.priority is Priority.URGENT else EndpointKind.CHEAP
    )
    if view.info.kind is not preferred_kind:
        seconds += preferences.other_kind_seconds
    return seconds
