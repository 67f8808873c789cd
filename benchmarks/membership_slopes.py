"""Benchmark: cost of control processes by hosts, endpoints and configuration changes.

Run with ``python -m benchmarks.membership_slopes --part hosts`` (or ``endpoints`` or
``changes``). Starts real control processes in four zones on loopback with the
platform's stand-in, without entries, and prints a table for docs/CAPACITY.md.
Byte counts are those of the mesh, without network headers.
"""

import json
import random
import statistics
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import fire

from benchmarks.entry_slopes import MEBIBYTE, read_usage
from demo.cluster import Cluster, Endpoint, Host, call, wait_listening
from samphirehall.core.identifiers import key_digest

ZONES = 4
HOSTS = (4, 8, 16, 32, 48)
ENDPOINTS = (0, 40, 120, 240)
CHANGES_PER_SECOND = (0.0, 0.2, 1.0, 2.0)
HOSTS_FOR_OTHER_PARTS = 16
CUSTOMERS = 750
SETTLE_SECONDS = 10.0
MEASURE_SECONDS = 10.0
BYTE_BUDGET_PER_SECOND = 4096


@dataclass(slots=True, frozen=True)
class Case:
    """Parameters of one row: hosts, polled engines, customers, and changes per second."""

    hosts: int
    endpoints: int = 0
    customers: int = 0
    changes_per_second: float = 0.0


@dataclass(slots=True, frozen=True)
class Sample:
    """Usage of one control process: CPU seconds, memory and mesh bytes, and peer count."""

    cpu: float
    memory: int
    sent: float
    received: float
    peers: float


