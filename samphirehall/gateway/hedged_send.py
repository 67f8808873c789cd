"""Hedged sends: a second attempt at another endpoint while the first is later than most.

The first usable answer wins, and the other attempt is cancelled. An attempt that fails does not
end the other one.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.exchange import count_sends, is_in_quarantine, within_limits
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.request_state import RequestState, SendOutcome
from samphirehall.gateway.silence import GRACE_SECONDS, MAX_TIMER_DELAY_SECONDS
from samphirehall.scheduling.hedging import (
    AnswerEstimate,
    HedgeRefusal,
    Hedging,
    has_free_slot,
    is_overloaded,
)

REPEATS_LEFT_BY_HEDGES = 1  # in the repeat budget, for a request that fails

A = TypeVar("A")
Send = Callable[[EndpointState, "Attempt[A]"], Awaitable[A | None]]
Choose = Callable[[Sequence[EndpointState]], EndpointState | None]


@dataclass(slots=True, eq=False)
class Attempt(Generic[A]):
    """One attempt of a request.

    Parameters
    ----------
    is_hedge : bool
        Whether it is the second attempt of a pair.
    superseded : bool
        Whether it is cancelled because the other attempt was answered first.
    answer : object or None
        Answer to forward, if there is one.
    outcome : SendOutcome or None
        Outcome of the send, once it has ended.
    error : Exception or None
        Unexpected error.
    """

    is_hedge: bool = False
    superseded: bool = False
    answer: A | None = None
    outcome: SendOutcome | None = None
    error: Exception | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


async def send_hedged(
    context: GatewayContext,
    request_state: RequestState,
    endpoint: EndpointState,
    hedging: Hedging,
    *,
    send: Send[A],
    is_final: Callable[[A], bool],
    choose: Choose,
) -> A | None:
    """Send a request, and once more if the first attempt is late; return the answer, if any.

    Without a final answer, the answer of the attempt that ended last is returned.

    Parameters
    ----------
    context, request_state, endpoint
        The request and the endpoint of its first attempt.
    hedging : Hedging
        Answer times and limit.
    send : callable
        Makes an attempt, sets its outcome and returns its answer.
    is_final : callable
        Returns whether an answer ends the request.
    choose : callable
        Chooses one of several endpoints.
    """
    pair = _Pair(context, request_state, hedging, send, is_final)
    now = context.clock()
    estimate = hedging.estimate(request_state.route.name, request_state.service.name, now=now)
    may_hedge = request_state.runs + 1 < request_state.route.max_attempts
    if estimate is None or request_state.hedged or not may_hedge:
        await pair.run(pair.first, endpoint)
        return pair.result()
    async with anyio.create_task_group() as group:
        group.start_soon(pair.run, pair.first, endpoint)
        await _wait_until_late(context, pair, now + estimate.hedge_delay)
        if not pair.ended:
            chosen = _acquire(context, request_state, hedging, estimate, choose)
            if isinstance(chosen, HedgeRefusal):
                request_state.extra_log_fields["hedge"] = {"refused": chosen.value}
            else:
                request_state.extra_log_fields["hedge"] = {
                    "endpoint": chosen.listed.endpoint_id,
                    "after": round(context.clock() - now, 4),
                    "won": "none",
                }
                group.start_soon(pair.run, pair.add_hedge(), chosen)
        await pair.wait()
    return pair.result()


class _Pair(Generic[A]):
    """An attempt and its hedge, if there is one."""

    def __init__(
        self,
        context: GatewayContext,
        request_state: RequestState,
        hedging: Hedging,
        send: Send[A],
        is_final: Callable[[A], bool],
    ) -> None:
        self._context = context
        self._request_state = request_state
        self._hedging = hedging
        self._send = send
        self._is_final = is_final
        self._attempts: list[Attempt[A]] = [Attempt()]
        self._change = anyio.Event()
        self._winner: Attempt[A] | None = None
        self.ended: list[Attempt[A]] = []

    @property
    def first(self) -> Attempt[A]:
        """The first attempt."""
        return self._attempts[0]

    def add_hedge(self) -> Attempt[A]:
        """Return a second attempt, which runs beside the first one."""
        hedge: Attempt[A] = Attempt(is_hedge=True)
        self._attempts.append(hedge)
        self._request_state.hedged = True
        self._request_state.pair_running = True
        return hedge

    async def run(self, attempt: Attempt[A], endpoint: EndpointState) -> None:
        """Make an attempt; if it is the first with a final answer, cancel the other one."""
        started_at = self._context.clock()
        try:
            with attempt.scope:
                attempt.answer = await self._send(endpoint, attempt)
        except Exception as error:
            attempt.error = error
        finally:
            self._request_state.pair_running = False
            self._record_time(attempt, started_at)
        self.ended.append(attempt)
        if self._winner is None and self._has_final_answer(attempt):
            self._winner = attempt
            self._log_winner(attempt)
            self._cancel_others()
        self._change.set()

    async def wait(self) -> None:
        """Wait until an attempt has won or all have ended."""
        while self._winner is None and len(self.ended) < len(self._attempts):
            self._change = anyio.Event()
            await self._change.wait()

    async def wait_for_first(self, seconds: float) -> None:
        """Wait until the first attempt has ended, at most for some seconds."""
        if not self.ended:
            with anyio.move_on_after(seconds):
                await self._change.wait()

    def result(self) -> A | None:
        """Return the answer of the winner, or else of the attempt that ended last with one."""
        if self._winner is not None:
            return self._winner.answer
        for attempt in self.ended:
            if attempt.error is not None:
                raise attempt.error
        answers = [attempt.answer for attempt in self.ended if attempt.answer is not None]
        return answers[-1] if answers else None

    def _has_final_answer(self, attempt: Attempt[A]) -> bool:
        return attempt.answer is not None and self._is_final(attempt.answer)

    def _cancel_others(self) -> None:
        for attempt in self._attempts:
            if attempt not in self.ended:
                attempt.superseded = True
                attempt.scope.cancel()

    def _log_winner(self, attempt: Attempt[A]) -> None:
        if self._request_state.hedged and len(self._attempts) > 1:
            hedge = self._request_state.extra_log_fields["hedge"]
            hedge["won"] = "hedge" if attempt.is_hedge else "first"

    def _record_time(self, attempt: Attempt[A], started_at: float) -> None:
        """Record how long a first attempt took, or ran until it was given up.

        Attempts that failed, and those that ended with their request, tell nothing of the time
        that an answer takes. Hedges are left out: those that lose are ended early, so the rest
        would be too fast.
        """
        given_up = attempt.outcome in (SendOutcome.SILENT, SendOutcome.CANCELLED)
        if attempt.is_hedge or not (given_up or self._has_final_answer(attempt)):
            return
        now = self._context.clock()
        route, service = self._request_state.route, self._request_state.service
        self._hedging.record_attempt(route.name, service.name, now - started_at, now=now)


async def _wait_until_late(context: GatewayContext, pair: _Pair[A], due: float) -> None:
    """Wait until the first attempt has ended or is late.

    After a stall of this host, the event loop first reads what arrived meanwhile.
    """
    await pair.wait_for_first(due - context.clock())
    if context.clock() - due > MAX_TIMER_DELAY_SECONDS:
        await pair.wait_for_first(GRACE_SECONDS)


def _acquire(
    context: GatewayContext,
    request_state: RequestState,
    hedging: Hedging,
    estimate: AnswerEstimate,
    choose: Choose,
) -> EndpointState | HedgeRefusal:
    """Return the endpoint of a hedge, which is then counted, or the reason against it."""
    now = context.clock()
    service = request_state.service.name
    is_suspect = context.crashes.crash_count(request_state.fingerprint, now=now) > 0
    if is_suspect or is_in_quarantine(context, request_state):
        return HedgeRefusal.SUSPECT
    if request_state.remaining_time(now=now) <= estimate.median:
        return HedgeRefusal.DEADLINE
    if not hedging.allows(service):
        return HedgeRefusal.SHARE
    if not context.allows_repeats(service, 1 + REPEATS_LEFT_BY_HEDGES):
        return HedgeRefusal.REPEAT_BUDGET
    in_use = context.fleet.candidates(service, now=now, only_preferred=True)
    requests = {
        state.listed.endpoint_id: context.loads.total_load(
            state.listed.endpoint_id, now=now
        ).requests
        for state in in_use
    }
    if is_overloaded((requests[s.listed.endpoint_id], s.listed.slots) for s in in_use):
        return HedgeRefusal.OVERLOAD
    others = [s for s in in_use if s.listed.endpoint_id not in request_state.tried_endpoints]
    allowed = within_limits(context, request_state, others)
    free = [s for s in allowed if has_free_slot(requests[s.listed.endpoint_id], s.listed.slots)]
    chosen = choose(free)
    if chosen is None:
        return HedgeRefusal.OVERLOAD if allowed else HedgeRefusal.NO_ENDPOINT
    hedging.acquire(service)
    context.acquire_repeats(service, 1)
    count_sends(context, request_state, (chosen.listed.endpoint_id,))
    return chosen
