"""Meshes of a few nodes on loopback: partitions, silent connections, restarts and wrong keys."""

import anyio
import pytest

from samphirehall.configuration.documents import CustomerPart
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.membership.hosts import host_statuses, hosts_in_force
from samphirehall.node.facts import FactKind
from tests.support.mesh import MeshGroup, Node, eventually, mesh_settings

pytestmark = pytest.mark.anyio
ZONES = {"a": 3, "b": 3, "c": 2}


@pytest.fixture
async def group():
    async with anyio.create_task_group() as tasks:
        group = MeshGroup(tasks, ZONES)
        await group.start()
        yield group
        group.stop()


class TestDissemination:
    async def test_urgent_fact_reaches_every_host(self, group):
        group["a-0"].withdraw_key("digest")
        await eventually(lambda: all(node.has_withdrawn_key("digest") for node in group.nodes), 2)

    async def test_bulk_fact_reaches_every_host(self, group):
        group["b-1"].state.fact_store.publish(
            FactKind.ENGINE_REPORT, "engine", {"running": 1}, lifetime=30, now=boot_seconds()
        )
        await eventually(
            lambda: all(
                node.state.fact_store.contains(FactKind.ENGINE_REPORT, "engine", now=boot_seconds())
                for node in group.nodes
            ),
            3,
        )

    async def test_configuration_reaches_every_host_once(self, group):
        parts = {f"customers/c{number}": CustomerPart() for number in range(300)}
        group.apply("a-0", Configuration(1, parts))
        await eventually(
            lambda: all(node.state.configuration.parts == parts for node in group.nodes), 5
        )
        changed = {**parts, "customers/c7": CustomerPart(weight=9.0)}
        group.apply("c-1", Configuration(2, changed))
        await eventually(
            lambda: all(node.state.configuration.version == 2 for node in group.nodes), 5
        )
        report = lambda: hosts_in_force(group["b-0"].mesh, 2, now=boot_seconds())  # noqa: E731
        await eventually(lambda: len(report().in_force) == len(group.nodes), 5)
        assert report().unknown == []


class TestPartition:
    async def test_healed_partition_converges_after_the_owner_stopped(self, group):
        for node in group.nodes:
            node.relay.cut()
        await eventually(lambda: not any(node.mesh.peers for node in group.nodes))
        owner, witness = group["a-0"], group["a-1"]
        owner.withdraw_key("digest")
        await anyio.sleep(0.5)
        assert not any(node.has_withdrawn_key("digest") for node in group.nodes[1:])
        for fact in owner.state.fact_store.current(FactKind.KEY_WITHDRAWN, now=boot_seconds()):
            witness.state.fact_store.merge(fact, now=boot_seconds(), source=witness.mesh)
        owner.cancel_scope.cancel()
        for node in group.nodes:
            node.relay.accept_again()
        await eventually(
            lambda: all(node.has_withdrawn_key("digest") for node in group.nodes[1:]), 15
        )

    async def test_fact_is_relayed_to_an_unreachable_host_of_the_zone(self, group):
        lone, origin = group["a-2"], group["a-0"]
        await self._keep_apart(origin, lone)
        origin.withdraw_key("digest")
        await eventually(lambda: lone.has_withdrawn_key("digest"), 2)

    async def _keep_apart(self, origin: Node, other: Node):
        for first, second in ((origin, other), (other, origin)):
            first.unreachable.add(second.host)
        if other.host in origin.mesh.peers:
            origin.mesh.peers[other.host].cancel_scope.cancel()
        await eventually(
            lambda: other.host not in origin.mesh.peers and origin.host not in other.mesh.peers
        )


class TestSilentConnection:
    async def test_urgent_fact_is_sent_again_on_a_new_connection(self, group):
        for node in group.nodes:
            node.relay.silence_open()
        group["b-0"].withdraw_key("digest")
        await eventually(lambda: all(node.has_withdrawn_key("digest") for node in group.nodes), 5)

    async def test_connections_to_silent_peers_are_replaced(self, group):
        before = dict(group["a-0"].mesh.peers)
        for node in group.nodes:
            node.relay.silence_open()
        await eventually(
            lambda: all(
                group["a-0"].mesh.peers.get(host) not in (None, peer)
                for host, peer in before.items()
                if host.startswith("a-")
            ),
            5,
        )


class TestRestart:
    async def test_new_incarnation_takes_over_and_learns_version_first(self, group):
        group.apply("a-0", Configuration(5, {}))
        await eventually(lambda: all(n.state.configuration.version == 5 for n in group.nodes))
        old = group["a-1"]
        old.cancel_scope.cancel()
        group.nodes.remove(old)
        new = group.add("a-1", "a", incarnation=2)
        seen = []
        new.state.add_configuration_listener(
            lambda configuration: seen.append(configuration.version)
        )
        await eventually(lambda: new.state.configuration.version == 5)
        assert seen == [5]
        await eventually(lambda: group["a-0"].mesh.peers["a-1"].identity.incarnation == 2)

    async def test_stopped_host_is_reported_down(self, group):
        group["b-2"].cancel_scope.cancel()
        await eventually(
            lambda: (
                {s.host: s.state for s in host_statuses(group["a-0"].mesh, now=boot_seconds())}[
                    "b-2"
                ]
                == "down"
            ),
            10,
        )


class TestRefusal:
    async def test_wrong_key_is_refused(self, group):
        settings = mesh_settings(key="another key altogether")
        intruder = group.add("a-9", "a", settings=settings)
        for node in group.nodes[:-1]:
            node.set_host_list(group.nodes)
        group["a-0"].withdraw_key("digest")
        await anyio.sleep(1.0)
        assert not intruder.mesh.peers
        assert not intruder.has_withdrawn_key("digest")
        assert all("a-9" not in node.mesh.peers for node in group.nodes)


class TestDiscovery:
    async def test_one_known_host_is_enough(self, group):
        newcomer = group.add("a-7", "a", known_hosts=[group["a-0"]])
        await eventually(lambda: len(newcomer.directory.hosts) == len(group.nodes) - 1)
        await eventually(lambda: newcomer.mesh.reaches_all())
