"""Open-loop arrivals: a seeded Poisson process over the phases of a scenario."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from samphirehall.load.scenario import Phase, Scenario, Workload
from samphirehall.routing.blocks import CHARACTERS_PER_TOKEN


@dataclass(slots=True, frozen=True)
class Arrival:
    """One scheduled request.

    Parameters
    ----------
    number : int
        Index of the arrival in its run, from 0.
    at : float
        Time of arrival, in seconds after the start of the run.
    customer, workload : str
        Names in the scenario.
    prompt_tokens, output_tokens : int
        Length of the prompt and number of tokens to generate.
    prefix : int
        Index of the shared text that the prompt begins with.
    """

    number: int
    at: float
    customer: str
    workload: str
    prompt_tokens: int
    output_tokens: int
    prefix: int


def poisson_arrivals(
    scenario: Scenario, *, seed: int, rate_scale: float = 1.0
) -> Iterator[Arrival]:
    """Yield the arrivals of a scenario in order of time, reproducibly for a seed.

    Parameters
    ----------
    scenario : Scenario
        Phases, workload mixes and customer shares.
    seed : int
        Seed of the random times, customers, workloads, lengths and prefixes.
    rate_scale : float
        Factor applied to the rate of every phase.
    """
    rng = random.Random(seed)
    phase_start, number = 0.0, 0
    for phase in scenario.phases:
        at = phase_start + rng.expovariate(phase.rate * rate_scale)
        while at < phase_start + phase.seconds:
            yield _draw_arrival(scenario, phase, rng, number=number, at=at)
            number += 1
            at += rng.expovariate(phase.rate * rate_scale)
        phase_start += phase.seconds


def _draw_arrival(
    scenario: Scenario, phase: Phase, rng: random.Random, *, number: int, at: float
) -> Arrival:
    customers = list(scenario.customers)
    shares = [phase.shares.get(name, scenario.customers[name].share) for name in customers]
    customer = rng.choices(customers, shares)[0]
    allowed = scenario.customers[customer].workloads
    mix = {name: weight for name, weight in phase.mix.items() if not allowed or name in allowed}
    mix = mix or phase.mix
    workload = rng.choices(list(mix), list(mix.values()))[0]
    settings = scenario.workloads[workload]
    return Arrival(
        number,
        at,
        customer,
        workload,
        _sample_length(settings.prompt_tokens, settings.spread, rng),
        _sample_length(settings.output_tokens, settings.spread, rng),
        rng.randrange(settings.prefixes),
    )


def _sample_length(tokens: int, spread: float, rng: random.Random) -> int:
    return max(1, round(tokens * rng.uniform(1 - spread, 1 + spread)))


def build_prompt(arrival: Arrival, workload: Workload, *, seed: int) -> str:
    """Return the prompt of an arrival: a shared prefix, then text unique to the request."""
    characters = arrival.prompt_tokens * CHARACTERS_PER_TOKEN
    shared = int(workload.prompt_tokens * workload.shared_share) * CHARACTERS_PER_TOKEN
    shared = min(shared, characters)
    shared_title = f"{arrival.customer} {arrival.workload} {arrival.prefix}"
    unique_title = f"request {arrival.number} of run {seed}"
    return _repeat_title(shared_title, shared) + _repeat_title(unique_title, characters - shared)


def _repeat_title(title: str, characters: int) -> str:
    line = f"{title}: "
    rows = (f"{line}row {row}\n" for row in range(characters // len(line) + 1))
    return "".join(rows)[:characters]
