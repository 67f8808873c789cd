"""Clocks of a host."""

import time


def boot_seconds() -> float:
    """Return seconds since boot on a monotonic clock that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return seconds since the epoch, for usage windows and log lines only; it may jump."""
    return time.time()
