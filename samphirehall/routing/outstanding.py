"""How many requests the engines should have at once, learned from their reports.

More than a batch on an engine only moves the queue from the hosts, where it is
fair, to the engine, where it is not; fewer leave it idle.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.types import EngineLoad
from samphirehall.routing.view import EndpointView

MIN_ALLOWED = 4.0
MAX_ALLOWED = 1024.0
USED_SHARE = 0.8
GROWTH = 1.5
DECREASE = 0.85


@dataclass(slots=True, frozen=True)
class QueueAims:
    """What an engine's queue may hold before less is sent to it.

    Parameters
    ----------
    prompt_tokens : float
        Prompt tokens not yet prefilled.
    waiting_share : float
        Waiting sequences for each that runs.
    """

    prompt_tokens: float = 25_000.0
    waiting_share: float = 0.1


def adapted(allowed: float, load: EngineLoad, aims: QueueAims) -> float:
    """Return the requests that an engine should have at once, after a report.

    Parameters
    ----------
    allowed : float
        Requests allowed so far.
    load : EngineLoad
        What the engine reports.
    aims : QueueAims
        What its queue may hold.
    """
    if load.waiting > aims.waiting_share * load.running:
        batch = load.running * (1 + aims.waiting_share)
        return max(MIN_ALLOWED, min(allowed, batch))
    if load.queued_prompt_tokens > aims.prompt_tokens:
        return max(MIN_ALLOWED, min(allowed, load.running) * DECREASE)
    if load.waiting == 0 and load.running >= USED_SHARE * allowed:
        return min(MAX_ALLOWED, allowed * GROWTH)
    return allowed


def concurrency_limit(views: Iterable[EndpointView], *, hosts: int) -> int:
    """Return how many requests one host may have on some engines together.

    An even part of what they should have, or all that the other hosts leave
    by the last reports, whichever is more.

    Parameters
    ----------
    views : iterable of EndpointView
        Engines that take new work.
    hosts : int
        Hosts that share them.
    """
    allowed = others = 0.0
    for view in views:
        allowed += view.allowed
        others += max(0, view.reported_sequences - view.own_at_report)
    return max(1, math.ceil(allowed / hosts), int(allowed - others))
