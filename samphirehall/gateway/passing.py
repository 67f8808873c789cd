"""Passes requests on to another host while this one reaches no endpoint.

The other host serves such a request like one of its own clients: it authenticates,
admits and counts it, chooses the endpoints and sends again where that is safe. This
host only checks route and key, and relays. A request is passed on once, to a port
on which only hosts ask, and a host that reaches no endpoint itself refuses it there.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping

import anyio

from samphirehall.core.decoding import parse_unsigned
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import (
    NO_CONFIGURATION,
    NO_PATH,
    OK,
    OUTCOME_UNKNOWN,
    SHUTTING_DOWN,
    STREAM_CUT,
    Result,
)
from samphirehall.forwarding.answers import RESULT_HEADER
from samphirehall.gateway.connections import (
    EndpointConnections,
    IncompleteResponseError,
    NotSentError,
    Response,
)
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.plain import MAX_ANSWER_BYTES, answer_headers
from samphirehall.gateway.request_state import Caller, RequestState, SendOutcome
from samphirehall.routing.other_hosts import OtherHost, OtherHosts

PASSED_PURPOSE = "passed"  # purpose of a send to another host
LIST_INTERVAL_SECONDS = 5.0  # between two readings of the hosts, while the paths are lost
RETRY_AFTER_SECONDS = 0.3  # hosts in backoff are tried again soon
# Results of a host that does not take a request, so that another may.
_NOT_TAKEN = frozenset(str(result.code).encode() for result in (NO_PATH, SHUTTING_DOWN))
_NOT_TAKEN |= {str(NO_CONFIGURATION.code).encode()}

_log = logging.getLogger(__name__)


class RequestPassing:
    """Sends client requests to other hosts and relays their answers.

    Parameters
    ----------
    context : GatewayContext
        Paths, wire format and clock of this host.
    read_hosts : callable
        Returns the hosts of all zones by name.
    port : int
        Port on which all hosts take such requests.
    """

    def __init__(
        self,
        context: GatewayContext,
        read_hosts: Callable[[], Awaitable[Mapping[str, OtherHost]]],
        port: int,
    ) -> None:
        self._context = context
        self._read_hosts = read_hosts
        self._port = port
        self._hosts = OtherHosts(context.host, context.zone, context.random_source)

    async def run(self) -> None:
        """Keep the list of other hosts while the paths to endpoints are lost."""
        paths = self._context.paths
        while True:
            await paths.lost_event.wait()
            self._hosts.update(await self._read_hosts())
            await anyio.sleep(LIST_INTERVAL_SECONDS)

    async def pass_on(
        self, context: GatewayContext, request_state: RequestState, caller: Caller
    ) -> Result:
        """Pass a request on to one host after another until one takes it; return the result.

        Raises
        ------
        SamphireError
            No host took it, or the answer broke off. Once a host may have taken the request, it
            is sent to no other one.
        """
        for host in self._hosts.choose(now=context.clock()):
            name = f"host:{host.name}"
            outcome = SendOutcome.CUT
            request_state.tried_endpoints.add(name)
            try:
                outcome = await self._send(request_state, host, caller)
            except NotSentError:
                outcome = SendOutcome.NOT_SENT
            except IncompleteResponseError as error:
                outcome = SendOutcome.BROKEN
                result = STREAM_CUT if caller.started else OUTCOME_UNKNOWN
                raise SamphireError(result, f"no complete answer of host {host.name}") from error
            finally:
                request_state.record_send(name, PASSED_PURPOSE, outcome)
                if outcome is not SendOutcome.ANSWERED and not caller.started:
                    self._hosts.record_refusal(host, now=context.clock())
            if outcome is SendOutcome.ANSWERED:
                return OK
            request_state.tried_endpoints.discard(name)
        raise no_path_error("no other host took the request")

    async def _send(
        self, request_state: RequestState, host: OtherHost, caller: Caller
    ) -> SendOutcome:
        context, request = self._context, request_state.request
        remaining = request_state.remaining_time(now=context.clock())
        connections = EndpointConnections(f"{host.ip}:{self._port}")
        async with connections.exchange(
            request.method,
            request.target,
            context.wire_codec.passed_headers(request, remaining),
            request.body,
            matches=None,
        ) as response:
            if response.header(RESULT_HEADER) in _NOT_TAKEN:
                return SendOutcome.NOT_RUN
            request_state.extra_log_fields["status"] = response.status
            await _relay(response, caller)
        return SendOutcome.ANSWERED


async def _relay(response: Response, caller: Caller) -> None:
    """Relay an answer: a short one of known length as a whole, any other as it arrives."""
    headers = answer_headers(response.status, response.headers)
    length = parse_unsigned(response.header(b"content-length") or b"")
    if length is not None and length <= MAX_ANSWER_BYTES:
        body = await response.read(max_bytes=MAX_ANSWER_BYTES)
        await caller.start(response.status, headers)
        if body:
            await caller.write(body)
    else:
        await caller.start(response.status, headers)
        async for data in response.chunks():
            await caller.write(data)
    await caller.finish()


def no_path_error(detail: str) -> SamphireError:
    """Return the refusal of a request for which there is no path to any endpoint."""
    return SamphireError(NO_PATH, detail, retry_after=RETRY_AFTER_SECONDS)
