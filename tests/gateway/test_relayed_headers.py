"""Answers of endpoints whose headers the server of clients cannot send as they are."""

import pytest

from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.gateway.test_ingress import Ingress, read_all
from tests.gateway.test_plain import gateway_with

pytestmark = pytest.mark.anyio

GET = (
    b"GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n"
    b"Connection: close\r\n\r\n"
)


async def ask(script):
    """Return what a client receives for a request that an endpoint answers by a script."""
    async with scripted_endpoint(script) as endpoint:
        gateway, _ = gateway_with(endpoint.address)
        ingress = Ingress(gateway.serve)
        async with ingress.serving, await ingress.connect() as stream:
            await stream.send(GET)
            return await read_all(stream)


@pytest.mark.parametrize("value", ["a\x01b", "a\x7fb", "\x1f"])
async def test_control_character_in_a_header_loses_no_answer(value):
    async def script(received, writer):
        writer.write(response_bytes(received, extra=[f"X-Other: {value}"]))

    received = await ask(script)
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ok")


@pytest.mark.parametrize("status", [204, 304])
async def test_length_of_an_answer_that_has_no_body_closes_no_connection(status, caplog):
    async def script(received, writer):
        writer.write(response_bytes(received, b"", status=status, length=17))

    received = await ask(script)
    assert received.startswith(b"HTTP/1.1 %d" % status) and received.endswith(b"\r\n\r\n")
    assert not [record for record in caplog.records if record.message == "request-crashed"]


@pytest.mark.parametrize("length", [1, 9])
async def test_length_beside_chunks_loses_no_answer(length):
    async def script(received, writer):
        head = response_bytes(received, b"", length=length, extra=["Transfer-Encoding: chunked"])
        writer.write(head + b"4\r\nokok\r\n0\r\n\r\n")

    received = await ask(script)
    assert received.startswith(b"HTTP/1.1 200") and b"okok" in received
    assert received.endswith(b"\r\n0\r\n\r\n") and b"content-length" not in received


@pytest.mark.parametrize("status", [600, 999])
async def test_status_that_cannot_be_sent_leaves_no_client_without_an_answer(status):
    async def script(received, writer):
        writer.write(response_bytes(received, status=status))

    received = await ask(script)
    assert received.startswith(b"HTTP/1.1 502") and b"samphire-run: unknown" in received
