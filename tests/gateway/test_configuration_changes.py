"""Requests that are under way while the configuration changes: each one gets an answer."""

import asyncio
from dataclasses import replace

import anyio
import pytest

from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.types import CallerLimits, Customer
from tests.gateway.helpers import (
    ROUTES,
    configuration,
    context,
    listed,
    response_bytes,
    scripted_endpoint,
)
from tests.gateway.test_ingress import Ingress, read_all

pytestmark = pytest.mark.anyio

BODY = b"x" * 2000
HEAD = (
    b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(BODY)
)
MOVED_ROUTES = tuple(replace(route, shares=()) for route in ROUTES)
HURRIED_ROUTES = tuple(replace(route, timeout=0.3) for route in ROUTES)

CHANGES = {
    "body limit lowered": {"limits": CallerLimits(max_body_bytes=1000)},
    "head limit lowered": {"limits": CallerLimits(max_head_bytes=10, head_timeout=0.05)},
    "idle timeout lowered": {"limits": CallerLimits(idle_timeout=0.05)},
    "key withdrawn": {"customers": {"key-2": Customer("acme")}},
    "route withdrawn": {"routes": ROUTES[:1]},
    "route moved away": {"routes": MOVED_ROUTES},
    "time limit lowered": {"routes": HURRIED_ROUTES},
}


async def answer_slowly(received, writer):
    await asyncio.sleep(0.15)
    writer.write(response_bytes(received))


class Host:
    """A host with one endpoint, and the connection of a client to it."""

    def __init__(self, endpoint):
        gateway_context, _ = context()
        gateway_context.fleet.update(listed("d1", endpoint.address), None)
        self._gateway = Gateway(gateway_context)
        self._gateway.apply_configuration(configuration(1), source="test")
        self.ingress = Ingress(self._gateway.serve)

    def change(self, name):
        fields = CHANGES[name]
        self._gateway.apply_configuration(configuration(2, **fields), source="test")
        self.ingress.limits = self._gateway.limits


async def send_around_change(name, *pieces):
    """Send pieces of a request with a change of the configuration before the last one."""
    async with scripted_endpoint(answer_slowly) as endpoint:
        host = Host(endpoint)
        async with host.ingress.serving, await host.ingress.connect() as stream:
            for piece in pieces[:-1]:
                await stream.send(piece)
                await anyio.sleep(0.03)
            host.change(name)
            await anyio.sleep(0.1)
            if pieces[-1]:
                await stream.send(pieces[-1])
            return await read_all(stream), endpoint.received


def is_whole(received):
    """Return whether bytes are one whole answer with a stated length."""
    head, separator, body = received.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return bool(separator) and len(lengths) == 1 and len(body) == int(lengths[0].split(b":")[1])


# Guards against LOST: a whole request with neither an answer nor a refusal beside a change.
@pytest.mark.parametrize("name", CHANGES)
class TestAnswers:
    async def test_change_inside_a_body(self, name):
        received, _ = await send_around_change(name, HEAD + BODY[:500], BODY[500:])
        assert is_whole(received)

    async def test_change_inside_a_head(self, name):
        received, _ = await send_around_change(name, HEAD[:40], HEAD[40:] + BODY)
        assert is_whole(received)

    async def test_change_before_the_first_byte(self, name):
        received, _ = await send_around_change(name, b"", HEAD + BODY)
        assert is_whole(received)

    async def test_change_while_a_request_waits_behind_another(self, name):
        first = HEAD.replace(b"Connection: close\r\n", b"") + BODY
        second = HEAD.replace(b"r1", b"r2") + BODY
        received, _ = await send_around_change(name, first + second, b"")
        assert received.startswith(b"HTTP/1.1 200") and received.count(b"HTTP/1.1 ") == 2
        assert is_whole(received[received.rindex(b"HTTP/1.1 ") :])

    async def test_request_that_was_sent_on_keeps_its_configuration(self, name):
        received, sent_on = await send_around_change(name, HEAD + BODY, b"")
        assert received.startswith(b"HTTP/1.1 200") and is_whole(received)
        assert len(sent_on) == 1
