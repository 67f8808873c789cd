"""Benchmark: goodput from half to three times the capacity, with and without admission control.

Usage: ``python -m benchmarks.overload [--seed=1] [--seconds=10] [--loads=1,2]``
"""

import fire

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, run_once
from samphirehall.load.outcome import summarize
from samphirehall.load.report import table
from samphirehall.load.scenario import Customer, Phase, Scenario, Workload

CAPACITY_PER_SECOND = 20.0
LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
CUSTOMERS = {"coop": 2.0, "school": 1.0, "shop": 1.0}
DEADLINE_SECONDS = 6.0
MILLISECONDS_PER_SECOND = 1000
TARGET_FRACTION = 0.9


def scenario(seconds: float, load: float) -> Scenario:
    """Return the scenario at `load` times the capacity."""
    workload = Workload(
        "answer", prompt_tokens=400, output_tokens=30, deadline_seconds=DEADLINE_SECONDS
    )
    return Scenario(
        name="overload",
        workloads={"verdicts": workload},
        customers={name: Customer(share=share) for name, share in CUSTOMERS.items()},
        phases=[Phase(seconds, load * CAPACITY_PER_SECOND, {"verdicts": 1.0})],
        caller_retries=1,
    )


def main(seed: int = 1, seconds: float = 10.0, loads: tuple[float, ...] = LOADS) -> None:
    """Print the goodput, also relative to its peak, for each load and admission policy."""
    print(f"{seconds:g} s a run, seed {seed}, aim {TARGET_FRACTION:.0%} of the peak at 2 x\n")
    rows = []
    for policy in ("none", "fair"):
        setup = Setup(
            CUSTOMERS,
            engines=2,
            hosts=2,
            timing=SLOW_ENGINE,
            routing=SLOW_RATES,
            admission={"policy": f'"{policy}"'},
        )
        results = {}
        for load in loads:
            results[load] = summarize(run_once(setup, scenario(seconds, load), seed=seed).outcomes)
        peak = max(summary.good for summary in results.values())
        for load, summary in results.items():
            first = summary.first_token.percentile(95) or 0.0
            row = [policy, f"{load:g}", summary.requests, f"{summary.good / seconds:.1f}"]
            row += [f"{summary.good / peak:.0%}", summary.late, summary.retries]
            row += [f"{first * MILLISECONDS_PER_SECOND:.0f}", _codes(summary.codes)]
            rows.append(row)
    header = ["admission", "load", "requests", "good/s", "of peak", "late", "retries"]
    print(table([*header, "first token p95 ms", "no whole answer, by result"], rows))


def _codes(codes: dict[tuple[int, str], int]) -> str:
    return ", ".join(f"{code} {run}: {count}" for (code, run), count in sorted(codes.items()))


if __name__ == "__main__":
    fire.Fire(main)
