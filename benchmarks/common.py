"""Common parts of the benchmarks: a loopback cluster with customers, and its targets."""

import re
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from demo.cluster import Cluster, Endpoint, Host, call, wait_ready
from samphirehall.load.runner import Run, run_entries
from samphirehall.load.scenario import Scenario, Targets

ZONES = ("prairie-1", "prairie-2", "prairie-3")


@dataclass(slots=True)
class Setup:
    """Cluster that a benchmark starts.

    Parameters
    ----------
    customers : dict of str to float
        Weight of each customer.
    engines, hosts : int
        Numbers of engines and hosts, assigned to `zones` round robin.
    timing : dict of str to float
        Constants of the engines' timing model.
    routing, admission : dict of str to object
        Keys of the entries' settings tables, as TOML values.
    fleet : dict of str to object
        Keys of the configuration's fleet part, as TOML values.
    roles : list of str
        Initial role of each engine; mixed for engines beyond the end of the list.
    kinds, states : list of str
        Initial kind and state of each engine; standard and ready for engines beyond
        the ends of the lists.
    """

    customers: dict[str, float]
    engines: int = 4
    hosts: int = 2
    zones: tuple[str, ...] = ZONES[:1]
    timing: dict[str, float] = field(default_factory=dict)
    routing: dict[str, str] = field(default_factory=dict)
    admission: dict[str, str] = field(default_factory=dict)
    deadline_seconds: float = 60.0
    fleet: dict[str, str] = field(default_factory=dict)
    roles: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    states: list[str] = field(default_factory=list)


@contextmanager
def running(setup: Setup) -> Iterator[tuple[Cluster, Targets]]:
    """Start a cluster, yield it and its targets, and stop it on exit."""
    zones = setup.zones
    hosts = [Host(f"host-{n}", zones[n % len(zones)]) for n in range(setup.hosts)]
    endpoints = [_engine(setup, number) for number in range(setup.engines)]
    endpoints.append(Endpoint("desk-1", "service", zones[0], ["order-desk"]))
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), hosts, endpoints)
        cluster.extra_settings["entry"] = _settings_tables(setup)
        try:
            cluster.start()
            keys = _apply_configuration(cluster, setup)
            for host in hosts:
                wait_ready(host.entry)
            yield cluster, _targets(cluster, keys)
        finally:
            cluster.stop()
            cluster.kill_all()


def _engine(setup: Setup, number: int) -> Endpoint:
    options = [f"--{name}={value}" for name, value in setup.timing.items()]
    role = _nth(setup.roles, number, "mixed")
    return Endpoint(
        f"engine-{number}",
        "engine",
        setup.zones[number % len(setup.zones)],
        ["answer"],
        kind=_nth(setup.kinds, number, "standard"),
        role=role,
        state=_nth(setup.states, number, "ready"),
        options=options,
    )


def _nth(values: list[str], number: int, default: str) -> str:
    return values[number] if number < len(values) else default


def _settings_tables(setup: Setup) -> str:
    lines = []
    for name, table in (("routing", setup.routing), ("admission", setup.admission)):
        if table:
            lines += ["", f"[{name}]", *(f"{key} = {value}" for key, value in table.items())]
    return "\n".join(lines) + "\n"


def _apply_configuration(cluster: Cluster, setup: Setup) -> dict[str, str]:
    lines, keys = [], {}
    for customer, weight in setup.customers.items():
        output = cluster.ctl("key", "new").stdout
        keys[customer] = re.findall(r"key \(shown once\): (\S+)", output)[0]
        digest = re.findall(r"digest: (\S+)", output)[0]
        lines += [f"[customers.{customer}]", f"weight = {weight}", f'key_digests = ["{digest}"]']
    lines += ["[models.answer]", 'version = "1"']
    lines += ["[routes.answer]", 'kind = "model"', 'target = "answer"']
    lines += ['priority = "urgent"', f"deadline_seconds = {setup.deadline_seconds}"]
    lines += ["[routes.stock]", 'kind = "service"', 'target = "order-desk"']
    lines += ["[routes.bookings]", 'kind = "service"', 'target = "order-desk"']
    lines += ["idempotent = false"]
    lines += ["[fleet]", *(f"{key} = {value}" for key, value in setup.fleet.items())]
    path = cluster.folder / "configuration.toml"
    path.write_text("\n".join(lines) + "\n")
    done = cluster.ctl("config", "apply", str(path), "--author=benchmark")
    if done.returncode:
        raise RuntimeError(f"the configuration was refused: {done.stderr}")
    return keys


def _targets(cluster: Cluster, keys: dict[str, str]) -> Targets:
    endpoints = {endpoint.name: endpoint.address for endpoint in cluster.endpoints}
    return Targets(
        entries=[host.entry for host in cluster.hosts],
        keys=keys,
        endpoints={**endpoints, "platform": cluster.platform},
        processes={
            name: program.process.pid
            for name, program in cluster.programs.items()
            if program.process is not None
        },
    )


SLOW_ENGINE = {
    "step_base_seconds": 0.02,
    "decode_sequence_seconds": 0.002,
    "prefill_tokens_per_second": 20_000,
    "max_batch": 16,
    "cache_capacity_tokens": 65_536,
}
SLOW_RATES = {
    "token_seconds": "0.02",
    "sequence_seconds": "0.002",
    "prefill_tokens_per_second": "20000.0",
    "max_batch": "16",
}


def run_once(setup: Setup, scenario: Scenario, *, seed: int) -> Run:
    """Start a cluster, run a scenario through its entries and stop it."""

    async def run(targets: Targets) -> Run:
        return await run_entries(scenario, targets, seed=seed)

    with running(setup) as (_, targets):
        return anyio.run(run, targets)


def cached_fraction(cluster: Cluster) -> float:
    """Return the fraction of all prompt tokens that engines served from their caches."""
    cached = prefilled = 0
    for endpoint in cluster.endpoints:
        if endpoint.protocol == "engine":
            counts = call(endpoint.address, "GET", "/admin/counts").json()
            cached += counts["cached_tokens"]
            prefilled += counts["prefilled_tokens"]
    return cached / max(1, cached + prefilled)


def max_min_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity, none above its demand."""
    shares: dict[str, float] = {}
    unmet_demands = dict(demands)
    while unmet_demands:
        level = capacity / sum(weights[name] for name in unmet_demands)
        satisfied = [
            name for name, demand in unmet_demands.items() if demand <= level * weights[name]
        ]
        if not satisfied:
            return shares | {name: level * weights[name] for name in unmet_demands}
        for name in satisfied:
            shares[name] = unmet_demands.pop(name)
            capacity -= shares[name]
    return shares
