"""The stand-in of a plain service."""

import msgspec
import pytest

from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.serving import serving
from samphirehall.standins.service import ServiceFaults, ServiceStandin
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

MAX_RESPONSE_BYTES = 10_000


async def call(pool, method, path, body=b""):
    async with pool.request(method, path, content=body) as response:
        return response.status, await read_body(response, max_bytes=MAX_RESPONSE_BYTES)


class TestLoseAnswer:
    async def test_the_call_runs_and_the_connection_closes(self):
        service, address = ServiceStandin("desk"), free_address()
        pool = ConnectionPool(address)
        async with serving(service.app(), address):
            faults = msgspec.json.encode(ServiceFaults(lose_answer=True))
            await call(pool, "PUT", "/admin/faults", faults)
            with pytest.raises(TRANSPORT_ERRORS):
                await call(pool, "POST", "/freight", b"{}")
            await pool.aclose()
        assert [item.path for item in service.calls] == ["/freight"]
