"""Benchmark: time of one routing decision, by policy and number of endpoints.

Usage: ``python -m benchmarks.routing [--seed=1]``
"""

import random
import statistics
import time

import fire

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointInfo, EndpointProtocol
from samphirehall.load.report import table
from samphirehall.node.state import NodeState
from samphirehall.routing.blocks import block_hashes
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.policy import ROUTING_POLICIES, RoutingSetup
from samphirehall.routing.view import RoutingRequest

ENDPOINTS = (6, 50, 150, 500)
POLICIES = ("round-robin", "least-in-flight", "prefix-aware")
DECISIONS = 5_000
PROMPTS = 200
PROMPT_TOKENS = 8 * 1024
BLOCK_TOKENS = 1024
TARGET_MICROSECONDS = 50.0


def _fleet(endpoints: int) -> Fleet:
    state = NodeState("host", "z0", 1)
    state.replace_endpoints(
        EndpointInfo(
            f"e{n}", "127.0.0.1:1", f"z{n % 3}", EndpointProtocol.ENGINE, models=("answer",)
        )
        for n in range(endpoints)
    )
    return Fleet(state)


def _requests(source: random.Random) -> list[RoutingRequest]:
    texts = [f"{n} " * (PROMPT_TOKENS * 4 // len(f"{n} ")) for n in range(PROMPTS)]
    return [
        RoutingRequest(
            "answer",
            "z0",
            1e12,
            block_hashes("answer", text, block_tokens=BLOCK_TOKENS),
            PROMPT_TOKENS,
            source.randrange(10, 300),
        )
        for text in texts
    ]


def measure(policy: str, endpoints: int, *, seed: int) -> tuple[float, float]:
    """Return the median and 99th percentile of a decision in microseconds."""
    source = random.Random(seed)
    fleet, requests = _fleet(endpoints), _requests(source)
    choose = ROUTING_POLICIES.get(policy)(RoutingSetup(fleet.prefixes, find_endpoint=fleet.find))
    times = []
    for number in range(DECISIONS):
        request = requests[source.randrange(PROMPTS)]
        now = boot_seconds()
        start = time.perf_counter_ns()
        views = fleet.candidates("answer", EndpointProtocol.ENGINE, excluded=set(), now=now)
        decision = choose(views, request, now=now, random_source=source)
        times.append((time.perf_counter_ns() - start) / 1000)
        chosen = decision.endpoint.info.endpoint_id
        fleet.prefixes.store(chosen, request.block_hashes)
        if number % 2:
            fleet.begin_call(chosen)
    return statistics.median(times), statistics.quantiles(times, n=100)[98]


def main(seed: int = 1) -> None:
    """Print the time of a decision for each policy and number of endpoints."""
    print(
        f"candidates and choice, µs a decision, seed {seed}, aim {TARGET_MICROSECONDS:g} at 150\n"
    )
    rows = []
    for endpoints in ENDPOINTS:
        for policy in POLICIES:
            median, high = measure(policy, endpoints, seed=seed)
            rows.append((endpoints, policy, f"{median:.1f}", f"{high:.1f}"))
    print(table(["endpoints", "policy", "median µs", "p99 µs"], rows))


if __name__ == "__main__":
    fire.Fire(main)
