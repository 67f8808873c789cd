"""Send one request, with retries, and compare every token of the response."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import anyio
import httpcore
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import (
    NOT_WRITTEN_ERRORS,
    TRANSPORT_ERRORS,
    ConnectionPool,
    header,
    read_body,
)
from samphirehall.core.results import OK, REPLAYED, RunState
from samphirehall.endpoints.events import BrokenStreamError, decode_chunk
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.endpoints.protocol import DONE, EngineRequest
from samphirehall.load.arrivals import Arrival, build_prompt
from samphirehall.load.outcome import Outcome
from samphirehall.load.scenario import Scenario, Targets, Workload
from samphirehall.standins.tokens import TokenSource, versions_in

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
DEADLINE_MARGIN_SECONDS = 5.0
MIN_BACKOFF_SECONDS = 0.1
REFUSED_ENTRY_EXCLUSION_SECONDS = 3.0
EVENT_END = b"\n\n"

Caller = Callable[[Arrival, float], Coroutine[Any, Any, Outcome]]


@dataclass(slots=True)
class _Attempt:
    """Response to one attempt, as far as it arrived."""

    code: int = 0
    run: str = ""
    retry_after: float | None = None
    refused: bool = False
    complete: bool = False
    wrong: bool = False


class RetryBudget:
    """Limits retries to a share of all requests, with a burst of at most 10.

    Parameters
    ----------
    share : float
        Retries earned by each request, from 0 to 1.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._available = 1.0

    def record_request(self) -> None:
        """Record a request, which adds its share of a retry to the budget."""
        self._available = min(10.0, self._available + self._share)

    def try_acquire(self) -> bool:
        """Consume one retry and return True, or return False if the budget is exhausted."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class Balancer:
    """Chooses entries at random, except those that recently refused a connection.

    Parameters
    ----------
    entries : list of str
        Addresses of the entries.
    rng : random.Random
        Seeded random number generator.
    """

    def __init__(self, entries: list[str], rng: random.Random) -> None:
        self._entries = entries
        self._rng = rng
        self._refused_at: dict[str, float] = {}

    def choose(self, *, now: float) -> str:
        """Return the address of a random entry; of any if all refused recently."""
        healthy = [
            entry
            for entry in self._entries
            if now - self._refused_at.get(entry, float("-inf")) >= REFUSED_ENTRY_EXCLUSION_SECONDS
        ]
        return self._rng.choice(healthy or self._entries)

    def record_refused(self, entry: str, *, now: float) -> None:
        """Record that an entry refused a connection, which excludes it for some seconds."""
        self._refused_at[entry] = now


def entry_caller(
    scenario: Scenario, targets: Targets, pools: EndpointPools, *, seed: int
) -> Caller:
    """Return a caller that sends each request to a random entry and retries it."""
    budget = RetryBudget(scenario.retry_budget)
    rng = random.Random(seed)
    balancer = Balancer(targets.entries, rng)

    async def call(arrival: Arrival, due: float) -> Outcome:
        workload = scenario.workloads[arrival.workload]
        outcome = Outcome(arrival.customer, arrival.workload, arrival.at)
        deadline = due + workload.deadline_seconds
        budget.record_request()
        while True:
            now = boot_seconds()
            pool = pools.pool_for(balancer.choose(now=now))
            remaining = deadline - now
            with anyio.move_on_after(remaining + DEADLINE_MARGIN_SECONDS):
                attempt = await _send_attempt(
                    pool,
                    arrival,
                    workload,
                    outcome,
                    targets,
                    due=due,
                    remaining=remaining,
                    seed=seed,
                )
                if attempt.refused:
                    balancer.record_refused(pool.address, now=boot_seconds())
                if not _should_retry(attempt, outcome, scenario, budget):
                    return _complete_outcome(outcome, attempt, arrival, due, workload)
                backoff = max(MIN_BACKOFF_SECONDS, attempt.retry_after or 0.0)
                backoff *= rng.uniform(1.0, 1.5)
                if boot_seconds() + backoff >= deadline:
                    return _complete_outcome(outcome, attempt, arrival, due, workload)
                outcome.retries += 1
                await anyio.sleep(backoff)
                continue
            return _complete_outcome(outcome, _Attempt(), arrival, due, workload)

    return call


def direct_caller(
    scenario: Scenario, addresses: list[str], pools: EndpointPools, *, seed: int
) -> Caller:
    """Return a caller that sends requests directly to the engines, round robin."""
    turn = 0

    async def call(arrival: Arrival, due: float) -> Outcome:
        nonlocal turn
        turn += 1
        workload = scenario.workloads[arrival.workload]
        outcome = Outcome(arrival.customer, arrival.workload, arrival.at)
        prompt = build_prompt(arrival, workload, seed=seed)
        body = msgspec.json.encode(
            EngineRequest(workload.route, _messages(prompt), arrival.output_tokens)
        )
        headers = {b"x-request-id": f"direct-{seed}-{arrival.number}".encode()}
        pool = pools.pool_for(addresses[turn % len(addresses)])
        attempt = _Attempt()
        with anyio.move_on_after(workload.deadline_seconds + DEADLINE_MARGIN_SECONDS):
            try:
                async with pool.request(
                    "POST", "/v1/chat/completions", headers=headers, content=body
                ) as response:
                    attempt.code = OK.code if response.status == 200 else response.status
                    await _read_tokens(response, arrival, workload, outcome, attempt, prompt, due)
            except (*TRANSPORT_ERRORS, BrokenStreamError):
                attempt.code = 0
        return _complete_outcome(outcome, attempt, arrival, due, workload)

    return call


async def _send_attempt(
    pool: ConnectionPool,
    arrival: Arrival,
    workload: Workload,
    outcome: Outcome,
    targets: Targets,
    *,
    due: float,
    remaining: float,
    seed: int,
) -> _Attempt:
    headers = {
        b"Authorization": f"Bearer {targets.keys[arrival.customer]}".encode(),
        b"Samphire-Deadline": f"{max(0.001, remaining):.3f}".encode(),
        b"Samphire-Priority": workload.priority.encode(),
        b"Content-Type": b"application/json",
    }
    attempt = _Attempt()
    prompt = ""
    if workload.kind == "completion":
        prompt = build_prompt(arrival, workload, seed=seed)
        method, path, content = (
            "POST",
            "/v1/chat/completions",
            _encode_chat_request(workload, arrival, prompt),
        )
    else:
        method, path, content = _build_service_request(workload, arrival)
        headers[b"Idempotency-Key"] = f"{seed}-{arrival.number}".encode()
    try:
        async with pool.request(
            method,
            path,
            headers=headers,
            content=content,
            read_timeout=remaining + DEADLINE_MARGIN_SECONDS,
        ) as response:
            _read_result_headers(response, attempt)
            if attempt.code == OK.code and workload.kind == "completion":
                await _read_tokens(response, arrival, workload, outcome, attempt, prompt, due)
            else:
                body = await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
                attempt.complete = attempt.code in (OK.code, REPLAYED.code) and bool(body)
    except NOT_WRITTEN_ERRORS:
        attempt.refused = True
        attempt.code, attempt.run, attempt.retry_after = 0, RunState.NOT_RUN, 0.0
    except TRANSPORT_ERRORS:
        attempt.code, attempt.run = 0, RunState.UNKNOWN
    except BrokenStreamError:
        attempt.run = RunState.RAN
    return attempt


async def _read_tokens(
    response: httpcore.Response,
    arrival: Arrival,
    workload: Workload,
    outcome: Outcome,
    attempt: _Attempt,
    prompt: str,
    due: float,
) -> None:
    """Read a token stream to its end and compare every token with the expected one.

    The first token names the software version at which all of them are expected.
    """
    expected: TokenSource | None = None
    buffer, count, done = b"", 0, False
    last_token_at: float | None = None
    async for chunk in response.aiter_stream():
        *events, buffer = (buffer + chunk).split(EVENT_END)
        now = boot_seconds()
        for event in events:
            _, _, data = event.partition(b"data: ")
            if event.startswith(b"event: error"):
                raise BrokenStreamError("error event")
            if data == DONE:
                done = True
                continue
            text = decode_chunk(data).text
            if not text:
                continue
            if expected is None:
                expected = TokenSource(workload.route, prompt, *versions_in(text)[:1])
            if text != expected.token_at_index(count):
                attempt.wrong = True
            count += 1
            if last_token_at is None:
                outcome.first_token = now - due
            else:
                outcome.gaps.append(now - last_token_at)
            last_token_at = now
    attempt.wrong = attempt.wrong or count > arrival.output_tokens
    attempt.complete = done and not attempt.wrong and count == arrival.output_tokens
    if not attempt.complete:
        attempt.run = RunState.RAN


def _read_result_headers(response: httpcore.Response, attempt: _Attempt) -> None:
    attempt.code = int(header(response.headers, b"samphire-result") or 0)
    attempt.run = header(response.headers, b"samphire-run") or ""
    retry_after = header(response.headers, b"retry-after")
    attempt.retry_after = float(retry_after) if retry_after else None


def _should_retry(
    attempt: _Attempt, outcome: Outcome, scenario: Scenario, budget: RetryBudget
) -> bool:
    if attempt.complete or attempt.run != RunState.NOT_RUN or attempt.retry_after is None:
        return False
    return outcome.retries < scenario.caller_retries and budget.try_acquire()


def _complete_outcome(
    outcome: Outcome, attempt: _Attempt, arrival: Arrival, due: float, workload: Workload
) -> Outcome:
    outcome.seconds = boot_seconds() - due
    outcome.code, outcome.run = attempt.code, attempt.run
    outcome.complete, outcome.wrong = attempt.complete, attempt.wrong
    outcome.in_time = outcome.seconds <= workload.deadline_seconds
    if attempt.complete and workload.kind == "completion":
        outcome.tokens = arrival.prompt_tokens + arrival.output_tokens
    return outcome


def _messages(prompt: str) -> list[Any]:
    return [{"role": "user", "content": prompt}]


def _encode_chat_request(workload: Workload, arrival: Arrival, prompt: str) -> bytes:
    body = {
        "model": workload.route,
        "messages": _messages(prompt),
        "max_tokens": arrival.output_tokens,
        "stream": True,
    }
    return msgspec.json.encode(body)


def _build_service_request(workload: Workload, arrival: Arrival) -> tuple[str, str, bytes]:
    path = f"/services/{workload.route}{workload.path}"
    if workload.kind == "lookup":
        return "GET", path, b""
    return "POST", path, msgspec.json.encode({"booking": arrival.number})
