"""Stand-ins of clients, replicas and the platform on loopback, and processes of the project.

Only the standard library is used. Every stand-in follows the users' pages; what a test lets
it do beyond a sound one is set by the test.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
RUN = ["python3", "-m", "samphirehall.programs.start_node"]  # as in deploy/system.toml
HEARTBEAT_SECONDS = 1.2
HEAD_LIMIT_BYTES = 1 << 20


def free_port(host="127.0.0.1"):
    """Return a port that is free at present and that no outgoing connection is given."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._start = time.monotonic()

    def __call__(self, *words):
        """Record a line."""
        line = " ".join(str(word) for word in words)
        with self._path.open("a") as file:
            file.write(f"{time.monotonic() - self._start:8.3f} {line}\n")

    def say(self, *words):
        """Record a line and print it."""
        self(*words)
        print(*words, flush=True)


async def read_request(reader):
    """Return method, target, headers and body of a request; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """HTTP/1.1 server on loopback; `handle` answers one request."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.port = host, free_port(host)
        self.writers = set()
        self._server = None

    @property
    def address(self):
        """IP number and port."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=HEAD_LIMIT_BYTES, backlog=1024
        )

    async def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if await self.handle(*request, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows with versions, transactions and a change feed."""

    def __init__(self):
        super().__init__()
        self.rows, self.history, self.version = {}, [], 0
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row as the operator or a replica does; None removes it."""
        self.version += 1
        raw = value if isinstance(value, (bytes, type(None))) else json.dumps(value).encode()
        self._apply((table, "", key), raw)
        self._notify()

    def _apply(self, name, raw):
        if raw is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = raw, self.version
        self.history.append((self.version, name, raw))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _row(name, raw, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if raw is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(raw).decode()}

    def _answer(self, rows, status=200, **fields):
        body = {"rows": rows, "ver": self.version, "now_ms": time.monotonic() * 1000, **fields}
        return response(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer one call."""
        from urllib.parse import parse_qsl, urlsplit

        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/rows-tx":
            writer.write(self._transact(json.loads(body)))
        elif parts.path == "/rows-get":
            writer.write(self._get(query))
        elif parts.path == "/rows-feed":
            writer.write(await self._feed(query))
        else:
            writer.write(response(404))

    def _transact(self, document):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = document.get("expected", [])
        if any(self.rows.get(name(row), (None, 0))[1] != row["ver"] for row in expected):
            names = [name(row) for row in expected if name(row) in self.rows]
            return self._answer([self._row(n, *self.rows[n]) for n in names], 412)
        self.version += 1
        for row in document.get("puts", []):
            self._apply(name(row), base64.b64decode(row["value"]))
        for row in document.get("remove", []):
            self._apply(name(row), None)
        self._notify()
        return self._answer([])

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        names = [
            name
            for name in sorted(self.rows)
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= start
            and (end is None or name[2] < end)
        ]
        limit = min(500, int(query.get("limit", 500)))
        page = [self._row(name, *self.rows[name]) for name in names[:limit]]
        return self._answer(page, has_more=len(names) > limit)

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        if after > self.version:
            return response(410)
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            newest = {n: (raw, v) for v, n, raw in self.history if v > after and n[0] == table}
            left = end - time.monotonic()
            if newest or left <= 0:
                rows = [self._row(n, raw, v) for n, (raw, v) in newest.items()]
                return self._answer(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Duties(Server):
    """The platform's duty calls; all are accepted and recorded."""

    def __init__(self):
        super().__init__()
        self.calls = []

    async def handle(self, method, target, headers, body, reader, writer):
        """Accept a call."""
        self.calls.append((target, headers, json.loads(body or b"null")))
        writer.write(response(200, b"{}"))


class Replica(Server):
    """Sound replica of a service; `serve` runs a request and can be replaced by a test."""

    def __init__(self, name, service, record, *, zone="a", stage=None, slots=64):
        super().__init__()
        self.name, self.service, self.record = name, service, record
        self.zone, self.stage, self.slots = zone, stage, slots
        self.state, self.born = "ready", int(time.time() * 1000)
        self.runs = {}  # request id -> "running", "done" or "dropped"
        self.handles = 0

    def entry(self):
        """Return the entry of the replica in the store."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 0,
            "born": self.born,
        }
        if self.stage:
            fields["stage"] = self.stage
        return fields

    async def beat(self, store):
        """Write the entry periodically."""
        while True:
            store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def signed(self, headers):
        """Return the headers of an answer to a request."""
        return [
            ("X-Request-Id", headers["x-request-id"]),
            ("X-Response-Stamp", f"3e1b.{headers['x-request-id']}"),
            ("X-Instance-Id", self.name),
        ]

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer one request."""
        if target == "/health":
            writer.write(response(200, b"", [("X-Instance-Id", self.name)]))
            return None
        if target == "/report":
            report = {"stage": self.stage, "models": [], "busy": False, "sequence": 0}
            writer.write(response(200, json.dumps(report).encode()))
            return None
        if method == "DELETE" or target == "/order":
            writer.write(response(200))
            return None
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, b"", [("X-Request-Id", headers["x-request-id"])]))
            return None
        if headers.get("x-stage") == "prefill":
            self.handles += 1
            reply = {"kv_handle": f"{self.name}h{self.handles}", "tokens": 1, "version": 1}
            pairs = [("X-Request-Id", headers["x-request-id"])]
            writer.write(response(200, json.dumps(reply).encode(), pairs))
            return None
        return await self.serve(method, target, headers, body, reader, writer)

    async def serve(self, method, target, headers, body, reader, writer):
        """Run a request: answer with the tenant and the length of the body."""
        name = headers["x-request-id"]
        self.runs[name] = "done"
        self.record("run", name, "at", self.name, len(body), "bytes of body")
        text = f"{headers.get('x-tenant')} {len(body)}".encode()
        writer.write(response(200, text, self.signed(headers)))


