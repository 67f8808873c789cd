"""Benchmark: prefix reuse and time to the first token by routing policy.

Usage: ``python -m benchmarks.prefix_reuse [--seed=1] [--seconds=20] [--policies=prefix-aware]``
"""

import anyio
import fire

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, cached_fraction, running
from samphirehall.load.outcome import PERCENTILES, summarize
from samphirehall.load.report import table
from samphirehall.load.runner import Run, run_entries
from samphirehall.load.scenario import Customer, Phase, Scenario, Targets, Workload

POLICIES = ("round-robin", "least-in-flight", "prefix-aware")
CUSTOMERS = ("coop", "school", "shop", "desk")
PREFIXES_PER_CUSTOMER = 8
PROMPT_TOKENS = 5120
SHARED_FRACTION = 0.8
REQUESTS_PER_SECOND = 16.0
MILLISECONDS_PER_SECOND = 1000


def scenario(seconds: float) -> Scenario:
    """Return a scenario of long prompts that mostly consist of shared prefixes."""
    workload = Workload(
        "answer",
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=15,
        spread=0.05,
        prefixes=PREFIXES_PER_CUSTOMER,
        shared_share=SHARED_FRACTION,
        deadline_seconds=10,
        priority="urgent",
    )
    return Scenario(
        name="prefix-reuse",
        workloads={"ledgers": workload},
        customers={name: Customer() for name in CUSTOMERS},
        phases=[Phase(seconds, REQUESTS_PER_SECOND, {"ledgers": 1.0})],
        caller_retries=0,
    )


def _measure(policy: str, *, seconds: float, seed: int) -> tuple[Run, float]:
    setup = Setup(
        dict.fromkeys(CUSTOMERS, 1.0),
        engines=4,
        hosts=2,
        timing=SLOW_ENGINE,
        routing={**SLOW_RATES, "policy": f'"{policy}"'},
    )

    async def run(targets: Targets) -> Run:
        return await run_entries(scenario(seconds), targets, seed=seed)

    with running(setup) as (cluster, targets):
        return anyio.run(run, targets), cached_fraction(cluster)


def main(seed: int = 1, seconds: float = 20.0, policies: tuple[str, ...] | str = POLICIES) -> None:
    """Print the share of cached prompt tokens and the time to the first token."""
    print(
        f"{REQUESTS_PER_SECOND:g} requests/s for {seconds:g} s, 4 engines, 2 hosts, seed {seed}\n"
    )
    rows = []
    for policy in [policies] if isinstance(policies, str) else policies:
        run, cached = _measure(policy, seconds=seconds, seed=seed)
        summary = summarize(run.outcomes)
        row = [policy, summary.requests, summary.good, f"{cached:.0%}"]
        for percent in PERCENTILES:
            first = summary.first_token.percentile(percent) or 0.0
            row.append(f"{first * MILLISECONDS_PER_SECOND:.0f}")
        rows.append(row)
    header = ["policy", "requests", "good", "prompt tokens cached"]
    header += [f"first token p{percent:.0f} ms" for percent in PERCENTILES]
    print(table(header, rows))


if __name__ == "__main__":
    fire.Fire(main)
