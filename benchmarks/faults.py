"""Benchmark: goodput in the 30 s after a fault, relative to a run without one.

Run with ``python -m benchmarks.faults``. Each row is a separate run with the same seed and
arrivals, on three zones with a host and two engines each.
"""

import json
import sys

import anyio

from benchmarks.common import ZONES, Setup, running
from demo.cluster import Cluster
from samphirehall.load.runner import Run, run_entries
from samphirehall.load.scenario import Customer, Fault, Phase, Scenario, Workload

SEED = 7
FAULT_AT_SECONDS = 5.0
WATCHED_SECONDS = 30.0
PAUSE_SECONDS = 12.0
REQUESTS_PER_SECOND = 24.0
PROMPT_TOKENS = 1200
OUTPUT_TOKENS = 40
TARGET_FRACTION = 0.9
TIMING = {"prefill_tokens_per_second": 20_000, "step_base_seconds": 0.02}


def scenario(faults: list[Fault]) -> Scenario:
    """Return the scenario of all runs, with these faults."""
    verdicts = Workload(
        "answer", prompt_tokens=PROMPT_TOKENS, output_tokens=OUTPUT_TOKENS, deadline_seconds=8
    )
    bookings = Workload("bookings", "booking", path="/freight", deadline_seconds=8)
    stock = Workload("stock", "lookup", path="/lots/14", deadline_seconds=4)
    mix = {"verdicts": 0.8, "stock": 0.15, "bookings": 0.05}
    return Scenario(
        "faults",
        {"verdicts": verdicts, "stock": stock, "bookings": bookings},
        {"petal-coop": Customer(2.0), "retakeline": Customer(1.0)},
        [Phase(FAULT_AT_SECONDS + WATCHED_SECONDS, REQUESTS_PER_SECOND, mix)],
        faults,
    )


def store_outage(cluster: Cluster) -> list[Fault]:
    """Return the faults of a platform outage of ten seconds."""
    path, target = "/admin/faults", "platform"
    return [
        Fault(FAULT_AT_SECONDS, "call", target, path=path, body={"outage": True}),
        Fault(FAULT_AT_SECONDS + 10, "call", target, path=path, body={"outage": False}),
    ]


def killed_host(cluster: Cluster) -> list[Fault]:
    """Return the faults that kill both processes of a host."""
    return [Fault(FAULT_AT_SECONDS, "kill", name) for name in ("host-1-entry", "host-1-control")]


def killed_engine(cluster: Cluster) -> list[Fault]:
    """Return the fault that kills an engine."""
    return [Fault(FAULT_AT_SECONDS, "kill", "engine-1")]


def lost_zone(cluster: Cluster) -> list[Fault]:
    """Return the faults that kill every process of one of three zones."""
    hosts = [host.name for host in cluster.hosts if host.zone == ZONES[1]]
    names = [f"{host}-{kind}" for host in hosts for kind in ("entry", "control")]
    names += [
        endpoint.name
        for endpoint in cluster.endpoints
        if endpoint.zone == ZONES[1] and endpoint.protocol == "engine"
    ]
    return [Fault(FAULT_AT_SECONDS, "kill", name) for name in names]


def paused_holder(cluster: Cluster) -> list[Fault]:
    """Return the faults that pause a lease holder for longer than a lease lasts."""
    name = f"{_holder(cluster)}-control"
    return [
        Fault(FAULT_AT_SECONDS, "pause", name),
        Fault(FAULT_AT_SECONDS + PAUSE_SECONDS, "resume", name),
    ]


def _holder(cluster: Cluster) -> str:
    """Return a host whose control process reports that it holds a lease, or the first."""
    for host in cluster.hosts:
        status = json.loads(cluster.ctl_on_host(host, "status", "--json").stdout)
        if any(lease.get("ends_in") for lease in status.get("leases", [])):
            return host.name
    return cluster.hosts[0].name


FAULTS = {
    "store outage of 10 s": store_outage,
    "killed host of 3": killed_host,
    "killed engine of 6": killed_engine,
    "lost zone of 3": lost_zone,
    f"holder paused {PAUSE_SECONDS:.0f} s": paused_holder,
}


def run_once(faults) -> Run:
    """Run the scenario with these faults on a new cluster."""
    setup = Setup(
        {"petal-coop": 2.0, "retakeline": 1.0}, engines=6, hosts=3, zones=ZONES, timing=TIMING
    )
    with running(setup) as (cluster, targets):
        chosen = scenario(faults(cluster) if faults else [])
        return anyio.run(lambda: run_entries(chosen, targets, seed=SEED))


def goodput(run: Run) -> tuple[float, float]:
    """Return good responses and their tokens, per second after the fault."""
    watched = [outcome for outcome in run.outcomes if outcome.at >= FAULT_AT_SECONDS]
    good = [outcome for outcome in watched if outcome.good]
    tokens = sum(outcome.tokens for outcome in good)
    return len(good) / WATCHED_SECONDS, tokens / WATCHED_SECONDS


def main() -> int:
    """Print the goodput after each fault, relative to the run without one."""
    print(f"seed {SEED}, {REQUESTS_PER_SECOND:g} requests/s, fault at {FAULT_AT_SECONDS:g} s\n")
    print("| fault | good answers/s | good tokens/s | share | wrong | aim 90 % |")
    print("| --- | --- | --- | --- | --- | --- |")
    base, base_tokens = goodput(run_once(None))
    print(f"| none | {base:.1f} | {base_tokens:.0f} | 1.00 | 0 | |", flush=True)
    for name, faults in FAULTS.items():
        run = run_once(faults)
        answers, tokens = goodput(run)
        wrong = sum(outcome.wrong for outcome in run.outcomes)
        share = answers / base
        met = "met" if share >= TARGET_FRACTION else "missed"
        print(
            f"| {name} | {answers:.1f} | {tokens:.0f} | {share:.2f} | {wrong} | {met} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
