"""Benchmark: worst share of a customer while a large one overloads, by admission policy.

Usage: ``python -m benchmarks.fairness [--seed=1] [--seconds=30] [--flood=3]``
"""

import fire

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, max_min_shares, run_once
from samphirehall.load.outcome import summarize, summarize_by_customer
from samphirehall.load.report import table
from samphirehall.load.runner import Run
from samphirehall.load.scenario import Customer, Phase, Scenario, Workload

SMALL = ("small-1", "small-2", "small-3", "small-4")
LARGE = "large"
CAPACITY_PER_SECOND = 20.0
SMALL_PER_SECOND = 3.2
DEADLINE_SECONDS = 6.0
TARGET_FRACTION = 0.8


def scenario(seconds: float, flood: float) -> Scenario:
    """Return a scenario of small customers below their fair share and one that overloads."""
    rates = {**dict.fromkeys(SMALL, SMALL_PER_SECOND), LARGE: flood * CAPACITY_PER_SECOND}
    workload = Workload(
        "answer", prompt_tokens=400, output_tokens=30, deadline_seconds=DEADLINE_SECONDS
    )
    return Scenario(
        name="fairness",
        workloads={"verdicts": workload},
        customers={name: Customer(share=rate) for name, rate in rates.items()},
        phases=[Phase(seconds, sum(rates.values()), {"verdicts": 1.0})],
        caller_retries=1,
    )


def _shares(run: Run, capacity: float) -> dict[str, float]:
    """Return each customer's good responses relative to its max-min fair share."""
    summaries = summarize_by_customer(run.outcomes)
    demands = {name: float(summary.requests) for name, summary in summaries.items()}
    fair = max_min_shares(demands, dict.fromkeys(demands, 1.0), capacity)
    return {name: summaries[name].good / fair[name] for name in fair}


def main(seed: int = 1, seconds: float = 30.0, flood: float = 3.0) -> None:
    """Print the goodput and the smallest customer share for each admission policy."""
    print(f"flood {flood:g} x capacity for {seconds:g} s, seed {seed}, aim {TARGET_FRACTION:.0%}\n")
    runs = {}
    for policy in ("none", "fair"):
        setup = Setup(
            dict.fromkeys((*SMALL, LARGE), 1.0),
            engines=2,
            hosts=2,
            timing=SLOW_ENGINE,
            routing=SLOW_RATES,
            admission={"policy": f'"{policy}"'},
        )
        runs[policy] = run_once(setup, scenario(seconds, flood), seed=seed)
    capacity = max(summarize(run.outcomes).good for run in runs.values())
    rows = []
    for policy, run in runs.items():
        summary = summarize(run.outcomes)
        shares = _shares(run, capacity)
        worst = min(shares, key=shares.__getitem__)
        row = [policy, summary.requests, f"{summary.good / seconds:.1f}", summary.late]
        row += [summary.retries, worst, f"{shares[worst]:.0%}"]
        row += [", ".join(f"{shares[name]:.0%}" for name in (*SMALL, LARGE))]
        rows.append(row)
    header = ["admission", "requests", "good/s", "late", "retries", "worst", "its share"]
    print(table([*header, "shares of small 1-4, large"], rows))


if __name__ == "__main__":
    fire.Fire(main)
