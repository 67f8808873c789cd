"""Autoscaling decisions: endpoints by zone and kind, and the stages of engines.

Demand changes within seconds, while an endpoint takes seconds to start, and cheap
endpoints may be reclaimed in a whole zone at once. Cheap endpoints serve as much of
the demand as they can; standard ones cover the shortfall.
"""

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass

from samphirehall.gateway.types import EngineLimits, ListedEndpoint, Service, Stage

PREFILL_UTILIZATION_FRACTION = 0.6  # target utilization; prompts arrive in bursts
# Of the slots; a full batch decodes more slowly and runs out of KV cache.
DECODE_UTILIZATION_FRACTION = 0.25
MIN_DECODE_ENGINES = 2  # tolerates the loss of one
NO_SPEEDS: Mapping[str, float] = {}


@dataclass(slots=True, frozen=True)
class EngineDemand:
    """Demand on the engines of a service.

    Parameters
    ----------
    prefill_load : float
        Engines that the prefill of all prompts would keep fully busy.
    decode_load : float
        Full batches that the running streams amount to.
    """

    prefill_load: float
    decode_load: float

    @property
    def prefill_engines(self) -> float:
        """Desired number of prefill engines."""
        return self.prefill_load / PREFILL_UTILIZATION_FRACTION

    @property
    def decode_engines(self) -> float:
        """Desired number of decode engines."""
        return max(MIN_DECODE_ENGINES, self.decode_load / DECODE_UTILIZATION_FRACTION)


@dataclass(slots=True, frozen=True)
class CountOrder:
    """Desired number of endpoints of one service and kind in one zone."""

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
        Ready endpoints of each kind.
    cheap_refused : bool
        Whether the platform recently refused an order for cheap ones there.
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
    """Return the demand that corresponds to a token rate and a number of streams.

    Parameters
    ----------
    prompt_tokens_per_second : float
        Uncached prompt tokens per second, over all hosts.
    engine_tokens_per_second : float
        Prefill speed of one engine.
    streams : int
        Running streams, over all hosts.
    limits : EngineLimits
        Slots of an engine.
    """
    return EngineDemand(prompt_tokens_per_second / engine_tokens_per_second, streams / limits.slots)


def supply_by_zone(listed: Iterable[ListedEndpoint], service: Service) -> dict[str, ZoneSupply]:
    """Return the ready endpoints of a service by zone, including zones without any."""
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
    """Return the desired counts by zone and kind; cheap endpoints come first.

    Parameters
    ----------
    service : Service
        Service to scale; without scaling limits, nothing is ordered.
    supply : mapping of str to ZoneSupply
        Ready endpoints by zone.
    demand : EngineDemand
        Current demand.
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
    """Return the desired standard endpoints by zone, which cover the shortfall of cheap ones.

    A standard endpoint is removed only once cheap ones have replaced it.
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
        # Both kinds share the limit, so one place is reserved for a cheap endpoint.
        reserved = 1 if has_cheap and not zone.cheap_refused else 0
        available = max(0, limits.max_endpoints - zone.cheap - reserved)
        may_add = zone.cheap_refused or not has_cheap or zone.standard > 0
        extra = min(available, max(0, missing)) if may_add else 0
        counts[name] = max(minimum, extra)
        missing -= counts[name]
    return counts


def desired_stage_change(
    engines: Iterable[ListedEndpoint],
    demand: EngineDemand,
    speeds: Mapping[str, float] = NO_SPEEDS,
) -> tuple[str, Stage] | None:
    """Return one engine whose stage should change, and the new stage, or None.

    A changing engine is unavailable for seconds. It changes only if its new stage
    lacks an engine and its old stage can spare one, as can its software version; an engine
    that is alone in its stage within its zone is not changed.

    Parameters
    ----------
    engines : iterable of ListedEndpoint
        Ready engines of one service.
    demand : EngineDemand
        Demand over a period longer than a stage change takes.
    speeds : dict
        Speeds of engines by id, 1 if absent. Of the engines of a zone, the fastest takes up
        prefill and the slowest gives it up.
    """
    members = sorted(engines, key=lambda engine: engine.endpoint_id)
    prefill_engines = [engine for engine in members if engine.stage is Stage.PREFILL]
    decode_engines = [engine for engine in members if engine.stage is Stage.DECODE]
    if (
        len(prefill_engines) < demand.prefill_engines
        and len(decode_engines) - 1 >= demand.decode_engines
    ):
        versions = Counter(engine.software_version for engine in decode_engines)
        spare = [
            engine
            for engine in decode_engines
            if len(versions) == 1 or versions[engine.software_version] > MIN_DECODE_ENGINES
        ]
        return _choose_spare_engine(spare, Stage.PREFILL, speeds)
    if (
        len(decode_engines) < demand.decode_engines
        and len(prefill_engines) - 1 >= demand.prefill_engines
    ):
        return _choose_spare_engine(prefill_engines, Stage.DECODE, speeds)
    return None


def missing_decode_engine(
    engines: Iterable[ListedEndpoint],
    *,
    unreachable: Container[str] = (),
    unwilling: Container[str] = (),
) -> tuple[str, Stage] | None:
    """Return a prefill engine that should decode, as no engine of its software version does.

    A stream can only go on at its version, and prompt memory can only be used there.

    Parameters
    ----------
    engines : iterable of ListedEndpoint
        Ready engines of one service.
    unreachable : container of str
        Ids of engines that refuse connections at present.
    unwilling : container of str
        Ids of engines that refused to change their stage.
    """
    versions: dict[str, list[ListedEndpoint]] = {}
    for engine in sorted(engines, key=lambda engine: engine.endpoint_id):
        if engine.endpoint_id not in unreachable:
            versions.setdefault(engine.software_version, []).append(engine)
    for members in versions.values():
        prefill_engines = [engine for engine in members if engine.stage is Stage.PREFILL]
        willing = [engine for engine in prefill_engines if engine.endpoint_id not in unwilling]
        if len(prefill_engines) == len(members) and willing:
            return _of_largest_zone(willing)[0].endpoint_id, Stage.DECODE
    return None


def _of_largest_zone(engines: Sequence[ListedEndpoint]) -> list[ListedEndpoint]:
    """Return the engines of the zone with the most engines."""
    (zone, _), *_ = Counter(engine.zone for engine in engines).most_common(1)
    return [engine for engine in engines if engine.zone == zone]


def _choose_spare_engine(
    engines: Sequence[ListedEndpoint], new_stage: Stage, speeds: Mapping[str, float]
) -> tuple[str, Stage] | None:
    """Return an engine of the zone with the most engines, or None if no zone has two."""
    zones = Counter(engine.zone for engine in engines)
    if max(zones.values(), default=0) < 2:
        return None
    choose = max if new_stage is Stage.PREFILL else min
    chosen = choose(
        _of_largest_zone(engines), key=lambda engine: speeds.get(engine.endpoint_id, 1.0)
    )
    return chosen.endpoint_id, new_stage
