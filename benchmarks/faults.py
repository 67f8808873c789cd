"""Goodput in the 30 s after a fault, as a share of the same time without it.

Run with ``python -m benchmarks.faults``. Each row is a run of its own with the same seed and
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
FAULT_AT = 5.0
WATCHED_SECONDS = 30.0
PAUSE_SECONDS = 12.0
RATE = 24.0
PROMPT_TOKENS = 1200
OUTPUT_TOKENS = 40
AIM = 0.9
TIMING = {"prefill_tokens_per_second": 20_000, "step_base_seconds": 0.02}


def scenario(faults: list[Fault]) -> Scenario:
    """Return the arrivals of every run, with these faults."""
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
        [Phase(FAULT_AT + WATCHED_SECONDS, RATE, mix)],
        faults,
    )


def store_outage(cluster: Cluster) -> list[Fault]:
    """Return an outage of the platform for ten seconds."""
    path, target = "/admin/faults", "platform"
    return [
        Fault(FAULT_AT, "call", target, path=path, body={"outage": True}),
        Fault(FAULT_AT + 10, "call", target, path=path, body={"outage": False}),
    ]


def killed_host(cluster: Cluster) -> list[Fault]:
    """Return the loss of both processes of a host."""
    return [Fault(FAULT_AT, "kill", name) for name in ("host-1-entry", "host-1-control")]


def killed_engine(cluster: Cluster) -> list[Fault]:
    """Return the loss of an engine."""
    return [Fault(FAULT_AT, "kill", "engine-1")]


def lost_zone(cluster: Cluster) -> list[Fault]:
    """Return the loss of every process of one of three zones."""
    hosts = [host.name for host in cluster.hosts if host.zone == ZONES[1]]
    names = [f"{host}-{kind}" for host in hosts for kind in ("entry", "control")]
    names += [
        endpoint.name
        for endpoint in cluster.endpoints
        if endpoint.zone == ZONES[1] and endpoint.protocol == "engine"
    ]
    return [Fault(FAULT_AT, "kill", name) for name in names]


def paused_holder(cluster: Cluster) -> list[Fault]:
    """Return a pause, longer than a lease, of the control process that holds one."""
    name = f"{_holder(cluster)}-control"
    return [
        Fault(FAULT_AT, "pause", name),
        Fault(FAULT_AT + PAUSE_SECONDS, "resume", name),
    ]


def _holder(cluster: Cluster) -> str:
    """Return a host whose control process holds a lease, by its own status."""
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
    """Return the outcome of one run."""
    setup = Setup(
        {"petal-coop": 2.0, "retakeline": 1.0}, engines=6, hosts=3, zones=ZONES, timing=TIMING
    )
    with running(setup) as (cluster, targets):
        chosen = scenario(faults(cluster) if faults else [])
        return anyio.run(lambda: run_entries(chosen, targets, seed=SEED))


def goodput(run: Run) -> tuple[float, float]:
    """Return good answers and good tokens a second after the fault."""
    watched = [outcome for outcome in run.outcomes if outcome.at >= FAULT_AT]
    good = [outcome for outcome in watched if outcome.good]
    tokens = sum(outcome.tokens for outcome in good)
    return len(good) / WATCHED_SECONDS, tokens / WATCHED_SECONDS


def main() -> int:
    """Print the table."""
    print(f"seed {SEED}, {RATE:g} requests/s, fault at {FAULT_AT:g} s\n")
    print("| fault | good answers/s | good tokens/s | share | wrong | aim 90 % |")
    print("| --- | --- | --- | --- | --- | --- |")
    base, base_tokens = goodput(run_once(None))
    print(f"| none | {base:.1f} | {base_tokens:.0f} | 1.00 | 0 | |", flush=True)
    for name, faults in FAULTS.items():
        run = run_once(faults)
        answers, tokens = goodput(run)
        wrong = sum(outcome.wrong for outcome in run.outcomes)
        share = answers / base
        met = "met" if share >= AIM else "missed"
        print(
            f"| {name} | {answers:.1f} | {tokens:.0f} | {share:.2f} | {wrong} | {met} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
