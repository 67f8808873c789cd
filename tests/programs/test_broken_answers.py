"""``samphire-node`` as a process, with endpoints whose answers break off or are no answers.

Guards against MIXED: a part of an answer, or an answer with no valid status, that looks whole.
"""

import asyncio
import contextlib
import socket
import struct

import anyio
import httpcore
import pytest

from tests.programs.test_node import PROMPT, running_system, served

pytestmark = pytest.mark.anyio

UPLOAD_BYTES = 6 * 2**20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawEndpoint:
    """Endpoint that answers by `answer`, a function of the request's head and the streams."""

    def __init__(self):
        self.address, self.answer, self.calls = "", None, 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            await self.answer(head, reader, writer)
        writer.close()


def request_id(head):
    return next(
        line.partition(b": ")[2]
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"x-request-id")
    )


def early_part(part, *, seconds, read_bytes):
    """Answer with a part of a body without a length, and reset while the upload is written."""

    async def answer(head, reader, writer):
        stamp = b"X-Request-Id: " + request_id(head) + b"\r\nX-Response-Stamp: s\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + stamp + b"\r\n" + part)
        if read_bytes:
            await reader.readexactly(read_bytes)
        await asyncio.sleep(seconds)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    return answer


def status_line(status, framing):
    async def answer(head, reader, writer):
        stamp = b"X-Request-Id: " + request_id(head) + b"\r\nX-Response-Stamp: s\r\n"
        writer.write(b"HTTP/1.1 " + status + b" X\r\n" + stamp + framing + b"\r\nok")
        await writer.drain()

    return answer


async def send(system, path, *, headers=(), body=b""):
    """Return status and body of an answer, or None if it does not look complete."""
    sent = [
        (b"Host", b"h.example"),
        (b"X-Request-Id", b"r1"),
        (b"X-Key", b"k1"),
        (b"X-Deadline-Ms", b"1500"),
        *headers,
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            answer = await pool.request(
                "POST", f"http://{system.clients}{path}", headers=sent, content=body
            )
        except (httpcore.RemoteProtocolError, httpcore.NetworkError):
            return None
    return answer.status, answer.content


@contextlib.asynccontextmanager
async def system_with_raw_endpoint(tmp_path):
    """Run a host whose only endpoint of both services is a raw one."""
    endpoint = RawEndpoint()
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    endpoint.address = "{}:{}".format(*server.sockets[0].getsockname())
    async with server, running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        system.list_endpoint("t1", "t", endpoint, born=2)
        system.list_endpoint("s1", "s", endpoint, born=2, stage="decode")
        await anyio.sleep(1.5)
        yield system, endpoint


async def check_failures(system, endpoint, answers, *, body=b""):
    """Check that no answer of the endpoint reaches a client as a success that looks whole."""
    for case, answer in answers.items():
        endpoint.answer = answer
        for path, headers in (("/book/x", ()), ("/read/x", ()), ("/chat/x", PROMPT)):
            calls = endpoint.calls
            received = await send(system, path, headers=headers, body=body)
            assert received is None or 500 <= received[0] < 600, (case, path, received)
            assert endpoint.calls > calls, (case, path, received)


class TestBrokenAnswers:
    async def test_part_that_is_reset_during_an_upload_is_no_whole_answer(self, tmp_path):
        answers = {
            (part, seconds, read_bytes): early_part(part, seconds=seconds, read_bytes=read_bytes)
            for part in (b"part", b"id: 1\ndata: x\n\n")
            for seconds in (0.0, 0.05, 0.3)
            for read_bytes in (0, 100_000)
        }
        async with system_with_raw_endpoint(tmp_path) as (system, endpoint):
            await check_failures(system, endpoint, answers, body=b"b" * UPLOAD_BYTES)

    async def test_answer_without_a_valid_status_is_no_answer(self, tmp_path):
        answers = {
            (status, framing): status_line(status, framing)
            for status in (b"000", b"099", b"600", b"999", b"20")
            for framing in (b"", b"Content-Length: 2\r\n")
        }
        async with system_with_raw_endpoint(tmp_path) as (system, endpoint):
            await check_failures(system, endpoint, answers)
