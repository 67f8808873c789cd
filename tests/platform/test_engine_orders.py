"""Orders to engines whose reports cannot be used."""

import json

import pytest

from samphirehall.gateway.connections import EndpointConnections
from samphirehall.gateway.types import Stage
from samphirehall.platform.engine_orders import order_stage
from tests.gateway.helpers import listed, response_bytes, scripted_endpoint
from tests.support import odd_bytes

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    "body",
    [
        *odd_bytes.ODD_DOCUMENTS,
        b'{"sequence":1,"x":' + odd_bytes.DEEP_LIST[:100_000] + b"]" * 100_000 + b"}",
        json.dumps({"sequence": -1}).encode(),
        json.dumps({"sequence": 2**70}).encode(),
    ],
    ids=lambda body: f"{len(body)}{body[-20:]}",
)
async def test_engine_with_an_odd_report_is_sent_no_order(body):
    targets = []

    async def script(received, writer):
        targets.append(received)
        writer.write(response_bytes(received, body))

    async with scripted_endpoint(script) as endpoint:
        connections = EndpointConnections(endpoint.address)
        engine = listed("i-1", endpoint.address)
        accepted = await order_stage(connections, engine, Stage.PREFILL, host="a", duty=None)
        assert not accepted and len(targets) == 1
