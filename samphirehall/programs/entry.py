"""``samphire-entry``: the process that serves callers on one host."""

import logging
import random
from contextlib import AbstractAsyncContextManager, AsyncExitStack

import anyio
import fire
from prometheus_client import CollectorRegistry

from samphirehall.admission.controller import AdmissionController, AdmissionRules
from samphirehall.backing import Platform
from samphirehall.core.clock import boot_seconds
from samphirehall.core.log import configure_logging
from samphirehall.core.serving import serving
from samphirehall.core.stopping import StopSchedule
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.forwarding.admission_tasks import run_admission
from samphirehall.forwarding.app import EntryApp
from samphirehall.forwarding.caller_protocol import caller_protocol
from samphirehall.forwarding.claims import ClaimStore
from samphirehall.forwarding.connection_limits import limits_of_process
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.metrics import EntryMetrics
from samphirehall.forwarding.quarantine import Quarantine
from samphirehall.forwarding.retry_budget import RetryBudget
from samphirehall.node.link import maintain_link
from samphirehall.node.state import NodeState
from samphirehall.programs.running import (
    load_or_exit,
    new_incarnation,
    run_daemon,
    wait_for_stop,
)
from samphirehall.routing.cache_events import CacheEventPoller
from samphirehall.routing.concurrency import QueueLimits
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.setup import routing_policy
from samphirehall.settings import EntrySettings
from samphirehall.settings.loading import settings_loader
from samphirehall.usage.meter import UsageMeter
from samphirehall.usage.publisher import UsagePublisher

DRAIN_CHECK_INTERVAL_SECONDS = 0.05
FINISH_TIMEOUT_SECONDS = 5.0
PRUNE_INTERVAL_SECONDS = 30.0
FLUSH_TIMEOUT_SECONDS = 5.0

_log = logging.getLogger(__name__)


async def serve(settings: EntrySettings) -> None:
    """Serve callers until SIGTERM or SIGINT, then drain."""
    incarnation = new_incarnation()
    state = NodeState(f"{settings.host.id}/entry", settings.host.zone, incarnation)
    async with AsyncExitStack() as stack:
        platform = Platform(settings.platform.address, timeout=settings.platform.timeout_seconds)
        stack.push_async_callback(platform.aclose)
        pools = EndpointPools(stall_timeout=settings.entry.stall_seconds)
        stack.push_async_callback(pools.aclose)
        queue_limits = QueueLimits(pending_prefill_tokens=settings.admission.engine_queue_tokens)
        fleet = Fleet(state, queue_limits=queue_limits)
        context = EntryContext(
            settings=settings,
            state=state,
            pools=pools,
            fleet=fleet,
            routing_policy=routing_policy(settings.routing, fleet),
            admission=_admission_controller(settings, fleet),
            claims=ClaimStore(platform),
            metrics=EntryMetrics(CollectorRegistry()),
            meter=UsageMeter(window_seconds=settings.usage.window_seconds),
            random_source=random.Random(incarnation),
            retry_budget=RetryBudget(now=boot_seconds()),
            quarantine=Quarantine(state.fact_store),
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(maintain_link, settings.entry.control, state)
        group.start_soon(_close_unlisted_pools, context)
        group.start_soon(run_admission, context)
        cache_event_poller = CacheEventPoller(
            fleet, pools, settings.host.zone, random.Random(incarnation)
        )
        group.start_soon(cache_event_poller.run)
        group.start_soon(context.stalls.run)
        group.start_soon(_prune_forever, context)
        group.start_soon(context.claims.run)
        group.start_soon(context.claims.delete_expired_forever)
        context.before_exit.append(context.claims.flush)
        publisher = UsagePublisher(context.meter, state)
        group.start_soon(publisher.run)
        context.before_exit.append(publisher.flush)
        async with _serve_callers(context):
            _log.info("serving", extra={"listen": settings.entry.listen})
            await wait_for_stop()
            await _drain(context)
        await _run_exit_actions(context)
        group.cancel_scope.cancel()


def _admission_controller(settings: EntrySettings, fleet: Fleet) -> AdmissionController:
    rules = AdmissionRules(
        fair=settings.admission.policy == "fair",
        max_open=settings.entry.max_open_requests,
        max_waiting=settings.admission.max_waiting,
        prompt_token_work=settings.admission.prompt_token_work,
    )
    return AdmissionController(
        rules,
        concurrency_limit=fleet.concurrency_limit,
        host_count=fleet.host_count,
        now=boot_seconds(),
    )


def _serve_callers(context: EntryContext) -> AbstractAsyncContextManager[None]:
    limits = context.settings.entry
    return serving(
        EntryApp(context),
        limits.listen,
        protocol=caller_protocol(
            head_timeout=limits.head_timeout_seconds,
            limits=limits_of_process(max_body_bytes=lambda: limits.max_body_bytes),
        ),
        shutdown_timeout=FINISH_TIMEOUT_SECONDS,
    )


async def _drain(context: EntryContext) -> None:
    """Report not ready, serve until the balancer stops sending, then finish running requests."""
    limits = context.settings.entry
    _log.info("shutdown-begin", extra={"open": context.admission.open_requests})
    now = boot_seconds()
    open_for = min(limits.shutdown_grace_seconds, limits.shutdown_limit_seconds)
    context.stop_schedule = StopSchedule(now + open_for, now + limits.shutdown_limit_seconds)
    with anyio.move_on_after(limits.shutdown_limit_seconds):
        await anyio.sleep(limits.shutdown_grace_seconds)
        while context.admission.open_requests:
            await anyio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
    now = boot_seconds()
    context.stop_schedule = StopSchedule(now, now + FINISH_TIMEOUT_SECONDS)


async def _run_exit_actions(context: EntryContext) -> None:
    """Run the actions registered for a planned stop, such as storing outcomes and usage."""
    with anyio.move_on_after(FLUSH_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as group:
            for action in context.before_exit:
                group.start_soon(action)
    _log.info("shutdown-end", extra={"open": context.admission.open_requests})


async def _prune_forever(context: EntryContext) -> None:
    while True:
        await anyio.sleep(PRUNE_INTERVAL_SECONDS)
        context.quarantine.prune(now=boot_seconds())
        context.state.fact_store.prune(now=boot_seconds())


async def _close_unlisted_pools(context: EntryContext) -> None:
    while True:
        await context.state.wait_for_change()
        endpoints = context.state.endpoints.values()
        await context.pools.keep_only(endpoint.address for endpoint in endpoints)


def run(settings: str, check: bool = False) -> None:
    """Serve callers on this host.

    Parameters
    ----------
    settings : str
        Path of the TOML settings file.
    check : bool
        Check the settings and exit.
    """
    loaded = load_or_exit(settings, settings_loader(EntrySettings), check=check)
    configure_logging(
        loaded.logging.level, host=loaded.host.id, program="samphire-entry", to_stdout=True
    )
    run_daemon(lambda: serve(loaded))


def main() -> None:
    """Run the command line of ``samphire-entry``."""
    fire.Fire(run, name="samphire-entry")
