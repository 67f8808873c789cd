"""Admission control for requests to engines.

Bounds the queueing delay in bursts in which prompts arrive faster than they can
be prefilled. Prompt length is not bounded: a long prompt that meets no queue is
admitted, however long its own prefill takes. While a service does not keep up with
its demand, customers above their fair share get a shorter bound, and only as many of
their requests as the share allows are admitted; those below it get a longer bound.
"""

import math
from dataclasses import dataclass

from samphirehall.scheduling.fair_shares import (
    MIN_WAIT_FACTOR,
    PICTURE_AGE_SECONDS,
    CustomerShare,
)

MAX_WAIT_FRACTION = 0.6  # of the latency target; applies to prompts of any length
ON_TIME_FRACTION = 0.9  # of the remaining target; an estimate below it counts as on time
MIN_RETRY_AFTER_SECONDS = 0.1  # peer load is this old; an earlier retry meets the same queue
MAX_SHARE_RETRY_SECONDS = 2.0  # a customer above its share may be admitted earlier than by decay


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
    total_queue_wait: float = 0.0,
    least_total_wait: float = math.inf,
    share: CustomerShare | None = None,
    chance: float = 0.0,
    spread: float = 0.0,
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
    total_queue_wait : float
        Seconds until the engine has done all prefill that waits, less urgent one included.
    least_total_wait : float
        The same of the considered engine where it is shortest.
    share : CustomerShare or None
        Share of the customer while the service does not keep up with its demand; with None all
        customers are treated alike.
    chance : float
        Random number from 0 to 1 by which requests above the share are chosen.
    spread : float
        Random number from 0 to 1 by which the retries of refused requests are spread.
    """
    if time_to_first_event >= time_to_deadline:
        retry_after = MIN_RETRY_AFTER_SECONDS * (1 + spread)
        return AdmissionDecision(False, "cannot start before its deadline", retry_after)
    max_wait = MAX_WAIT_FRACTION * latency_target
    on_time = time_to_first_event <= remaining_latency_target * ON_TIME_FRACTION
    if share is not None:
        total_wait = max(queue_wait, total_queue_wait)
        wait = total_wait - (total_wait - queue_wait) * share.urgency
        if min(wait, least_total_wait) <= min(PICTURE_AGE_SECONDS, MIN_WAIT_FACTOR * max_wait):
            return AdmissionDecision(True, "an engine may be free")
        return _decide_by_share(wait, max_wait, share, on_time, chance, spread)
    if on_time:
        return AdmissionDecision(True, "on time")
    if queue_wait <= max_wait:
        return AdmissionDecision(True, "late, but the queue is short")
    retry_after = max(MIN_RETRY_AFTER_SECONDS, queue_wait - max_wait)
    return AdmissionDecision(False, "queue too long", retry_after * (1 + spread))


def _decide_by_share(
    wait: float,
    max_wait: float,
    share: CustomerShare,
    on_time: bool,
    chance: float,
    spread: float,
) -> AdmissionDecision:
    """Decide while a service does not keep up with its demand, and no engine may be free.

    Above the share, the wait is bounded for prompts of any length alike, as short prompts that are
    admitted for as long as they are on time keep the queue too long for long ones.
    """
    share_wait = max_wait * share.wait_factor
    fits_share = chance < share.admitted_fraction
    is_within_share = fits_share and share.use <= 1
    if (wait <= share_wait and fits_share) or (on_time and is_within_share):
        return AdmissionDecision(True, "within its fair share")
    retry_after = max(MIN_RETRY_AFTER_SECONDS, wait - share_wait)
    if is_within_share:
        return AdmissionDecision(False, "queue too long", retry_after * (1 + spread))
    retry_after = max(retry_after, min(MAX_SHARE_RETRY_SECONDS, share.seconds_above))
    return AdmissionDecision(False, "above its fair share", retry_after * (1 + spread))
