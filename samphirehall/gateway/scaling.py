"""Keeps the endpoint counts of all services in force while this host holds the duty."""

import logging
from collections.abc import Awaitable, Callable

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.gateway.endpoint_counts import (
    CountOrder,
    ZoneSupply,
    supply_by_zone,
    wanted_counts,
)
from samphirehall.gateway.fleet import Fleet
from samphirehall.gateway.types import GatewayConfiguration

LOOK_S = 0.5  # between looks at the fleet; an endpoint takes seconds to come
ARRIVAL_FACTOR = 1.5  # boot times after which an order that has not come is sent again
REFUSED_S = 3.0  # until a kind that was not to be had is asked for again

_log = logging.getLogger(__name__)


class Scaling:
    """Orders for endpoints, sent again only when they change or were refused.

    Parameters
    ----------
    fleet : Fleet
        Endpoints that are there.
    send : callable
        Sends an order; returns whether the endpoints are to be had.
    """

    def __init__(self, fleet: Fleet, send: Callable[[CountOrder], Awaitable[bool]]) -> None:
        self._fleet = fleet
        self._send = send
        self._accepted: dict[tuple[str, str, bool], tuple[int, float]] = {}
        self._refused_at: dict[tuple[str, str, bool], float] = {}

    def forget(self) -> None:
        """Forget what was ordered: another host may have ordered since."""
        self._accepted.clear()
        self._refused_at.clear()

    async def step(self, configuration: GatewayConfiguration, *, now: float) -> None:
        """Send the orders that are due.

        Raises
        ------
        PlatformUnavailableError
            The platform did not answer.
        """
        listed = [state.listed for state in self._fleet.states()]
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            supplies = supply_by_zone(listed, service.name)
            for zone in sorted({*supplies, *service.scaling.zone_prices}):
                refused = self._refused_at.get((service.name, zone, True), float("-inf"))
                orders = wanted_counts(
                    service,
                    supplies.get(zone, ZoneSupply()),
                    zone=zone,
                    cheap_available=now - refused >= REFUSED_S,
                )
                supply = supplies.get(zone, ZoneSupply())
                for order in orders:
                    there = supply.cheap if order.cheap else supply.standard
                    await self._order(order, there, service.scaling.boot_time, now=now)

    async def _order(self, order: CountOrder, there: int, boot_time: float, *, now: float) -> None:
        """Send an order unless it stands; an accepted one may have been cut to the limits."""
        subject = (order.service, order.zone, order.cheap)
        count, ordered_at = self._accepted.get(subject, (-1, 0.0))
        waiting = now - ordered_at < boot_time * ARRIVAL_FACTOR
        if count == order.count and (there >= count or waiting):
            return
        accepted = await self._send(order)
        log_decision(
            _log,
            "endpoints-ordered",
            "accepted" if accepted else "not to be had",
            service=order.service,
            zone=order.zone,
            cheap=order.cheap,
            count=order.count,
        )
        if accepted:
            self._accepted[subject] = order.count, now
        else:
            self._refused_at[subject] = now


async def scale_forever(
    scaling: Scaling,
    *,
    may_act: Callable[[float], bool],
    configuration: Callable[[], GatewayConfiguration | None],
) -> None:
    """Keep the counts in force until cancelled.

    Parameters
    ----------
    scaling : Scaling
        What has been ordered.
    may_act : callable
        Whether this host holds the duty at a time of the boot clock.
    configuration : callable
        Configuration in force.
    """
    while True:
        await anyio.sleep(LOOK_S)
        now = boot_seconds()
        present = configuration()
        if not may_act(now) or present is None:
            scaling.forget()
            continue
        try:
            await scaling.step(present, now=now)
        except PlatformUnavailableError as error:
            _log.warning("endpoints-unordered", extra={"reason": str(error)})
