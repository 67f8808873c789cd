"""What admission needs beside requests: a regular look at its queues, and telling the peers."""

import anyio

from samphirehall.admission.demand import publish_demand
from samphirehall.admission.served import ServedWorkTracker
from samphirehall.core.clock import boot_seconds
from samphirehall.forwarding.context import EntryContext

PUMP_SECONDS = 0.02
PUBLISH_SECONDS = 1.0


async def run_admission(context: EntryContext) -> None:
    """Admit waiting requests as reports come in, and publish service and demand."""
    account = ServedWorkTracker(
        context.state, context.admission.counters, lambda customer: _weight(context, customer)
    )
    context.admission.on_served = account.record
    published_at = boot_seconds()
    while True:
        await anyio.sleep(PUMP_SECONDS)
        now = boot_seconds()
        context.admission.admit_waiting(now=now)
        if now - published_at >= PUBLISH_SECONDS:
            published_at = now
            account.publish(now=now)
            _publish_demand(context, now)


def _publish_demand(context: EntryContext, now: float) -> None:
    admission = context.admission
    demands = admission.demand.collect(
        admission.waiting, uncached_fraction=context.fleet.uncached_fraction, now=now
    )
    publish_demand(context.state, demands, now=now)


def _weight(context: EntryContext, customer: str) -> float:
    part = context.state.configuration.customer(customer)
    return part.weight if part is not None else 1.0
