"""Streams that begin at a replica which has just started again with another software version."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Cloud,
    Machine,
    Replica,
    Store,
    choose_ports,
    play,
    wait_until_ready,
)

EVENTS = 30
EVENT_SECONDS = 0.15
STREAMS = 40  # that begin within half a second of the restart
DEADLINE_MS = 8000
DOWN_SECONDS = 1.0  # of the replica
UP_SECONDS = 3.0  # until it goes down again
CONFIGURATION = {
    "version": 10,
    "routes": [
        {
            "name": "reply",
            "host": "h.example",
            "prefix": "/reply/",
            "kind": "streaming",
            "service": "lm",
            "timeout_ms": 8000,
            "latency_goal_ms": 400,
            "target_gap_ms": 150,
            "max_attempts": 2,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "lm",
            "max_conns": 370,
            "health_path": "/health",
            "engine": {
                "slots": 64,
                "kv_tokens": 484150,
                "kv_token_bytes": 163840,
                "link_mbps": 1700000.0,
                "handle_ttl_s": 5.0,
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": ["k1"]}],
}


class Engine(Replica):
    """Writes numbered events; what it writes depends on its software version."""

    async def run(self, method, target, headers, body, writer):
        """Answer one request that reaches the replica."""
        last = int(headers.get("last-event-id", 0))
        self.record(f"{self.name} ({self.version}) runs {headers['x-request-id']} after {last}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join([*head, *self.signed(headers)]).encode() + b"\r\n\r\n")
        version = self.version
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Client:
    """One stream of a client, which takes it up again when its connection breaks."""

    def __init__(self, name, record):
        self.name, self._record = name, record
        self.last, self.origin, self.versions = 0, None, set()
        self.is_whole = False
        self._attempts = 0

    async def attempt(self, address, deadline_ms=DEADLINE_MS):
        """Send the stream once; return the status, 0 without one, and Retry-After."""
        self._attempts += 1
        request_id = f"{self.name}-{self._attempts}"
        lines = [
            "POST /reply/x HTTP/1.1",
            "Host: h.example",
            f"X-Request-Id: {request_id}",
            "X-Key: k1",
            f"X-Deadline-Ms: {deadline_ms}",
            "X-Model: m",
            "X-Token-Counts: 60,80",
            f"X-Prompt-Prefix: {self.name.encode().hex()}:60",
            "Content-Length: 2",
        ]
        if self.last:
            lines += [f"Last-Event-Id: {self.last}", f"Resumes: {self.origin}"]
        self._record(f"client sends {request_id} to {address}, {lines[4]}, after {self.last}")
        ip, _, port = address.rpartition(":")
        writer, status, headers = None, 0, {}
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhi")
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                status = int(head[0].split(" ")[1])
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                if status == 200:
                    await self._read_events(reader, request_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        whole = ", whole" if self.is_whole else ""
        self._record(f"client has {status or 'no answer'} for {request_id}, at {self.last}{whole}")
        return status, float(headers.get("retry-after", 0.2))

    async def _read_events(self, reader, request_id):
        text = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            *events, text = text.split(b"\n\n")
            for event in events:
                number, version = (line.split(b": ")[1].decode() for line in event.split(b"\n"))
                self.last = int(number)
                self.versions.add(version)
                self.origin = self.origin or request_id
        self.is_whole = self.last == EVENTS


async def case(record, folder, machines):
    """Play the case; return the exit status."""
    store, cloud = Store(record), Cloud(record)
    await store.start()
    await cloud.start()
    engines = [
        Engine(
            f"lm-{number}",
            "lm",
            record,
            zone="ab"[number % 2],
            slots=64,
            stage="decode",
            version="1.0" if number < 3 else "2.0",
        )
        for number in range(5)
    ]
    for engine in engines:
        await engine.start()
        store.put("servers", engine.name, engine.entry())
    store.put("op", "config", CONFIGURATION)
    ips = [f"127.0.0.{number + 10}" for number in (1, 2, 3)]
    ports = choose_ports(ips)
    for number, zone in ((1, "a"), (2, "a"), (3, "b")):
        machines.append(Machine(number, zone, folder, record, store, cloud, ports))
        machines[-1].start()
    await wait_until_ready(machines)
    await asyncio.sleep(5.0)
    renewed = engines[0]

    async def start():
        """Start again with the newer software, and write the entry at once."""
        renewed.version, renewed.born = "2.0", int(time.time() * 1000)
        await renewed.start()
        store.put("servers", renewed.name, renewed.entry())
        record(f"{renewed.name} is back with version {renewed.version}, and its entry says so")

    async def flap():
        """Go down, come back under the same id with another software version, go down again."""
        record(f"{renewed.name} goes down")
        renewed.stop()
        await asyncio.sleep(DOWN_SECONDS)
        await start()
        await asyncio.sleep(UP_SECONDS)
        record(f"{renewed.name} goes down")
        renewed.stop()
        await asyncio.sleep(DOWN_SECONDS)
        await start()

    async def stream(number):
        """Send one stream; take it up again if its connection breaks."""
        client = Client(f"c{number}", record)
        await asyncio.sleep(0.5 * number / STREAMS)
        for attempt in range(3):
            status, pause = await client.attempt(machines[(number + attempt) % 3].front)
            if client.is_whole or status not in (0, 200, 503):
                break
            await asyncio.sleep(min(pause, 1.0))
        return client

    flapping = asyncio.create_task(flap()) if TROUBLE else None
    await asyncio.sleep(DOWN_SECONDS + 0.05)
    clients = await asyncio.gather(*(stream(number) for number in range(STREAMS)))
    if flapping is not None:
        await flapping
    begun = sum(client.last > 0 for client in clients)
    mixed = sum(len(client.versions) > 1 for client in clients)
    whole = sum(client.is_whole for client in clients)
    record.result(f"streams: {len(clients)}, begun: {begun}, whole: {whole}")
    record.result(f"with events of two software versions: {mixed}")
    if not begun:
        raise CaseError("no stream began")
    record.result("ORDER broken" if mixed > 2 else "ORDER held")
    return BROKEN if mixed > 2 else HELD


if __name__ == "__main__":
    play(case, FOLDER)
