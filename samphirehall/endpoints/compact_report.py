"""Compact encoding of an engine's report, in which hosts publish it to each other."""

import logging
from typing import Any

from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.protocol import EngineReport

_ROLES = tuple(Role)
_log = logging.getLogger(__name__)


def encode_report(report: EngineReport) -> list[Any]:
    """Encode a report as a list, without the endpoint's name and its last order."""
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
    """Decode a report encoded by `encode_report`; log and return None if it is malformed."""
    try:
        role, models, changing, leaving, *numbers, measured_at = value
        running, waiting, queued_tokens, cached_tokens, capacity_tokens = map(int, numbers)
        return EngineReport(
            endpoint_id,
            _ROLES[role],
            [str(model) for model in models],
            bool(changing),
            bool(leaving),
            EngineLoad(
                running,
                waiting,
                queued_tokens,
                cached_tokens,
                capacity_tokens,
                float(measured_at),
            ),
        )
    except (TypeError, IndexError, ValueError) as error:
        _log.warning("report-ignored", extra={"endpoint": endpoint_id, "reason": str(error)})
        return None
