"""What the requests of an entry process share."""

import random
from dataclasses import dataclass

from samphirehall.admission.controller import AdmissionController
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.forwarding.claims import ClaimStore
from samphirehall.forwarding.metrics import EntryMetrics
from samphirehall.forwarding.retry_budget import RetryBudget
from samphirehall.node.state import NodeState
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.policy import RoutingPolicy
from samphirehall.settings import EntrySettings
from samphirehall.usage.meter import UsageMeter


@dataclass(slots=True)
class EntryContext:
    """Shared parts of an entry process; `stopping` refuses new requests."""

    settings: EntrySettings
    state: NodeState
    pools: EndpointPools
    fleet: Fleet
    choose: RoutingPolicy
    admission: AdmissionController
    claims: ClaimStore
    metrics: EntryMetrics
    meter: UsageMeter
    random_source: random.Random
    retry_budget: RetryBudget
    stopping: bool = False
