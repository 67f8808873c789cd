"""One run: the system, its callers, a fault plan, and the history that comes of it."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.promises.callers import Balancer, Caller, Credentials
from tests.promises.events import CallEnded, History
from tests.promises.faults import WITHDRAWN, bring_about
from tests.promises.scenarios import RUN_SECONDS, plan_of
from tests.promises.system import System, fleet, four_hosts

JOIN_SECONDS = 20.0
LONG_TOKENS = 700
STRANGER = Credentials("", "sk-samphire-never-issued", "stranger")
Work = Callable[[Caller], object]


def run_scenario(folder: Path, scenario: str, seed: int) -> History:
    """Run one seed of a scenario, write its history to the folder, and return it."""
    system = System(folder, four_hosts(), fleet())
    plan = plan_of(scenario, seed)
    withdraws = any(fault.action == "withdraw" for fault in plan)
    with system, calling(system, seed, long_streams=withdraws):
        begun = time.monotonic()
        bring_about(system, plan)
        time.sleep(max(0.0, begun + RUN_SECONDS - time.monotonic()))
    return system.history


@contextmanager
def calling(system: System, seed: int, *, long_streams: bool) -> Iterator[Balancer]:
    """Let callers call and an observer look while the context lasts."""
    stop = threading.Event()
    balancer = Balancer(system.caller_addresses)
    threads = [
        threading.Thread(target=balancer.follow, args=[stop], daemon=True),
        threading.Thread(target=system.watch, args=[stop], daemon=True),
    ]
    for number, (credentials, work) in enumerate(_callers(system, long_streams=long_streams)):
        caller = Caller(balancer, system.history, credentials, seed=f"{seed}/{number}")
        threads.append(threading.Thread(target=caller.run, args=[work, stop], daemon=True))
    for thread in threads:
        thread.start()
    try:
        yield balancer
    finally:
        stop.set()
        for thread in threads:
            thread.join(JOIN_SECONDS)
        system.collect()


def _callers(system: System, *, long_streams: bool) -> list[tuple[Credentials, Work]]:
    first, second, withdrawn = system.credentials
    assert withdrawn.label == WITHDRAWN
    return [
        (first, Caller.complete),
        (first, Caller.complete),
        (second, Caller.complete),
        (withdrawn, _complete_long if long_streams else Caller.complete),
        (withdrawn, Caller.complete),
        (first, Caller.book),
        (second, Caller.book),
        (second, Caller.book),
        (first, Caller.look_up),
        (STRANGER, Caller.complete),
    ]


def _complete_long(caller: Caller) -> CallEnded:
    return caller.complete(max_tokens=LONG_TOKENS)