class Node:
    """One process of the project, started as the deploy file says."""

    def __init__(self, folder, name, host, store, duties, *, zone="a", **changes):
        self.name, self.host = name, host
        self.front, self.ready_port = free_port(host), free_port(host)
        self.settings, self.log = folder / f"{name}.conf", folder / f"{name}.log"
        self.process = None
        peer = free_port(host)
        fields = {
            "node": name,
            "role": "node",
            "machine_class": "front",
            "serves": "front",
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones.a": "r",
            "zones.b": "r",
            "listen.front": f"{host}:{self.front}",
            "listen.ready": f"{host}:{self.ready_port}",
            "port_range": f"{peer},{peer}",
            "bootstrap": "true",
            "limits.memory_mb": "300",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "bounds.stable_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_ms": "2000",
            "bounds.budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_slack": "56",
            "bounds.require_fencing": "false",
            "bounds.lease_ms": "3000",
            "bounds.report_window_s": "5",
            "bounds.usage_late_s": "10",
            "platform.address": store.address,
            "platform.form": "table",
            "platform.row_bytes": "65536",
            "cloud.address": duties.address,
            "cloud.duties": "usage_report,autoscale",
            **changes,
        }
        self.settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))

    async def start(self):
        """Start the process and wait until it is ready."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "SAMPHIREHALL_BOOT": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *RUN,
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        end = time.monotonic() + 15
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready: {self.log.read_text()[-1500:]}")
            await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def stop(self):
        """End the process, by its id."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def read_response(reader, method="GET"):
    """Return status, headers and body; the body is None if it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if status == 100:
        return await read_response(reader, method)
    try:
        if headers.get("transfer-encoding") == "chunked":
            pieces = []
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                pieces.append(await reader.readexactly(size))
                await reader.readline()
                if size == 0:
                    return status, headers, b"".join(pieces)
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, headers, None


def request_bytes(method, target, request_id, *, body=b"", deadline_ms=4000, **headers):
    """Return head and body of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        "X-Key: k1",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


ROUTE = {"host": "h.example", "timeout_ms": 4000, "latency_goal_ms": 200, "priority": 1}
ROUTES = [
    {
        **ROUTE,
        "name": "read",
        "prefix": "/read/",
        "kind": "safe",
        "service": "desk",
        "max_attempts": 2,
    },
    {
        **ROUTE,
        "name": "book",
        "prefix": "/book/",
        "kind": "unsafe",
        "service": "desk",
        "max_attempts": 1,
    },
    {
        **ROUTE,
        "name": "chat",
        "prefix": "/chat/",
        "kind": "streaming",
        "service": "lm",
        "max_attempts": 2,
        "resumable": True,
        "target_gap_ms": 150,
        "timeout_ms": 8000,
        "sticky": True,
    },
]
ENGINE = {
    "slots": 64,
    "kv_tokens": 484150,
    "kv_token_bytes": 163840,
    "link_mbps": 1700000.0,
    "handle_ttl_s": 5.0,
}
CONFIGURATION = {
    "version": 7,
    "routes": ROUTES,
    "services": [
        {"name": "desk", "health_path": "/health", "max_conns": 110},
        {"name": "lm", "health_path": "/health", "max_conns": 370, "engine": ENGINE},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": ["k1"]}],
}


@contextlib.asynccontextmanager
async def platform(store=None):
    """Serve a store with a configuration, and the duty calls."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    store, duties = store or Store(), Duties()
    await store.start()
    await duties.start()
    store.put("op", "config", CONFIGURATION)
    try:
        yield folder, store, duties
    finally:
        await store.stop()
        await duties.stop()
        shutil.rmtree(folder, ignore_errors=True)


def main(case, script):
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).parent / "record.txt")
    record.say("trouble:", trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:
        record.say("the case could not run:", repr(error))
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
