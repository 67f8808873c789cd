"""Settings loading, signal handling and exit status shared by all daemons."""

import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import uvloop

from samphirehall.core.errors import SamphireError
from samphirehall.settings.loading import SettingsError

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

T = TypeVar("T")


def load_or_exit(path: str, load: Callable[[str], T], *, check: bool) -> T:
    """Return the settings of a file; exit with the result's status if they are refused.

    Parameters
    ----------
    path : str
        Settings file.
    load : callable
        Returns the checked settings of a file, or raises `SettingsError`.
    check : bool
        Whether to exit after checking.
    """
    try:
        settings = load(path)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{error.result.code} {error.result.name}: {problem}", file=sys.stderr)
        sys.exit(error.result.exit_status)
    if check:
        print(f"{path}: ok")
        sys.exit(0)
    return settings


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now, in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def run_daemon(main: Callable[[], Awaitable[None]]) -> None:
    """Run an async main function and exit with the status of its result."""
    try:
        anyio.run(main, backend_options={"loop_factory": uvloop.new_event_loop})
    except* SamphireError as group:
        error = group.exceptions[0]
        print(error, file=sys.stderr)
        if isinstance(error, SamphireError):
            sys.exit(error.result.exit_status)
        raise


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT; further ones, and SIGHUP, are ignored until the process ended."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    # Closing the loop and the interpreter restores the default actions before the process ends.
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
