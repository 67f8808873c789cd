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
    source = random.Random(seed)
    begin, number = 0.0, 0
    for phase in scenario.phases:
        at = begin + source.expovariate(phase.rate * rate_scale)
        while at < begin + phase.seconds:
            yield _arrival(scenario, phase, source, number=number, at=at)
            number += 1
            at += source.expovariate(phase.rate * rate_scale)
        begin += phase.seconds


def _arrival(
    scenario: Scenario, phase: Phase, source: random.Random, *, number: int, at: float
) -> Arrival:
    customers = list(scenario.customers)
    shares = [phase.shares.get(name, scenario.customers[name].share) for name in customers]
    customer = source.choices(customers, shares)[0]
    allowed = scenario.customers[customer].workloads
    mix = {name: weight for name, weight in phase.mix.items() if not allowed or name in allowed}
    mix = mix or phase.mix
    workload = source.choices(list(mix), list(mix.values()))[0]
    settings = scenario.workloads[workload]
    return Arrival(
        number,
        at,
        customer,
        workload,
        _varied(settings.prompt_tokens, settings.spread, source),
        _varied(settings.output_tokens, settings.spread, source),
        source.randrange(settings.prefixes),
    )


def _varied(tokens: int, spread: float, source: random.Random) -> int:
    return max(1, round(tokens * source.uniform(1 - spread, 1 + spread)))


def prompt_of(arrival: Arrival, workload: Workload, *, seed: int) -> str:
    """Return the prompt of an arrival: a shared prefix, then text unique to the request."""
    characters = arrival.prompt_tokens * CHARACTERS_PER_TOKEN
    shared = int(workload.prompt_tokens * workload.shared_share) * CHARACTERS_PER_TOKEN
    shared = min(shared, characters)
    common = f"{arrival.customer} {arrival.workload} {arrival.prefix}"
    own = f"request {arrival.number} of run {seed}"
    return _text(common, shared) + _text(own, characters - shared)


def _text(title: str, characters: int) -> str:
    line = f"{title}: "
    rows = (f"{line}row {row}\n" for row in range(characters // len(line) + 1))
    return "".join(rows)[:characters]
