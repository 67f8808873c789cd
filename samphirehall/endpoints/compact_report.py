"""Compact encoding of an engine's report, in which hosts publish it to each other."""

import dataclasses
import logging
from typing import Annotated, Any

import msgspec

from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.log import RejectionLog
from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.protocol import EngineReport

_ROLES = tuple(Role)
_LOAD_FIELDS = tuple(item.name for item in dataclasses.fields(EngineLoad))
_CompactReport: Any = tuple[
    Annotated[int, msgspec.Meta(ge=0, lt=len(_ROLES))],
    list[str],
    Unsigned,
    Unsigned,
    Unsigned,
    Unsigned,
    Unsigned,
    Unsigned,
    Unsigned,
    float,
]

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "report-ignored")


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
        role, models, changing, leaving, *load = convert(value, _CompactReport)
        load_fields = dict(zip(_LOAD_FIELDS, load, strict=True))
        return EngineReport(
            endpoint_id,
            _ROLES[role],
            models,
            bool(changing),
            bool(leaving),
            convert(load_fields, EngineLoad),
        )
    except DecodingError as error:
        _rejections.record(endpoint_id, error)
        return None
