"""Runs of the system with callers and a fault plan, which record a history."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.promises.callers import Balancer, Caller, Credentials
from tests.promises.events import CallEnded, History
from tests.promises.faults import WITHDRAWN_LABEL, inject_faults
from tests.promises.scenarios import RUN_SECONDS, fault_plan
from tests.promises.system import (
    System,
    default_endpoints,
    endpoints_of_two_versions,
    four_hosts,
)

JOIN_TIMEOUT_SECONDS = 20.0
LONG_COMPLETION_TOKENS = 700
STREAM_TOKENS = 120
CONCURRENT_STREAMS = 40
UNKNOWN_CREDENTIALS = Credentials("", "sk-samphire-never-issued", "stranger")
CallerAction = Callable[[Caller], object]


def run_scenario(folder: Path, scenario: str, seed: int) -> History:
    """Run one seed of a scenario, write its history to the folder, and return it."""
    two_versions = scenario == "versions"
    endpoints = endpoints_of_two_versions() if two_versions else default_endpoints()
    system = System(folder, four_hosts(), endpoints, order_endpoints=not two_versions)
    plan = fault_plan(scenario, seed)
    withdraws = any(fault.action == "withdraw" for fault in plan)
    streams = CONCURRENT_STREAMS if two_versions else 0
    with system, run_callers(system, seed, long_streams=withdraws, more_streams=streams):
        started_at = time.monotonic()
        inject_faults(system, plan)
        time.sleep(max(0.0, started_at + RUN_SECONDS - time.monotonic()))
    return system.history


@contextmanager
def run_callers(
    system: System, seed: int, *, long_streams: bool, more_streams: int = 0
) -> Iterator[Balancer]:
    """Run the callers, the balancer and the observer of the system inside the context.

    `more_streams` callers hold one stream of over a second each.
    """
    stop = threading.Event()
    balancer = Balancer(system.caller_addresses)
    threads = [
        threading.Thread(target=balancer.poll_until_stopped, args=[stop], daemon=True),
        threading.Thread(target=system.poll_configurations, args=[stop], daemon=True),
    ]
    for number, (credentials, work) in enumerate(
        [
            *_caller_actions(system, long_streams=long_streams),
            *[(system.credentials[0], _complete_stream)] * more_streams,
        ]
    ):
        caller = Caller(balancer, system.history, credentials, seed=f"{seed}/{number}")
        threads.append(threading.Thread(target=caller.run, args=[work, stop], daemon=True))
    for thread in threads:
        thread.start()
    try:
        yield balancer
    finally:
        stop.set()
        for thread in threads:
            thread.join(JOIN_TIMEOUT_SECONDS)
        system.collect()


def _caller_actions(
    system: System, *, long_streams: bool
) -> list[tuple[Credentials, CallerAction]]:
    first, second, withdrawn = system.credentials
    assert withdrawn.label == WITHDRAWN_LABEL
    return [
        (first, Caller.complete),
        (first, Caller.complete),
        (second, Caller.complete),
        (withdrawn, _complete_long_stream if long_streams else Caller.complete),
        (withdrawn, Caller.complete),
        (first, Caller.book),
        (second, Caller.book),
        (second, Caller.book),
        (first, Caller.look_up),
        (UNKNOWN_CREDENTIALS, Caller.complete),
    ]


def _complete_stream(caller: Caller) -> CallEnded:
    return caller.complete(max_tokens=STREAM_TOKENS)


def _complete_long_stream(caller: Caller) -> CallEnded:
    return caller.complete(max_tokens=LONG_COMPLETION_TOKENS)
