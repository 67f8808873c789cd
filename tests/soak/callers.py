"""Callers of a soak run: they use an open connection until it closes, however its host fares."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from tests.soak.endpoints import (
    TOKENS,
    plain_body,
    read_message,
    split_versions,
    stream_event,
)
from tests.soak.records import Records, Sent

TIMEOUT_SECONDS = 3.0
PATIENCE_SECONDS = TIMEOUT_SECONDS + 1.5  # after which a caller takes an answer for missing
MAX_BODY_BYTES = 3000
REUSE_SHARE = 0.8  # of the idle timeout, for which an idle connection is used again
LONG_PAUSE_SHARE = 0.1  # of pauses
KINDS = ("read", "read", "book", "book", "chat", "chat")
PROMPT = "X-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Prefix: 5c:800,e4:660\r\n"


class Caller:
    """Sends one request after another.

    Parameters
    ----------
    name : str
        Beginning of its request ids.
    records : Records
        What was sent and seen.
    chance : Random
        Source of its choices.
    choose_host : callable
        Returns number and address of a host that takes new connections.
    idle_timeout : callable
        Returns the idle timeout in force, in seconds.
    """

    def __init__(
        self,
        name: str,
        records: Records,
        chance: random.Random,
        choose_host: Callable[[random.Random], tuple[int, str]],
        idle_timeout: Callable[[], float],
    ) -> None:
        self._name = name
        self._records = records
        self._chance = chance
        self._choose_host = choose_host
        self._idle_timeout = idle_timeout
        self._number = 0

    async def run(self) -> None:
        """Open a connection and use it until it closes, until cancelled."""
        while True:
            host, address = self._choose_host(self._chance)
            ip, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(ip, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            with contextlib.closing(writer):
                while await self._exchange(host, reader, writer) and await self._pause():
                    pass

    async def _pause(self) -> bool:
        """Wait before the next request; return whether the connection may be used again."""
        longest = 0.1
        if self._chance.random() < LONG_PAUSE_SHARE:
            longest = REUSE_SHARE * self._idle_timeout()
        pause = self._chance.uniform(0.0, longest)
        await asyncio.sleep(pause)
        return pause <= REUSE_SHARE * self._idle_timeout()

    async def _exchange(self, host, reader, writer) -> bool:
        """Send one request; return whether the connection stays open after its answer."""
        kind = self._chance.choice(KINDS)
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        body = b"" if kind == "read" else self._chance.randbytes(self._body_length())
        self._records.bodies[request_id] = body
        try:
            await self._send(writer, kind, request_id, body)
        except ConnectionError:
            return False  # the connection was closed before the request was sent
        sent = Sent(request_id, kind, host, time.monotonic(), TIMEOUT_SECONDS)
        headers: dict[str, str] = {}
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                first, headers, answer = await read_message(reader)
            sent.status, sent.is_whole = int(first.split(" ")[1]), True
            if kind == "chat" and sent.status == 200:
                answer, sent.versions = split_versions(answer)
            sent.is_right = sent.status != 200 or answer == _right_answer(kind, request_id, body)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        sent.ended_at = time.monotonic()
        self._records.sent.append(sent)
        return sent.is_whole and headers.get("connection", "").lower() != "close"

    def _body_length(self) -> int:
        return self._chance.randint(1, MAX_BODY_BYTES)

    async def _send(self, writer, kind, request_id, body):
        """Send a request, its body in two parts at times."""
        method = "GET" if kind == "read" else "POST"
        head = (
            f"{method} /{kind}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Key: k1\r\nX-Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\n"
            f"{PROMPT if kind == 'chat' else ''}Content-Length: {len(body)}\r\n\r\n"
        )
        cut = self._chance.randint(0, len(body)) if self._chance.random() < 0.3 else len(body)
        writer.write(head.encode() + body[:cut])
        await writer.drain()
        if cut < len(body):
            await asyncio.sleep(self._chance.uniform(0.0, 0.4))
            writer.write(body[cut:])
            await writer.drain()


def _right_answer(kind: str, request_id: str, body: bytes) -> bytes:
    if kind == "chat":
        return b"".join(stream_event(request_id, number) for number in range(1, TOKENS + 1))
    return plain_body(request_id, body)
