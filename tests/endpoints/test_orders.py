"""Orders to an engine over a TCP connection, with head and body sent separately."""

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.serving import bind, serving
from samphirehall.endpoints.orders import OrderUnansweredError, fetch_report, send_order
from samphirehall.endpoints.protocol import EngineOrder
from samphirehall.standins.engine import EngineStandin
from samphirehall.standins.order_body import ORDER_BODY_TIMEOUT_SECONDS

pytestmark = pytest.mark.anyio


class LeaseLostError(Exception):
    """The sender no longer holds its lease."""


def free_address():
    with bind("127.0.0.1:0") as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def lease_lost_at_call(number):
    """Return a lease check that fails from its `number`-th call on."""
    calls = []

    def recheck():
        calls.append(number)
        if len(calls) >= number:
            raise LeaseLostError

    return recheck


def drain(order_id="order-1", fencing=1):
    return EngineOrder(order_id, fencing, "drain")


class TestSendOrder:
    async def test_carries_out_a_repeated_order_once(self):
        engine, address = EngineStandin("e", ["answer"]), free_address()
        async with serving(engine.app(), address):
            for _ in range(2):
                answer = await send_order(
                    address, drain(), recheck=lease_lost_at_call(3), timeout=2.0
                )
                assert answer.accepted
            report = await fetch_report(address, timeout=2.0)
        assert len(engine.orders) == 1
        assert (report.order_id, report.leaving) == ("order-1", True)

    @pytest.mark.parametrize("call", [1, 2], ids=["before the head", "before the body"])
    async def test_sends_no_order_after_the_lease_is_lost(self, call):
        engine, address = EngineStandin("e", ["answer"], checks_fencing=False), free_address()
        async with serving(engine.app(), address):
            with pytest.raises(LeaseLostError):
                await send_order(address, drain(), recheck=lease_lost_at_call(call), timeout=2.0)
            await anyio.sleep(ORDER_BODY_TIMEOUT_SECONDS + 0.2)
        assert engine.orders == []

    async def test_body_of_a_paused_sender_arrives_too_late(self):
        """The sender is paused between its last lease check and the body, as by SIGSTOP."""
        engine, address = EngineStandin("e", ["answer"], checks_fencing=False), free_address()
        body = b'{"order_id":"order-1","fencing":1,"action":"drain","argument":""}'
        head = f"POST /orders HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}\r\n\r\n"
        host, _, port = address.rpartition(":")
        async with serving(engine.app(), address):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(head.encode())
                await anyio.sleep(ORDER_BODY_TIMEOUT_SECONDS + 0.3)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.send(body)
                    while True:
                        assert b"408" in await stream.receive()
            await anyio.sleep(0.1)
        assert engine.orders == []

    @pytest.mark.parametrize(("checks_fencing", "accepted"), [(True, False), (False, True)])
    async def test_only_a_fencing_check_refuses_an_old_number(self, checks_fencing, accepted):
        engine = EngineStandin("e", ["answer"], checks_fencing=checks_fencing)
        address = free_address()
        async with serving(engine.app(), address):
            for order_id, fencing in (("order-1", 7), ("order-2", 6)):
                order = drain(order_id, fencing)
                answer = await send_order(
                    address, order, recheck=lease_lost_at_call(9), timeout=2.0
                )
        assert answer.accepted is accepted

    async def test_resend_raises_the_fencing_number(self):
        engine, address = EngineStandin("e", ["answer"]), free_address()
        async with serving(engine.app(), address):
            for fencing in (1, 5):
                order = drain(fencing=fencing)
                await send_order(address, order, recheck=lease_lost_at_call(9), timeout=2.0)
            stale = EngineOrder("order-2", 4, "set-role", "decode")
            answer = await send_order(address, stale, recheck=lease_lost_at_call(9), timeout=2.0)
        assert not answer.accepted
        assert [order.order_id for order in engine.orders] == ["order-1"]

    async def test_abandons_an_unresponsive_engine_within_the_limit(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        started = boot_seconds()
        async with listener:
            with pytest.raises(OrderUnansweredError):
                await send_order(
                    f"127.0.0.1:{port}", drain(), recheck=lease_lost_at_call(9), timeout=0.3
                )
        assert boot_seconds() - started < 1.0
