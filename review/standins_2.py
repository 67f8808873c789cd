"""Stand-ins of platform, replicas and clients on loopback, for the scripts of the second review.

Only the standard library is used. The stand-ins run inside the process of a script; the
project's own program runs as separate processes, with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a script
START = time.monotonic()


class CaseError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", buffering=1)

    def __call__(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - START:8.3f}  {text}\n")

    def result(self, text):
        """Record a line and print it."""
        self(text)
        print(text, flush=True)


def free_port(ip="127.0.0.1"):
    """Return a port that is free for TCP."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def common_port(ips):
    """Return a port that is free on several addresses, for TCP and UDP."""
    for _ in range(100):
        port = free_port(ips[0])
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return port
    raise CaseError("no port is free on all addresses")


async def read_message(reader):
    """Return first line, headers with names in lower case, and body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return first, headers, body
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, body=b"", headers=()):
    """Return the bytes of an answer with a body of known length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """Serves HTTP/1.1 on loopback; `answer` gets each request."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port = ip, free_port(ip)
        self.writers = set()
        self._server = None

    @property
    def address(self):
        """Return IP number and port."""
        return f"{self.ip}:{self.port}"

    async def start(self):
        """Start to serve, or start the process."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 22, backlog=4096
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        """Answer one call."""
        raise NotImplementedError

    def stop(self):
        """Refuse connections and reset the open ones, as a process that was killed does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: rows with versions, transactions, feed, and the header Store-Era."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.era = 1
        self.away = False
        self.turned_away = {}  # IP address of a machine: status, or None for no answer
        self._changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """Write a row as operator or replicas do; None removes it."""
        self.version += 1
        self._apply((table, part, key), None if value is None else json.dumps(value).encode())
        self._notify()

    def copy(self):
        """Return a copy from which `restore` brings the store back."""
        return dict(self.rows), list(self.history), self.version

    def restore(self, copy):
        """Come back from a copy, as in a drill."""
        rows, history, self.version = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self._notify()

    def value(self, table, key):
        """Return the decoded value of a row, None without one."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(found[0])

    def _apply(self, name, raw):
        if raw is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = raw, self.version
        self.history.append((self.version, name, raw))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, writer):
        """Answer one call."""
        peer = writer.get_extra_info("peername")[0]
        if self.away:
            writer.transport.abort()
            return
        if peer in self.turned_away:
            status = self.turned_away[peer]
            if status is None:
                await asyncio.sleep(30)
                writer.transport.abort()
                return
            writer.write(response(status))
            return
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            status, answer = self._transact(json.loads(body))
            await asyncio.sleep(0.003)
        elif url.path == "/rows-get":
            status, answer = self._get(query)
        elif url.path == "/rows-feed":
            status, answer = await self._feed(query)
        else:
            status, answer = 404, None
        if self.away:
            writer.transport.abort()
            return
        content = b"" if answer is None else json.dumps(answer).encode()
        extra = ["Content-Type: application/json", f"Store-Era: {self.era}"]
        writer.write(response(status, content, extra))

    def _body(self, rows, **fields):
        return {"rows": rows, "ver": self.version, "now_ms": time.monotonic() * 1000, **fields}

    def _transact(self, document):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = document.get("expected", [])
        if any(self.rows.get(name(row), (b"", 0))[1] != row["ver"] for row in expected):
            found = [self._encode(name(row)) for row in expected if name(row) in self.rows]
            return 412, self._body(found)
        self.version += 1
        for row in document.get("puts", []):
            self._apply(name(row), base64.b64decode(row["value"]))
        for row in document.get("remove", []):
            self._apply(name(row), None)
        self._notify()
        return 200, self._body([])

    def _get(self, query):
        end = query.get("to")
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[2] >= query.get("from", "")
            and (end is None or name[2] < end)
        )
        limit = int(query.get("limit", 500))
        page = [self._encode(name) for name in names[:limit]]
        return 200, self._body(page, has_more=len(names) > limit)

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after > self.version:
                return 410, None
            newest = {}
            for version, name, raw in self.history:
                if version > after and name[0] == table:
                    newest[name] = version, raw
            left = deadline - time.monotonic()
            if newest or left <= 0:
                return 200, self._body([self._encode(name, *newest[name]) for name in newest])
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _encode(self, name, version=None, raw=None):
        if version is None:
            raw, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if raw is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(raw).decode()}


