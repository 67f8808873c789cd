"""Scripted endpoints on loopback, and factories of gateway objects for tests."""

import asyncio
import contextlib
import random

import h11

from samphirehall.core.clock import boot_seconds
from samphirehall.gateway.context import GatewayContext, RepeatLimits
from samphirehall.gateway.types import (
    CallerLimits,
    Customer,
    EngineLimits,
    GatewayConfiguration,
    ListedEndpoint,
    Prompt,
    PromptPart,
    Request,
    RequestKind,
    Route,
    ScalingLimits,
    Service,
    ServiceShare,
    Stage,
)
from samphirehall.platform import wire

ENGINE = EngineLimits(64, 400_000, 163_840.0, 1.7e12, 5.0)
SCALING = ScalingLimits(1, 3, 4.0, 0.18, {"a": 1.0, "b": 0.8, "c": 1.2})
DESK = Service("desk", "/health", 100)
MODEL = Service("model", "/health", 300, ENGINE, SCALING)
TO_DESK, TO_MODEL = (ServiceShare("desk", 1),), (ServiceShare("model", 1),)
ONCE, STREAM, IDEMPOTENT = RequestKind.ONCE, RequestKind.STREAM, RequestKind.IDEMPOTENT
ROUTES = (
    Route("read", "h.example", "/read/", IDEMPOTENT, TO_DESK, 1.0, 0.1, 2, 2),
    Route("book", "h.example", "/book/", ONCE, TO_DESK, 1.0, 0.1, 2, 1),
    Route("chat", "h.example", "/chat/", STREAM, TO_MODEL, 4.0, 0.5, 1, 2, False, True, 0.15),
    Route("once", "h.example", "/once/", STREAM, TO_MODEL, 4.0, 0.5, 1, 1, False, False, 0.15),
    Route("open", "h.example", "/open/", IDEMPOTENT, TO_DESK, 1.0, 0.1, public=True),
)


def configuration(version=1, *, routes=ROUTES, customers=None, limits=None):
    """Return a configuration with one customer, whose key is ``key-1``."""
    if customers is None:
        customers = {"key-1": Customer("acme")}
    services = {"desk": DESK, "model": MODEL}
    return GatewayConfiguration(version, routes, services, customers, limits or CallerLimits())


def prompt(tokens=1000, *, shared=0, unshared="own", common="common"):
    """Return a prompt with an optional shared part before the unshared one."""
    parts = [PromptPart(common, shared)] if shared else []
    parts.append(PromptPart(unshared, tokens - shared))
    return Prompt("m", tuple(parts), tokens, 20)


def request(
    path="/read/x",
    *,
    request_id="r1",
    key="key-1",
    body=b"",
    prompt=None,
    method=None,
    now=None,
):
    """Return a request that was received at `now`, by default just now on the boot clock."""
    headers = [(b"host", b"h.example"), (b"x-request-id", request_id.encode())]
    http_method = method or ("POST" if body or prompt else "GET")
    return Request(
        request_id,
        http_method,
        "h.example",
        path.encode(),
        headers,
        body,
        key,
        prompt,
        None,
        None,
        boot_seconds() if now is None else now,
    )


def listed(endpoint_id, address="127.0.0.1:1", *, service="desk", zone="a", **fields):
    """Return a listed endpoint that accepts work."""
    return ListedEndpoint(endpoint_id, service, address, zone, 6, True, **fields)


def engine(endpoint_id, stage=Stage.DECODE, *, zone="a", cheap=True, address="127.0.0.1:1"):
    """Return a listed engine that accepts work."""
    return listed(endpoint_id, address, service="model", zone=zone, stage=stage, cheap=cheap)


def context(**fields):
    """Return the context of a single host, and the list of customers whose requests started."""
    started = []
    created = GatewayContext(
        "host-a",
        "a",
        wire.WIRE_CODEC,
        RepeatLimits(0.2, 20.0, 10.0),
        live_hosts=lambda: 1,
        record_start=started.append,
        clock=boot_seconds,
        random_source=random.Random(1),
        **fields,
    )
    return created, started


class RecordingCaller:
    """A caller that records the response."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.complete = False

    @property
    def started(self):
        return self.status is not None

    async def start(self, status, headers):
        self.status, self.headers = status, headers

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.complete = True


def response_bytes(received, body=b"ok", *, status=200, length=None, extra=()):
    """Return a whole signed response to a received request, with its id echoed."""
    head = [
        f"HTTP/1.1 {status} X",
        f"Content-Length: {len(body) if length is None else length}",
        f"X-Request-Id: {received.get('x-request-id', '')}",
        "X-Response-Stamp: s",
        *extra,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class ScriptedEndpoint:
    """Address and received requests of a scripted endpoint."""

    def __init__(self):
        self.address = ""
        self.received = []
        self.connections = 0
        self.aborted_requests = 0
        self.refuse = lambda: None


@contextlib.asynccontextmanager
async def scripted_endpoint(script, *, ip="127.0.0.1", port=0):
    """Serve requests by `script`, an async function of one request and the stream writer.

    A received request is a dict of lower-case headers with ``:method``, ``:target`` and ``:body``.
    The script closes the writer to close the connection.
    """
    endpoint = ScriptedEndpoint()
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        endpoint.connections += 1
        parser = h11.Connection(h11.SERVER)
        try:
            while not writer.is_closing():
                received = await _receive_request(parser, reader)
                if received is None:
                    return
                endpoint.received.append(received)
                script_task = asyncio.ensure_future(script(received, writer))
                disconnected = asyncio.ensure_future(_wait_for_disconnect(reader))
                done, _ = await asyncio.wait(
                    {script_task, disconnected}, return_when=asyncio.FIRST_COMPLETED
                )
                if script_task not in done:
                    endpoint.aborted_requests += 1
                    script_task.cancel()
                    return
                disconnected.cancel()
                await asyncio.wait({disconnected})
                script_task.result()
                parser = h11.Connection(h11.SERVER)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, ip, port)
    host, port = server.sockets[0].getsockname()
    endpoint.address = f"{host}:{port}"
    endpoint.refuse = server.close
    try:
        yield endpoint
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_disconnect(reader):
    """Wait until the client closes or resets the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


async def _receive_request(parser, reader):
    request, body = None, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65_536)
            if not data:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            request = {name.decode(): value.decode() for name, value in event.headers}
            request |= {":method": event.method.decode(), ":target": event.target.decode()}
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            request[":body"] = body
            return request
        else:
            return None
