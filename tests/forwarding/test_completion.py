"""Completions on endpoints that reset connections, stall, send partial answers or refuse."""

import asyncio
import contextlib
from functools import partial

import anyio
import msgspec
import pytest

from samphirehall.configuration.version import Configuration
from samphirehall.core.results import DEADLINE_UNKNOWN
from samphirehall.endpoints.events import extract_tokens
from samphirehall.forwarding import attempt
from samphirehall.forwarding.caller_connection import CONNECTION_SCOPE_KEY, CallerConnection
from tests.support.endpoint import (
    HEAD,
    ScriptedEndpoint,
    chunk,
    event,
    last_event,
    refusal,
    stream_chunks,
)
from tests.support.entry import ask, complete, entry_context, running_app

pytestmark = pytest.mark.anyio

TOKENS = 4


def start_index(exchange):
    """Return the index of the first event that a request asks for."""
    if exchange.method == "GET":
        return int(exchange.headers["last-event-id"].rpartition(":")[2]) + 1
    return len(msgspec.json.decode(exchange.body)["prior_tokens"])


async def send_remaining_events(exchange, writer):
    if exchange.method == "DELETE":
        writer.write(refusal(204))
        return
    writer.write(HEAD + stream_chunks(exchange.request_id, start_index(exchange), TOKENS))


def broken_stream(
    *, after=0, extra=lambda exchange, index: b"", silent=False, resumes=False, clean=False
):
    """Return a script that sends `after` events and `extra`, then closes or stays silent.

    If `clean`, the HTTP body ends as that of a complete answer does. If `resumes`, the endpoint
    sends the remaining events when the stream is resumed.
    """

    async def script(exchange, writer):
        if exchange.method != "POST":
            await (
                send_remaining_events(exchange, writer)
                if resumes
                else refuse_unknown_stream(exchange, writer)
            )
            return
        start = start_index(exchange)
        events = [event(exchange.request_id, start + index) for index in range(after)]
        writer.write(HEAD + b"".join(map(chunk, events)))
        if more := extra(exchange, start + after):
            writer.write(chunk(more))
        await writer.drain()
        while silent:
            await asyncio.sleep(0.05)
            writer.write(chunk(b"i") if silent == "trickles" else b"")
        writer.write(b"0\r\n\r\n" if clean else b"")
        writer.close()

    return script


async def refuse_unknown_stream(exchange, writer):
    writer.write(refusal(404))


def until_closed(after, tail=b""):
    """Return a script whose stream has neither a length nor chunks."""

    async def script(exchange, writer):
        if exchange.method != "POST":
            await refuse_unknown_stream(exchange, writer)
            return
        start = start_index(exchange)
        writer.write(HEAD.replace(b"Transfer-Encoding: chunked", b"Connection: close"))
        events = [event(exchange.request_id, start + index) for index in range(after)]
        writer.write(b"".join(events) + (tail or last_event(exchange.request_id, start + after)))
        await writer.drain()
        writer.close()

    return script


def refuse_with(status):
    async def script(exchange, writer):
        writer.write(refusal(status, request_id=exchange.request_id))

    return script


async def busy_without_a_name(exchange, writer):
    """Refuse as an engine that does not name requests in its answers."""
    writer.write(refusal(503 if exchange.method == "POST" else 404))


async def abort_connection(exchange, writer):
    writer.transport.abort()


