"""Drains that operators ask for: rows in the platform's table, carried out by the lease holder."""

from dataclasses import dataclass

import msgspec
from starlette.requests import Request

from samphirehall.backing import Table, Write
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import NOT_FOUND
from samphirehall.node.context import ControlContext
from samphirehall.placement.polling import ReportPoller

DRAIN_PREFIX = "drains/"


@dataclass(slots=True, frozen=True)
class Drain:
    """Value of a drain row; `asked_at` is wall-clock seconds since the epoch."""

    endpoint_id: str
    zone: str
    asked_at: float


async def read_drains(table: Table, zone: str) -> list[Drain]:
    """Return the drains of a zone.

    Raises
    ------
    PlatformUnavailableError
        The platform did not answer.
    """
    rows = await table.scan(f"{DRAIN_PREFIX}{zone}/")
    return [msgspec.convert(row.value, Drain) for row in rows]


async def forget_drain(table: Table, drain: Drain) -> None:
    """Delete the row of an endpoint that is gone."""
    await table.transact([], [Write(_key(drain.zone, drain.endpoint_id), None)])


async def handle_drain(context: ControlContext, request: Request) -> object:
    """Serve ``POST /endpoints/{endpoint}/drain``: no new work at once, an order soon."""
    name = request.path_params["endpoint"]
    endpoint = context.state.endpoints.get(name)
    if endpoint is None:
        known = ", ".join(sorted(context.state.endpoints)) or "none"
        raise SamphireError(NOT_FOUND, f"no endpoint {name!r}; known: {known}")
    drain = Drain(name, endpoint.zone, wall_seconds())
    value = msgspec.to_builtins(drain)
    await context.platform.transact([], [Write(_key(endpoint.zone, name), value)])
    poller = await context.obtain(ReportPoller)
    poller.note_leaving(name, "operator drains it", now=boot_seconds())
    return drain


DRAIN_ROUTE = ("POST", "/endpoints/{endpoint}/drain", handle_drain)


def _key(zone: str, endpoint_id: str) -> str:
    return f"{DRAIN_PREFIX}{zone}/{endpoint_id}"
