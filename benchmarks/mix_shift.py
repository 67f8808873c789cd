"""Benchmark: goodput under a changing mix, with dynamic and with static engine roles.

Run with ``python -m benchmarks.mix_shift``. One zone with six engines; the mix of prompt and output
tokens shifts twice. Same seed and arrivals in every run.
"""

import sys

from benchmarks.common import SLOW_ENGINE, SLOW_RATES, Setup, run_once
from samphirehall.load.plot import save_plot
from samphirehall.load.runner import Run
from samphirehall.load.scenario import Customer, Phase, Scenario, Workload

SEED = 11
ENGINES = 6
PHASE_SECONDS = 25.0
DEADLINE_SECONDS = 6.0
PREFILL_REQUESTS_PER_SECOND = 14.0
DECODE_REQUESTS_PER_SECOND = 9.0
TARGET_RATIO = 1.3
SPLIT = ["prefill"] * 3 + ["decode"] * 3
FLEET = {
    "role_dwell_seconds": "12.0",
    "role_change_seconds": "2.0",
    "prefill_tokens_per_second": "14000.0",
    "decode_tokens_per_second": "200.0",
}


def scenario() -> Scenario:
    """Return a scenario whose load shifts from prefill to decode and back."""
    reads = Workload(
        "answer", prompt_tokens=5000, output_tokens=12, deadline_seconds=DEADLINE_SECONDS
    )
    writes = Workload(
        "answer", prompt_tokens=150, output_tokens=130, deadline_seconds=DEADLINE_SECONDS
    )
    return Scenario(
        "mix-shift",
        {"reads": reads, "writes": writes},
        {"petal-coop": Customer()},
        [
            Phase(PHASE_SECONDS, PREFILL_REQUESTS_PER_SECOND, {"reads": 0.9, "writes": 0.1}),
            Phase(PHASE_SECONDS, DECODE_REQUESTS_PER_SECOND, {"reads": 0.05, "writes": 0.95}),
            Phase(PHASE_SECONDS, PREFILL_REQUESTS_PER_SECOND, {"reads": 0.9, "writes": 0.1}),
        ],
    )


SETUPS = {
    "static, all mixed": ([], {}),
    "static, half and half": (SPLIT, {}),
    "roles follow, from mixed": ([], {**FLEET, "change_roles": "true"}),
    "roles follow, from half and half": (SPLIT, {**FLEET, "change_roles": "true"}),
}


def run_setup(roles: list[str], fleet: dict[str, str]) -> Run:
    """Run the scenario on a new cluster with these roles and fleet settings."""
    setup = Setup(
        {"petal-coop": 1.0},
        engines=ENGINES,
        hosts=2,
        timing=SLOW_ENGINE,
        routing=SLOW_RATES,
        fleet=fleet,
        roles=roles,
    )
    return run_once(setup, scenario(), seed=SEED)


def role_changes(run: Run) -> int:
    """Return the number of role changes of all engines, seen in the samples."""
    changes = 0
    last: dict[str, str] = {}
    for sample in run.roles:
        for name, role in sample.roles.items():
            if role == "changing":
                continue
            changes += name in last and last[name] != role
            last[name] = role
    return changes


def good_by_phase(run: Run) -> list[int]:
    """Return the number of good responses in each phase, by time of arrival."""
    counts = [0, 0, 0]
    for outcome in run.outcomes:
        counts[min(2, int(outcome.at / PHASE_SECONDS))] += outcome.good
    return counts


def main() -> int:
    """Print the table; the first argument names a PNG file for a plot."""
    shifts = 2
    print(f"seed {SEED}, {ENGINES} engines, {shifts} shifts, phases of {PHASE_SECONDS:g} s\n")
    print("| roles | good/s | by phase | changes | changes an engine a shift | wrong |")
    print("| --- | --- | --- | --- | --- | --- |")
    goodput: dict[str, float] = {}
    runs = []
    for name, (roles, fleet) in SETUPS.items():
        run = run_setup(roles, fleet)
        run.title = name
        runs.append(run)
        goodput[name] = sum(outcome.good for outcome in run.outcomes) / (3 * PHASE_SECONDS)
        wrong = sum(outcome.wrong for outcome in run.outcomes)
        phases = " / ".join(map(str, good_by_phase(run)))
        changes = role_changes(run)
        print(
            f"| {name} | {goodput[name]:.2f} | {phases} | {changes} "
            f"| {changes / ENGINES / shifts:.2f} | {wrong} |",
            flush=True,
        )
    static = max(value for name, value in goodput.items() if name.startswith("static"))
    following = max(value for name, value in goodput.items() if name.startswith("roles"))
    ratio = following / static
    print(f"\nbest following / best static: {ratio:.2f} (aim {TARGET_RATIO})")
    if len(sys.argv) > 1:
        save_plot(sys.argv[1], runs[::-1])
    return 0


if __name__ == "__main__":
    sys.exit(main())
