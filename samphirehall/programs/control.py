"""``samphire-control``: membership, configuration, orders and reports of one host."""

import logging
from contextlib import AsyncExitStack

import anyio
import fire
from prometheus_client import CollectorRegistry

from samphirehall.backing import Platform
from samphirehall.core.log import configure_logging
from samphirehall.node.context import CONTROL_SERVICES, ControlContext
from samphirehall.node.state import NodeState
from samphirehall.programs.running import (
    load_or_exit,
    new_incarnation,
    run_daemon,
    wait_for_stop,
)
from samphirehall.settings import ControlSettings
from samphirehall.settings.loading import settings_loader

STOP_TIMEOUT_SECONDS = 5.0

_log = logging.getLogger(__name__)


async def serve(settings: ControlSettings) -> None:
    """Run every control service until SIGTERM or SIGINT arrives."""
    state = NodeState(settings.host.id, settings.host.zone, new_incarnation())
    async with AsyncExitStack() as stack:
        platform = Platform(settings.platform.address, timeout=settings.platform.timeout_seconds)
        stack.push_async_callback(platform.aclose)
        context = ControlContext(settings, platform, state, CollectorRegistry(), stack)
        group = await stack.enter_async_context(anyio.create_task_group())
        for name in CONTROL_SERVICES.names():
            group.start_soon(CONTROL_SERVICES.get(name), context, name=name)
        _log.info("serving", extra={"services": CONTROL_SERVICES.names()})
        await wait_for_stop()
        _log.info("shutdown-begin")
        await context.stop(STOP_TIMEOUT_SECONDS)
        group.cancel_scope.cancel()
    _log.info("shutdown-end")


def run(settings: str, check: bool = False) -> None:
    """Run the control process of this host.

    Parameters
    ----------
    settings : str
        Path of the TOML settings file.
    check : bool
        Check the settings and exit.
    """
    loaded = load_or_exit(settings, settings_loader(ControlSettings), check=check)
    configure_logging(
        loaded.logging.level, host=loaded.host.id, program="samphire-control", to_stdout=True
    )
    run_daemon(lambda: serve(loaded))


def main() -> None:
    """Entry point of the binary."""
    fire.Fire(run, name="samphire-control")
