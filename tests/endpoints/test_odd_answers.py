"""Reports, orders, cache events and stream events of engines that cannot be used."""

import json

import msgpack
import pytest
from hypothesis import given

from samphirehall.core.connections import ConnectionPool
from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.compact_report import decode_report, encode_report
from samphirehall.endpoints.events import BrokenStreamError, decode_chunk
from samphirehall.endpoints.orders import OrderUnansweredError, fetch_report, send_order
from samphirehall.endpoints.protocol import EngineOrder, EngineReport
from samphirehall.placement.polling import _fetch_report
from samphirehall.routing.cache_events import _fetch
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.support import odd_bytes

REPORT = {"endpoint_id": "e1", "load": {"running": 1}, "fencing": 2}
CHUNK = {"choices": [{"delta": {"content": "x"}}], "usage": {"prompt_tokens": 1}}
ODD_REPORTS = [
    *odd_bytes.ODD_DOCUMENTS,
    b'{"endpoint_id":"e1","x":' + odd_bytes.DEEP_MAP[:30_000] + b"}",
    json.dumps({**REPORT, "load": {"running": 2**70}}).encode(),
    json.dumps({**REPORT, "load": {"running": -1}}).encode(),
    json.dumps({**REPORT, "load": {"measured_at": 1e300}}).encode(),
]
ODD_EVENTS = [
    *odd_bytes.ODD_DOCUMENTS[:3],
    *odd_bytes.ODD_DOCUMENTS[4:],
    json.dumps([{"number": 2**70, "block": 1, "stored": True}]).encode(),
]


def answering(body):
    async def script(received, writer):
        writer.write(response_bytes(received, body))

    return scripted_endpoint(script)


def ids(body):
    return f"{len(body)}{body[-30:]}"


@pytest.mark.anyio
class TestCalls:
    @pytest.mark.parametrize("body", ODD_REPORTS, ids=ids)
    async def test_odd_report_is_none(self, body):
        async with answering(body) as engine:
            assert await fetch_report(engine.address, timeout=1.0) is None
            pool = ConnectionPool(engine.address)
            assert await _fetch_report(pool) is None
            await pool.aclose()

    @pytest.mark.parametrize("body", odd_bytes.ODD_DOCUMENTS, ids=ids)
    async def test_odd_answer_to_an_order_is_none(self, body):
        order = EngineOrder("o1", 1, "drain")
        async with answering(body) as engine:
            with pytest.raises(OrderUnansweredError):
                await send_order(engine.address, order, recheck=lambda: None, timeout=1.0)

    @pytest.mark.parametrize("body", ODD_EVENTS, ids=ids)
    async def test_odd_cache_events_are_none(self, body):
        async with answering(body) as engine:
            pool = ConnectionPool(engine.address)
            assert await _fetch(pool, 0) == []
            await pool.aclose()


@given(odd_bytes.documents | odd_bytes.changed_documents(CHUNK))
def test_any_payload_of_an_event_gives_a_chunk_or_a_broken_stream(payload):
    try:
        chunk = decode_chunk(payload)
    except BrokenStreamError:
        return
    assert isinstance(chunk.text, str)


def test_deep_payload_is_a_broken_stream():
    with pytest.raises(BrokenStreamError):
        decode_chunk(b'{"x":' + odd_bytes.DEEP_LIST + b"}")


@given(odd_bytes.json_values)
def test_any_value_gives_a_report_that_can_be_sent_on_or_none(value):
    found = decode_report("e1", value)
    assert found is None or msgpack.packb(encode_report(found))


@pytest.mark.parametrize("index", range(10))
@pytest.mark.parametrize("odd", [2**70, -1, float("inf"), float("nan"), "1" * 5_000, None, [[]]])
def test_report_with_an_odd_field_is_none_or_bounded(index, odd):
    value = encode_report(EngineReport("e1", Role.MIXED, load=EngineLoad(1, 2)))
    value[index] = odd
    found = decode_report("e1", value)
    assert found is None or msgpack.packb(encode_report(found))
