"""Periodic tasks of admission: admit waiting requests, and publish served work and demand."""

import anyio

from samphirehall.admission.demand import publish_demand
from samphirehall.admission.limit_counts import LimitCounts
from samphirehall.admission.served import ServedWorkTracker
from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.context import EntryContext

ADMISSION_INTERVAL_SECONDS = 0.02
PUBLISH_INTERVAL_SECONDS = 1.0
LIMITS_INTERVAL_SECONDS = 0.5  # bounds what hosts grant before they know of each other


async def run_admission(context: EntryContext) -> None:
    """Admit waiting requests and publish served work and demand until cancelled."""
    served_work = ServedWorkTracker(
        context.state,
        context.admission.counters,
        lambda customer: _customer_weight(context, customer),
    )
    context.admission.on_served = served_work.record
    limit_counts = LimitCounts(context.state, context.admission.customer_limits)
    published_at = limits_at = boot_seconds()
    while True:
        await anyio.sleep(ADMISSION_INTERVAL_SECONDS)
        now = boot_seconds()
        context.admission.admit_waiting(now=now)
        if now - limits_at >= LIMITS_INTERVAL_SECONDS:
            limits_at = now
            limit_counts.publish(now=now)
        if now - published_at >= PUBLISH_INTERVAL_SECONDS:
            published_at = now
            served_work.publish(now=now)
            _publish_demand(context, now)


def _publish_demand(context: EntryContext, now: float) -> None:
    admission = context.admission
    demands = admission.demand.collect(
        admission.waiting, uncached_fraction=context.fleet.uncached_fraction, now=now
    )
    publish_demand(context.state, demands, now=now)


def _customer_weight(context: EntryContext, customer: str) -> float:
    customer_part = context.state.configuration.customer(customer)
    return customer_part.weight if customer_part is not None else 1.0
