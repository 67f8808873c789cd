"""The connection pool against peers that break connections."""

import socket
import struct
import threading
from contextlib import closing

import anyio
import pytest

from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool

pytestmark = pytest.mark.anyio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DIALS = 300
DIALS_AT_ONCE = 20


def _reset_everyone(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def resetting():
    with closing(socket.create_server(("127.0.0.1", 0), backlog=DIALS)) as listener:
        threading.Thread(target=_reset_everyone, args=[listener], daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class TestDial:
    async def test_reset_at_once_is_a_transport_error(self, resetting):
        pool = ConnectionPool(resetting)
        limit = anyio.Semaphore(DIALS_AT_ONCE)
        errors = []

        async def dial():
            async with limit:
                try:
                    async with pool.request("GET", "/", fresh=True):
                        pass
                except Exception as error:
                    errors.append(error)

        async with anyio.create_task_group() as group:
            for _ in range(DIALS):
                group.start_soon(dial)
        assert len(errors) == DIALS
        assert [error for error in errors if not isinstance(error, TRANSPORT_ERRORS)] == []
