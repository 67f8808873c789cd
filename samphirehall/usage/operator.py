"""Operator API route: the latest usage windows and their frozen figures."""

from dataclasses import dataclass, field
from typing import Any

from starlette.requests import Request

from samphirehall.backing.table import Table, convert_row
from samphirehall.core.decoding import Unsigned, parse_unsigned
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import BAD_REQUEST
from samphirehall.core.types import UsageFigures
from samphirehall.node.context import ControlContext
from samphirehall.usage.flusher import NEXT_WINDOW_KEY
from samphirehall.usage.reporter import REPORTED_BEFORE_KEY
from samphirehall.usage.windows import FrozenFigures, frozen_key

DEFAULT_WINDOWS = 10
MAX_WINDOWS = 1000


@dataclass(slots=True)
class WindowView:
    """A frozen window as the operator API returns it.

    Parameters
    ----------
    window : int
        Start of the window in seconds since the epoch.
    reported : bool
        Whether the platform has accepted or refused the figures of all customers.
    customers : dict
        Frozen figures by customer.
    """

    window: int
    reported: bool
    customers: dict[str, UsageFigures] = field(default_factory=dict)


async def latest_windows(table: Table, *, count: int, window_seconds: int) -> list[WindowView]:
    """Return the latest frozen windows, newest first."""
    progress = await table.read([NEXT_WINDOW_KEY, REPORTED_BEFORE_KEY])
    if NEXT_WINDOW_KEY not in progress:
        return []
    end = convert_row(progress[NEXT_WINDOW_KEY], Unsigned)
    reported_row = progress.get(REPORTED_BEFORE_KEY)
    reported = 0 if reported_row is None else convert_row(reported_row, Unsigned)
    windows = range(end - window_seconds, end - (count + 1) * window_seconds, -window_seconds)
    rows = await table.read([frozen_key(window) for window in windows])
    return [
        WindowView(window, window < reported, convert_row(rows[frozen_key(window)], FrozenFigures))
        for window in windows
        if frozen_key(window) in rows
    ]


async def _get_usage(context: ControlContext, request: Request) -> Any:
    windows = request.query_params.get("windows", str(DEFAULT_WINDOWS))
    count = parse_unsigned(windows, maximum=MAX_WINDOWS)
    if not count:
        raise SamphireError(
            BAD_REQUEST, f"query parameter windows = {windows!r}: 1 to {MAX_WINDOWS} are allowed"
        )
    return await latest_windows(
        context.platform,
        count=count,
        window_seconds=context.settings.usage.window_seconds,
    )


USAGE_ROUTE = ("GET", "/usage", _get_usage)
