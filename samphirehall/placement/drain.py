"""Drain requests of operators: rows in the platform's table, read by the lease holder."""

from dataclasses import dataclass

import msgspec
from starlette.requests import Request

from samphirehall.backing import Table, Write
from samphirehall.backing.table import readable_rows
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.decoding import convert
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import NOT_FOUND
from samphirehall.node.context import ControlContext
from samphirehall.placement.polling import ReportPoller

DRAIN_KEY_PREFIX = "drains/"


@dataclass(slots=True, frozen=True)
class DrainRequest:
    """Value of a drain row; `asked_at` is in wall-clock seconds since the epoch."""

    endpoint_id: str
    zone: str
    asked_at: float


async def read_drains(table: Table, zone: str) -> list[DrainRequest]:
    """Return the drain requests of a zone.

    Raises
    ------
    PlatformUnavailableError
        The platform did not answer.
    """
    rows = await table.scan(f"{DRAIN_KEY_PREFIX}{zone}/")
    return [drain for _, drain in readable_rows(rows, lambda value: convert(value, DrainRequest))]


async def delete_drain(table: Table, drain: DrainRequest) -> None:
    """Delete the drain row of an endpoint that no longer exists."""
    await table.transact([], [Write(_drain_key(drain.zone, drain.endpoint_id), None)])


async def handle_drain(context: ControlContext, request: Request) -> object:
    """Serve ``POST /endpoints/{endpoint}/drain``.

    The endpoint receives no new work from now on; the holder of the zone's lease
    sends it the drain order in its next step.
    """
    name = request.path_params["endpoint"]
    endpoint = context.state.endpoints.get(name)
    if endpoint is None:
        known = ", ".join(sorted(context.state.endpoints)) or "none"
        raise SamphireError(
            NOT_FOUND, f"endpoint {name!r} does not exist; known endpoints: {known}"
        )
    drain = DrainRequest(name, endpoint.zone, wall_seconds())
    value = msgspec.to_builtins(drain)
    await context.platform.transact([], [Write(_drain_key(endpoint.zone, name), value)])
    poller = await context.obtain(ReportPoller)
    poller.publish_leaving(name, "operator drains it", now=boot_seconds())
    return drain


DRAIN_ROUTE = ("POST", "/endpoints/{endpoint}/drain", handle_drain)


def _drain_key(zone: str, endpoint_id: str) -> str:
    return f"{DRAIN_KEY_PREFIX}{zone}/{endpoint_id}"
