"""Scheduled faults: HTTP calls to stand-ins and signals to named processes."""

import logging
import os
import signal

import anyio
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import TRANSPORT_ERRORS, read_body
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import SETTINGS_INVALID
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.load.scenario import Fault, Scenario, Targets

SIGNALS = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "resume": signal.SIGCONT}
MAX_RESPONSE_BYTES = 64 * 1024

_log = logging.getLogger(__name__)


def check_faults(scenario: Scenario, targets: Targets) -> None:
    """Raise if a fault of the scenario names a target that is not defined.

    Raises
    ------
    SamphireError
        Names the first unknown target and lists the known ones.
    """
    for fault in scenario.faults:
        known = targets.endpoints if fault.action == "call" else targets.processes
        if fault.target not in known:
            allowed = ", ".join(sorted(known)) or "none is given"
            detail = f"fault at {fault.at} s: unknown target {fault.target!r}: one of {allowed}"
            raise SamphireError(SETTINGS_INVALID, detail)


async def run_faults(
    scenario: Scenario, targets: Targets, pools: EndpointPools, *, begin: float
) -> None:
    """Inject each fault at its scheduled time.

    Parameters
    ----------
    scenario, targets
        Faults with their times, and the addresses and processes they refer to.
    pools : EndpointPools
        Connections to the stand-ins.
    begin : float
        Boot clock in seconds at which the run starts.
    """
    for fault in sorted(scenario.faults, key=lambda item: item.at):
        await anyio.sleep(max(0.0, begin + fault.at - boot_seconds()))
        _log.info("fault", extra={"at": fault.at, "action": fault.action, "target": fault.target})
        if fault.action == "call":
            await _call_endpoint(fault, targets, pools)
        else:
            os.kill(targets.processes[fault.target], SIGNALS[fault.action])


async def _call_endpoint(fault: Fault, targets: Targets, pools: EndpointPools) -> None:
    pool = pools.pool_for(targets.endpoints[fault.target])
    content = msgspec.json.encode(fault.body)
    try:
        async with pool.request(fault.method, fault.path, content=content) as response:
            await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
    except TRANSPORT_ERRORS as error:
        _log.warning("fault-failed", extra={"target": fault.target, "reason": repr(error)})
