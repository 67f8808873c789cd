"""How many endpoints of each kind a service should have in each zone.

The load it answers: prompts and generations that swing within seconds, while
an endpoint takes seconds to come and may be reclaimed with its whole zone. The
cheap kind carries what it can get; the standard kind stands in where it is not
to be had.
"""

from dataclasses import dataclass

from samphirehall.gateway.types import ListedEndpoint, ScalingLimits, Service

CHEAP_WAIT_FACTOR = 3.0  # boot times after which an ordered cheap endpoint counts as not to be had


@dataclass(slots=True, frozen=True)
class CountOrder:
    """An order for endpoints of one service and kind in one zone."""

    service: str
    zone: str
    cheap: bool
    count: int


@dataclass(slots=True)
class ZoneSupply:
    """Endpoints of one service in one zone.

    Parameters
    ----------
    standard, cheap : int
        Ready endpoints of each kind.
    """

    standard: int = 0
    cheap: int = 0


def supply_by_zone(listed: list[ListedEndpoint], service: str) -> dict[str, ZoneSupply]:
    """Return the ready endpoints of a service by zone."""
    supply: dict[str, ZoneSupply] = {}
    for endpoint in listed:
        if endpoint.service != service or not endpoint.ready:
            continue
        zone = supply.setdefault(endpoint.zone, ZoneSupply())
        if endpoint.cheap:
            zone.cheap += 1
        else:
            zone.standard += 1
    return supply


def wanted_counts(
    service: Service, supply: ZoneSupply, *, zone: str, cheap_available: bool
) -> list[CountOrder]:
    """Return the orders for one zone, the one that adds endpoints first.

    Parameters
    ----------
    service : Service
        Service with limits of scaling.
    supply : ZoneSupply
        What is there now.
    zone : str
        Zone.
    cheap_available : bool
        Whether cheap endpoints were to be had there lately.
    """
    limits = service.scaling
    if limits is None:
        return []
    cheap = _wanted_cheap(limits) if cheap_available else supply.cheap
    standard = _wanted_standard(limits, supply, cheap)
    return [
        CountOrder(service.name, zone, True, cheap),
        CountOrder(service.name, zone, False, standard),
    ]


def _wanted_cheap(limits: ScalingLimits) -> int:
    if limits.cheap_price is None or limits.cheap_price >= 1.0:
        return 0
    return max(limits.minimum, limits.maximum)


def _wanted_standard(limits: ScalingLimits, supply: ZoneSupply, cheap: int) -> int:
    """Return the standard endpoints: those that the cheap ones there do not replace."""
    if cheap > 0 and supply.cheap >= limits.minimum:
        return 0
    return max(limits.minimum, min(supply.standard, limits.maximum - supply.cheap))
