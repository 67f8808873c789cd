"""What the requests of one host share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from samphirehall.gateway.crashes import CrashTracker
from samphirehall.gateway.demand import DemandMeter
from samphirehall.gateway.dialect import Dialect
from samphirehall.gateway.fleet import Fleet
from samphirehall.gateway.load import LoadTracker
from samphirehall.gateway.prefill_rate import PrefillRate, RunningAverage
from samphirehall.gateway.repeat_budget import RepeatBudget
from samphirehall.gateway.types import PromptPart, Stage

DECODE_READING_SHARE = 0.5  # the platform's page: a decode engine reads at half the speed
PRIOR_HAND_OVER_S = 0.05  # from a read prompt to its first event besides the transfer, at first


@dataclass(slots=True, frozen=True)
class RepeatLimits:
    """Bounds of further sends to a service, over all hosts; see `RepeatBudget`."""

    ratio: float = 0.2
    slack: float = 20.0
    window: float = 10.0


@dataclass(slots=True)
class GatewayContext:
    """State that decisions read and requests change.

    Parameters
    ----------
    host, zone : str
        This host.
    dialect : Dialect
        Words of the endpoints.
    repeat_limits : RepeatLimits
        Bounds of further sends.
    live_hosts : callable
        Number of hosts that share what is bounded over all hosts.
    note_start : callable
        Called with a customer's name when one of its requests begins to run.
    clock : callable
        Boot clock in seconds.
    """

    host: str
    zone: str
    dialect: Dialect
    repeat_limits: RepeatLimits
    live_hosts: Callable[[], int]
    note_start: Callable[[str], None]
    clock: Callable[[], float]
    fleet: Fleet = field(default_factory=Fleet)
    loads: LoadTracker = field(default_factory=LoadTracker)
    crashes: CrashTracker = field(default_factory=CrashTracker)
    random_source: random.Random = field(default_factory=random.Random)
    rates: dict[tuple[str, Stage], PrefillRate] = field(default_factory=dict)
    hand_over: RunningAverage = field(default_factory=lambda: RunningAverage(PRIOR_HAND_OVER_S))
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    demands: dict[str, DemandMeter] = field(default_factory=dict)
    cache_notes: list[tuple[str, tuple[PromptPart, ...]]] = field(default_factory=list)

    def rate(self, service: str, stage: Stage) -> PrefillRate:
        """Return how fast the engines of a service read prompts in one stage."""
        key = (service, stage)
        if key not in self.rates:
            share = DECODE_READING_SHARE if stage is Stage.DECODE else 1.0
            self.rates[key] = PrefillRate(prior_fraction=share)
        return self.rates[key]

    def demand(self, service: str) -> DemandMeter:
        """Return what this host's callers ask of a service's engines."""
        return self.demands.setdefault(service, DemandMeter())

    def note_changing(self, endpoint_id: str, *, now: float) -> None:
        """Keep work from an engine that changes its stage, and tell peers."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None:
            state.changing_since = now

    def budget(self, service: str) -> RepeatBudget:
        """Return the allowance of repeats at a service."""
        if service not in self.budgets:
            limits = self.repeat_limits
            self.budgets[service] = RepeatBudget(
                ratio=limits.ratio, slack=limits.slack, window=limits.window
            )
        return self.budgets[service]

    def set_repeat_limits(self, limits: RepeatLimits) -> None:
        """Put new bounds of further sends in force; counting begins anew if they differ."""
        if limits != self.repeat_limits:
            self.repeat_limits = limits
            self.budgets.clear()

    def may_repeat(self, service: str, sends: int) -> bool:
        """Return whether so many repeated sends to a service are allowed, and count them."""
        return self.budget(service).acquire(sends, hosts=self.live_hosts(), now=self.clock())

    def note_cached(self, endpoint_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Take note that an engine reads or copies a prompt, and tell peers."""
        state = self.fleet.endpoint(endpoint_id)
        if state is not None and state.cache is not None:
            state.cache.record(parts)
            self.cache_notes.append((endpoint_id, parts))
