"""Admission of requests by the quotas of their customers."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from samphirehall.admission.quota import Verdict
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED, RunState
from samphirehall.gateway.quota_exchange import HostQuotas
from samphirehall.gateway.request_state import RequestState
from samphirehall.gateway.types import Customer

MAX_WAIT_SECONDS = 0.3  # two updates of a hub with 39 members
MAX_WAIT_PART = 0.25  # of the latency target


def is_limited(request_state: RequestState) -> bool:
    """Return whether a request is subject to a quota."""
    return request_state.customer is not None and request_state.customer.quota is not None


@asynccontextmanager
async def charged_to_quota(
    quotas: HostQuotas, request_state: RequestState, clock: Callable[[], float]
) -> AsyncIterator[None]:
    """Charge a request to its customer's quota; give the units back if it does not run.

    Raises
    ------
    SamphireError
        The customer is over its quota; the request has not run.
    """
    customer = request_state.customer
    assert customer is not None and customer.quota is not None
    prompt = request_state.request.prompt
    tokens = None if prompt is None else prompt.prompt_tokens + prompt.output_tokens
    units = customer.quota.cost(tokens)
    await _acquire(quotas, request_state, customer, units, clock)
    try:
        yield
    except BaseException as error:
        not_run = isinstance(error, SamphireError) and error.result.run is RunState.NOT_RUN
        if not_run or not request_state.tried_endpoints:
            quotas.give_back(customer, units)
        raise


async def _acquire(
    quotas: HostQuotas,
    request_state: RequestState,
    customer: Customer,
    units: float,
    clock: Callable[[], float],
) -> None:
    started = now = clock()
    latest = started + min(
        MAX_WAIT_SECONDS,
        MAX_WAIT_PART * request_state.route.latency_target,
        request_state.remaining_time(now=now),
    )
    quotas.offer(customer, units)
    while True:
        decision = quotas.decide(customer, units, waited=now >= latest)
        if decision.verdict is not Verdict.WAIT:
            break
        await quotas.wait_for_update(latest - now)
        now = clock()
    quota = customer.quota
    assert quota is not None
    if decision.verdict is Verdict.GRANT and now == started:
        return
    age = quotas.knowledge(customer.name).age
    request_state.extra_log_fields["quota"] = {
        "verdict": decision.verdict.value,
        "regime": decision.regime.value,
        "units": units,
        "level": round(decision.level, 1),
        "level_age": None if age == float("inf") else round(age, 3),
        "waited": round(now - started, 4),
    }
    if decision.verdict is Verdict.REFUSE:
        kind = "tokens" if quota.counts_tokens else "requests"
        detail = f"customer {customer.name!r} is over its limit of {quota.rate:g} {kind} a second"
        raise SamphireError(LIMIT_REACHED, detail, retry_after=decision.retry_after)
