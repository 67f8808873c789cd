"""Cost of good answers with and without the cheap kind, and with a reclaim in the middle.

Run with ``python -m benchmarks.cheap_kind``. Six engines; in two of the runs four of them are of
the cheap kind, and in the last one the platform takes these four back at once, on a few seconds'
notice. Same seed and arrivals in every run.
"""

import sys

import anyio

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, running
from samphirehall.load.runner import Run, run_entries
from samphirehall.load.scenario import Customer, Fault, Phase, Scenario, Workload

SEED = 5
ENGINES = 6
CHEAP = [2, 3, 4, 5]
SECONDS = 30.0
RECLAIM_AT = 12.0
NOTICE_SECONDS = 4.0
RATE = 8.0
STANDARD_PER_HOUR = 4.0
CHEAP_PER_HOUR = 1.2
SECONDS_PER_HOUR = 3600.0


def reclaim() -> list[Fault]:
    """Return the notice of the platform and of each cheap engine."""
    faults = []
    for number in CHEAP:
        name = f"engine-{number}"
        listed = {"endpoint_id": name, "state": "leaving", "leaving_in": NOTICE_SECONDS}
        faults.append(
            Fault(RECLAIM_AT, "call", "platform", "POST", "/admin/endpoints", body=listed)
        )
        faults.append(Fault(RECLAIM_AT + NOTICE_SECONDS, "kill", name))
    return faults


def run_once(kinds: list[str], faults: list[Fault]) -> Run:
    """Return the outcome of one run."""
    verdicts = Workload("answer", prompt_tokens=800, output_tokens=40, deadline_seconds=8)
    scenario = Scenario(
        "cheap-kind",
        {"verdicts": verdicts},
        {"petal-coop": Customer()},
        [Phase(SECONDS, RATE, {"verdicts": 1.0})],
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
    """Return what the endpoints of a run cost."""
    standard_hours = standard * SECONDS / SECONDS_PER_HOUR
    cheap_hours = cheap * cheap_seconds / SECONDS_PER_HOUR
    return standard_hours * STANDARD_PER_HOUR + cheap_hours * CHEAP_PER_HOUR


def main() -> int:
    """Print the table."""
    kinds = ["standard"] * (ENGINES - len(CHEAP)) + ["cheap"] * len(CHEAP)
    standard = ENGINES - len(CHEAP)
    cases = {
        "standard only": ([], [], cost(ENGINES, 0, 0)),
        "four cheap": (kinds, [], cost(standard, len(CHEAP), SECONDS)),
        "four cheap, reclaimed": (
            kinds,
            reclaim(),
            cost(standard, len(CHEAP), RECLAIM_AT + NOTICE_SECONDS),
        ),
    }
    print(f"seed {SEED}, {RATE:g} requests/s for {SECONDS:g} s, reclaim at {RECLAIM_AT:g} s\n")
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
