"""Concurrency limits of engines, adapted to the load that they report.

With more requests than fit into a batch, the rest wait in the engine's queue,
which is not fair between customers, instead of in the hosts' fair queues. With
fewer, the engine has idle capacity.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.types import EngineLoad
from samphirehall.routing.view import EndpointView

MIN_CONCURRENCY = 4.0
MAX_CONCURRENCY = 1024.0
MIN_USED_FRACTION = 0.8
INCREASE_FACTOR = 1.5
DECREASE_FACTOR = 0.85


@dataclass(slots=True, frozen=True)
class QueueLimits:
    """Queue sizes of an engine above which its concurrency limit is lowered.

    Parameters
    ----------
    pending_prefill_tokens : float
        Prompt tokens that the engine has not yet prefilled.
    waiting_per_running : float
        Waiting sequences per running sequence.
    """

    pending_prefill_tokens: float = 25_000.0
    waiting_per_running: float = 0.1


def adapt_concurrency(concurrency: float, load: EngineLoad, queue_limits: QueueLimits) -> float:
    """Return the concurrency limit of an engine after a load report.

    Parameters
    ----------
    concurrency : float
        Limit before the report, in requests.
    load : EngineLoad
        Load that the engine reports.
    queue_limits : QueueLimits
        Queue sizes above which the limit is lowered.
    """
    if load.waiting > queue_limits.waiting_per_running * load.running:
        batch = load.running * (1 + queue_limits.waiting_per_running)
        return max(MIN_CONCURRENCY, min(concurrency, batch))
    if load.queued_prompt_tokens > queue_limits.pending_prefill_tokens:
        return max(MIN_CONCURRENCY, min(concurrency, load.running) * DECREASE_FACTOR)
    if load.waiting == 0 and load.running >= MIN_USED_FRACTION * concurrency:
        return min(MAX_CONCURRENCY, concurrency * INCREASE_FACTOR)
    return concurrency


def host_concurrency_limit(views: Iterable[EndpointView], *, hosts: int) -> int:
    """Return how many requests one host may have in total on a group of engines.

    The larger of an even part of the engines' limits and of what the other
    hosts leave unused, according to the last reports.

    Parameters
    ----------
    views : iterable of EndpointView
        Engines that accept new requests.
    hosts : int
        Number of hosts that share the engines.
    """
    total = remote = 0.0
    for view in views:
        total += view.concurrency_limit
        remote += max(0, view.reported_sequences - view.local_in_flight_at_report)
    return max(1, math.ceil(total / hosts), int(total - remote))
