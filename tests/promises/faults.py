"""Faults that a run can inject, and their execution at the planned times."""

import contextlib
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from demo.cluster import Endpoint, call
from samphirehall.core.clock import boot_seconds
from samphirehall.core.identifiers import key_digest
from tests.promises.callers import Balancer, Caller
from tests.promises.events import (
    EndpointLeaving,
    FaultBegun,
    KeyWithdrawn,
    StopBegun,
    StopEnded,
)
from tests.promises.relay import Condition
from tests.promises.system import System

RECOVERY_SECONDS = 4.0
RECLAIM_NOTICE_SECONDS = 2.0
RESTORATION_OUTAGE_SECONDS = 0.6
WITHDRAWN_LABEL = "withdrawn"
POISON = "POISON"
PLANNED_ACTIONS = frozenset(("stop", "leave", "reclaim", "race", "withdraw", "load", "drain"))
Action = Callable[[System, "Fault"], None]


@dataclass(slots=True, frozen=True)
class Fault:
    """Describes one fault of a plan.

    Parameters
    ----------
    action : str
        Name in `ACTIONS`.
    target : str
        Process, host, relay, endpoint or zone, as the action needs it.
    at : float
        Seconds after the start of the run.
    seconds : float
        Duration of the fault.
    """

    action: str
    target: str
    at: float
    seconds: float = 0.0


