"""Benchmark: group commit of claims compared with one write per claim, by store latency.

Run with ``python -m benchmarks.claims [SEED]``. The table is in the same process; it applies
at most `TRANSACTIONS_PER_SECOND` transactions, each after a latency. Prints a Markdown table and
the seed.
"""

import random
import statistics
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from samphirehall.backing.table import Check, Row, TransactionResult, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.forwarding.claims import ClaimStore
from samphirehall.standins.platform import MemoryTable

TRANSACTIONS_PER_SECOND = 400.0
LATENCIES_SECONDS = (0.001, 0.005, 0.020)
OFFERED_PER_SECOND = (100.0, 300.0, 1000.0)
RUN_SECONDS = 2.0
DEADLINE_SECONDS = 2.0


@dataclass(slots=True)
class SlowTable:
    """A table with a latency and a bounded rate of transactions."""

    latency: float
    store: MemoryTable = field(default_factory=MemoryTable)
    _free_at: float = 0.0

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        """Apply a transaction when the rate limit allows, after the latency."""
        now = time.perf_counter()
        self._free_at = max(now, self._free_at) + 1.0 / TRANSACTIONS_PER_SECOND
        await anyio.sleep(self._free_at - now + self.latency)
        return self.store.transact(list(checks), list(writes))

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return rows after the latency."""
        await anyio.sleep(self.latency)
        return {row.key: row for row in self.store.read(list(keys))}

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        """Return rows after the latency."""
        await anyio.sleep(self.latency)
        return self.store.scan(prefix, limit)


class SingleWrites:
    """Inserts each claim in a transaction, without a limit on those in flight."""

    def __init__(self, table: SlowTable) -> None:
        self._table = table

    async def claim(self, customer: str, key: str, *, fingerprint: str, deadline: float) -> None:
        """Insert one claim."""
        value = {"fingerprint": fingerprint}
        with anyio.fail_after(deadline - boot_seconds()):
            await self._table.transact([Check(key, 0)], [Write(key, value)])


@dataclass(slots=True)
class Tally:
    """Latencies of the claims of one run, in seconds, and the number that failed."""

    seconds: list[float] = field(default_factory=list)
    late: int = 0


async def send_claims(claims: ClaimStore | SingleWrites, rate: float, seed: int) -> Tally:
    """Send claims at exponential intervals and return their latencies."""
    source, tally = random.Random(seed), Tally()

    async def one(number: int, due: float) -> None:
        deadline = boot_seconds() + DEADLINE_SECONDS
        try:
            await claims.claim("coop", f"key-{number}", fingerprint="f", deadline=deadline)
        except (SamphireError, TimeoutError):
            tally.late += 1
            return
        tally.seconds.append(time.perf_counter() - due)

    async with anyio.create_task_group() as group:
        due = time.perf_counter()
        for number in range(int(rate * RUN_SECONDS)):
            await anyio.sleep(max(0.0, due - time.perf_counter()))
            group.start_soon(one, number, due)
            due += source.expovariate(rate)
    return tally


async def measure(grouped: bool, latency: float, rate: float, seed: int) -> str:
    """Run one case and return its row of the Markdown table."""
    table = SlowTable(latency)
    async with anyio.create_task_group() as group:
        if grouped:
            claims: ClaimStore | SingleWrites = ClaimStore(table, random_source=random.Random(seed))
            assert isinstance(claims, ClaimStore)
            group.start_soon(claims.run)
        else:
            claims = SingleWrites(table)
        began = time.perf_counter()
        tally = await send_claims(claims, rate, seed)
        elapsed = time.perf_counter() - began
        group.cancel_scope.cancel()
    done = sorted(tally.seconds)
    cells = [
        f"{latency * 1000:.0f}",
        f"{rate:.0f}",
        "group" if grouped else "single",
        f"{len(done) / elapsed:.0f}",
        f"{statistics.median(done) * 1000:.1f}",
        f"{done[int(0.95 * len(done))] * 1000:.1f}",
        str(tally.late),
        f"{table.store.transactions / max(1, len(done)):.2f}",
    ]
    return "| " + " | ".join(cells) + " |"


async def run(seed: int) -> None:
    """Run all cases and print their table."""
    print(f"seed {seed}, {TRANSACTIONS_PER_SECOND:.0f} transactions/s, {RUN_SECONDS:.0f} s each\n")
    print(
        "| store ms | offered/s | commit | claims/s | p50 ms | p95 ms | too late | writes a claim |"
    )
    print("| ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: |")
    for latency in LATENCIES_SECONDS:
        for rate in OFFERED_PER_SECOND:
            for grouped in (False, True):
                print(await measure(grouped, latency, rate, seed), flush=True)


def main() -> None:
    """Run the benchmark with the seed of the command line."""
    anyio.run(run, int(sys.argv[1]) if len(sys.argv) > 1 else 1)


if __name__ == "__main__":
    main()