class ControlFleet(Cluster):
    """Control processes with the platform's stand-in and one engine, without entries."""

    def start(self) -> None:
        """Start all processes and wait until each one listens."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write_settings()
        self._add_standins()
        for host in self.hosts:
            settings = self.folder / f"{host.name}-control.toml"
            self._add(f"{host.name}-control", "samphire-control", f"--settings={settings}")
        for program in self.programs.values():
            program.start()
        for address in [self.platform, *[host.operator for host in self.hosts]]:
            wait_listening(address)

    def _write_settings(self) -> None:
        super()._write_settings()
        for host in self.hosts:
            path = self.folder / f"{host.name}-control.toml"
            path.write_text(path.read_text().replace("poll_seconds = 0.5", "poll_seconds = 1.0"))

    def sample(self, host: Host) -> Sample:
        """Return the usage of the control process of a host so far."""
        process = self.programs[f"{host.name}-control"].process
        usage = read_usage(process.pid if process else 0)
        text = call(host.operator, "GET", "/metrics").body.decode()
        values = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#")
        return Sample(
            usage.cpu,
            usage.memory,
            float(values["samphire_mesh_sent_bytes"]),
            float(values["samphire_mesh_received_bytes"]),
            float(values["samphire_mesh_peers"]),
        )

    def applied_times(self) -> dict[int, list[float]]:
        """Return the wall clock times at which hosts applied each version, by version."""
        times: dict[int, list[float]] = {}
        for host in self.hosts:
            for line in self.programs[f"{host.name}-control"].log.read_text().splitlines():
                entry = json.loads(line)
                if entry.get("message") == "configuration":
                    times.setdefault(entry["version"], []).append(entry["time"])
        return times


@contextmanager
def running(case: Case, folder: Path) -> Iterator[ControlFleet]:
    """Start the processes of a case, yield them, and kill them on exit."""
    hosts = [Host(f"zone-{n % ZONES}-host-{n:02}", f"zone-{n % ZONES}") for n in range(case.hosts)]
    engines = [Endpoint("engine-0", "engine", "zone-0", ["answer"])] if case.endpoints else []
    fleet = ControlFleet(folder, hosts, engines)
    fleet.extra_settings["control"] = f"byte_budget_per_second = {BYTE_BUDGET_PER_SECOND}\n"
    fleet.listed_only = [
        Endpoint(
            f"engine-{n}", "engine", f"zone-{n % ZONES}", ["answer"], address=engines[0].address
        )
        for n in range(1, case.endpoints)
    ]
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.kill_all()


def documents(customers: int, weight: float) -> dict[str, object]:
    """Return a configuration whose first customer has the given weight."""
    lines = ['[models.answer]\nversion = "1"', '[routes.answer]\nkind = "model"\ntarget = "answer"']
    for number in range(customers):
        customer_weight = weight if number == 0 else 1.0
        digest = key_digest(f"key {number}")
        lines.append(
            f'[customers.c{number}]\nweight = {customer_weight}\nkey_digests = ["{digest}"]'
        )
    return {"benchmark.toml": tomllib.loads("\n".join(lines))}


def apply(fleet: ControlFleet, case: Case, weight: float, random_source: random.Random) -> float:
    """Apply a change through a random host; return the wall clock time just before."""
    host = random_source.choice(fleet.hosts)
    began = time.time()
    answer = call(
        host.operator,
        "POST",
        "/configuration",
        {"documents": documents(case.customers, weight)},
        timeout=60,
    )
    if answer.status != 200 or answer.json()["hosts_unknown"]:
        print(f"apply over {host.name}: {answer.status} {answer.body[:200]!r}", file=sys.stderr)
    return began


def measure(case: Case, random_source: random.Random) -> list[str]:
    """Run one case and return its row of the Markdown table."""
    with tempfile.TemporaryDirectory() as folder, running(case, Path(folder)) as fleet:
        if case.customers:
            apply(fleet, case, 1.0, random_source)
        time.sleep(SETTLE_SECONDS)
        before = [fleet.sample(host) for host in fleet.hosts]
        reads = call(fleet.platform, "GET", "/admin/counts").json()["reads"]
        began = time.time()
        applied = _apply_changes_until(fleet, case, began + MEASURE_SECONDS, random_source)
        seconds = time.time() - began
        reads = call(fleet.platform, "GET", "/admin/counts").json()["reads"] - reads
        after = [fleet.sample(host) for host in fleet.hosts]
        delays = _delays(fleet, applied, len(fleet.hosts))
    cpu = [(b.cpu - a.cpu) / seconds * 100 for a, b in zip(before, after, strict=True)]
    sent = [(b.sent - a.sent) / seconds for a, b in zip(before, after, strict=True)]
    received = [(b.received - a.received) / seconds for a, b in zip(before, after, strict=True)]
    return [
        str(case.hosts),
        str(case.endpoints),
        f"{len(applied) / seconds:.1f}",
        f"{statistics.mean(sample.peers for sample in after):.1f}",
        f"{statistics.mean(cpu):.2f} / {max(cpu):.2f}",
        f"{statistics.mean(s.memory for s in after) / MEBIBYTE:.1f} / "
        f"{max(s.memory for s in after) / MEBIBYTE:.1f}",
        f"{statistics.mean(sent):.0f} / {max(sent):.0f}",
        f"{statistics.mean(received):.0f} / {max(received):.0f}",
        f"{reads / seconds:.1f}",
        _quantiles(delays),
    ]


def _apply_changes_until(
    fleet: ControlFleet, case: Case, end: float, random_source: random.Random
) -> list[float]:
    applied: list[float] = []
    while (now := time.time()) < end:
        if not case.changes_per_second:
            time.sleep(end - now)
            break
        applied.append(apply(fleet, case, 2.0 + len(applied), random_source))
        wait = applied[0] + len(applied) / case.changes_per_second - time.time()
        time.sleep(max(0.0, wait))
    return applied


def _delays(fleet: ControlFleet, applied: list[float], hosts: int) -> list[float]:
    """Return the seconds from each change until each host applied it or a later one."""
    times = fleet.applied_times()
    first = min(times, default=0) + 1
    delays = []
    for number, began in enumerate(applied):
        held = [at for version, ats in times.items() if version >= first + number for at in ats]
        delays += [at - began for at in sorted(held)[:hosts]]
    return delays


def _quantiles(delays: list[float]) -> str:
    if not delays:
        return "-"
    ordered = sorted(delays)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return f"{statistics.median(ordered):.2f} / {p99:.2f} / {ordered[-1]:.2f}"


def cases(part: str) -> list[Case]:
    """Return the cases of one part."""
    if part == "hosts":
        return [Case(hosts) for hosts in HOSTS]
    if part == "endpoints":
        return [Case(HOSTS_FOR_OTHER_PARTS, endpoints=count) for count in ENDPOINTS]
    if part == "changes":
        return [
            Case(HOSTS_FOR_OTHER_PARTS, customers=CUSTOMERS, changes_per_second=rate)
            for rate in CHANGES_PER_SECOND
        ]
    raise ValueError(f"part = {part!r}: hosts, endpoints or changes")


def main(part: str = "hosts", seed: int = 1) -> None:
    """Measure every case of a part and print the table.

    Parameters
    ----------
    part : str
        ``hosts``, ``endpoints`` or ``changes``.
    seed : int
        Seed of the choice of hosts through which changes are applied.
    """
    random_source = random.Random(seed)
    heads = ["hosts", "engines", "changes/s", "peers", "CPU % mean/max", "RSS MiB mean/max"]
    heads += ["sent B/s mean/max", "received B/s mean/max", "store reads/s"]
    heads += ["in force s p50/p99/max"]
    print(
        f"part {part}, seed {seed}, {MEASURE_SECONDS:.0f} s a row, "
        f"budget {BYTE_BUDGET_PER_SECOND} B/s\n"
    )
    print("| " + " | ".join(heads) + " |")
    print("|" + " --- |" * len(heads))
    for case in cases(part):
        print("| " + " | ".join(measure(case, random_source)) + " |", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