def inject_faults(system: System, plan: list[Fault]) -> None:
    """Run every fault of a plan at its time and wait until the last one is over."""
    started_at = time.monotonic()
    threads = [
        threading.Thread(target=_run_fault, args=[system, fault, started_at], daemon=True)
        for fault in plan
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _run_fault(system: System, fault: Fault, started_at: float) -> None:
    time.sleep(max(0.0, started_at + fault.at - time.monotonic()))
    if fault.action not in PLANNED_ACTIONS:
        now = boot_seconds()
        until = now + fault.seconds + RECOVERY_SECONDS
        system.history.append(
            FaultBegun(at=now, action=fault.action, target=fault.target, until=until)
        )
    ACTIONS[fault.action](system, fault)


def kill(system: System, fault: Fault) -> None:
    """Kill a process and start it again after `fault.seconds`."""
    program = system.programs[fault.target]
    program.kill()
    time.sleep(fault.seconds)
    program.start()


def pause(system: System, fault: Fault) -> None:
    """Suspend a process for `fault.seconds`."""
    program = system.programs[fault.target]
    program.signal(signal.SIGSTOP)
    time.sleep(fault.seconds)
    program.signal(signal.SIGCONT)


def stop(system: System, fault: Fault) -> None:
    """Stop a process as an operator does, and start it again."""
    program = system.programs[fault.target]
    system.history.append(StopBegun(at=boot_seconds(), process=fault.target))
    status = program.stop()
    system.history.append(StopEnded(at=boot_seconds(), process=fault.target, status=status))
    time.sleep(fault.seconds)
    program.start()


def cut(system: System, fault: Fault) -> None:
    """Reset the open and the new connections of a relay."""
    _set_relay(system, fault, Condition.CUT)


def silence(system: System, fault: Fault) -> None:
    """Discard the data on the connections of a relay."""
    _set_relay(system, fault, Condition.SILENT)


def release(system: System, fault: Fault) -> None:
    """Restart an engine with another software version, which the platform lists later."""
    program = system.programs[fault.target]
    program.kill()
    version = "v2" if system.software_versions[fault.target] == "v1" else "v1"
    old = f"--software_version={system.software_versions[fault.target]}"
    program.arguments[program.arguments.index(old)] = f"--software_version={version}"
    system.software_versions[fault.target] = version
    program.start()
    time.sleep(fault.seconds)
    body = {"endpoint_id": fault.target, "state": "ready", "software_version": version}
    call(system.platform, "POST", "/admin/endpoints", body)


def lose_track(system: System, fault: Fault) -> None:
    """Discard the data on the open connections of a relay until they end; new ones work."""
    system.relays.set(fault.target, Condition.SILENT, existing_only=True)


def isolate(system: System, fault: Fault) -> None:
    """Cut a host off from its peers and the platform."""
    local_relays = [f"platform/{fault.target}-control", f"platform/{fault.target}-entry"]
    local_relays.append(f"mesh/{fault.target}")
    peers = [host.name for host in system.hosts if host.name != fault.target]
    for condition in (Condition.SILENT, Condition.OPEN):
        for name in local_relays:
            system.relays.set(name, condition)
        for peer in peers:
            system.relays.set(f"mesh/{peer}", condition, caller=fault.target)
        if condition is Condition.SILENT:
            time.sleep(fault.seconds)


def outage(system: System, fault: Fault) -> None:
    """Let the platform refuse every call."""
    system.set_faults(outage=True)
    time.sleep(fault.seconds)
    system.set_faults(outage=False)


def restore(system: System, fault: Fault) -> None:
    """Lose what the table was given for some seconds: the platform comes back from a copy."""
    call(system.platform, "POST", "/admin/copies", None)
    time.sleep(fault.seconds)
    system.set_faults(outage=True)
    time.sleep(RESTORATION_OUTAGE_SECONDS)
    call(system.platform, "POST", "/admin/restorations", None)
    system.set_faults(outage=False)


def slow(system: System, fault: Fault) -> None:
    """Delay every call to the platform."""
    system.set_faults(delay=0.4)
    time.sleep(fault.seconds)
    system.set_faults(delay=0.0)


def lose_answers(system: System, fault: Fault) -> None:
    """Lose half of the answers of the platform after the write took effect."""
    system.set_faults(lose_answer=0.5)
    time.sleep(fault.seconds)
    system.set_faults(lose_answer=0.0)


def garble(system: System, fault: Fault) -> None:
    """Let an engine repeat events late, then send events of other requests."""
    address = find_endpoint(system, fault.target).address
    for switches in ({"repeat": True}, {"cross": True}, {}):
        call(address, "PUT", "/admin/faults", switches)
        if switches:
            time.sleep(fault.seconds / 2)


def leave(system: System, fault: Fault) -> None:
    """Remove an endpoint after a notice of `fault.seconds`."""
    _remove_endpoints(system, [find_endpoint(system, fault.target)], notice=fault.seconds)


def reclaim(system: System, fault: Fault) -> None:
    """Remove every cheap endpoint of a zone after a notice of a few seconds."""
    cheap = [
        endpoint
        for endpoint in system.endpoints
        if endpoint.zone == fault.target and endpoint.kind == "cheap"
    ]
    _remove_endpoints(system, cheap, notice=RECLAIM_NOTICE_SECONDS)


def race(system: System, fault: Fault) -> None:
    """Let an operator at every host apply a configuration at the same moment."""
    threads = [
        threading.Thread(target=_apply_ignoring_errors, args=[system, number], daemon=True)
        for number in range(len(system.hosts))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def withdraw(system: System, fault: Fault) -> None:
    """Withdraw an API key while its customer continues to send requests."""
    item = next(item for item in system.credentials if item.label == WITHDRAWN_LABEL)
    body = {"digest": key_digest(item.key), "author": "withdrawal"}
    host = next(host for host in system.hosts if host.name == fault.target)
    at = boot_seconds()
    answer = call(host.operator, "POST", "/keys/withdraw", body, timeout=20.0)
    if answer.status == 200:
        system.history.append(KeyWithdrawn(at=at, key=WITHDRAWN_LABEL))


def load(system: System, fault: Fault) -> None:
    """Apply a configuration with another model version, which engines are ordered to load."""
    without = [WITHDRAWN_LABEL] if _is_withdrawn(system) else []
    document = system.document(without=without, version=fault.target)
    system.apply(system.hosts[0], "model-version", document)


def drain(system: System, fault: Fault) -> None:
    """Let an operator drain an endpoint."""
    call(system.hosts[0].operator, "POST", f"/endpoints/{fault.target}/drain", {})
    system.history.append(EndpointLeaving(at=boot_seconds(), endpoint=fault.target))


def poison(system: System, fault: Fault) -> None:
    """Send a request that crashes every endpoint that runs it, three times."""
    balancer = Balancer(system.caller_addresses)
    caller = Caller(balancer, system.history, system.credentials[0], seed=str(fault.at))
    for _ in range(3):
        caller.complete(prompt_suffix=f"{POISON} {fault.at}", marker=f"poison-{fault.at}")
    time.sleep(fault.seconds)
    for endpoint in system.endpoints:
        program = system.programs[endpoint.name]
        if program.process is not None and program.process.poll() is not None:
            program.start()


ACTIONS: dict[str, Action] = {
    "kill": kill,
    "pause": pause,
    "stop": stop,
    "cut": cut,
    "silence": silence,
    "release": release,
    "lose-track": lose_track,
    "isolate": isolate,
    "outage": outage,
    "restore": restore,
    "slow": slow,
    "lose-answers": lose_answers,
    "garble": garble,
    "leave": leave,
    "reclaim": reclaim,
    "race": race,
    "withdraw": withdraw,
    "load": load,
    "drain": drain,
    "poison": poison,
}


def find_endpoint(system: System, name: str) -> Endpoint:
    """Return the endpoint with the name `name`."""
    return next(endpoint for endpoint in system.endpoints if endpoint.name == name)


def _set_relay(system: System, fault: Fault, condition: Condition) -> None:
    system.relays.set(fault.target, condition)
    time.sleep(fault.seconds)
    system.relays.set(fault.target, Condition.OPEN)


def _remove_endpoints(system: System, endpoints: list[Endpoint], *, notice: float) -> None:
    for endpoint in endpoints:
        body = {"endpoint_id": endpoint.name, "state": "leaving", "leaving_in": notice}
        call(system.platform, "POST", "/admin/endpoints", body)
        system.history.append(EndpointLeaving(at=boot_seconds(), endpoint=endpoint.name))
    time.sleep(notice)
    for endpoint in endpoints:
        system.programs[endpoint.name].kill()
        body = {"endpoint_id": endpoint.name, "state": "gone"}
        call(system.platform, "POST", "/admin/endpoints", body)


def _apply_ignoring_errors(system: System, number: int) -> None:
    document = system.document(without=[WITHDRAWN_LABEL] if _is_withdrawn(system) else [])
    document["customers"]["petal-coop"]["weight"] = 1 + number
    with contextlib.suppress(OSError):
        system.apply(system.hosts[number], f"operator-{number}", document)


def _is_withdrawn(system: System) -> bool:
    return any(item.key == WITHDRAWN_LABEL for item in system.history.events_of_type(KeyWithdrawn))
