"""Benchmark: table calls per second by leases and usage, by number of hosts, in virtual time."""

import heapq
import random
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import fire
import msgspec

from samphirehall.authority.candidates import candidate_rank, poll_interval
from samphirehall.authority.lease import LeaseTimes
from samphirehall.authority.lease_manager import MIN_RENEWAL_INTERVAL_SECONDS, LeaseManager
from samphirehall.backing.table import Check, Row, TransactionResult, Write
from samphirehall.core.log import configure_logging
from samphirehall.settings.tables import UsageTable
from samphirehall.standins.platform import MemoryTable
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.flusher import NEXT_WINDOW_KEY, UsageFlusher
from samphirehall.usage.pending_usage import PendingUsage
from samphirehall.usage.rows import Source
from samphirehall.usage.service import flush_interval

LEASE_RUN_SECONDS = 120.0
WARM_UP_SECONDS = 20.0
USAGE_RUN_SECONDS = 40.0
TIMES = LeaseTimes(ttl=6.0, margin=1.5, delivery_limit=2.0)
START = 1_000_000_000.0
REQUESTS_PER_SECOND = 4_000.0
CUSTOMERS = 750


class CountingTable:
    """A table without latency that counts its calls and the bytes written."""

    def __init__(self) -> None:
        self.store = MemoryTable()
        self.reads = 0
        self.writes = 0
        self.bytes_written = 0

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        """Apply a transaction."""
        self.writes += 1
        self.bytes_written += len(msgspec.json.encode(writes))
        return self.store.transact(list(checks), list(writes))

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return rows."""
        self.reads += 1
        return {row.key: row for row in self.store.read(list(keys))}

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        """Return rows by prefix."""
        self.reads += 1
        return self.store.scan(prefix, limit)


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("the coroutine suspended")


class VirtualTime:
    """Event loop that runs periodic actions in order of virtual time."""

    def __init__(self) -> None:
        self.now = START
        self._queue: list[tuple[float, int, Callable[[], float]]] = []
        self._number = 0

    def after(self, seconds: float, action: Callable[[], float]) -> None:
        """Schedule `action` after some seconds; it returns the seconds until its next run."""
        self._number += 1
        heapq.heappush(self._queue, (self.now + seconds, self._number, action))

    def run(self, seconds: float) -> None:
        """Advance virtual time by some seconds and run the actions that fall due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            self.after(action(), action)
        self.now = end


def add_scope(
    virtual: VirtualTime, table: CountingTable, scope: str, hosts: int, source: random.Random
) -> list[LeaseManager]:
    """Schedule the lease managers of one scope, one per host, and return them."""
    names = [f"host-{number}" for number in range(hosts)]
    managers = []
    for name in names:
        manager = LeaseManager(table, scope, holder=name, times=TIMES, clock=lambda: virtual.now)
        rank = candidate_rank(name, names, scope)
        virtual.after(source.uniform(0, 2.0 * (rank + 1)), _stepper(manager, rank, source))
        managers.append(manager)
    return managers


def _stepper(manager: LeaseManager, rank: int, source: random.Random) -> Callable[[], float]:
    def step() -> float:
        run_to_completion(manager.step())
        if manager._grant is not None:
            return max(MIN_RENEWAL_INTERVAL_SECONDS, TIMES.renewal_interval)
        return poll_interval(rank, TIMES.renewal_interval, random_source=source)

    return step


