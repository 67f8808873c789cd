"""Benchmark: memory and processor time of an entry by customers, endpoints and streams.

Run with ``python -m benchmarks.entry_slopes``. Starts one host with stand-ins on loopback for each
size, prints a table for docs/CAPACITY.md.
"""

import asyncio
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import httpcore

from demo.cluster import Cluster, Endpoint, Host, wait_ready
from samphirehall.core.identifiers import key_digest, new_customer_key

CUSTOMERS = (8, 250, 750)
ENDPOINTS = (8, 150, 600)
STREAMS = (0, 200, 600)
REQUESTS = 2_000
CONCURRENCY = 32
SHORT_TOKENS = 4
STREAM_TOKENS = 400
MEBIBYTE = 1024 * 1024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTES_FIELD = "VmRSS:"


@dataclass(slots=True)
class Usage:
    """Processor time in seconds and resident memory in bytes of a process."""

    cpu: float
    memory: int


def read_usage(pid: int) -> Usage:
    """Return the processor time and memory that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith(KIBIBYTES_FIELD))
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return Usage(cpu, int(line.split()[1]) * 1024)


def configuration(customers: int, digest: str) -> str:
    """Return a configuration of some customers, the first with the key of `digest`."""
    blocks = ['[models.answer]\nversion = "1"\n']
    blocks.append('[routes.answer]\nkind = "model"\ntarget = "answer"\ndeadline_seconds = 120\n')
    for number in range(customers):
        customer_digest = digest if number == 0 else key_digest(f"key {number}")
        blocks.append(f'[customers.customer-{number}]\nkey_digests = ["{customer_digest}"]\n')
    return "\n".join(blocks)


async def completion(entry: str, key: str, tokens: int, opened: asyncio.Event | None) -> None:
    """Stream one completion to its end; set `opened` at the first byte."""
    headers = [(b"Host", entry.encode()), (b"Authorization", f"Bearer {key}".encode())]
    body = (
        b'{"model":"answer","stream":true,"max_tokens":%d,'
        b'"messages":[{"role":"user","content":"how is lot 14?"}]}' % tokens
    )
    headers.append((b"Content-Length", str(len(body)).encode()))
    connection = httpcore.AsyncHTTPConnection(httpcore.Origin(b"http", *_address(entry)))
    async with connection:
        request = httpcore.Request(
            "POST", f"http://{entry}/v1/chat/completions", headers=headers, content=body
        )
        response = await connection.handle_async_request(request)
        async for _ in response.aiter_stream():
            if opened is not None:
                opened.set()
        await response.aclose()


def _address(address: str) -> tuple[bytes, int]:
    host, _, port = address.rpartition(":")
    return host.encode(), int(port)


async def short_requests(entry: str, key: str) -> None:
    """Send `REQUESTS` short requests, at most `CONCURRENCY` at a time."""
    gate = asyncio.Semaphore(CONCURRENCY)

    async def one() -> None:
        async with gate:
            await completion(entry, key, SHORT_TOKENS, None)

    await asyncio.gather(*[one() for _ in range(REQUESTS)])


async def run_concurrent_streams(entry: str, key: str, count: int, pid: int) -> Usage:
    """Open streams, and return the entry's usage while all are open."""
    events = [asyncio.Event() for _ in range(count)]
    tasks = [asyncio.create_task(completion(entry, key, STREAM_TOKENS, event)) for event in events]
    for event in events:
        await event.wait()
    usage = read_usage(pid)
    await asyncio.gather(*tasks)
    return usage


def measure(customers: int, endpoints: int, streams: int) -> list[str]:
    """Run one case and return its row of the Markdown table."""
    key = new_customer_key()
    with tempfile.TemporaryDirectory() as folder:
        cluster = _cluster(Path(folder), endpoints)
        try:
            cluster.start()
            path = Path(folder) / "configuration.toml"
            path.write_text(configuration(customers, key_digest(key)))
            done = cluster.ctl("config", "apply", str(path))
            if done.returncode:
                raise RuntimeError(done.stderr)
            entry = cluster.hosts[0].entry
            wait_ready(entry)
            time.sleep(1.0)
            process = cluster.programs["host-a-entry"].process
            pid = process.pid if process else 0
            before = read_usage(pid)
            asyncio.run(short_requests(entry, key))
            after = read_usage(pid)
            held = (
                asyncio.run(run_concurrent_streams(entry, key, streams, pid)) if streams else after
            )
            done_all = read_usage(pid)
        finally:
            cluster.stop()
            cluster.kill_all()
    request_ms = (after.cpu - before.cpu) / REQUESTS * 1000
    relayed = max(1, streams * STREAM_TOKENS)
    token_us = (done_all.cpu - after.cpu) / relayed * 1e6 if streams else 0.0
    return [
        str(customers),
        str(endpoints),
        str(streams),
        f"{before.memory / MEBIBYTE:.1f}",
        f"{held.memory / MEBIBYTE:.1f}",
        f"{request_ms:.2f}",
        f"{token_us:.1f}" if streams else "-",
    ]


def _cluster(folder: Path, endpoints: int) -> Cluster:
    """Return one host with two running engines and others that are only listed."""
    zone = "prairie-1"
    live = [Endpoint(f"engine-{number}", "engine", zone, ["answer"]) for number in range(2)]
    cluster = Cluster(folder, [Host("host-a", zone)], live)
    listed = [
        Endpoint(f"listed-{number}", "service", zone, ["other"], f"127.0.0.1:{1024 + number}")
        for number in range(endpoints - len(live))
    ]
    cluster.listed_only = listed
    return cluster


def main() -> int:
    """Run all cases and print their table."""
    heads = ["customers", "endpoints", "streams", "MiB idle", "MiB with streams"]
    heads += ["CPU ms/request", "CPU us/token"]
    print("| " + " | ".join(heads) + " |")
    print("| " + " | ".join("---" for _ in heads) + " |")
    base_customers, base_endpoints = CUSTOMERS[0], ENDPOINTS[0]
    cases = [(customers, base_endpoints, 0) for customers in CUSTOMERS]
    cases += [(base_customers, endpoints, 0) for endpoints in ENDPOINTS[1:]]
    cases += [(base_customers, base_endpoints, streams) for streams in STREAMS[1:]]
    for case in cases:
        print("| " + " | ".join(measure(*case)) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
