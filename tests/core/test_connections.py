"""The connection pool against peers that break connections."""

import anyio
import pytest

from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool
from tests.support.resets import count_received_bytes, non_accepting_listener, resetting_listener

pytestmark = pytest.mark.anyio

DIALS = 300
DIALS_AT_ONCE = 20


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def resetting():
    with resetting_listener() as address:
        yield address


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


class TestGivenUp:
    async def test_request_that_was_given_up_is_not_delivered_later(self):
        body = bytes(200_000)
        with non_accepting_listener() as listener:
            host, port = listener.getsockname()
            pool = ConnectionPool(f"{host}:{port}")
            with pytest.raises(TRANSPORT_ERRORS):
                async with pool.request("POST", "/", content=body, read_timeout=0.1):
                    pass
            received = await anyio.to_thread.run_sync(count_received_bytes, listener)
        assert received < len(body)
