"""Scenarios, each of which generates a fault plan from a seeded random generator."""

import random
from collections.abc import Callable

from tests.promises.faults import Fault

HOSTS = ("host-a", "host-b", "host-c", "host-d")
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
ENGINES_V1 = ("engine-1", "engine-2", "engine-3")
ENGINES_V2 = ("engine-4", "engine-5", "engine-6")
DESKS = ("desk-1", "desk-2")
CHEAP_ZONE = "prairie-3"
RUN_SECONDS = 8.0
PlanGenerator = Callable[[random.Random], list[Fault]]


def crashes(choose: random.Random) -> list[Fault]:
    """Processes are killed and suspended, and a request crashes every endpoint that runs it."""
    first, second = choose.sample(ENGINES, 2)
    entry, control, paused = choose.sample(HOSTS, 3)
    return [
        Fault("kill", first, choose.uniform(0.5, 2.0), 1.0),
        Fault("kill", second, choose.uniform(3.0, 5.0), 0.5),
        Fault("kill", f"{entry}-entry", choose.uniform(0.5, 4.0), 0.5),
        Fault("kill", f"{control}-control", choose.uniform(0.5, 4.0), 0.5),
        Fault("pause", f"{paused}-control", choose.uniform(0.5, 2.0), choose.uniform(2.5, 4.0)),
        Fault("kill", choose.choice(DESKS), choose.uniform(1.0, 4.0), 1.0),
        Fault("poison", "", choose.uniform(4.5, 5.5), 1.0),
    ]


def network(choose: random.Random) -> list[Fault]:
    """Connections are reset or drop data, a host is isolated, and an engine sends wrong events."""
    cut, silent, lost = choose.sample(ENGINES, 3)
    isolated, behind = choose.sample(HOSTS, 2)
    return [
        Fault("cut", f"endpoint/{cut}", choose.uniform(0.5, 2.0), choose.uniform(0.5, 2.0)),
        Fault("silence", f"endpoint/{silent}", choose.uniform(2.0, 4.0), choose.uniform(1.0, 2.5)),
        Fault("lose-track", f"endpoint/{lost}", choose.uniform(0.5, 5.0)),
        Fault("lose-track", f"endpoint/{choose.choice(DESKS)}", choose.uniform(0.5, 5.0)),
        Fault("isolate", isolated, choose.uniform(0.5, 2.0), choose.uniform(2.5, 4.0)),
        Fault("lose-track", f"mesh/{behind}", choose.uniform(0.5, 3.0)),
        Fault("lose-track", f"platform/{behind}-entry", choose.uniform(0.5, 3.0)),
        Fault("load", "2026-12", choose.uniform(1.0, 4.0)),
        Fault("garble", choose.choice(ENGINES), choose.uniform(5.0, 6.0), 1.5),
    ]


def store(choose: random.Random) -> list[Fault]:
    """The platform is down, is slow and loses answers after the write; processes die meanwhile."""
    return [
        Fault("outage", "platform", choose.uniform(0.5, 1.5), choose.uniform(1.0, 2.5)),
        Fault("lose-answers", "platform", choose.uniform(3.5, 4.5), choose.uniform(1.0, 2.5)),
        Fault("slow", "platform", choose.uniform(4.0, 5.5), choose.uniform(1.0, 2.0)),
        Fault("kill", f"{choose.choice(HOSTS)}-entry", choose.uniform(0.5, 5.0), 0.5),
        Fault("pause", f"{choose.choice(HOSTS)}-entry", choose.uniform(0.5, 4.0), 2.5),
        Fault("race", "", choose.uniform(3.5, 5.0)),
    ]


def restored(choose: random.Random) -> list[Fault]:
    """The platform comes back from a copy, while operators change things and processes die."""
    killed, paused = choose.sample(HOSTS, 2)
    at = choose.uniform(0.5, 2.0)
    return [
        Fault("restore", "platform", at, choose.uniform(1.0, 2.5)),
        Fault("race", "", at + choose.uniform(0.2, 1.0)),
        Fault("load", "2026-12", at + choose.uniform(0.2, 1.0)),
        Fault("race", "", choose.uniform(5.5, 6.5)),
        Fault("kill", f"{killed}-control", choose.uniform(2.0, 5.0), 0.5),
        Fault("pause", f"{paused}-entry", choose.uniform(1.0, 4.0), 1.0),
    ]


