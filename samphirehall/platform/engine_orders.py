"""Orders to engines."""

import logging

import anyio
import msgspec

from samphirehall.gateway.connections import (
    EndpointConnections,
    IncompleteResponseError,
    NotSentError,
)
from samphirehall.gateway.duty import Duty, current_grant
from samphirehall.gateway.types import Headers, ListedEndpoint, Stage
from samphirehall.platform.wire import INCARNATION

CALL_SECONDS = 0.4  # two calls fit the part of a lease that is left for delivery
MAX_ANSWER_BYTES = 262_144  # of a report, which lists all runs
ACCEPTED = (200, 202)

_log = logging.getLogger(__name__)


class _Report(msgspec.Struct):
    """State of an engine; `sequence` counts the orders that it has accepted."""

    sequence: int
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
    """Order an engine to work on a stage; return whether it accepted.

    The order names the count of orders before it, so that it cannot take effect
    late, after another one.

    Raises
    ------
    LeaseLostError
        This host does not hold the duty.
    """
    try:
        with anyio.fail_after(CALL_SECONDS):
            report = await _call(connections, engine, "GET", b"/report", b"")
            state = _report_decoder.decode(report[1])
            if state.busy:
                return False
        right = current_grant(duty)
        order = {
            "op": "stage",
            "stage": stage.value,
            "holder": host,
            "fence": right.fencing,
            "expected": state.sequence,
        }
        with anyio.fail_after(CALL_SECONDS):
            status, _ = await _call(
                connections, engine, "POST", b"/order", msgspec.json.encode(order)
            )
        return status in ACCEPTED
    except (NotSentError, IncompleteResponseError, TimeoutError, msgspec.DecodeError) as error:
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
        (INCARNATION, engine.endpoint_id.encode()),
    ]
    if body:
        headers.append((b"Content-Type", b"application/json"))
    async with connections.exchange(
        method, target, headers, body, matches=lambda found: True, must_not_repeat=True
    ) as answer:
        return answer.status, await answer.read(max_bytes=MAX_ANSWER_BYTES)
