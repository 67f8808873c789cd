"""Benchmark: cost of good responses with and without cheap engines, and with a reclaim.

Run with ``python -m benchmarks.cheap_kind``. Six engines; in two of the runs four of them are of
the cheap kind, and in the last one the platform reclaims these four at once, with a few seconds'
notice. Same seed and arrivals in every run.
"""

import sys

import anyio

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, running
from samphirehall.load.runner import Run, run_entries
from samphirehall.load.scenario import Customer, Fault, Phase, Scenario, Workload

SEED = 5
ENGINES = 6
CHEAP_ENGINES = [2, 3, 4, 5]
RUN_SECONDS = 30.0
RECLAIM_AT_SECONDS = 12.0
NOTICE_SECONDS = 4.0
REQUESTS_PER_SECOND = 8.0
STANDARD_PER_HOUR = 4.0
CHEAP_PER_HOUR = 1.2
SECONDS_PER_HOUR = 3600.0


def reclaim() -> list[Fault]:
    """Return the faults of a reclaim: notices from the platform, then kills of the engines."""
    faults = []
    for number in CHEAP_ENGINES:
        name = f"engine-{number}"
        listed = {"endpoint_id": name, "state": "leaving", "leaving_in": NOTICE_SECONDS}
        faults.append(
            Fault(RECLAIM_AT_SECONDS, "call", "platform", "POST", "/admin/endpoints", body=listed)
        )
        faults.append(Fault(RECLAIM_AT_SECONDS + NOTICE_SECONDS, "kill", name))
    return faults


def run_once(kinds: list[str], faults: list[Fault]) -> Run:
    """Run the scenario on a new cluster with these engine kinds and faults."""
    verdicts = Workload("answer", prompt_tokens=800, output_tokens=40, deadline_seconds=8)
    scenario = Scenario(
        "cheap-kind",
        {"verdicts": verdicts},
        {"petal-coop": Customer()},
        [Phase(RUN_SECONDS, REQUESTS_PER_SECOND, {"verdicts": 1.0})],
        faults,
    )
    setup = Setup(
        {"petal-coop": 1.0},
        engines=ENGINES,
        timing=SLOW_ENGINE,
        routing=SLOW_RATES,
        kinds=kinds,
    )
    with running(setup) as (_, targets):
        return anyio.run(lambda: run_entries(scenario, targets, seed=SEED))


def cost(standard: int, cheap: int, cheap_seconds: float) -> float:
    """Return the cost of the endpoints of a run, from their running time."""
    standard_hours = standard * RUN_SECONDS / SECONDS_PER_HOUR
    cheap_hours = cheap * cheap_seconds / SECONDS_PER_HOUR
    return standard_hours * STANDARD_PER_HOUR + cheap_hours * CHEAP_PER_HOUR


def main() -> int:
    """Print the requests, good responses and costs of each case."""
    kinds = ["standard"] * (ENGINES - len(CHEAP_ENGINES)) + ["cheap"] * len(CHEAP_ENGINES)
    standard = ENGINES - len(CHEAP_ENGINES)
    cases = {
        "standard only": ([], [], cost(ENGINES, 0, 0)),
        "four cheap": (kinds, [], cost(standard, len(CHEAP_ENGINES), RUN_SECONDS)),
        "four cheap, reclaimed": (
            kinds,
            reclaim(),
            cost(standard, len(CHEAP_ENGINES), RECLAIM_AT_SECONDS + NOTICE_SECONDS),
        ),
    }
    print(
        f"seed {SEED}, {REQUESTS_PER_SECOND:g} requests/s for {RUN_SECONDS:g} s, "
        f"reclaim at {RECLAIM_AT_SECONDS:g} s\n"
    )
    print("| fleet | requests | good | not whole | wrong | cost | cost of 1,000 good |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, (chosen, faults, price) in cases.items():
        outcomes = run_once(chosen, faults).outcomes
        good = sum(outcome.good for outcome in outcomes)
        broken = sum(not outcome.complete for outcome in outcomes)
        wrong = sum(outcome.wrong for outcome in outcomes)
        per_thousand = price / max(1, good) * 1000
        print(
            f"| {name} | {len(outcomes)} | {good} | {broken} | {wrong} | {price:.3f} "
            f"| {per_thousand:.2f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
