"""Clocks of a host."""

import time


def boot_seconds() -> float:
    """Return seconds since boot on a clock that also counts suspension of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return seconds since the epoch; only for usage windows and log lines."""
    return time.time()
