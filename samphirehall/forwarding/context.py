"""Components that all requests of an entry process share."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from samphirehall.admission.controller import AdmissionController
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import SHUTTING_DOWN
from samphirehall.core.stopping import StopSchedule, takes_request
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.forwarding.claims import ClaimStore
from samphirehall.forwarding.metrics import EntryMetrics
from samphirehall.forwarding.quarantine import Quarantine
from samphirehall.forwarding.retry_budget import RetryBudget
from samphirehall.forwarding.stall import StallWatch
from samphirehall.node.state import NodeState
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.policy import RoutingPolicy
from samphirehall.settings import EntrySettings
from samphirehall.usage.meter import UsageMeter

SHUTDOWN_RETRY_AFTER_SECONDS = 1.0  # callers reach another host once the balancer has moved


@dataclass(slots=True)
class EntryContext:
    """Components that all requests of an entry process share.

    While there is a `stop_schedule` the host reports that it is not ready but still
    serves requests. `before_exit` holds the actions of a planned stop, such as
    flushing meters.
    """

    settings: EntrySettings
    state: NodeState
    pools: EndpointPools
    fleet: Fleet
    routing_policy: RoutingPolicy
    admission: AdmissionController
    claims: ClaimStore
    metrics: EntryMetrics
    meter: UsageMeter
    random_source: random.Random
    retry_budget: RetryBudget
    quarantine: Quarantine
    stalls: StallWatch = field(default_factory=StallWatch)
    stop_schedule: StopSchedule | None = None
    before_exit: list[Callable[[], Coroutine[Any, Any, None]]] = field(default_factory=list)

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop_schedule is not None

    def check_stop(self, deadline: float, *, now: float) -> None:
        """Refuse a request that may not end before the host does.

        Raises
        ------
        SamphireError
            The host is stopping.
        """
        if not takes_request(self.stop_schedule, deadline, now=now):
            detail = "this host is shutting down"
            raise SamphireError(SHUTTING_DOWN, detail, retry_after=SHUTDOWN_RETRY_AFTER_SECONDS)
