"""Run tests with several readings of the boot clock at once; fail if one run fails.

Usage: ``python -m tests.support.run_with_boot_clocks SECONDS... -- TESTS...``
"""

import os
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

SHIFT_FOLDER = Path(__file__).parent / "boot_clock"


def start(seconds, tests, output):
    """Start the tests with a boot clock that reads `seconds` now."""
    shift = seconds - time.clock_gettime(time.CLOCK_BOOTTIME)
    environment = {
        **os.environ,
        "PYTHONPATH": str(SHIFT_FOLDER),
        "TEST_BOOT_CLOCK_SHIFT": str(shift),
    }
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *tests]
    return subprocess.Popen(command, env=environment, stdout=output, stderr=subprocess.STDOUT)


def main(arguments):
    """Run the tests once for each reading; return the number of runs that failed."""
    separator = arguments.index("--")
    readings, tests = map(float, arguments[:separator]), arguments[separator + 1 :]
    failures = 0
    with ExitStack() as stack:
        runs = []
        for seconds in readings:
            output = stack.enter_context(tempfile.TemporaryFile("w+"))
            runs.append((seconds, start(seconds, tests, output), output))
        for seconds, process, output in runs:
            failed = process.wait() != 0
            failures += failed
            output.seek(0)
            lines = output.read().splitlines()
            print(f"boot clock from {seconds:.0f} s")
            print("\n".join(lines if failed else lines[-1:]))
    return failures


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
