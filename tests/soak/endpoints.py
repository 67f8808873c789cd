"""Endpoints of a soak run, which fail as a plan says and record what reaches them."""

import asyncio
import contextlib
import functools
import random
import re
from dataclasses import dataclass, field

from tests.soak.records import Records, Run
from tests.support.ports import free_address

TOKENS = 5
NORMAL_SECONDS = 0.01
SLOW_SECONDS = 0.3
MUTE_SECONDS = 1.3  # a sound endpoint may fall silent for a second or so
FAULT_SHARE = 0.5  # of requests, while a fault lasts
VERSIONS = ("1.0", "2.0")
ENTRY_DELAY_SECONDS = 0.7  # at most, from the start of an engine until the store has its entry

_VERSION = re.compile(rb"data: (\d\.\d) ")


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of an answer; numbers begin at 1."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def versioned(event: bytes, version: str) -> bytes:
    """Return an event that names the software version of its engine."""
    return event.replace(b"data: ", f"data: {version} ".encode())


def split_versions(answer: bytes) -> tuple[bytes, set[str]]:
    """Return an answer without the versions that its events name, and these versions."""
    versions = set(_VERSION.findall(answer))
    return _VERSION.sub(b"data: ", answer), {version.decode() for version in versions}


def plain_body(request_id: str, body: bytes) -> bytes:
    """Return the body of an answer that is no stream."""
    return f"{request_id} {len(body)}".encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers with names in lower case, and body of a message.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError, ValueError
        It ends early, or is no message.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    if headers.get("transfer-encoding") == "chunked":
        return first, headers, await _read_chunks(reader)
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


@dataclass(slots=True)
class Endpoint:
    """One endpoint; `fault` names what it does to half of the requests."""

    name: str
    service: str
    records: Records
    chance: random.Random
    stage: str | None = None
    fault: str = ""
    address: str = field(default_factory=free_address)
    version: str = VERSIONS[0]
    born: int = 1
    _running: list[Run] = field(default_factory=list)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _lives: int = 0

    def entry(self) -> dict[str, object]:
        """Return its entry in the endpoint list."""
        fields = {"service": self.service, "address": self.address, "zone": "a", "slots": 64}
        fields |= {"state": "ready", "born": self.born, "version": self.version}
        return fields | ({"stage": self.stage} if self.stage else {})

    @contextlib.asynccontextmanager
    async def serving(self):
        """Serve until the context ends."""
        await self._listen()
        try:
            yield self
        finally:
            self._server.close()

    async def _listen(self):
        host, _, port = self.address.rpartition(":")
        serve = functools.partial(self._serve, self._lives)
        self._server = await asyncio.start_server(serve, host, int(port))

    async def renew(self, seconds: float) -> None:
        """End, and start again after a while with another software version; hold no state."""
        self._server.close()
        self._lives += 1
        for run in self._running:
            run.is_broken = True
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.version, self.born = self.chance.choice(VERSIONS), self.born + 1
        await self._listen()

    async def _serve(self, life, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                first, headers, body = await read_message(reader)
                if life != self._lives:  # it was being accepted when the engine ended
                    writer.transport.abort()
                    break
                await self._answer(*first.split(" ")[:2], headers, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, headers, body, writer):
        if target == "/report":
            writer.write(_response(200, b'{"born":%d,"stage":"decode"}' % self.born))
        elif target.startswith(("/health", "/order", "/kv-")):
            writer.write(_response(200))
        else:
            run = Run(headers["x-request-id"], self.name, body, headers.get("x-tenant", ""))
            self.records.runs.append(run)
            self._running.append(run)
            try:
                await self._run(run, headers, writer)
            finally:
                self._running.remove(run)

    async def _run(self, run, headers, writer):
        fault = self.fault if self.chance.random() < FAULT_SHARE else ""
        extra = ["Connection: close"] if fault == "closing" else []
        if fault == "busy":
            run.is_run = False
            writer.write(_response(503, b"", ["X-Not-Executed: 1"], run.request_id))
            return
        await asyncio.sleep(SLOW_SECONDS if fault == "slow" else NORMAL_SECONDS)
        if self.stage is None:
            await self._run_plain(run, fault, extra, writer)
        else:
            await self._run_stream(run, fault, extra, int(headers.get("last-event-id", 0)), writer)
        if extra:
            writer.close()

    async def _run_plain(self, run, fault, extra, writer):
        if fault == "reset":
            run.is_broken = True
            writer.transport.abort()
            return
        await asyncio.sleep(MUTE_SECONDS if fault == "mute" else 0)
        writer.write(_response(200, plain_body(run.request_id, run.body), extra, run.request_id))

    async def _run_stream(self, run, fault, extra, last, writer):
        version = self.version
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *_signed(run.request_id), *extra]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(last + 1, TOKENS + 1):
            if number == TOKENS - 1 and fault == "reset":
                await writer.drain()
                run.is_broken = True
                writer.transport.abort()
                return
            await asyncio.sleep(MUTE_SECONDS if number == 3 and fault == "mute" else NORMAL_SECONDS)
            event = versioned(stream_event(run.request_id, number), version)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def _signed(request_id):
    return [f"X-Request-Id: {request_id}", "X-Response-Stamp: s"]


def _response(status, body=b"", extra=(), request_id=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra]
    if request_id is not None:
        lines += _signed(request_id)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
