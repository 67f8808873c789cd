"""Components that all requests of an entry process share."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from samphirehall.admission.controller import AdmissionController
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


@dataclass(slots=True)
class EntryContext:
    """Components that all requests of an entry process share.

    While `stopping` is true the host reports that it is not ready but still
    serves requests. `refusing` is set at the end of the drain period and makes
    new requests fail. `before_exit` holds the actions of a planned stop, such
    as flushing meters.
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
    stopping: bool = False
    refusing: bool = False
    before_exit: list[Callable[[], Coroutine[Any, Any, None]]] = field(default_factory=list)
