"""Tests of the connection pool with peers that reset or do not read connections."""

import anyio
import pytest

from samphirehall.core.connections import (
    MAX_REQUESTS_PER_CONNECTION,
    TRANSPORT_ERRORS,
    CarriedIds,
    ConnectionPool,
    read_body,
)
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.support.resets import count_received_bytes, non_accepting_listener, resetting_listener

pytestmark = pytest.mark.anyio

DIALS = 300
MAX_CONCURRENT_DIALS = 20


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def resetting():
    with resetting_listener() as address:
        yield address


class TestDial:
    """A connection that is reset right after it opens must raise a transport error.

    The event loop may then have closed the socket before its options are set.
    """

    async def test_reset_at_once_is_a_transport_error(self, resetting):
        pool = ConnectionPool(resetting)
        limit = anyio.Semaphore(MAX_CONCURRENT_DIALS)
        errors = []

        async def dial():
            async with limit:
                try:
                    async with pool.request("GET", "/", new_connection=True):
                        pass
                except Exception as error:
                    errors.append(error)

        async with anyio.create_task_group() as group:
            for _ in range(DIALS):
                group.start_soon(dial)
        assert len(errors) == DIALS
        assert [error for error in errors if not isinstance(error, TRANSPORT_ERRORS)] == []


class TestGivenUp:
    """A request that timed out must not reach the endpoint later.

    After an ordinary close the kernel keeps sending the buffered part of the body.
    """

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


class TestCarriedIds:
    async def test_id_is_sent_once_on_a_connection(self):
        async def script(received, writer):
            writer.write(response_bytes(received))

        async with scripted_endpoint(script) as endpoint:
            pool = ConnectionPool(endpoint.address)
            for request_id in ("1", "2", "1", "3", "2"):
                async with pool.request("GET", "/", request_id=request_id) as response:
                    await read_body(response, max_bytes=100)
            assert endpoint.connections == 2
            await pool.aclose()

    def test_ids_are_bounded(self):
        carried = CarriedIds()
        for number in range(MAX_REQUESTS_PER_CONNECTION):
            assert not carried.is_full and str(number) not in carried
            carried.add(str(number))
        assert carried.is_full and "0" in carried
