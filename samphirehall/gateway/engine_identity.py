"""Whether an engine is still the process that the endpoint list names.

An engine may start again under its id with another software version before the list says so. It
is asked before a stream goes on there.
"""

import logging

import anyio

from samphirehall.core.log import log_decision
from samphirehall.gateway.connections import IncompleteResponseError, NotSentError
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.fleet import EndpointState

REPORT_TIMEOUT_SECONDS = 0.3  # an answer takes one round trip; an engine may be silent for a second
MAX_REPORT_BYTES = 262_144  # a report lists every running request
MAX_STORE_AGE_SECONDS = 3.0  # for an engine that does not say when it started

_log = logging.getLogger(__name__)


async def is_listed_process(context: GatewayContext, endpoint: EndpointState) -> bool:
    """Return whether an engine is surely the process that the endpoint list names.

    One that does not say when it started is taken for it while the store answers, as the list
    then tells of a restart within about a second.
    """
    listed = endpoint.listed
    if not listed.started_at_milliseconds:
        return True
    try:
        started_at = await _ask_start(context, endpoint)
    except NotSentError:
        endpoint.record_failure(now=context.clock(), unreachable=True, disconnected=True)
        return False
    except (IncompleteResponseError, ValueError, TimeoutError):
        started_at = None
    if started_at is None:
        is_listed = context.store_age() < MAX_STORE_AGE_SECONDS
    else:
        is_listed = started_at == listed.started_at_milliseconds
    if not is_listed:
        endpoint.may_have_restarted = True
        log_decision(
            _log,
            "engine-uncertain",
            "it may have started again since the list was written",
            endpoint=listed.endpoint_id,
            listed=listed.started_at_milliseconds,
            stated=started_at,
        )
    return is_listed


async def _ask_start(context: GatewayContext, endpoint: EndpointState) -> int | None:
    """Return when an engine says that it started, in milliseconds since 1970.

    Raises
    ------
    NotSentError, IncompleteResponseError, ValueError, TimeoutError
        It cannot be reached, or gives no answer that can be read in time.
    """
    wire_codec = context.wire_codec
    method, target = wire_codec.report_call()
    headers = [(b"Host", endpoint.listed.address.encode())]
    with anyio.fail_after(REPORT_TIMEOUT_SECONDS):
        async with endpoint.connections.exchange(
            method, target, headers, b"", matches=None
        ) as response:
            body = await response.read(max_bytes=MAX_REPORT_BYTES)
    return wire_codec.decode_started_at(body)
