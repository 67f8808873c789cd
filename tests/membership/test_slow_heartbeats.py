"""Meshes with long heartbeat intervals, age of delayed heartbeats, and TLS between peers."""

import anyio
import pytest
import trustme

from samphirehall.core.clock import boot_seconds
from samphirehall.membership.connection import _receive_heartbeat
from samphirehall.membership.handshake import HandshakeResult, HostIdentity
from samphirehall.membership.messages import Beat
from samphirehall.membership.peer import Peer
from tests.support.mesh import MeshGroup, Node, eventually, mesh_settings

pytestmark = pytest.mark.anyio
SLOW = {"heartbeat_seconds": 30.0, "acknowledge_seconds": 0.5}


async def keep_apart(first, second):
    first.unreachable.add(second.host)
    second.unreachable.add(first.host)
    first.mesh.peers[second.host].cancel_scope.cancel()
    await eventually(lambda: second.host not in first.mesh.peers)
    await eventually(lambda: first.host not in second.mesh.peers)


@pytest.fixture
async def group():
    async with anyio.create_task_group() as tasks:
        group = MeshGroup(tasks, {"a": 3, "b": 2}, **SLOW)
        await group.start()
        yield group
        group.stop()


class TestUrgentFacts:
    async def test_are_sent_again_before_the_silence_timeout(self, group):
        for node in group.nodes:
            node.relay.silence_open()
        group["a-0"].withdraw_key("digest")
        await eventually(lambda: all(node.has_withdrawn_key("digest") for node in group.nodes), 8)

    async def test_reach_a_host_of_the_zone_without_a_connection_to_the_owner(self, group):
        await keep_apart(group["a-0"], group["a-2"])
        group["a-0"].withdraw_key("digest")
        await eventually(lambda: group["a-2"].has_withdrawn_key("digest"), 3)


class TestHeartbeat:
    """The age of a heartbeat that was delayed in a buffer counts from its echoed timestamp."""

    @pytest.mark.parametrize(("far_zone", "expected"), [("b", -40.0), ("c", -45.0)])
    async def test_age_counts_from_the_echoed_timestamp(self, far_zone, expected):
        node = Node("a-0", "a", mesh_settings())
        node.set_host_list([Node("b-0", "b", mesh_settings())])
        now = boot_seconds()
        opened = HandshakeResult(HostIdentity("x-0", far_zone, 1), "x-0", False)
        peer = Peer(opened, None, silence_timeout=1.0, acknowledge_seconds=1.0, now=now)
        late = Beat(0, int((now - 40.0) * 1000), 0, 0, 0, 50, 0, 900)
        _receive_heartbeat(node.mesh, peer, late, now)
        assert node.state.verification.confirmed_at == pytest.approx(now + expected, abs=0.01)


class TestTls:
    async def test_only_certificates_of_the_authority_are_accepted(self, tmp_path):
        trusted = tls_files(tmp_path / "trusted", trustme.CA())
        other = tls_files(tmp_path / "other", trustme.CA())
        async with anyio.create_task_group() as tasks:
            group = MeshGroup(tasks, {"a": 2, "b": 1}, **trusted)
            await group.start()
            group["a-0"].withdraw_key("digest")
            await eventually(lambda: all(node.has_withdrawn_key("digest") for node in group.nodes))
            stranger = group.add("a-9", "a", settings=mesh_settings(**other))
            await anyio.sleep(1.5)
            assert not stranger.mesh.peers
            assert not stranger.has_withdrawn_key("digest")
            group.stop()


def tls_files(folder, authority) -> dict[str, str]:
    folder.mkdir()
    certificate = authority.issue_cert("127.0.0.1")
    paths = {name: str(folder / f"{name}.pem") for name in ("certificate", "key", "authority")}
    certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["authority"])
    return {f"tls_{name}": path for name, path in paths.items()}
