"""Orders that change the stage of an engine."""

import logging

import anyio
import msgspec

from samphirehall.core.decoding import DecodingError, Unsigned, decode
from samphirehall.gateway.connections import (
    EndpointConnections,
    IncompleteResponseError,
    NotSentError,
)
from samphirehall.gateway.duty import Duty, current_grant
from samphirehall.gateway.types import Headers, ListedEndpoint, Stage
from samphirehall.platform.wire import INCARNATION_HEADER

CALL_TIMEOUT_SECONDS = 0.4  # an order takes two calls, within the delivery time of a lease
MAX_ANSWER_BYTES = 262_144  # a report lists every running request
HTTP_OK = 200
ACCEPTED_STATUSES = (HTTP_OK, 202)

_log = logging.getLogger(__name__)


class _Report(msgspec.Struct):
    """State that an engine reports; `sequence` is the number of orders it has accepted."""

    sequence: Unsigned
    busy: bool = False


_report_decoder = msgspec.json.Decoder(_Report)


async def order_stage(
    connections: EndpointConnections,
    engine: ListedEndpoint,
    stage: Stage,
    *,
    host: str,
    duty: Duty,
) -> bool:
    """Order an engine to serve a stage; return whether it accepted.

    Returns False without an order if the engine is busy. The order carries the
    number of orders accepted before it, so that the engine rejects it if it
    arrives after a later order.

    Raises
    ------
    LeaseLostError
        This host does not hold the duty.
    """
    try:
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            report = await _call(connections, engine, "GET", b"/report", b"")
            if report[0] != HTTP_OK:
                return False
            state = decode(report[1], _report_decoder)
            if state.busy:
                return False
        grant = current_grant(duty)
        order = {
            "op": "stage",
            "stage": stage.value,
            "holder": host,
            "fence": grant.fencing,
            "expected": state.sequence,
        }
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            status, _ = await _call(
                connections, engine, "POST", b"/order", msgspec.json.encode(order)
            )
        return status in ACCEPTED_STATUSES
    except (NotSentError, IncompleteResponseError, TimeoutError, DecodingError) as error:
        extra = {"endpoint": engine.endpoint_id, "reason": repr(error)}
        _log.warning("order-unanswered", extra=extra)
        return False


async def _call(
    connections: EndpointConnections,
    engine: ListedEndpoint,
    method: str,
    target: bytes,
    body: bytes,
) -> tuple[int, bytes]:
    headers: Headers = [
        (b"Host", engine.address.encode()),
        (INCARNATION_HEADER, engine.endpoint_id.encode()),
    ]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    async with connections.exchange(
        method, target, headers, body, matches=None, must_not_repeat=True
    ) as answer:
        return answer.status, await answer.read(max_bytes=MAX_ANSWER_BYTES)
