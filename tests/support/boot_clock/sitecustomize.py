"""Shift the boot clock of this process and of those it starts.

In effect with this folder on ``PYTHONPATH``. ``TEST_BOOT_CLOCK_SHIFT`` is in seconds.
"""

import os
import time

_read_clock = time.clock_gettime
_SHIFT_SECONDS = float(os.environ.get("TEST_BOOT_CLOCK_SHIFT", "0"))


def _shifted_clock(clock):
    shift = _SHIFT_SECONDS if clock == time.CLOCK_BOOTTIME else 0.0
    return _read_clock(clock) + shift


time.clock_gettime = _shifted_clock
