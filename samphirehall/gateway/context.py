"""State that all requests of one host share."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from samphirehall.core.rendezvous import is_chosen
from samphirehall.gateway.crashes import CrashTracker
from samphirehall.gateway.demand import DemandMeter
from samphirehall.gateway.endpoint_limits import EndpointLimits, host_share
from samphirehall.gateway.endpoint_paths import EndpointPaths
from samphirehall.gateway.fleet import Fleet
from samphirehall.gateway.load import LoadTracker
from samphirehall.gateway.prefill_rate import PrefillRate, RunningAverage
from samphirehall.gateway.quota_exchange import HostQuotas
from samphirehall.gateway.repeat_budget import RepeatBudget
from samphirehall.gateway.stream_store import StreamStore
from samphirehall.gateway.types import ListedEndpoint, PromptPart, Stage
from samphirehall.gateway.wire_codec import WireCodec
from samphirehall.scheduling.engine_speed import EngineSpeeds
from samphirehall.scheduling.fair_shares import FairShareTable
from samphirehall.scheduling.hedging import Hedging

DECODE_PREFILL_SPEED_FRACTION = 0.5  # of a prefill engine's, as stated by the platform
INITIAL_KV_TRANSFER_OVERHEAD_SECONDS = 0.05  # until measured


@dataclass(slots=True, frozen=True)
class RepeatLimits:
    """Limits of repeated sends to a service over all hosts; see `RepeatBudget`."""

    ratio: float = 0.2
    slack: float = 20.0
    window: float = 10.0


@dataclass(slots=True)
class GatewayContext:
    """State that scheduling decisions read and requests update.

    Parameters
    ----------
    host, zone : str
        Name and availability zone of this host.
    wire_codec : WireCodec
        Codec of the wire format of endpoints.
    repeat_limits : RepeatLimits
        Limits of repeated sends.
    live_hosts : callable
        Returns the number of hosts that share these limits.
    record_start : callable
        Called with a customer's name when one of its requests begins to run.
    clock : callable
        Boot clock in seconds.
    zone_hosts, live_zones : callable
        Return the live hosts of this zone, and the zones with live hosts.
    store_age : callable
        Returns the seconds since the store last answered any host that is heard.
    fleet, loads, crashes : Fleet, LoadTracker, CrashTracker
        Endpoints, their loads and their crashes.
    prefill_rates : dict
        Measured prefill rate by service and stage.
    speeds : EngineSpeeds
        Speed of each engine, measured by all hosts.
    kv_transfer_overhead : RunningAverage
        Measured seconds from the send to a decode engine until its first event, for prompts
        that another engine has prefilled.
    repeat_budgets, prefill_demands : dict
        Budget of repeated sends and demand for prefill by service.
    pending_cache_updates : list
        Endpoints and the prompts that they now cache, not yet sent to peers.
    unpublished_stage_changes : list
        Engines that were ordered to change their stage, not yet sent to peers.
    streams : StreamStore or None
        Software versions of streams; without it, callers take up no stream.
    hedging : Hedging or None
        Answer times and limit of hedged requests; None while hedging is off.
    fair_shares : FairShareTable or None
        Work by service and customer; without it, customers are admitted alike.

    Attributes
    ----------
    limits : EndpointLimits
        Rates that endpoints take from all hosts together.
    quotas : HostQuotas
        Limits of customers over all hosts.
    paths : EndpointPaths
        Whether this host reaches any endpoint.
    endpoint_lost : Event
        Set when an endpoint refuses connections; who waits for it replaces it.
    """

    host: str
    zone: str
    wire_codec: WireCodec
    repeat_limits: RepeatLimits
    live_hosts: Callable[[], int]
    record_start: Callable[[str], None]
    clock: Callable[[], float]
    zone_hosts: Callable[[], Sequence[str]] = tuple
    live_zones: Callable[[], Sequence[str]] = tuple
    store_age: Callable[[], float] = float  # 0.0 without a store
    fleet: Fleet = field(default_factory=Fleet)
    loads: LoadTracker = field(default_factory=LoadTracker)
    crashes: CrashTracker = field(default_factory=CrashTracker)
    random_source: random.Random = field(default_factory=random.Random)
    prefill_rates: dict[tuple[str, Stage], PrefillRate] = field(default_factory=dict)
    speeds: EngineSpeeds = field(default_factory=EngineSpeeds)
    kv_transfer_overhead: RunningAverage = field(
        default_factory=lambda: RunningAverage(INITIAL_KV_TRANSFER_OVERHEAD_SECONDS)
    )
    repeat_budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    prefill_demands: dict[str, DemandMeter] = field(default_factory=dict)
    pending_cache_updates: list[tuple[str, tuple[PromptPart, ...]]] = field(default_factory=list)
    unpublished_stage_changes: list[str] = field(default_factory=list)
    streams: StreamStore | None = None
    hedging: Hedging | None = None
    fair_shares: FairShareTable | None = None
    limits: EndpointLimits = field(init=False)
    quotas: HostQuotas = field(init=False)
    paths: EndpointPaths = field(init=False)
    endpoint_lost: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.limits = EndpointLimits(self._host_share)
        self.paths = EndpointPaths(self.fleet, self.random_source, self.clock)
        self.quotas = HostQuotas(self.host, self.random_source, self.clock)

    def owns(self, subject: str) -> bool:
        """Return whether this host, of all live ones, is in charge of a subject."""
        zones = {self.zone, *self.live_zones()}
        hosts = {self.host, *self.zone_hosts()}
        return is_chosen(self.zone, zones, subject) and is_chosen(self.host, hosts, subject)

    def _host_share(self, limit: float, endpoint: ListedEndpoint) -> tuple[float, float]:
        return host_share(
            limit,
            endpoint,
            host=self.host,
            zone=self.zone,
            zone_hosts=self.zone_hosts(),
            zones=self.live_zones(),
        )

    def prefill_rate(self, service: str, stage: Stage) -> PrefillRate:
        """Return the measured prefill rate of a service's engines of one stage."""
        key = (service, stage)
        if key not in self.prefill_rates:
            speed_fraction = DECODE_PREFILL_SPEED_FRACTION if stage is Stage.DECODE else 1.0
            self.prefill_rates[key] = PrefillRate(prior_fraction=speed_fraction)
        return self.prefill_rates[key]

    def prefill_demand(self, service: str) -> DemandMeter:
        """Return the demand for prefill of a service from this host's callers."""
        return self.prefill_demands.setdefault(service, DemandMeter())

    def record_stage_change(self, endpoint_id: str, *, now: float) -> None:
        """Record that an engine is changing its stage; it gets no work, and peers are informed."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None:
            state.changing_since = now
            self.unpublished_stage_changes.append(endpoint_id)

    def repeat_budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeated sends to a service."""
        if service not in self.repeat_budgets:
            limits = self.repeat_limits
            self.repeat_budgets[service] = RepeatBudget(
                ratio=limits.ratio, slack=limits.slack, window=limits.window
            )
        return self.repeat_budgets[service]

    def set_repeat_limits(self, limits: RepeatLimits) -> None:
        """Apply limits of repeated sends; the counts are reset if the limits changed."""
        if limits != self.repeat_limits:
            self.repeat_limits = limits
            self.repeat_budgets.clear()

    def set_hedging_share(self, max_share: float) -> None:
        """Apply the largest share of hedged requests; 0 turns hedging off.

        Answer times and counts are reset if the share changed.
        """
        if max_share != (self.hedging.max_share if self.hedging else 0.0):
            self.hedging = Hedging(max_share) if max_share else None

    def allows_repeats(self, service: str, sends: int) -> bool:
        """Return whether the budget allows repeated sends to a service."""
        return self.repeat_budget(service).allows(sends, hosts=self.live_hosts(), now=self.clock())

    def acquire_repeats(self, service: str, sends: int) -> bool:
        """Count repeated sends to a service if the budget allows them; return whether it does."""
        return self.repeat_budget(service).acquire(sends, hosts=self.live_hosts(), now=self.clock())

    def record_cached_prompt(self, endpoint_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Record that an engine computes or fetches a prompt, and queue it for peers."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None and state.cache is not None:
            state.cache.record(parts)
            self.pending_cache_updates.append((endpoint_id, parts))
