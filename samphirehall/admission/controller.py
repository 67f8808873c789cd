"""Admission of requests to this host: limits, fair queues, deadlines and overload."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from samphirehall.admission.authentication import Caller
from samphirehall.admission.demand import DemandMeter
from samphirehall.admission.fair_queue import FairQueue, QueueHandle, VirtualCounters
from samphirehall.admission.limits import CustomerLimits
from samphirehall.admission.service_time import ServiceRate, ServiceTime
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import DEADLINE_NOT_RUN, OVERLOADED
from samphirehall.core.types import Priority

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0

_log = logging.getLogger(__name__)

ConcurrencyLimit = Callable[[str, float], int]


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Properties of a request that decide its admission.

    Parameters
    ----------
    caller : Caller
        Authenticated customer and route.
    priority : Priority
        Priority among the requests of the same customer.
    deadline : float
        Boot clock in seconds.
    prompt_tokens, output_tokens : int
        Estimated number of tokens.
    """

    caller: Caller
    priority: Priority
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True, frozen=True)
class AdmissionRules:
    """Bounds and token weights of admission on one host.

    Parameters
    ----------
    fair : bool
        Whether completions wait in fair queues; otherwise they run immediately.
    max_open : int
        Maximum number of open requests, including waiting ones.
    max_waiting : int
        Maximum number of requests that wait for one model.
    prompt_token_work : float
        Work of a prompt token relative to an output token, whose work is 1.
    """

    fair: bool = True
    max_open: int = 4096
    max_waiting: int = 512
    prompt_token_work: float = 0.1


class Ticket:
    """Handle of an admitted request, which also records the tokens it used.

    Parameters
    ----------
    request : AdmissionRequest
        Request that was admitted.
    estimated_work : float
        Estimated work, charged to the customer at admission.
    admitted_at : float
        Boot clock in seconds.
    """

    def __init__(
        self, request: AdmissionRequest, estimated_work: float, admitted_at: float
    ) -> None:
        self.request = request
        self.estimated_work = estimated_work
        self.admitted_at = admitted_at
        self.prompt_tokens: int | None = None
        self.output_tokens: int | None = None

    def record_usage(self, prompt_tokens: int, output_tokens: int) -> None:
        """Record how many tokens the request used, which replaces the estimate at its end."""
        self.prompt_tokens, self.output_tokens = prompt_tokens, output_tokens


@dataclass(slots=True, eq=False)
class _Waiter:
    request: AdmissionRequest
    work: float
    event: anyio.Event
    refusal: SamphireError | None = None
    admitted: bool = False


@dataclass(slots=True)
class _ModelQueue:
    """Waiting and running requests of one model, with their service statistics."""

    queue: FairQueue[_Waiter]
    service_rate: ServiceRate
    service_time: ServiceTime
    running: int = 0


