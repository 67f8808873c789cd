"""Short form of an engine's report, in which hosts tell each other about it."""

import logging
from typing import Any

from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.protocol import EngineReport

_ROLES = tuple(Role)
_log = logging.getLogger(__name__)


def encode_report(report: EngineReport) -> list[Any]:
    """Return the short form; it leaves out the endpoint's name and its last order."""
    load = report.load
    return [
        _ROLES.index(report.role),
        report.models,
        int(report.changing),
        int(report.leaving),
        load.running,
        load.waiting,
        load.queued_prompt_tokens,
        load.cached_tokens,
        load.cache_capacity_tokens,
        load.measured_at,
    ]


def decode_report(endpoint_id: str, value: Any) -> EngineReport | None:
    """Return the report of a short form, or None if the value is none."""
    try:
        role, models, changing, leaving, *numbers, measured_at = value
        running, waiting, queued, cached, capacity = map(int, numbers)
        return EngineReport(
            endpoint_id,
            _ROLES[role],
            [str(model) for model in models],
            bool(changing),
            bool(leaving),
            EngineLoad(running, waiting, queued, cached, capacity, float(measured_at)),
        )
    except (TypeError, IndexError, ValueError) as error:
        _log.warning("report-ignored", extra={"endpoint": endpoint_id, "reason": str(error)})
        return None
