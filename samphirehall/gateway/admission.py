"""Whether a request is taken on, and when a refused one should come back.

The load it answers: bursts in which prompts arrive faster than they can be
read. The wait is bounded, not the prompt: a long prompt that meets no queue is
taken, however long it reads.
"""

from dataclasses import dataclass

WAIT_SHARE = 0.6  # part of the goal that any request may wait, however long its own prompt
GOAL_MARGIN = 0.9  # an estimate within this part of the goal counts as on time
LEAST_RETRY_S = 0.1  # a sooner return meets the same queue: reports of peers are that old


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
    *, wait: float, first_event: float, goal_left: float, goal: float, time_left: float
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
    if first_event >= time_left:
        return AdmissionDecision(False, "cannot start before its deadline", LEAST_RETRY_S)
    if first_event <= goal_left * GOAL_MARGIN:
        return AdmissionDecision(True, "on time")
    allowed = WAIT_SHARE * goal
    if wait <= allowed:
        return AdmissionDecision(True, "late, but meets a short queue")
    return AdmissionDecision(False, "queue too long", max(LEAST_RETRY_S, wait - allowed))