def operators(choose: random.Random) -> list[Fault]:
    """Operators race, withdraw a key and change a version while a control process is paused."""
    paused, asked = choose.sample(HOSTS, 2)
    return [
        Fault("race", "", choose.uniform(0.5, 1.0)),
        Fault("withdraw", asked, choose.uniform(1.5, 2.0)),
        Fault("race", "", choose.uniform(3.0, 4.0)),
        Fault("load", "2026-12", choose.uniform(4.0, 5.0)),
        Fault("pause", f"{paused}-control", choose.uniform(0.5, 1.0), choose.uniform(2.5, 4.0)),
    ]


def orders(choose: random.Random) -> list[Fault]:
    """Model versions change repeatedly while lease holders are suspended, isolated and killed."""
    paused, isolated, killed = choose.sample(HOSTS, 3)
    versions = [
        Fault("load", f"2026-{12 + number}", 0.2 + 1.1 * number + choose.uniform(0.0, 0.5))
        for number in range(6)
    ]
    return [
        *versions,
        Fault("pause", f"{paused}-control", choose.uniform(0.5, 1.5), choose.uniform(2.5, 4.0)),
        Fault("isolate", isolated, choose.uniform(1.0, 2.5), choose.uniform(2.5, 4.0)),
        Fault("kill", f"{killed}-control", choose.uniform(2.0, 4.0), 0.5),
        Fault("drain", choose.choice(ENGINES), choose.uniform(1.0, 4.0)),
        Fault("lose-answers", "platform", choose.uniform(0.5, 4.0), 1.5),
    ]


def planned(choose: random.Random) -> list[Fault]:
    """Processes are stopped and endpoints leave as planned, and nothing else happens."""
    first, second, control = choose.sample(HOSTS, 3)
    return [
        Fault("stop", f"{first}-entry", choose.uniform(0.5, 1.0), 0.5),
        Fault("stop", f"{second}-entry", choose.uniform(3.5, 4.5), 0.5),
        Fault("stop", f"{control}-control", choose.uniform(1.0, 4.0), 0.5),
        Fault("leave", choose.choice(ENGINES[:2]), choose.uniform(0.2, 0.8), 9.0),
        Fault("reclaim", CHEAP_ZONE, choose.uniform(1.0, 4.0)),
        Fault("load", "2026-12", choose.uniform(1.0, 4.0)),
    ]


def versions(choose: random.Random) -> list[Fault]:
    """Engines of two software versions are killed in turn and one is released; hosts are killed.

    While an engine is down, two others of its version serve.
    """
    host, other = choose.sample(HOSTS, 2)
    first, second, released = choose.sample(ENGINES_V1, 3)
    third, fourth = choose.sample(ENGINES_V2, 2)
    return [
        Fault("kill", first, choose.uniform(0.8, 1.2), 0.5),
        Fault("kill", third, choose.uniform(1.8, 2.2), 0.5),
        Fault("kill", second, choose.uniform(3.8, 4.2), 0.5),
        Fault("kill", fourth, choose.uniform(4.6, 5.0), 0.5),
        Fault("release", released, choose.uniform(6.2, 6.6), 0.5),
        Fault("kill", f"{host}-entry", choose.uniform(2.0, 2.5), 0.5),
        Fault("kill", f"{host}-control", choose.uniform(2.0, 2.5), 0.5),
        Fault("kill", f"{other}-entry", choose.uniform(4.0, 4.5), 0.5),
    ]


def together(choose: random.Random) -> list[Fault]:
    """Faults of every kind, some of them at the same moment."""
    everything = [
        fault
        for plan in (crashes, network, store, operators, orders)
        for fault in plan(choose)
        if fault.action != "poison"
    ]
    return choose.sample(everything, 9)


SCENARIOS: dict[str, PlanGenerator] = {
    "crashes": crashes,
    "network": network,
    "store": store,
    "restored": restored,
    "operators": operators,
    "orders": orders,
    "planned": planned,
    "versions": versions,
    "together": together,
}


def fault_plan(scenario: str, seed: int) -> list[Fault]:
    """Return the fault plan of a scenario for a seed, ordered by time."""
    faults = SCENARIOS[scenario](random.Random(f"{scenario}/{seed}"))
    return sorted(faults, key=lambda fault: fault.at)
