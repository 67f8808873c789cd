"""Whether an engine is still the process that the endpoint list names.

An engine may start again under its id with another software version before the list says so.
Each new connection therefore asks it when it started, before a request is sent on it.
"""

import logging

from samphirehall.core.log import log_decision
from samphirehall.gateway.connections import (
    NotSentError,
    ProcessCheck,
    UnknownProcessError,
    WrongProcessError,
)
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.fleet import EndpointState

REPORT_TIMEOUT_SECONDS = 0.3  # an answer takes one round trip; an engine may be silent for a second
MAX_REPORT_BYTES = 262_144  # a report lists every running request
MAX_STORE_AGE_SECONDS = 3.0  # for an engine that does not say when it started

_log = logging.getLogger(__name__)


def process_check(context: GatewayContext, endpoint: EndpointState) -> ProcessCheck | None:
    """Return the check of new connections to an engine; None if its listed start is unknown.

    An engine that does not say when it started is taken for the listed one while the store
    answers, as the list then tells of a restart within about a second.
    """
    listed = endpoint.listed
    if not listed.started_at_milliseconds:
        return None

    def accepts(body: bytes | None) -> bool:
        context.limits.take(listed, now=context.clock())
        started_at = _stated_start(context, body)
        if started_at is None:
            is_listed = context.store_age() < MAX_STORE_AGE_SECONDS
        else:
            is_listed = started_at == listed.started_at_milliseconds
        if not is_listed:
            endpoint.may_have_restarted = True
            if body is None:
                endpoint.record_failure(now=context.clock())
            log_decision(
                _log,
                "engine-uncertain",
                "it may have started again since the list was written",
                endpoint=listed.endpoint_id,
                listed=listed.started_at_milliseconds,
                stated=started_at,
            )
        return is_listed

    method, target = context.wire_codec.report_call()
    headers = [(b"Host", listed.address.encode())]
    return ProcessCheck(method, target, headers, REPORT_TIMEOUT_SECONDS, MAX_REPORT_BYTES, accepts)


async def is_listed_process(context: GatewayContext, endpoint: EndpointState) -> bool:
    """Return whether an engine can be connected to and is the process that the list names."""
    check = process_check(context, endpoint)
    if check is None:
        return True
    try:
        await endpoint.connections.confirm(check)
    except (WrongProcessError, UnknownProcessError):
        return False
    except NotSentError:
        endpoint.record_failure(now=context.clock(), unreachable=True, disconnected=True)
        return False
    return True


def _stated_start(context: GatewayContext, body: bytes | None) -> int | None:
    """Return when an engine says that it started, in milliseconds since 1970, or None."""
    if body is None:
        return None
    try:
        return context.wire_codec.decode_started_at(body)
    except ValueError:
        return None
