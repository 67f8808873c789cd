"""Stop signals of a daemon."""

import signal
import subprocess
import sys

import pytest

DAEMON = """
import asyncio
from samphirehall.programs.running import run_daemon, wait_for_stop

async def main():
    await asyncio.get_running_loop().getaddrinfo("localhost", 80)  # starts threads of the loop
    asyncio.get_running_loop().call_later(0.05, lambda: print("serving", flush=True))
    await wait_for_stop()
    print("stopping", flush=True)

run_daemon(main)
"""


# Guards against a planned stop that looks like a crash to the operator, as its status is -15.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_stopping_process_that_gets_signals_until_it_is_gone_ends_with_status_0(number):
    process = subprocess.Popen([sys.executable, "-c", DAEMON], stdout=subprocess.PIPE)
    with process, process.stdout as output:
        assert output.readline() == b"serving\n"
        process.send_signal(signal.SIGTERM)
        assert output.readline() == b"stopping\n"
        while process.poll() is None:
            process.send_signal(number)
    assert process.returncode == 0
