"""Fair shares of the customers of requests to engines, where the deployment asks for them."""

from typing import TypedDict

from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.request_state import RequestState
from samphirehall.scheduling.fair_shares import CustomerShare


class RandomNumbers(TypedDict):
    """Random numbers of one decision; see `decide_admission`."""

    chance: float
    spread: float


def random_numbers(context: GatewayContext) -> RandomNumbers:
    """Return the random numbers of one decision; without fair shares none is needed."""
    if context.fair_shares is None:
        return {"chance": 0.0, "spread": 0.0}
    source = context.random_source
    return {"chance": source.random(), "spread": source.random()}


def request_share(
    context: GatewayContext, request_state: RequestState, *, now: float
) -> CustomerShare | None:
    """Return the share of a request's customer, if the service does not keep up with demand.

    A stream that the caller takes up is work already begun, which no share limits.
    """
    customer = request_state.customer_name
    if context.fair_shares is None or customer is None or request_state.takes_up:
        return None
    share = context.fair_shares.of(request_state.service.name).share(customer, now=now)
    if share is not None:
        request_state.extra_log_fields["share"] = {
            "use": round(share.use, 2),
            "served": round(share.served),
            "asked": round(share.demand),
            "fair": round(share.fair),
        }
    return share


def record_served(
    context: GatewayContext, request_state: RequestState, tokens: float, *, now: float
) -> None:
    """Record work that was done for a request."""
    customer = request_state.customer_name
    if context.fair_shares is not None and customer is not None and tokens > 0:
        context.fair_shares.of(request_state.service.name).record_served(customer, tokens, now=now)


def record_refused(
    context: GatewayContext, request_state: RequestState, uncached_tokens: int, *, now: float
) -> None:
    """Record the work of a refused request, with as much output as it may have had."""
    customer, prompt = request_state.customer_name, request_state.request.prompt
    if context.fair_shares is not None and customer is not None and prompt is not None:
        tokens = uncached_tokens + prompt.output_tokens
        context.fair_shares.of(request_state.service.name).record_refused(customer, tokens, now=now)
