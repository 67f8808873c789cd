"""Runs a scenario open loop: arrivals are sent on time, however slow the responses."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import TRANSPORT_ERRORS, read_body
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.load.arrivals import Arrival, poisson_arrivals
from samphirehall.load.caller import Caller, direct_caller, entry_caller
from samphirehall.load.faults import check_faults, run_faults
from samphirehall.load.outcome import Outcome
from samphirehall.load.scenario import Scenario, Targets

START_DELAY_SECONDS = 0.2
SAMPLE_INTERVAL_SECONDS = 1.0
STATE_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 60.0
MAX_STATE_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class RoleSample:
    """Roles of the engines at one point in time.

    Parameters
    ----------
    at : float
        Seconds after the start of the run.
    roles : dict of str to str
        Role of each engine that responded, by name; ``"changing"`` during a role
        change.
    """

    at: float
    roles: dict[str, str]


@dataclass(slots=True)
class Run:
    """Outcomes and role samples of one run.

    Parameters
    ----------
    title : str
        What received the requests: ``"entries"`` or ``"direct"``.
    seconds : float
        Length of the scenario.
    outcomes : list of Outcome
        One for each arrival.
    roles : list of RoleSample
        Roles over time; without entries if the targets name no engines.
    """

    title: str
    seconds: float
    outcomes: list[Outcome] = field(default_factory=list)
    roles: list[RoleSample] = field(default_factory=list)


async def run_entries(
    scenario: Scenario, targets: Targets, *, seed: int, rate_scale: float = 1.0
) -> Run:
    """Run a scenario through the entries, with its faults.

    Parameters
    ----------
    scenario, targets
        Requests to send, and the addresses and keys to use.
    seed : int
        Seed of the arrivals.
    rate_scale : float
        Factor applied to all rates.
    """
    check_faults(scenario, targets)
    pools = EndpointPools(stall_timeout=READ_TIMEOUT_SECONDS)
    run = Run("entries", scenario.seconds)
    begin = boot_seconds() + START_DELAY_SECONDS
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_sample_roles, run, targets, pools, begin)
            group.start_soon(_run_faults, scenario, targets, pools, begin)
            arrivals = poisson_arrivals(scenario, seed=seed, rate_scale=rate_scale)
            await _dispatch_arrivals(
                arrivals, entry_caller(scenario, targets, pools, seed=seed), run, begin
            )
            group.cancel_scope.cancel()
    finally:
        await pools.aclose()
    return run


async def run_direct(
    scenario: Scenario, addresses: list[str], *, seed: int, rate_scale: float = 1.0
) -> Run:
    """Send the completions of a scenario directly to engines, without its faults."""
    pools = EndpointPools(stall_timeout=READ_TIMEOUT_SECONDS)
    run = Run("direct", scenario.seconds)
    arrivals = (
        arrival
        for arrival in poisson_arrivals(scenario, seed=seed, rate_scale=rate_scale)
        if scenario.workloads[arrival.workload].kind == "completion"
    )
    begin = boot_seconds() + START_DELAY_SECONDS
    try:
        caller = direct_caller(scenario, addresses, pools, seed=seed)
        await _dispatch_arrivals(arrivals, caller, run, begin)
    finally:
        await pools.aclose()
    return run


async def _dispatch_arrivals(
    arrivals: Iterable[Arrival], caller: Caller, run: Run, begin: float
) -> None:
    async with anyio.create_task_group() as group:
        for arrival in arrivals:
            await anyio.sleep(max(0.0, begin + arrival.at - boot_seconds()))
            group.start_soon(_run_request, caller, arrival, run, begin)


async def _run_request(caller: Caller, arrival: Arrival, run: Run, begin: float) -> None:
    run.outcomes.append(await caller(arrival, begin + arrival.at))


async def _run_faults(
    scenario: Scenario, targets: Targets, pools: EndpointPools, begin: float
) -> None:
    await run_faults(scenario, targets, pools, begin=begin)


async def _sample_roles(run: Run, targets: Targets, pools: EndpointPools, begin: float) -> None:
    while True:
        roles: dict[str, str] = {}
        async with anyio.create_task_group() as group:
            for name, address in targets.endpoints.items():
                group.start_soon(_fetch_role, pools, name, address, roles)
        run.roles.append(RoleSample(boot_seconds() - begin, roles))
        await anyio.sleep(SAMPLE_INTERVAL_SECONDS)


async def _fetch_role(pools: EndpointPools, name: str, address: str, roles: dict[str, str]) -> None:
    try:
        with anyio.fail_after(STATE_TIMEOUT_SECONDS):
            async with pools.pool_for(address).request("GET", "/state") as response:
                body = await read_body(response, max_bytes=MAX_STATE_BYTES)
        report = msgspec.json.decode(body, type=EngineReport)
    except (*TRANSPORT_ERRORS, TimeoutError, msgspec.MsgspecError):
        return
    if report.load.cache_capacity_tokens:
        roles[name] = "changing" if report.changing else str(report.role)
