import os
import signal
import subprocess
import sys

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.serving import serving
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.load.faults import check_faults, run_faults
from samphirehall.load.scenario import Fault, Scenario, Targets
from samphirehall.standins.engine import EngineStandin
from tests.support.ports import free_address


def scenario(*faults):
    return Scenario("faults", {}, {}, [], list(faults))


class TestCheckFaults:
    @pytest.mark.parametrize("action", ["call", "kill"])
    def test_unknown_target_is_named_with_those_known(self, action):
        targets = Targets([], {}, endpoints={"engine-1": "127.0.0.1:1"}, processes={"entry-1": 1})
        known = "engine-1" if action == "call" else "entry-1"
        with pytest.raises(SamphireError, match=f"'other': one of {known}"):
            check_faults(scenario(Fault(1.0, action, "other")), targets)


class TestRunFaults:
    def test_switch_is_set_at_its_time(self):
        async def main():
            address, engine = free_address(), EngineStandin("e", ["answer"])
            fault = Fault(0.1, "call", "e", path="/admin/faults", body={"reject": True})
            targets = Targets([], {}, endpoints={"e": address})
            async with serving(engine.app(), address):
                pools, begin = EndpointPools(), boot_seconds()
                await run_faults(scenario(fault), targets, pools, begin=begin)
                assert boot_seconds() - begin >= 0.1
                assert engine.faults.reject
                await pools.aclose()

        anyio.run(main)

    def test_signals_go_to_the_process_that_was_named(self):
        child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
        try:
            targets = Targets([], {}, processes={"child": child.pid})
            faults = scenario(Fault(0.0, "pause", "child"), Fault(0.05, "kill", "child"))
            anyio.run(lambda: run_faults(faults, targets, EndpointPools(), begin=boot_seconds()))
            assert child.wait(10) == -signal.SIGKILL
        finally:
            if child.poll() is None:
                os.kill(child.pid, signal.SIGKILL)
                child.wait()