class AdmissionController:
    """Decides whether and when requests may run on this host.

    Parameters
    ----------
    rules : AdmissionRules
        Bounds and token weights.
    concurrency_limit : callable
        Returns how many requests for a model this host may have running.
    host_count : callable
        Returns how many hosts share the customers' limits.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        rules: AdmissionRules,
        *,
        concurrency_limit: ConcurrencyLimit,
        host_count: Callable[[float], int] = lambda now: 1,
        now: float,
    ) -> None:
        self.counters = VirtualCounters()
        self.demand = DemandMeter(now=now)
        self.on_served: Callable[[str, float], None] = lambda customer, work: None
        self._rules = rules
        self._concurrency_limit = concurrency_limit
        self._host_count = host_count
        self.customer_limits = CustomerLimits(now=now)
        self._model_queues: dict[str, _ModelQueue] = {}
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Number of open requests, including waiting ones."""
        return self._open_requests

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by model."""
        return {
            target: len(model_queue.queue) for target, model_queue in self._model_queues.items()
        }

    @asynccontextmanager
    async def admit(self, request: AdmissionRequest, *, now: float) -> AsyncIterator[Ticket]:
        """Wait until the request may run, and count it as running while the context lasts.

        Raises
        ------
        SamphireError
            If a limit is reached, the host or the queue is full, or the deadline
            cannot be met. The request has not run.
        """
        if self._open_requests >= self._rules.max_open:
            raise _overloaded_error(
                f"{self._open_requests} requests are open, the maximum is {self._rules.max_open}",
                1.0,
            )
        customer, part = request.caller.customer, request.caller.part
        tokens = request.prompt_tokens + request.output_tokens
        self.customer_limits.acquire(customer, part, tokens, hosts=self._host_count(now), now=now)
        self._open_requests += 1
        ticket = Ticket(
            request, self._weighted_work(request.prompt_tokens, request.output_tokens), now
        )
        try:
            if request.caller.route.kind != "model":
                yield ticket
                return
            async with self._occupy_slot(ticket, now=now):
                yield ticket
        finally:
            self._open_requests -= 1
            self.customer_limits.release(
                customer, excess_tokens=_tokens_above_estimate(ticket), now=boot_seconds()
            )

    def admit_waiting(self, *, now: float) -> None:
        """Admit waiting requests of all models up to the concurrency limits.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        for target, model_queue in self._model_queues.items():
            if len(model_queue.queue):
                self._admit_from_queue(target, model_queue, now)

    @asynccontextmanager
    async def _occupy_slot(self, ticket: Ticket, *, now: float) -> AsyncIterator[None]:
        """Occupy one of the model's slots, and charge the actual work at the end."""
        request = ticket.request
        target = request.caller.route.target
        model_queue = self._get_model_queue(target, now)
        self.demand.record_arrival(target, request.prompt_tokens, request.output_tokens)
        if self._rules.fair:
            await self._wait_for_admission(model_queue, target, ticket, now)
        else:
            model_queue.running += 1
        ticket.admitted_at = boot_seconds()
        try:
            yield
        finally:
            model_queue.running -= 1
            self._record_end(model_queue, ticket, boot_seconds())
            self._admit_from_queue(target, model_queue, boot_seconds())

    async def _wait_for_admission(
        self, model_queue: _ModelQueue, target: str, ticket: Ticket, now: float
    ) -> None:
        request = ticket.request
        self._refuse_early(model_queue, request, ticket.estimated_work, now)
        waiter = _Waiter(request, ticket.estimated_work, anyio.Event())
        if not len(model_queue.queue):
            model_queue.service_rate.restart_window(now=now)
        handle = model_queue.queue.push(
            request.caller.customer,
            waiter,
            weight=request.caller.part.weight,
            work=ticket.estimated_work,
            priority=int(request.priority),
        )
        self._admit_from_queue(target, model_queue, now)
        if len(model_queue.queue) > self._rules.max_waiting:
            self._evict_last(model_queue, now)
        try:
            with anyio.move_on_after(request.deadline - now):
                await waiter.event.wait()
        except BaseException:
            self._abandon(model_queue, target, waiter, handle)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if not waiter.admitted:
            model_queue.queue.remove(handle)
            raise SamphireError(
                DEADLINE_NOT_RUN,
                "the deadline passed while the request was waiting",
                retry_after=1.0,
            )

    def _abandon(
        self, model_queue: _ModelQueue, target: str, waiter: _Waiter, handle: QueueHandle[_Waiter]
    ) -> None:
        if waiter.admitted:
            model_queue.running -= 1
            self._admit_from_queue(target, model_queue, boot_seconds())
        else:
            model_queue.queue.remove(handle)

    def _refuse_early(
        self, model_queue: _ModelQueue, request: AdmissionRequest, work: float, now: float
    ) -> None:
        """Refuse a request that is estimated to end after its deadline."""
        queue, customer = model_queue.queue, request.caller.customer
        if not len(queue):
            return
        work_ahead = queue.work_ahead(customer, int(request.priority))
        share = queue.service_share(customer, request.caller.part.weight)
        wait_seconds = model_queue.service_rate.estimate_wait(work_ahead / share)
        needed_seconds = wait_seconds + model_queue.service_time.estimate(work)
        if now + needed_seconds <= request.deadline:
            return
        detail = (
            f"{needed_seconds:.1f} s needed, {request.deadline - now:.1f} s left until the deadline"
        )
        log_decision(
            _log, "refuse-early", detail, customer=customer, waiting=len(queue), share=share
        )
        raise _overloaded_error(detail, wait_seconds)

    def _admit_from_queue(self, target: str, model_queue: _ModelQueue, now: float) -> None:
        limit = self._concurrency_limit(target, now)
        while len(model_queue.queue) and model_queue.running < limit:
            waiter = model_queue.queue.pop()
            self.on_served(waiter.request.caller.customer, waiter.work)
            waiter.event.set()
            remaining = waiter.request.deadline - now
            busy = 2 * model_queue.running >= limit
            if busy and model_queue.service_time.estimate(waiter.work) > remaining:
                waiter.refusal = _overloaded_error(
                    f"only {remaining:.1f} s left until the deadline after waiting", 1.0
                )
                self._charge(waiter.request, -waiter.work)
                continue
            waiter.admitted = True
            model_queue.running += 1
            model_queue.service_rate.observe(waiter.work, now=now)

    def _evict_last(self, model_queue: _ModelQueue, now: float) -> None:
        """Refuse the last request of the customer with the most queued work per weight."""
        handle = model_queue.queue.last_of_largest_backlog()
        if handle is None:
            return
        model_queue.queue.remove(handle)
        waiter = handle.entry.item
        wait_seconds = model_queue.service_rate.estimate_wait(waiter.work * len(model_queue.queue))
        waiter.refusal = _overloaded_error(
            f"{len(model_queue.queue)} requests are waiting", wait_seconds
        )
        waiter.event.set()

    def _record_end(self, model_queue: _ModelQueue, ticket: Ticket, now: float) -> None:
        if ticket.output_tokens is None or ticket.prompt_tokens is None:
            if self._rules.fair:
                self._charge(ticket.request, -ticket.estimated_work)
            return
        work = self._weighted_work(ticket.prompt_tokens, ticket.output_tokens)
        model_queue.service_time.observe(work, now - ticket.admitted_at)
        self.demand.record_completion(ticket.output_tokens, ticket.request.output_tokens)
        if self._rules.fair:
            self._charge(ticket.request, work - ticket.estimated_work)

    def _charge(self, request: AdmissionRequest, work: float) -> None:
        customer = request.caller.customer
        self.counters.charge(customer, work, request.caller.part.weight)
        self.on_served(customer, work)

    def _get_model_queue(self, target: str, now: float) -> _ModelQueue:
        model_queue = self._model_queues.get(target)
        if model_queue is None:
            queue: FairQueue[_Waiter] = FairQueue(self.counters)
            model_queue = self._model_queues[target] = _ModelQueue(
                queue, ServiceRate(now=now), ServiceTime()
            )
        return model_queue

    def _weighted_work(self, prompt_tokens: int, output_tokens: int) -> float:
        return prompt_tokens * self._rules.prompt_token_work + output_tokens


def _tokens_above_estimate(ticket: Ticket) -> float:
    request = ticket.request
    if ticket.prompt_tokens is None or ticket.output_tokens is None:
        return -float(request.prompt_tokens + request.output_tokens)
    used = ticket.prompt_tokens + ticket.output_tokens
    return float(used - request.prompt_tokens - request.output_tokens)


def _overloaded_error(detail: str, wait_seconds: float) -> SamphireError:
    retry_after = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))
    return SamphireError(OVERLOADED, detail, retry_after=retry_after)
