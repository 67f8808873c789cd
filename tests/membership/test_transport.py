"""Connections between hosts that are reset right after they are opened."""

import socket

import anyio
import pytest

from demo.ports import free_ports
from samphirehall.membership.transport import dial, listen
from samphirehall.settings.tables import MeshTable
from tests.support.resets import reset_connection, resetting_listener

pytestmark = pytest.mark.anyio

DIALS = 300
DIALS_AT_ONCE = 20
START_SECONDS = 0.1
MESH = MeshTable(key="a-mesh-key-of-tests")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


class TestDial:
    async def test_reset_at_once_is_an_os_error(self):
        limit = anyio.Semaphore(DIALS_AT_ONCE)
        errors = []

        async def dial_once(address):
            async with limit:
                try:
                    await (await dial(address, MESH)).aclose()
                except Exception as error:
                    errors.append(error)

        with resetting_listener() as address:
            async with anyio.create_task_group() as group:
                for _ in range(DIALS):
                    group.start_soon(dial_once, address)
        assert [error for error in errors if not isinstance(error, OSError)] == []


class TestListen:
    async def test_reset_at_once_does_not_end_it(self):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        host, _, port = address.rpartition(":")
        served = anyio.Event()

        async def serve(stream):
            served.set()
            await stream.aclose()

        def dial_and_reset():
            for _ in range(DIALS):
                reset_connection(socket.create_connection((host, int(port))))

        async with anyio.create_task_group() as group:
            group.start_soon(listen, address, MESH, serve)
            await anyio.sleep(START_SECONDS)
            await anyio.to_thread.run_sync(dial_and_reset)
            await (await anyio.connect_tcp(host, int(port))).aclose()
            with anyio.fail_after(1.0):
                await served.wait()
            group.cancel_scope.cancel()
