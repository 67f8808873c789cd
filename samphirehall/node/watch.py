"""Control service: poll the platform for the configuration pointer and the endpoint list."""

import logging
import random

import anyio

from samphirehall.configuration.store import fetch_configuration, read_pointer
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.node.context import ControlContext

IDLE_SECONDS = 0.5
LEAST_SECONDS = 0.02
MAX_BACKOFF_FACTOR = 8.0
JITTER = 0.2

_log = logging.getLogger(__name__)


async def run_watch(context: ControlContext) -> None:
    """Poll the platform until cancelled, while this host is one that polls.

    While the platform is unavailable, the known configuration and endpoints
    stay in force, and polls back off exponentially.
    """
    random_source = random.Random(context.state.incarnation)
    backoff = 1.0
    due = 0.0
    while True:
        now = boot_seconds()
        interval = context.poll_interval(now)
        if interval is not None and due <= now:
            backoff = await _poll(context, backoff)
            spread = random_source.uniform(1.0 - JITTER, 1.0 + JITTER)
            due = now + interval * backoff * spread
        wait = due - boot_seconds() if interval is not None else IDLE_SECONDS
        await anyio.sleep(min(max(wait, LEAST_SECONDS), IDLE_SECONDS))


async def _poll(context: ControlContext, backoff: float) -> float:
    try:
        await poll_configuration(context)
        context.state.take_endpoints(await context.platform.endpoints())
    except PlatformUnavailableError as error:
        if backoff == 1.0:
            log_decision(_log, "platform-unavailable", str(error))
        return min(backoff * 2, MAX_BACKOFF_FACTOR)
    if backoff > 1.0:
        log_decision(_log, "platform-available", "the platform answered a poll")
    return 1.0


async def poll_configuration(context: ControlContext) -> bool:
    """Fetch the store's configuration if it is newer; return whether it came into force here."""
    asked_at = boot_seconds()
    pointer, _ = await read_pointer(context.platform)
    state, gate = context.state, context.gate
    version = 0 if pointer is None else pointer.version
    state.hear_version(version)
    gate.store_answered(now=boot_seconds())
    if pointer is None or version <= gate.held.version:
        if version <= state.configuration.version:
            state.verification.confirm(asked_at)
        return False
    configuration = await fetch_configuration(context.platform, pointer, gate.held)
    taken = gate.offer(configuration, now=boot_seconds())
    if taken:
        state.verification.confirm(asked_at)
        log_decision(_log, "configuration", "the store has a newer version", version=version)
    return taken
