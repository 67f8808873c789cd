"""A loopback endpoint whose complete, partial, invalid or missing responses a script writes."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from tests.support.ports import free_address

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class Exchange:
    """Holds one request as the endpoint received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id") or self.path.rpartition("/")[2]


@dataclass(slots=True)
class ScriptedEndpoint:
    """Serves every request with `script`, an async function.

    `script` gets the exchange and the stream writer, and may write any bytes, also none.
    """

    script: Callable
    address: str = field(default_factory=free_address)
    exchanges: list[Exchange] = field(default_factory=list)
    connections: list[asyncio.StreamWriter] = field(default_factory=list)
    server: asyncio.Server | None = None

    @property
    def calls(self) -> Counter[str]:
        return Counter(exchange.method for exchange in self.exchanges)

    def die(self) -> None:
        """Stop listening and abort the open connections."""
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["ScriptedEndpoint"]:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        try:
            yield self
        finally:
            self.die()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_line, *lines = head.strip().split("\r\n")
                method, path, _ = request_line.split(" ")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                exchange = Exchange(method, path, headers, body)
                self.exchanges.append(exchange)
                await self.script(exchange, writer)
                await writer.drain()


def event(request_id: str, index: int, token: str = " w") -> bytes:
    data = f'{{"choices":[{{"index":0,"delta":{{"content":"{token}{index}"}}}}]}}'
    return f"id: {request_id}:{index}\ndata: {data}\n\n".encode()


def last_event(request_id: str, index: int) -> bytes:
    return f"id: {request_id}:{index}\ndata: [DONE]\n\n".encode()


def chunk(content: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(content), content)


def stream_chunks(request_id: str, start: int, tokens: int) -> bytes:
    """Return the chunks of the events from `start` to the end marker."""
    events = [event(request_id, index) for index in range(start, tokens)]
    return b"".join(map(chunk, [*events, last_event(request_id, tokens)])) + b"0\r\n\r\n"


def refusal(status: int, *, request_id: str | None = None) -> bytes:
    """Return a refusal, which names the request to which it belongs as engines do."""
    named = b"" if request_id is None else b"X-Request-Id: %s\r\n" % request_id.encode()
    return b"HTTP/1.1 %d Refused\r\n%sContent-Length: 0\r\n\r\n" % (status, named)
