"""Bookings on endpoints that lose answers, with a store that fails."""

import asyncio

import anyio
import pytest

from samphirehall.core.types import EndpointProtocol
from tests.support.endpoint import ScriptedEndpoint, refusal
from tests.support.entry import ask, entry_context, running
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


def desk(script, table=None):
    endpoint = ScriptedEndpoint(script)
    return endpoint, entry_context([endpoint], protocol=EndpointProtocol.SERVICE, table=table)


class TestBooking:
    async def test_a_repeated_booking_gets_the_stored_answer(self):
        endpoint, context = desk(answer)
        async with endpoint.serving(), running(context) as app:
            replies = [await book(app) for _ in range(3)]
        assert [reply.result for reply in replies] == [1000, 1001, 1001]
        assert {reply.body for reply in replies} == {b'{"ok":1}'}
        assert len(endpoint.exchanges) == 1

    async def test_bookings_that_race_run_once(self):
        endpoint, context = desk(answer)
        replies = []

        async def one(app):
            replies.append(await book(app))

        async with endpoint.serving(), running(context) as app, anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(one, app)
        assert sorted(reply.result for reply in replies) == [1000] + [1001] * 19
        assert len(endpoint.exchanges) == 1

    @pytest.mark.parametrize("script", [run_and_reset, run_and_stay_silent])
    async def test_a_lost_answer_is_unknown_and_never_run_again(self, script):
        endpoint, context = desk(script)
        async with endpoint.serving(), running(context) as app:
            replies = [await book(app, deadline=b"0.2") for _ in range(3)]
        assert [(reply.result, reply.run) for reply in replies] == [(3000, "unknown")] * 3
        assert len(endpoint.exchanges) == 1

    async def test_an_unreachable_desk_is_not_run_and_a_retry_runs(self):
        endpoint, context = desk(answer)
        async with running(context) as app:
            refused = await book(app)
            async with endpoint.serving():
                again = await book(app)
        assert (refused.result, refused.run, again.result) == (2008, "not-run", 1000)

    async def test_while_the_store_is_out_nothing_runs_and_a_retry_runs(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        endpoint, context = desk(answer, table)
        async with endpoint.serving(), running(context) as app:
            refused = await book(app, deadline=b"0.1")
            ran = len(endpoint.exchanges)
            table.faults = TableFaults()
            again = await book(app)
        assert (refused.result, refused.run, ran) == (2011, "not-run", 0)
        assert (again.result, len(endpoint.exchanges)) == (1000, 1)

    async def test_a_key_used_with_another_body_is_refused(self):
        endpoint, context = desk(answer)
        async with endpoint.serving(), running(context) as app:
            await book(app)
            assert (await book(app, body=b"lot 15")).result == 2015

    async def test_an_error_of_the_desk_is_an_outcome(self):
        endpoint, context = desk(lambda exchange, writer: _write(writer, refusal(409)))
        async with endpoint.serving(), running(context) as app:
            assert [(await book(app)).status for _ in range(2)] == [409, 409]
        assert len(endpoint.exchanges) == 1

    async def test_the_desk_never_sees_the_key(self):
        endpoint, context = desk(answer)
        async with endpoint.serving(), running(context) as app:
            await book(app)
        assert "authorization" not in endpoint.exchanges[0].headers


async def _write(writer, content):
    writer.write(content)
