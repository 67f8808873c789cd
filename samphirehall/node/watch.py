"""Control service: follow the platform's configuration pointer and endpoint list."""

import logging

import anyio

from samphirehall.configuration.store import fetch_configuration, read_pointer
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.node.context import ControlContext

_log = logging.getLogger(__name__)


async def run_watch(context: ControlContext) -> None:
    """Poll the platform until cancelled; go on with what is known while it is out."""
    while True:
        try:
            await poll_configuration(context)
            context.state.take_endpoints(await context.platform.endpoints())
        except PlatformUnavailableError as error:
            _log.warning("platform-unavailable", extra={"reason": str(error)})
        await anyio.sleep(context.settings.control.poll_seconds)


async def poll_configuration(context: ControlContext) -> bool:
    """Fetch the configuration in force if it is newer; return whether it was."""
    pointer, _ = await read_pointer(context.platform)
    state = context.state
    if pointer is None or pointer.version <= state.configuration.version:
        return False
    configuration = await fetch_configuration(context.platform, pointer, state.configuration)
    taken = state.take_configuration(configuration)
    if taken:
        log_decision(_log, "configuration", "newer pointer", version=pointer.version)
    return taken
