"""Non-idempotent calls (bookings) on endpoints that lose answers and a store with outages."""

import asyncio

import anyio
import pytest

from samphirehall.core.types import EndpointProtocol
from tests.support.endpoint import ScriptedEndpoint, refusal
from tests.support.entry import ask, entry_context, running_app
from tests.support.resets import reset_on_close
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 8\r\n\r\n"


async def book(app, key="freight-1", body=b"lot 14", deadline=b"2"):
    headers = [(b"idempotency-key", key.encode()), (b"samphire-deadline", deadline)]
    return await ask(app, "/services/bookings/freight", body, headers=headers)


async def answer(exchange, writer):
    writer.write(ANSWER + b'{"ok":1}')


async def run_and_reset(exchange, writer):
    writer.transport.abort()


async def run_and_stay_silent(exchange, writer):
    await asyncio.sleep(30)


def booking_endpoint(script, table=None):
    endpoint = ScriptedEndpoint(script)
    return endpoint, entry_context([endpoint], protocol=EndpointProtocol.SERVICE, table=table)


def until_closed(*, whole):
    """Return a script whose answer has no length; it is reset at its end unless it is whole."""

    async def script(exchange, writer):
        writer.write(ANSWER.replace(b"Content-Length: 8", b"Connection: close") + b'{"ok":1}')
        await writer.drain()
        await asyncio.sleep(0.02)
        if whole:
            writer.close()
        else:
            reset_on_close(writer)

    return script


class TestAnswersThatEndWithTheirConnection:
    async def test_whole_answer_is_forwarded_and_stored(self):
        endpoint, context = booking_endpoint(until_closed(whole=True))
        async with endpoint.serving(), running_app(context) as app:
            replies = [await book(app) for _ in range(2)]
        assert [reply.result for reply in replies] == [1000, 1001]
        assert {reply.body for reply in replies} == {b'{"ok":1}'}

    async def test_answer_that_is_reset_leaves_the_outcome_unknown(self):
        endpoint, context = booking_endpoint(until_closed(whole=False))
        async with endpoint.serving(), running_app(context) as app:
            reply = await book(app)
        assert reply.result == 3000


class TestBooking:
    async def test_a_repeated_booking_gets_the_stored_answer(self):
        endpoint, context = booking_endpoint(answer)
        async with endpoint.serving(), running_app(context) as app:
            replies = [await book(app) for _ in range(3)]
        assert [reply.result for reply in replies] == [1000, 1001, 1001]
        assert {reply.body for reply in replies} == {b'{"ok":1}'}
        assert len(endpoint.exchanges) == 1

    async def test_concurrent_bookings_with_one_key_run_once(self):
        endpoint, context = booking_endpoint(answer)
        replies = []

        async def book_once(app):
            replies.append(await book(app))

        async with (
            endpoint.serving(),
            running_app(context) as app,
            anyio.create_task_group() as group,
        ):
            for _ in range(20):
                group.start_soon(book_once, app)
        assert sorted(reply.result for reply in replies) == [1000] + [1001] * 19
        assert len(endpoint.exchanges) == 1

    @pytest.mark.parametrize("script", [run_and_reset, run_and_stay_silent])
    async def test_lost_answer_is_unknown_and_the_booking_never_runs_again(self, script):
        endpoint, context = booking_endpoint(script)
        async with endpoint.serving(), running_app(context) as app:
            replies = [await book(app, deadline=b"0.2") for _ in range(3)]
        assert [(reply.result, reply.run) for reply in replies] == [(3000, "unknown")] * 3
        assert len(endpoint.exchanges) == 1

    async def test_booking_on_an_unreachable_endpoint_is_not_run_and_a_retry_runs(self):
        endpoint, context = booking_endpoint(answer)
        async with running_app(context) as app:
            refused = await book(app)
            async with endpoint.serving():
                again = await book(app)
        assert (refused.result, refused.run, again.result) == (2008, "not-run", 1000)

    async def test_booking_in_a_store_outage_is_not_run_and_a_retry_runs(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        endpoint, context = booking_endpoint(answer, table)
        async with endpoint.serving(), running_app(context) as app:
            refused = await book(app, deadline=b"0.1")
            ran = len(endpoint.exchanges)
            table.faults = TableFaults()
            again = await book(app)
        assert (refused.result, refused.run, ran) == (2011, "not-run", 0)
        assert (again.result, len(endpoint.exchanges)) == (1000, 1)

    async def test_a_key_used_with_another_body_is_refused(self):
        endpoint, context = booking_endpoint(answer)
        async with endpoint.serving(), running_app(context) as app:
            await book(app)
            assert (await book(app, body=b"lot 15")).result == 2015

    async def test_error_answer_of_the_endpoint_is_stored_and_replayed(self):
        endpoint, context = booking_endpoint(lambda exchange, writer: _write(writer, refusal(409)))
        async with endpoint.serving(), running_app(context) as app:
            assert [(await book(app)).status for _ in range(2)] == [409, 409]
        assert len(endpoint.exchanges) == 1

    async def test_endpoint_never_sees_the_customer_key(self):
        endpoint, context = booking_endpoint(answer)
        async with endpoint.serving(), running_app(context) as app:
            await book(app)
        assert "authorization" not in endpoint.exchanges[0].headers


async def _write(writer, content):
    writer.write(content)
