"""Passing requests on to other hosts: who is asked, what is sent, and what breaks on the way."""

import contextlib

import anyio
import pytest

from samphirehall.admission.quota import Quota
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import (
    DEADLINE_UNKNOWN,
    NO_CONFIGURATION,
    NO_PATH,
    OUTCOME_UNKNOWN,
    OVERLOADED,
    SHUTTING_DOWN,
    STREAM_CUT,
)
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.passing import RequestPassing
from samphirehall.gateway.types import Customer
from samphirehall.routing.other_hosts import OtherHost
from tests.gateway.helpers import (
    RecordingCaller,
    configuration,
    context,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio


def refusal(result):
    async def refuse(received, writer):
        extra = [f"Samphire-Result: {result.code}"]
        writer.write(response_bytes(received, b"refused", status=result.http_status, extra=extra))

    return refuse


async def take(received, writer):
    writer.write(response_bytes(received, received[":body"] or b"taken"))


async def stand_still(received, writer):
    await anyio.sleep_forever()


async def cut_before_the_answer(received, writer):
    writer.transport.abort()


async def cut_inside_the_answer(received, writer):
    writer.write(response_bytes(received, b"half", length=8))
    await writer.drain()
    writer.close()


async def cut_inside_a_stream(received, writer):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Response-Stamp: s\r\n\r\n"
    writer.write(head + b"9\r\ndata: 1\n\n\r\n")
    await writer.drain()
    writer.close()


class Neighbours:
    """Another host of the same zone, which is asked first, and one of another zone."""

    def __init__(self, near, far):
        self.near, self.far = near, far
        self.context, _ = context()
        self.gateway = Gateway(self.context)
        customers = {"key-1": Customer("acme", quota=Quota(0.001, 1.0))}
        self.gateway.apply_configuration(configuration(customers=customers), source="test")

    async def serve(self, client_request, *, passed=False):
        caller = RecordingCaller()
        await self.gateway.serve(client_request, caller, passed=passed)
        return caller


@contextlib.asynccontextmanager
async def neighbours(near, far=take):
    port = int(free_address().rpartition(":")[2])
    async with contextlib.AsyncExitStack() as stack:
        hosts = [
            await stack.enter_async_context(scripted_endpoint(script, ip=ip, port=port))
            for ip, script in (("127.0.0.2", near), ("127.0.0.3", far))
        ]
        created = Neighbours(*hosts)
        created.context.paths._lost = True
        created.gateway.passing = RequestPassing(created.context, None, port)
        created.gateway.passing._hosts.update(
            {"n": OtherHost("n", "a", "127.0.0.2"), "f": OtherHost("f", "b", "127.0.0.3")}
        )
        yield created


class TestPassing:
    @pytest.mark.parametrize("result", [NO_PATH, SHUTTING_DOWN, NO_CONFIGURATION])
    async def test_host_that_does_not_take_a_request_leaves_it_to_another(self, result):
        async with neighbours(refusal(result)) as hosts:
            caller = await hosts.serve(request("/book/x", body=b"b" * 300_000, method="POST"))
            assert caller.status == 200 and caller.body == b"b" * 300_000 and caller.complete
            assert len(hosts.near.received) == len(hosts.far.received) == 1

    async def test_other_refusals_are_answers(self):
        async with neighbours(refusal(OVERLOADED)) as hosts:
            caller = await hosts.serve(request("/read/x"))
            assert caller.status == 503 and caller.body == b"refused"
            assert not hosts.far.received

    @pytest.mark.parametrize("script", [cut_before_the_answer, cut_inside_the_answer])
    @pytest.mark.parametrize("path", ["/book/x", "/read/x"])
    async def test_request_that_a_host_may_have_taken_is_sent_to_no_other(self, script, path):
        async with neighbours(script) as hosts:
            with pytest.raises(SamphireError) as raised:
                await hosts.serve(request(path, body=b"b", method="POST"))
            assert raised.value.result is OUTCOME_UNKNOWN
            assert len(hosts.near.received) == 1 and not hosts.far.received

    async def test_stream_that_breaks_off_between_the_hosts_does_not_look_complete(self):
        async with neighbours(cut_inside_a_stream) as hosts:
            caller = RecordingCaller()
            with pytest.raises(SamphireError) as raised:
                await hosts.gateway.serve(request("/read/x"), caller)
            assert raised.value.result is STREAM_CUT
            assert caller.body == b"data: 1\n\n" and not caller.complete

    async def test_host_that_stands_still_holds_one_request_until_its_deadline(self):
        async with neighbours(stand_still) as hosts:
            with pytest.raises(SamphireError) as raised:
                await hosts.serve(request("/read/x", now=boot_seconds() - 0.7))
            assert raised.value.result is DEADLINE_UNKNOWN
            caller = await hosts.serve(request("/read/x", request_id="r2"))
            assert caller.status == 200 and len(hosts.far.received) == 1

    async def test_request_is_sent_as_its_client_sent_it(self):
        async with neighbours(take) as hosts:
            await hosts.serve(request("/read/x", now=boot_seconds() - 0.4))
            received = hosts.near.received[0]
            assert received["x-key"] == "key-1" and received["host"] == "h.example"
            assert received["x-request-id"] == "r1"
            assert 0 < int(received["x-deadline-ms"]) <= 600
            assert not {"x-tenant", "x-expect-instance", "x-request-urgency"} & set(received)

    async def test_request_is_counted_by_the_host_that_takes_it(self):
        async with neighbours(take) as hosts:
            for number in range(3):  # the quota allows one
                caller = await hosts.serve(request("/read/x", request_id=f"r{number}"))
                assert caller.status == 200
            assert not hosts.context.repeat_budgets

    async def test_passed_request_is_not_passed_on_again(self):
        async with neighbours(take) as hosts:
            with pytest.raises(SamphireError) as raised:
                await hosts.serve(request("/read/x"), passed=True)
            assert raised.value.result is NO_PATH and raised.value.retry_after
            assert not hosts.near.received and not hosts.far.received

    async def test_unreachable_hosts_are_not_asked_first_again(self):
        async with neighbours(take) as hosts:
            hosts.near.refuse()
            for number in range(3):
                caller = await hosts.serve(request("/read/x", request_id=f"r{number}"))
                assert caller.status == 200
            assert len(hosts.far.received) == 3
            last = [host.name for host in hosts.gateway.passing._hosts.choose(now=boot_seconds())]
            assert last == ["f", "n"]
