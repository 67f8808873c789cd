"""Relays between hosts in the mesh tests."""

import anyio
import pytest

from tests.support.mesh import LOOPBACK, Relay
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio


async def test_relay_to_a_stopped_host_closes_connections_and_keeps_running():
    async with anyio.create_task_group() as group:
        relay = Relay(int(free_address().rpartition(":")[2]))
        group.start_soon(relay.run)
        await anyio.sleep(0.1)
        for _ in range(2):
            async with await anyio.connect_tcp(LOOPBACK, relay.port) as stream:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        group.cancel_scope.cancel()
