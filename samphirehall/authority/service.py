"""Control service that competes for the leases of this host's region and availability zone."""

import random
from collections.abc import Callable, Iterable

import anyio
from prometheus_client import Gauge

from samphirehall.authority.candidates import candidate_rank, initial_poll_delay, poll_interval
from samphirehall.authority.lease import PLATFORM_SCOPE, LeaseTimes, engines_scope
from samphirehall.authority.lease_manager import LeaseManager
from samphirehall.authority.leases import Leases
from samphirehall.core.clock import boot_seconds
from samphirehall.node.context import ControlContext
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState
from samphirehall.settings.tables import LeaseTable


def lease_times(table: LeaseTable) -> LeaseTimes:
    """Return the lease durations of a settings table."""
    return LeaseTimes(table.ttl_seconds, table.margin_seconds, table.delivery_limit_seconds)


async def run_leases(context: ControlContext) -> None:
    """Acquire and renew the leases of this host's scopes until cancelled."""
    state = context.state
    times = lease_times(context.settings.lease)
    holder = f"{state.host}/{state.incarnation}"
    random_source = random.Random(holder)
    scopes = (PLATFORM_SCOPE, engines_scope(state.zone))
    managers = [
        LeaseManager(context.platform, scope, holder=holder, times=times) for scope in scopes
    ]
    leases = Leases(managers)
    context.provide(leases)
    context.add_status_section("leases", lambda: leases.status(now=boot_seconds()))
    _register_held_gauge(context, leases)
    for manager in managers:
        context.add_stop_action(manager.release)
    async with anyio.create_task_group() as group:
        for manager in managers:
            group.start_soon(_run_lease, state, manager, times, random_source)


async def _run_lease(
    state: NodeState, manager: LeaseManager, times: LeaseTimes, random_source: random.Random
) -> None:
    rank = _local_rank(state, manager.scope)
    interval = times.renewal_interval
    await anyio.sleep(initial_poll_delay(rank(), interval, random_source=random_source))
    await manager.run(lambda: poll_interval(rank(), interval, random_source=random_source))


def _local_rank(state: NodeState, scope: str) -> Callable[[], int]:
    def rank() -> int:
        return candidate_rank(state.host, _candidates(state, scope, now=boot_seconds()), scope)

    return rank


def _candidates(state: NodeState, scope: str, *, now: float) -> Iterable[str]:
    """Return the candidates: known hosts of the region, or live hosts of the zone."""
    if scope != PLATFORM_SCOPE:
        return state.zone_hosts
    return [fact.key for fact in state.fact_store.current(FactKind.HOST, now=now)]


def _register_held_gauge(context: ControlContext, leases: Leases) -> None:
    gauge = Gauge(
        "samphire_lease_held",
        "Whether this host holds the lease of a scope.",
        ["scope"],
        registry=context.metrics,
    )
    for scope in leases.scopes:
        gauge.labels(scope).set_function(_held_gauge_value(leases, scope))


def _held_gauge_value(leases: Leases, scope: str) -> Callable[[], float]:
    return lambda: float(leases.holds(scope, now=boot_seconds()))
