"""Whether a request is taken on, and when a refused one should come back.

The load it answers: bursts in which prompts arrive faster than they can be
read. The wait is bounded, not the prompt: a long prompt that meets no queue is
taken, however long it reads.
"""

from dataclasses import dataclass

MAX_WAIT_FRACTION = 0.6  # part of the goal that any request may wait, however long its own prompt
ON_TIME_FRACTION = 0.9  # an estimate within this part of the goal counts as on time
MIN_RETRY_AFTER_SECONDS = 0.1  # a sooner return meets the same queue: reports of peers are that old


@dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """Whether to take a request on.

    Parameters
    ----------
    admit : bool
        Whether it is taken on.
    reason : str
        Why.
    retry_after : float
        Seconds after which a refused request should find a place.
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
    """Decide on a request by the estimate of its plan.

    Parameters
    ----------
    wait : float
        Seconds until an engine begins to read its prompt.
    first_event : float
        Seconds until its first event.
    goal_left, goal : float
        Seconds in which the first event is on time, from now and in all.
    time_left : float
        Seconds until the client's deadline.
    """
    if time_to_first_event >= time_to_deadline:
        return AdmissionDecision(False, "cannot start before its deadline", MIN_RETRY_AFTER_SECONDS)
    if time_to_first_event <= remaining_latency_target * ON_TIME_FRACTION:
        return AdmissionDecision(True, "on time")
    max_wait = MAX_WAIT_FRACTION * latency_target
    if queue_wait <= max_wait:
        return AdmissionDecision(True, "late, but meets a short queue")
    return AdmissionDecision(
        False, "queue too long", max(MIN_RETRY_AFTER_SECONDS, queue_wait - max_wait)
    )