class Cloud(HttpServer):
    """The platform's API: usage reports and orders of replicas, each accepted and recorded."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.calls = []

    async def answer(self, method, target, headers, body, writer):
        """Answer one call."""
        fields = json.loads(body) if body else {}
        holder, fence = headers.get("x-duty-holder"), int(headers.get("x-fence-token", -1))
        self.calls.append((time.monotonic(), target, holder, fence, fields))
        self._record(f"platform accepts {target} of {holder} with token {fence}: {fields}")
        writer.write(response(200, b"{}", ["Content-Type: application/json"]))


class Replica(HttpServer):
    """A sound plain replica; `run` may be replaced."""

    def __init__(self, name, service, record, zone="a", slots=6, stage=None, version="1.0"):
        super().__init__()
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.stage, self.version, self.born = stage, version, int(time.time() * 1000)
        self.record = record
        self.runs = []

    def entry(self, **changes):
        """Return the entry in the list of replicas."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry | changes

    def signed(self, headers):
        """Return the headers that sign an answer."""
        return [f"X-Request-Id: {headers['x-request-id']}", f"X-Response-Stamp: {self.name}.1"]

    async def answer(self, method, target, headers, body, writer):
        """Answer one call."""
        if target == "/report":
            fields = {"stage": self.stage, "busy": False, "sequence": 0, "born": self.born}
            writer.write(response(200, json.dumps(fields).encode()))
        elif target.startswith(("/health", "/kv-")):
            writer.write(response(200, b"", [f"X-Instance-Id: {self.name}"]))
        elif target == "/order":
            writer.write(response(409))
        elif headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421))
        else:
            await self.run(method, target, headers, body, writer)

    async def run(self, method, target, headers, body, writer):
        """Answer one request that reaches the replica."""
        self.runs.append(headers["x-request-id"])
        await asyncio.sleep(0.02)
        writer.write(response(200, b"done " + body[:40], self.signed(headers)))


class Machine:
    """A machine with one process of the system."""

    def __init__(self, number, zone, folder, record, store, cloud, ports, **changes):
        self.number, self.zone = number, zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.0.0.{number + 10}"
        self.front = f"{self.ip}:{ports['front']}"
        self.ready = f"{self.ip}:{ports['ready']}"
        self._record = record
        self._settings = Path(folder) / f"{self.name}.conf"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None
        self.limits = {}
        self._fields = {
            "node": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": zone,
            "region": "r",
            "zones.a": "r",
            "zones.b": "r",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "port_range": f"{ports['low']},{ports['high']}",
            "bootstrap": "true",
            "counts_as_loss": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,"
            "platform",
            "bounds.stable_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_ms": "2000",
            "bounds.budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_slack": "56",
            "bounds.require_fencing": "false",
            "bounds.lease_ms": "3000",
            "bounds.unfreeze_slack_ms": "300",
            "bounds.report_window_s": "5",
            "bounds.usage_off": "0.05",
            "bounds.usage_late_s": "10",
            "bounds.recovery_s": "12",
            "platform.address": store.address,
            "platform.form": "table",
            "platform.row_bytes": "65536",
            "platform.across": "true",
            "cloud.address": cloud.address,
            "cloud.duties": "usage_report,autoscale",
            "cloud.duty_per_s": "50.0",
            **changes,
        }

    def start(self):
        """Start to serve, or start the process."""
        fields = "".join(f"{name}={value}\n" for name, value in self._fields.items())
        self._settings.write_text(fields)
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"]
        kept = [name for name in ("PATH", "HOME", "LANG") if name in os.environ]
        environment = {name: os.environ[name] for name in kept}
        environment["SAMPHIREHALL_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")

        def limit():
            for kind, value in self.limits.items():
                resource.setrlimit(kind, (value, value))

        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=limit
            )
        self._record(f"{self.name} starts, process {self.process.pid}")
        self._fields["bootstrap"] = "false"

    def signal(self, number):
        """Send a signal to the process."""
        self._record(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        """Return whether the machine reports itself ready."""
        ip, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def log_lines(self, message):
        """Return the log lines with a message."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if line[:1] == "{":
                with contextlib.suppress(ValueError):
                    entry = json.loads(line)
                    if entry.get("message") == message:
                        found.append(entry)
        return found

    def end(self):
        """Kill the process if it runs."""
        if self.is_running:
            self.process.kill()
            self.process.wait()


async def wait_until_ready(machines, seconds=20.0):
    """Wait until all machines are ready."""
    end = time.monotonic() + seconds
    while True:
        states = [await machine.is_ready() for machine in machines]
        if all(states):
            return
        if time.monotonic() > end:
            raise CaseError("the machines did not become ready")
        await asyncio.sleep(0.1)


def choose_ports(ips):
    """Return ports that are free on all addresses."""
    ports = {}
    for name in ("front", "ready", "low", "high"):
        ports[name] = common_port(ips)
    if ports["low"] > ports["high"]:
        ports["low"], ports["high"] = ports["high"], ports["low"]
    return ports


async def ask(
    address,
    request_id,
    target,
    *,
    method="GET",
    headers=(),
    body=b"",
    key="k1",
    timeout=5.0,
    deadline_ms=2000,
):
    """Send one request on a new connection; return status, headers and body, or None."""
    ip, _, port = address.rpartition(":")
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {request_id}",
        f"X-Key: {key}",
        f"X-Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, found, content = await read_message(reader)
            return int(first.split(" ")[1]), found, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def play(case, folder):
    """Run a case; `case` gets the record and a temporary folder, and returns an exit status."""
    record = Record(folder)
    machines = []
    record(f"disruption: {'yes' if TROUBLE else 'no'}")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    return await case(record, temporary, machines)
            except Exception as error:
                record.result(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                for machine in machines:
                    machine.end()
                if keep := os.environ.get("KEEP_LOGS"):
                    for machine in machines:
                        Path(keep, machine.log.name).write_bytes(machine.log.read_bytes())

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 16_384 if hard == resource.RLIM_INFINITY else min(hard, 16_384)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)  # connections that are still open need no orderly end
