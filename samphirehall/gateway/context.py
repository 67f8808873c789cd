"""State that all requests of one host share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from samphirehall.gateway.crashes import CrashBoard
from samphirehall.gateway.demand import DemandMeter
from samphirehall.gateway.fleet import Fleet
from samphirehall.gateway.load import LoadBoard
from samphirehall.gateway.reading_rate import Average, ReadingRate
from samphirehall.gateway.repeat_budget import RepeatBudget
from samphirehall.gateway.types import PromptPart, Stage
from samphirehall.gateway.wire_codec import WireCodec

DECODE_PREFILL_SPEED_FRACTION = 0.5  # of a prefill engine's, as stated by the platform
INITIAL_KV_TRANSFER_DELAY_SECONDS = 0.05  # until measured


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
    note_start : callable
        Called with a customer's name when one of its requests begins to run.
    clock : callable
        Boot clock in seconds.
    fleet, loads, crashes : Fleet, LoadBoard, CrashBoard
        Endpoints, their loads and their crashes.
    rates : dict
        Measured prefill rate by service and stage.
    hand_over : Average
        Measured seconds from a finished prefill to the first event on another engine, without
        the transfer of the prompt's keys and values.
    budgets, demands : dict
        Repeat allowance and demand for prefill by service.
    cache_notes : list
        Endpoints and the prompts that they now cache, not yet sent to peers.
    """

    host: str
    zone: str
    wire_codec: WireCodec
    repeat_limits: RepeatLimits
    live_hosts: Callable[[], int]
    note_start: Callable[[str], None]
    clock: Callable[[], float]
    fleet: Fleet = field(default_factory=Fleet)
    loads: LoadBoard = field(default_factory=LoadBoard)
    crashes: CrashBoard = field(default_factory=CrashBoard)
    random_source: random.Random = field(default_factory=random.Random)
    rates: dict[tuple[str, Stage], ReadingRate] = field(default_factory=dict)
    hand_over: Average = field(default_factory=lambda: Average(INITIAL_KV_TRANSFER_DELAY_SECONDS))
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    demands: dict[str, DemandMeter] = field(default_factory=dict)
    cache_notes: list[tuple[str, tuple[PromptPart, ...]]] = field(default_factory=list)

    def rate(self, service: str, stage: Stage) -> ReadingRate:
        """Return the measured prefill rate of a service's engines of one stage."""
        key = (service, stage)
        if key not in self.rates:
            speed_fraction = DECODE_PREFILL_SPEED_FRACTION if stage is Stage.DECODE else 1.0
            self.rates[key] = ReadingRate(share_of_prior=speed_fraction)
        return self.rates[key]

    def demand(self, service: str) -> DemandMeter:
        """Return the demand for prefill of a service from this host's callers."""
        return self.demands.setdefault(service, DemandMeter())

    def note_changing(self, endpoint_id: str, *, now: float) -> None:
        """Record that an engine is changing its stage; it gets no work, and peers are informed."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None:
            state.changing_since = now

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeated sends to a service."""
        if service not in self.budgets:
            limits = self.repeat_limits
            self.budgets[service] = RepeatBudget(
                ratio=limits.ratio, slack=limits.slack, window=limits.window
            )
        return self.budgets[service]

    def set_repeat_limits(self, limits: RepeatLimits) -> None:
        """Apply limits of repeated sends; the counts are reset if the limits changed."""
        if limits != self.repeat_limits:
            self.repeat_limits = limits
            self.budgets.clear()

    def may_repeat(self, service: str, sends: int) -> bool:
        """Count repeated sends to a service if the budget allows them; return whether it does."""
        return self.budget(service).take(sends, hosts=self.live_hosts(), now=self.clock())

    def note_cached(self, endpoint_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Record that an engine computes or fetches a prompt, and queue it for peers."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None and state.cache is not None:
            state.cache.note(parts)
            self.cache_notes.append((endpoint_id, parts))
