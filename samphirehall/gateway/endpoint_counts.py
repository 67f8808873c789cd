"""How many endpoints of each kind a service should have in each zone.

The load it answers: prompts and generations that swing within seconds, while
an endpoint takes seconds to come and may be reclaimed with its whole zone. The
cheap kind carries what it can; the standard kind stands in for what the cheap
one falls short of the demand.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from samphirehall.gateway.types import EngineLimits, ListedEndpoint, Service, Stage

PREFILL_UTILIZATION_FRACTION = (
    0.6  # part of an engine's reading that is planned for: prompts come in clumps
)
DECODE_UTILIZATION_FRACTION = (
    0.25  # part of the slots: a full batch generates more slowly and lacks memory
)
MIN_DECODE_ENGINES = 2  # one may be lost at any time


@dataclass(slots=True, frozen=True)
class EngineDemand:
    """What callers ask of a service's engines.

    Parameters
    ----------
    reading : float
        Engines that would read all prompts without a pause.
    generating : float
        Batches that the running streams fill.
    """

    prefill_load: float
    decode_load: float

    @property
    def prefill_engines(self) -> float:
        """Engines that should read."""
        return self.prefill_load / PREFILL_UTILIZATION_FRACTION

    @property
    def decode_engines(self) -> float:
        """Engines that should generate."""
        return max(MIN_DECODE_ENGINES, self.decode_load / DECODE_UTILIZATION_FRACTION)


@dataclass(slots=True, frozen=True)
class CountOrder:
    """An order for endpoints of one service and kind in one zone."""

    service: str
    zone: str
    cheap: bool
    count: int


@dataclass(slots=True)
class ZoneSupply:
    """Ready endpoints of one service in one zone.

    Parameters
    ----------
    standard, cheap : int
        Endpoints of each kind.
    cheap_refused : bool
        Whether cheap ones were not to be had there lately.
    """

    standard: int = 0
    cheap: int = 0
    cheap_refused: bool = False


def measure_demand(
    prompt_tokens_per_second: float,
    engine_tokens_per_second: float,
    streams: int,
    limits: EngineLimits,
) -> EngineDemand:
    """Return the demand of prompt tokens and running streams.

    Parameters
    ----------
    tokens_per_second : float
        Prompt tokens to be read, over all hosts.
    rate : float
        Tokens a second that one engine reads.
    streams : int
        Streams that run, over all hosts.
    limits : EngineLimits
        Slots of an engine.
    """
    return EngineDemand(prompt_tokens_per_second / engine_tokens_per_second, streams / limits.slots)


def supply_by_zone(listed: Iterable[ListedEndpoint], service: Service) -> dict[str, ZoneSupply]:
    """Return the ready endpoints of a service by zone, empty zones among them."""
    zones = service.scaling.zone_prices if service.scaling else ()
    supply = {zone: ZoneSupply() for zone in zones}
    for endpoint in listed:
        if endpoint.service != service.name:
            continue
        zone = supply.setdefault(endpoint.zone, ZoneSupply())
        if endpoint.ready and endpoint.cheap:
            zone.cheap += 1
        elif endpoint.ready:
            zone.standard += 1
    return supply


def desired_counts(
    service: Service, supply: Mapping[str, ZoneSupply], demand: EngineDemand
) -> list[CountOrder]:
    """Return the counts that should be in force, those that add endpoints first.

    Parameters
    ----------
    service : Service
        Service with limits of scaling.
    supply : mapping of str to ZoneSupply
        What is there by zone.
    demand : Demand
        What callers ask for.
    """
    limits = service.scaling
    if limits is None or not supply:
        return []
    has_cheap = limits.cheap_price is not None and limits.cheap_price < 1.0
    cheap = dict.fromkeys(supply, limits.max_endpoints if has_cheap else 0)
    standard = _standard_counts(service, supply, demand, has_cheap=has_cheap)
    orders = [CountOrder(service.name, zone, True, count) for zone, count in cheap.items()]
    if not has_cheap:
        orders = []
    orders += [CountOrder(service.name, zone, False, count) for zone, count in standard.items()]
    return orders


def _standard_counts(
    service: Service, supply: Mapping[str, ZoneSupply], demand: EngineDemand, *, has_cheap: bool
) -> dict[str, int]:
    """Return the standard endpoints by zone: what the cheap ones there fall short of.

    A standard endpoint goes only when cheap ones have come in its place.
    """
    limits = service.scaling
    assert limits is not None
    desired = math.ceil(demand.prefill_engines + demand.decode_engines)
    missing = desired - sum(zone.cheap for zone in supply.values())
    counts: dict[str, int] = {}
    by_price = sorted(supply, key=lambda name: limits.zone_prices.get(name, 1.0))
    for name in by_price:
        zone = supply[name]
        minimum = limits.min_endpoints if zone.cheap < limits.min_endpoints else 0
        # Both kinds share the limit: a place is left for a cheap one to come in.
        reserved = 1 if has_cheap and not zone.cheap_refused else 0
        available = max(0, limits.max_endpoints - zone.cheap - reserved)
        may_add = zone.cheap_refused or not has_cheap or zone.standard > 0
        extra = min(available, max(0, missing)) if may_add else 0
        counts[name] = max(minimum, extra)
        missing -= counts[name]
    return counts


def desired_stage_change(
    engines: Iterable[ListedEndpoint], demand: EngineDemand
) -> tuple[str, Stage] | None:
    """Return one engine whose stage should change, and the new stage, or None.

    An engine is away for seconds when it changes. It does so only when its new
    stage lacks an engine and its old one can spare it, and never as the last of
    its stage in a zone with several engines.

    Parameters
    ----------
    engines : iterable of ListedEndpoint
        Ready engines of one service.
    demand : Demand
        What callers ask for, over a time longer than a change takes.
    """
    members = sorted(engines, key=lambda engine: engine.endpoint_id)
    prefill_engines = [engine for engine in members if engine.stage is Stage.PREFILL]
    decode_engines = [engine for engine in members if engine.stage is Stage.DECODE]
    if (
        len(prefill_engines) < demand.prefill_engines
        and len(decode_engines) - 1 >= demand.decode_engines
    ):
        return _choose_spare_engine(decode_engines, Stage.PREFILL)
    if (
        len(decode_engines) < demand.decode_engines
        and len(prefill_engines) - 1 >= demand.prefill_engines
    ):
        return _choose_spare_engine(prefill_engines, Stage.DECODE)
    return None


def _choose_spare_engine(
    engines: Sequence[ListedEndpoint], new_stage: Stage
) -> tuple[str, Stage] | None:
    """Return an engine of the zone that has most of this stage, if it has two at least."""
    zones = Counter(engine.zone for engine in engines)
    zone, count = zones.most_common(1)[0]
    if count < 2:
        return None
    return next(engine.endpoint_id for engine in engines if engine.zone == zone), new_stage
