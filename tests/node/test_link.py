"""The link between the two processes of a host, over loopback sockets."""

import anyio
import pytest

from samphirehall.configuration.documents import CustomerPart
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.node import link
from samphirehall.node.facts import FactKind
from samphirehall.node.link import LinkReport, maintain_link, serve_link
from samphirehall.node.link_messages import ConfigurationUpdate, apply_update
from samphirehall.node.state import NodeState

pytestmark = pytest.mark.anyio


async def eventually(condition, seconds=5.0):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


class Ends:
    """Control and entry ends of a link; `drop` closes the connection."""

    def __init__(self, group):
        self.group = group
        self.control = NodeState("host-a", "zone-1", 1)
        self.entry = NodeState("host-a/entry", "zone-1", 1)
        self.report = LinkReport()
        self.streams = []

    async def start(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"

        async def serve(stream):
            self.streams.append(stream)
            await serve_link(stream, self.control, self.report)

        self.group.start_soon(listener.serve, serve)
        self.group.start_soon(maintain_link, address, self.entry)

    async def drop(self):
        for stream in self.streams:
            await stream.aclose()


@pytest.fixture
async def ends(monkeypatch):
    monkeypatch.setattr(link, "RECONNECT_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(link, "HEARTBEAT_INTERVAL_SECONDS", 0.05)
    async with anyio.create_task_group() as group:
        ends = Ends(group)
        await ends.start()
        yield ends
        group.cancel_scope.cancel()


class TestLink:
    async def test_facts_pass_both_ways_and_are_not_sent_back(self, ends):
        now = boot_seconds()
        ends.entry.fact_store.publish(FactKind.ENDPOINT_DOWN, "e1", None, lifetime=60, now=now)
        ends.control.fact_store.publish(FactKind.ENDPOINT_LEAVING, "e2", None, lifetime=60, now=now)
        await eventually(
            lambda: ends.control.fact_store.digest == ends.entry.fact_store.digest != 0
        )

    async def test_entry_keeps_snapshot_and_catches_up_after_break(self, ends):
        part = CustomerPart()
        ends.control.put_in_force(Configuration(3, {"customers/a": part}))
        await eventually(lambda: ends.report.version == 3)
        await ends.drop()
        assert ends.entry.configuration.version == 3
        ends.control.fact_store.publish(
            FactKind.KEY_WITHDRAWN, "digest", None, lifetime=60, now=boot_seconds()
        )
        await eventually(lambda: ends.entry.is_withdrawn("digest", now=boot_seconds()))

    async def test_restarted_control_learns_version_of_entry(self, ends):
        ends.entry.put_in_force(Configuration(9, {}))
        ends.control.put_in_force(Configuration(8, {}))
        await eventually(lambda: ends.control.highest_known_version == 9)
        assert ends.entry.configuration.version == 9


class TestApplyUpdate:
    async def test_lower_version_is_ignored(self):
        state = NodeState("h", "z", 1)
        state.put_in_force(Configuration(5, {}))
        assert not apply_update(state, ConfigurationUpdate(4, 0, {}, ()))
        assert state.configuration.version == 5
