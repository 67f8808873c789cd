"""Ports of ``samphire-node`` for readiness checks and scrapes."""

from types import SimpleNamespace

import anyio
import pytest

from samphirehall.core.serving import serving
from samphirehall.forwarding import connection_limits
from samphirehall.gateway.readiness import readiness_app
from samphirehall.programs.node import _operator_protocol
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

CHECK = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
DESCRIPTORS = 64  # of which the port may have three


# Guards against a crowd that asks once and stays, for which a host was taken for not ready.
async def test_idle_connections_keep_no_check_out(monkeypatch):
    monkeypatch.setattr(connection_limits, "descriptor_limit", lambda: DESCRIPTORS)
    node = SimpleNamespace(metrics=SimpleNamespace(observe_refused_connection=lambda *_: None))
    address = free_address()
    host, _, port = address.rpartition(":")
    protocol = _operator_protocol(node, "readiness")
    crowd = []
    async with serving(readiness_app(lambda: True, "/ready"), address, protocol=protocol):
        for _ in range(5):
            stream = await anyio.connect_tcp(host, int(port))
            crowd.append(stream)
            with anyio.fail_after(2):
                await stream.send(CHECK)
                assert b"200 OK" in await stream.receive()
        for stream in crowd:
            await stream.aclose()