def lease_load(zones: int, hosts: int, seed: int) -> list[str]:
    """Return the table row of lease calls: one scope per zone and one for all hosts."""
    virtual, table, source = VirtualTime(), CountingTable(), random.Random(seed)
    for zone in range(zones):
        add_scope(virtual, table, f"engines/{zone}", max(1, hosts // zones), source)
    add_scope(virtual, table, "platform", hosts, source)
    virtual.run(60.0)
    table.reads = table.writes = 0
    began = time.process_time()
    virtual.run(LEASE_RUN_SECONDS)
    micros = (time.process_time() - began) / max(1, table.reads + table.writes) * 1e6
    return [
        str(zones + 1),
        str(hosts),
        f"{table.writes / LEASE_RUN_SECONDS:.2f}",
        f"{table.writes / LEASE_RUN_SECONDS / (zones + 1):.3f}",
        f"{table.reads / LEASE_RUN_SECONDS:.2f}",
        f"{micros:.0f}",
    ]


def usage_load(hosts: int, seed: int) -> list[str]:
    """Return the table row of usage calls: `hosts` flush their counts at peak load."""
    virtual, table, source = VirtualTime(), CountingTable(), random.Random(seed)
    settings = UsageTable()
    table.store.transact(
        [], [Write(NEXT_WINDOW_KEY, int(START) - int(START) % settings.window_seconds)]
    )
    interval = flush_interval(hosts, settings)
    flushers = [_host_flusher(virtual, table, f"host-{n}", hosts, source) for n in range(hosts)]
    for flush in flushers:
        virtual.after(source.uniform(0, interval), flush)
    virtual.run(WARM_UP_SECONDS)
    table.reads = table.writes = table.bytes_written = 0
    began = time.process_time()
    virtual.run(USAGE_RUN_SECONDS)
    micros = (time.process_time() - began) / max(1, table.writes) * 1e6
    return [
        str(hosts),
        f"{interval:.1f}",
        f"{table.writes / USAGE_RUN_SECONDS:.1f}",
        f"{table.reads / USAGE_RUN_SECONDS:.1f}",
        f"{table.bytes_written / USAGE_RUN_SECONDS / hosts:.0f}",
        f"{micros:.0f}",
    ]


def _host_flusher(
    virtual: VirtualTime, table: CountingTable, name: str, hosts: int, source: random.Random
) -> Callable[[], float]:
    settings = UsageTable()
    pending_usage = PendingUsage()
    flusher = UsageFlusher(table, pending_usage, window_seconds=settings.window_seconds)
    origin = Source(f"{name}/entry", 1)
    counted: dict[Cell, Counts] = {}
    interval = flush_interval(hosts, settings)

    def flush() -> float:
        requests = round(REQUESTS_PER_SECOND / 420 * interval)
        window = int(virtual.now) - int(virtual.now) % settings.window_seconds
        for _ in range(requests):
            cell = Cell(window, f"customer-{source.randrange(CUSTOMERS)}")
            counted[cell] = counted.get(cell, Counts()) + Counts(1, 100, 325)
            pending_usage.record(origin, cell, counted[cell], now=virtual.now)
        run_to_completion(flusher.flush(origin, changed_before=virtual.now, now=virtual.now))
        return interval * source.uniform(0.9, 1.1)

    return flush


def print_table(heads: list[str], rows: list[list[str]]) -> None:
    """Print rows aligned under their headings."""
    widths = [max(len(row[i]) for row in [heads, *rows]) for i in range(len(heads))]
    for row in [heads, *rows]:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))


def main(seed: int = 1) -> None:
    """Print the table calls that leases and usage need."""
    configure_logging("error", host="benchmark", program="authority-store-load")
    print(f"seed {seed}; leases: ttl {TIMES.ttl} s, {LEASE_RUN_SECONDS:.0f} s of virtual time")
    heads = ["scopes", "hosts", "writes/s", "writes/s a scope", "reads/s", "CPU us a call"]
    sizes = [(1, 8), (3, 8), (3, 24), (6, 100), (13, 210), (13, 420)]
    print_table(heads, [lease_load(zones, hosts, seed) for zones, hosts in sizes])
    print(f"\nseed {seed}; usage: {REQUESTS_PER_SECOND:.0f} requests/s over 420 hosts")
    heads = ["hosts", "interval s", "writes/s", "reads/s", "bytes/s a host", "CPU us a flush"]
    print_table(heads, [usage_load(hosts, seed) for hosts in (8, 80, 420)])


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
