"""Control service: poll the platform for the configuration pointer and the endpoint list."""

import logging
import random

import anyio

from samphirehall.backing.table import NO_ERA
from samphirehall.configuration.store import fetch_configuration, read_pointer, store_again
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.node.context import ControlContext

MAX_SLEEP_SECONDS = 0.5
MIN_SLEEP_SECONDS = 0.02
MAX_BACKOFF_FACTOR = 8.0
JITTER_FRACTION = 0.2

_log = logging.getLogger(__name__)


async def run_watch(context: ControlContext) -> None:
    """Poll the platform until cancelled, while this host is one that polls.

    While the platform is unavailable, the known configuration and endpoints
    stay in force, and polls back off exponentially.
    """
    random_source = random.Random(context.state.incarnation)
    backoff = 1.0
    next_poll_at = 0.0
    while True:
        now = boot_seconds()
        interval = context.poll_interval(now)
        if interval is not None and next_poll_at <= now:
            backoff = await _poll(context, backoff)
            jitter = random_source.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
            next_poll_at = now + interval * backoff * jitter
        wait = next_poll_at - boot_seconds() if interval is not None else MAX_SLEEP_SECONDS
        await anyio.sleep(min(max(wait, MIN_SLEEP_SECONDS), MAX_SLEEP_SECONDS))


async def _poll(context: ControlContext, backoff: float) -> float:
    try:
        await poll_configuration(context)
        context.state.replace_endpoints(await context.platform.endpoints())
    except PlatformUnavailableError as error:
        if backoff == 1.0:
            log_decision(_log, "platform-unavailable", str(error))
        return min(backoff * 2, MAX_BACKOFF_FACTOR)
    if backoff > 1.0:
        log_decision(_log, "platform-available", "the platform answered a poll")
    return 1.0


async def poll_configuration(context: ControlContext) -> bool:
    """Fetch the store's configuration if it is newer; return whether it came into force here."""
    requested_at = boot_seconds()
    pointer, _ = await read_pointer(context.platform)
    state, gate = context.state, context.gate
    version = 0 if pointer is None else pointer.version
    state.record_known_version(version)
    era = NO_ERA if pointer is None else pointer.era
    gate.record_store_answer(now=boot_seconds(), may_be_older=era != context.platform.era)
    known = context.newest_pointer
    if pointer is not None and (known is None or version > known.version):
        context.newest_pointer = pointer
    elif known is not None and version < known.version == gate.newest_available.version:
        await store_again(context.platform, gate.newest_available, known)
    if pointer is None or version <= gate.newest_available.version:
        if version <= state.configuration.version:
            state.verification.record_confirmation(requested_at)
        return False
    configuration = await fetch_configuration(context.platform, pointer, gate.newest_available)
    came_into_force = gate.offer(configuration, now=boot_seconds())
    if came_into_force:
        state.verification.record_confirmation(requested_at)
        log_decision(_log, "configuration", "the store has a newer version", version=version)
    return came_into_force