@contextlib.asynccontextmanager
async def entry(*scripts):
    """Run an entry that tries the scripted endpoints in their order."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(ScriptedEndpoint(script).serving())
            for script in scripts
        ]
        context = entry_context(endpoints)
        context.random_source.choice = lambda items: items[0]
        yield await stack.enter_async_context(running_app(context)), endpoints, context


@contextlib.asynccontextmanager
async def fail_after(seconds):
    """Fail unless the context ends within `seconds`, before the deadline of the request."""
    with anyio.fail_after(seconds):
        yield


def streamed_tokens(reply):
    """Return the joined tokens of a streamed answer after checking its event indexes."""
    events = [item for item in reply.body.split(b"\n\n") if item]
    assert events[-1].endswith(b"data: [DONE]"), reply.body
    indexes = [int(item.split(b"\n")[0].rpartition(b":")[2]) for item in events]
    assert indexes == list(range(len(events)))
    return "".join(extract_tokens([item.partition(b"data: ")[2] for item in events[:-1]]))


COMPLETE_TEXT = " w0 w1 w2 w3"
FOREIGN_EVENT = event("req-other", 2, " foreign")
FAULTS = {
    "no-length": until_closed(TOKENS),
    "no-length-and-half-an-event": until_closed(2, b"id: req"),
    "reset": abort_connection,
    "closed-before-events": broken_stream(),
    "closed-halfway": broken_stream(after=2),
    "closed-halfway-but-resumable": broken_stream(after=2, resumes=True),
    "half-an-event": broken_stream(after=2, extra=lambda exchange, index: b"id: req"),
    "no-end-marker": broken_stream(after=TOKENS, clean=True),
    "ended-halfway": broken_stream(after=2, clean=True),
    "gap": broken_stream(
        after=1, extra=lambda exchange, index: event(exchange.request_id, index + 1)
    ),
    "good-and-gap-in-one-read": broken_stream(
        extra=lambda exchange, index: event(exchange.request_id, index)
        + event(exchange.request_id, index + 2)
    ),
    "foreign": broken_stream(after=2, extra=lambda exchange, index: FOREIGN_EVENT),
    "events-after-the-end": broken_stream(
        after=2,
        extra=lambda exchange, index: last_event(exchange.request_id, index)
        + event(exchange.request_id, index + 1),
    ),
    "silent-before-events": broken_stream(silent=True),
    "silent-halfway": broken_stream(after=2, silent=True),
    "trickles-halfway": broken_stream(after=2, silent="trickles"),
    "server-error": refuse_with(500),
    "busy": refuse_with(503),
    "rate-limited": refuse_with(429),
}


class TestCompleteAnswer:
    @pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_the_answer_is_complete_despite_a_fault_of_the_first_endpoint(
        self, fault, stream
    ):
        async with entry(FAULTS[fault], send_remaining_events) as (app, _, _):
            reply = await complete(app, stream=stream, tokens=TOKENS)
        if stream:
            assert streamed_tokens(reply) == COMPLETE_TEXT
        else:
            answer = msgspec.json.decode(reply.body)
            assert answer["choices"][0]["message"]["content"] == COMPLETE_TEXT

    async def test_a_stream_that_no_endpoint_can_finish_ends_without_the_end_marker(self):
        async with entry(broken_stream(after=2)) as (app, _, context):
            context.settings.entry.stall_seconds = 0.1
            reply = await complete(app, headers=[(b"samphire-deadline", b"0.4")])
        assert b"[DONE]" not in reply.body

    async def test_a_stream_that_reaches_its_deadline_ends_with_an_error_event(self):
        async with entry(broken_stream(after=2, silent=True)) as (app, _, context):
            context.settings.entry.stall_seconds = 5.0
            reply = await complete(app, headers=[(b"samphire-deadline", b"0.3")])
        assert b"event: error" in reply.body
        assert b'"code":3001' in reply.body
        assert b"[DONE]" not in reply.body

    async def test_deadline_before_the_response_head_leaves_the_outcome_unknown(self):
        async def silent(exchange, writer):
            await asyncio.sleep(30)

        async with entry(silent) as (app, endpoints, context):
            context.settings.entry.stall_seconds = 5.0
            reply = await complete(app, headers=[(b"samphire-deadline", b"0.3")])
        assert endpoints[0].calls["POST"] == 1
        assert DEADLINE_UNKNOWN.name.encode() in reply.body

    async def test_an_idle_connection_that_went_silent_costs_one_new_connection(self):
        async def send_nothing_if_reused(exchange, writer):
            if exchange.method == "POST" and getattr(writer, "used", False):
                await asyncio.sleep(30)
            writer.used = True
            await send_remaining_events(exchange, writer)

        async def script(exchange, writer):
            if exchange.method == "GET":
                await refuse_unknown_stream(exchange, writer)
            else:
                await send_nothing_if_reused(exchange, writer)

        async with entry(script) as (app, endpoints, context):
            for _ in range(2):
                assert streamed_tokens(await complete(app)) == COMPLETE_TEXT
        assert endpoints[0].calls["POST"] == 3
        assert context.metrics.retries.labels("completion")._value.get() == 0

    @pytest.mark.parametrize("limit", ["answer_head", "first_event", "stall"])
    async def test_each_inactivity_timeout_applies_alone(self, limit):
        async def send_nothing(exchange, writer):
            await asyncio.sleep(30)

        script = {
            "answer_head": send_nothing,
            "first_event": broken_stream(silent=True),
            "stall": broken_stream(after=2, silent=True),
        }[limit]
        async with entry(script, send_remaining_events) as (app, _, context):
            for name in ("answer_head", "first_event", "stall"):
                seconds = 0.2 if name == limit else 60.0
                setattr(context.settings.entry, f"{name}_seconds", seconds)
            with anyio.fail_after(2):
                assert streamed_tokens(await complete(app)) == COMPLETE_TEXT


class TestRefusal:
    @pytest.mark.parametrize(
        ("script", "result", "run"),
        [
            (refuse_with(503), 2008, "not-run"),
            (busy_without_a_name, 3000, "unknown"),
            (refuse_with(400), 4000, "ran"),
            (abort_connection, 3000, "unknown"),
        ],
        ids=["busy", "busy-without-a-name", "wrong", "reset"],
    )
    async def test_reports_whether_the_request_ran(self, script, result, run):
        async with entry(script) as (app, _, _):
            reply = await complete(app)
        assert (reply.result, reply.run) == (result, run)

    async def test_unreachable_endpoint_is_not_run(self):
        async with entry(send_remaining_events) as (app, endpoints, _):
            endpoints[0].die()
            reply = await complete(app)
        assert (reply.result, reply.run) == (2008, "not-run")

    async def test_a_busy_endpoint_is_not_suspected(self):
        async with entry(refuse_with(503), send_remaining_events) as (app, _, context):
            await complete(app)
            assert not context.fleet.is_penalized("endpoint-0", now=0.0)

    async def test_retries_stop_when_the_budget_is_spent(self):
        async with entry(abort_connection, abort_connection, abort_connection) as (
            app,
            endpoints,
            context,
        ):
            context.retry_budget._available = 1.0
            context.retry_budget._floor_per_second = 0.0
            replies = [await complete(app) for _ in range(3)]
        assert [reply.run for reply in replies] == ["unknown"] * 3
        assert sum(endpoint.calls["POST"] for endpoint in endpoints) == 4

    async def test_a_key_withdrawn_before_the_dispatch_does_not_run(self):
        async with entry(send_remaining_events) as (app, endpoints, context):
            admit = context.admission.admit

            def withdraw_then_admit(*arguments, **named):
                parts = dict(context.state.configuration.parts)
                del parts["customers/coop"]
                context.state.put_in_force(Configuration(2, parts))
                return admit(*arguments, **named)

            context.admission.admit = withdraw_then_admit
            reply = await complete(app)
        assert (reply.result, endpoints[0].exchanges) == (2003, [])


class TestCallerDisconnect:
    @pytest.mark.parametrize("when", ["first-event", "in-silence"])
    async def test_the_engine_receives_a_cancel_request(self, when):
        connection = CallerConnection()
        silent = broken_stream(after=1 if when == "first-event" else 0, silent=True)

        async def script(exchange, writer):
            await (silent if exchange.method == "POST" else send_remaining_events)(exchange, writer)

        async with (
            entry(script) as (app, endpoints, context),
            fail_after(2.0),
            anyio.create_task_group() as group,
        ):
            context.settings.entry.first_event_seconds = 10.0
            context.settings.entry.stall_seconds = 10.0
            group.start_soon(partial(complete, app, state={CONNECTION_SCOPE_KEY: connection}))
            await anyio.sleep(0.1)
            connection.mark_closed()
            await anyio.sleep(0.1)
        assert endpoints[0].calls["DELETE"] == 1
        assert context.admission.open_requests == 0

    async def test_a_request_that_waits_for_admission_leaves_the_queue(self):
        connection = CallerConnection()
        released = []

        @contextlib.asynccontextmanager
        async def wait_forever(request, *, now):
            try:
                await anyio.sleep_forever()
                yield
            finally:
                released.append(request)

        async with entry(send_remaining_events) as (app, endpoints, context):
            context.admission.admit = wait_forever
            async with fail_after(2.0), anyio.create_task_group() as group:
                group.start_soon(partial(complete, app, state={CONNECTION_SCOPE_KEY: connection}))
                group.start_soon(
                    partial(
                        ask, app, "/services/stock/lots", state={CONNECTION_SCOPE_KEY: connection}
                    )
                )
                await anyio.sleep(0.02)
                connection.mark_closed()
        assert (len(released), endpoints[0].exchanges) == (2, [])

    async def test_a_request_is_cancelled_when_its_caller_stops_reading(self, monkeypatch):
        monkeypatch.setattr(attempt, "CALLER_STALL_TIMEOUT_SECONDS", 0.1)

        async def block_forever(message):
            await anyio.sleep_forever()

        async with entry(send_remaining_events) as (app, endpoints, _):
            await complete(app, send=block_forever)
        assert endpoints[0].calls == {"POST": 1, "DELETE": 1}
