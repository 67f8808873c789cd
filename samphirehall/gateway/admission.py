"""Admission control for requests to engines.

Bounds the queueing delay in bursts in which prompts arrive faster than they can
be prefilled. Prompt length is not bounded: a long prompt that meets no queue is
admitted, however long its own prefill takes.
"""

from dataclasses import dataclass

MAX_WAIT_FRACTION = 0.6  # of the latency target; applies to prompts of any length
ON_TIME_FRACTION = 0.9  # of the remaining target; an estimate below it counts as on time
MIN_RETRY_AFTER_SECONDS = 0.1  # peer load is this old; an earlier retry meets the same queue


@dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """Result of admission control for one request.

    Parameters
    ----------
    admit : bool
        Whether the request is admitted.
    reason : str
        Why it was admitted or refused.
    retry_after : float
        Seconds after which a refused request is expected to be admitted.
    """

    admit: bool
    reason: str
    retry_after: float = 0.0


def decide_admission(
    *,
    queue_wait: float,
    time_to_first_event: float,
    remaining_latency_target: float,
    latency_target: float,
    time_to_deadline: float,
) -> AdmissionDecision:
    """Return whether to admit a request, given the estimates of its plan.

    Parameters
    ----------
    queue_wait : float
        Seconds until an engine starts the prefill.
    time_to_first_event : float
        Seconds until its first event.
    remaining_latency_target, latency_target : float
        Seconds within which the first event is on time, from now and in total.
    time_to_deadline : float
        Seconds until the client's deadline.
    """
    if time_to_first_event >= time_to_deadline:
        return AdmissionDecision(False, "cannot start before its deadline", MIN_RETRY_AFTER_SECONDS)
    if time_to_first_event <= remaining_latency_target * ON_TIME_FRACTION:
        return AdmissionDecision(True, "on time")
    max_wait = MAX_WAIT_FRACTION * latency_target
    if queue_wait <= max_wait:
        return AdmissionDecision(True, "late, but the queue is short")
    return AdmissionDecision(
        False, "queue too long", max(MIN_RETRY_AFTER_SECONDS, queue_wait - max_wait)
    )
