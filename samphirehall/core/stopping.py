"""Planned stop of a host: which requests it still takes."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StopSchedule:
    """Times of a planned stop, in seconds of the boot clock.

    Parameters
    ----------
    open_until : float
        Until then the balancer may still send requests, and all are taken.
    finish_by : float
        When the requests that still run are ended.
    """

    open_until: float
    finish_by: float


def takes_request(schedule: StopSchedule | None, deadline: float, *, now: float) -> bool:
    """Return whether a host takes a request.

    Once the balancer sends no more, a stopping host takes only requests that are sure to end
    before it does.

    Parameters
    ----------
    schedule : StopSchedule or None
        Times of the stop; None while none is planned.
    deadline : float
        Boot clock in seconds by which the response must be complete.
    now : float
        Boot clock in seconds.
    """
    if schedule is None:
        return True
    return now < schedule.open_until or now < deadline <= schedule.finish_by
