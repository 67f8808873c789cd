"""Usage facts go to the processes of their host and to one peer in another zone, the mirror."""

import anyio
import pytest
import uvloop

from samphirehall.core.clock import boot_seconds
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.meter import UsageMeter
from samphirehall.usage.publisher import UsagePublisher
from tests.support.mesh import MeshGroup, eventually

pytestmark = pytest.mark.anyio
WINDOW = 60


@pytest.fixture
def anyio_backend():
    return ("asyncio", {"loop_factory": uvloop.new_event_loop})


def hosts_with_fact(group, key):
    """Return the hosts that hold a usage fact."""
    now = boot_seconds()
    return {
        node.host
        for node in group.nodes
        if node.state.fact_store.contains(FactKind.USAGE, key, now=now)
    }


class TestMirror:
    async def test_fact_goes_to_one_peer_of_another_zone_and_after_its_stop_to_the_next(self):
        async with anyio.create_task_group() as tasks:
            group = MeshGroup(tasks, {"a": 2, "b": 2})
            await group.start()
            node = group["a-0"]
            fact = Fact(FactKind.USAGE, "0/c", "a-0/entry", 1, 1, [1, 2, 3], 60.0)
            node.state.fact_store.merge(fact, now=boot_seconds())
            await eventually(lambda: len(hosts_with_fact(group, "0/c")) == 2, 3)
            await anyio.sleep(0.3)
            mirrors = hosts_with_fact(group, "0/c") - {"a-0"}
            assert mirrors == {node.mesh.usage_mirror}
            assert node.mesh.usage_mirror.startswith("b-")
            group[node.mesh.usage_mirror].cancel_scope.cancel()
            await eventually(
                lambda: node.mesh.usage_mirror in hosts_with_fact(group, "0/c") - mirrors, 5
            )
            group.stop()


class TestUsagePublisher:
    def test_publishes_changes_once_and_the_meter_removes_recorded_counts(self):
        state, meter = NodeState("a-0/entry", "a", 7), UsageMeter(window_seconds=WINDOW)
        publisher = UsagePublisher(meter, state)
        meter.record("c", 3, 4, now=61.0)
        publisher.publish(now=0.0)
        publisher.publish(now=0.0)
        facts = state.fact_store.current(FactKind.USAGE, now=1.0)
        assert [(fact.key, fact.value) for fact in facts] == [("60/c", [1, 3, 4])]
        meter.forget(120)
        assert meter.counts == {}


class TestUsageMeter:
    def test_unpublished_counts_are_not_removed(self):
        meter = UsageMeter(window_seconds=WINDOW)
        meter.record("c", 1, 1, now=61.0)
        meter.forget(120)
        assert meter.counts == {Cell(60, "c"): Counts(1, 1, 1)}

    def test_clock_set_back_counts_into_an_open_window(self):
        meter = UsageMeter(window_seconds=WINDOW)
        meter.forget(120)
        meter.record("c", 1, 1, now=61.0)
        assert list(meter.counts) == [Cell(120, "c")]
