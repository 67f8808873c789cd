"""Completions on endpoints that reset, stall, send half answers or refuse."""

import asyncio
import contextlib
from functools import partial

import anyio
import msgspec
import pytest

from samphirehall.configuration.version import Configuration
from samphirehall.endpoints.events import extract_tokens
from samphirehall.forwarding import attempt
from samphirehall.forwarding.caller_protocol import CONNECTION, CallerConnection
from tests.support.endpoint import (
    HEAD,
    ScriptedEndpoint,
    chunk,
    event,
    last_event,
    refusal,
    whole,
)
from tests.support.entry import ask, complete, entry_context, running

pytestmark = pytest.mark.anyio

TOKENS = 4


def start_of(exchange):
    """Return the index from which the answer goes on, by its request."""
    if exchange.method == "GET":
        return int(exchange.headers["last-event-id"].rpartition(":")[2]) + 1
    return len(msgspec.json.decode(exchange.body)["prior_tokens"])


async def answer_whole(exchange, writer):
    if exchange.method == "DELETE":
        writer.write(refusal(204))
        return
    writer.write(HEAD + whole(exchange.request_id, start_of(exchange), TOKENS))


def broken(*, after=0, extra=lambda exchange, index: b"", silent=False, resumes=False, clean=False):
    """Return a script that sends `after` events and `extra`, then closes or stays silent.

    A `clean` one ends the HTTP body as a whole answer would.
    """

    async def script(exchange, writer):
        if exchange.method != "POST":
            await (answer_whole(exchange, writer) if resumes else unknown(exchange, writer))
            return
        start = start_of(exchange)
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


async def unknown(exchange, writer):
    writer.write(refusal(404))


def refusing(status):
    async def script(exchange, writer):
        writer.write(refusal(status))

    return script


async def reset(exchange, writer):
    writer.transport.abort()


@contextlib.asynccontextmanager
async def entry(*scripts):
    """Run an entry whose first choice is the first script, then the next."""
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(ScriptedEndpoint(script).serving())
            for script in scripts
        ]
        context = entry_context(endpoints)
        context.random_source.choice = lambda items: items[0]
        yield await stack.enter_async_context(running(context)), endpoints, context


@contextlib.asynccontextmanager
async def in_time(seconds):
    """Fail unless the context ends in time; a deadline of the request comes later."""
    with anyio.fail_after(seconds):
        yield


def tokens(reply):
    """Return the tokens of a streamed answer; each event has the index that it should have."""
    events = [item for item in reply.body.split(b"\n\n") if item]
    assert events[-1].endswith(b"data: [DONE]"), reply.body
    indexes = [int(item.split(b"\n")[0].rpartition(b":")[2]) for item in events]
    assert indexes == list(range(len(events)))
    return "".join(extract_tokens([item.partition(b"data: ")[2] for item in events[:-1]]))


WHOLE = " w0 w1 w2 w3"
FOREIGN = event("req-other", 2, " foreign")
FAULTS = {
    "reset": reset,
    "closed-before-events": broken(),
    "closed-halfway": broken(after=2),
    "closed-halfway-but-resumable": broken(after=2, resumes=True),
    "half-an-event": broken(after=2, extra=lambda exchange, index: b"id: req"),
    "no-end-marker": broken(after=TOKENS, clean=True),
    "ended-halfway": broken(after=2, clean=True),
    "gap": broken(after=1, extra=lambda exchange, index: event(exchange.request_id, index + 1)),
    "good-and-gap-in-one-read": broken(
        extra=lambda exchange, index: event(exchange.request_id, index)
        + event(exchange.request_id, index + 2)
    ),
    "foreign": broken(after=2, extra=lambda exchange, index: FOREIGN),
    "events-after-the-end": broken(
        after=2,
        extra=lambda exchange, index: last_event(exchange.request_id, index)
        + event(exchange.request_id, index + 1),
    ),
    "silent-before-events": broken(silent=True),
    "silent-halfway": broken(after=2, silent=True),
    "trickles-halfway": broken(after=2, silent="trickles"),
    "server-error": refusing(500),
    "busy": refusing(503),
    "rate-limited": refusing(429),
}


class TestWholeAnswer:
    @pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_the_answer_is_whole_whatever_the_first_endpoint_does(self, fault, stream):
        async with entry(FAULTS[fault], answer_whole) as (app, _, _):
            reply = await complete(app, stream=stream, tokens=TOKENS)
        if stream:
            assert tokens(reply) == WHOLE
        else:
            answer = msgspec.json.decode(reply.body)
            assert answer["choices"][0]["message"]["content"] == WHOLE

    async def test_a_stream_that_nobody_can_finish_ends_without_the_end_marker(self):
        async with entry(broken(after=2)) as (app, _, context):
            context.settings.entry.stall_seconds = 0.1
            reply = await complete(app, headers=[(b"samphire-deadline", b"0.4")])
        assert b"[DONE]" not in reply.body

    async def test_a_stream_that_meets_its_deadline_ends_with_a_numbered_error_event(self):
        async with entry(broken(after=2, silent=True)) as (app, _, context):
            context.settings.entry.stall_seconds = 5.0
            reply = await complete(app, headers=[(b"samphire-deadline", b"0.3")])
        assert b"event: error" in reply.body
        assert b'"code":3001' in reply.body
        assert b"[DONE]" not in reply.body

    async def test_a_connection_gone_silent_while_idle_costs_one_fresh_dial(self):
        async def silent_when_reused(exchange, writer):
            if exchange.method == "POST" and getattr(writer, "used", False):
                await asyncio.sleep(30)
            writer.used = True
            await answer_whole(exchange, writer)

        async def script(exchange, writer):
            if exchange.method == "GET":
                await unknown(exchange, writer)
            else:
                await silent_when_reused(exchange, writer)

        async with entry(script) as (app, endpoints, context):
            for _ in range(2):
                assert tokens(await complete(app)) == WHOLE
        assert endpoints[0].calls["POST"] == 3
        assert context.metrics.retries.labels("completion")._value.get() == 0

    @pytest.mark.parametrize("limit", ["answer_head", "first_event", "stall"])
    async def test_each_limit_of_silence_holds_alone(self, limit):
        async def without_head(exchange, writer):
            await asyncio.sleep(30)

        script = {
            "answer_head": without_head,
            "first_event": broken(silent=True),
            "stall": broken(after=2, silent=True),
        }[limit]
        async with entry(script, answer_whole) as (app, _, context):
            for name in ("answer_head", "first_event", "stall"):
                seconds = 0.2 if name == limit else 60.0
                setattr(context.settings.entry, f"{name}_seconds", seconds)
            with anyio.fail_after(2):
                assert tokens(await complete(app)) == WHOLE


class TestRefusal:
    @pytest.mark.parametrize(
        ("script", "result", "run"),
        [
            (refusing(503), 2008, "not-run"),
            (refusing(400), 4000, "ran"),
            (reset, 3000, "unknown"),
        ],
        ids=["busy", "wrong", "reset"],
    )
    async def test_says_what_ran(self, script, result, run):
        async with entry(script) as (app, _, _):
            reply = await complete(app)
        assert (reply.result, reply.run) == (result, run)

    async def test_unreachable_endpoint_is_not_run(self):
        async with entry(answer_whole) as (app, endpoints, _):
            endpoints[0].die()
            reply = await complete(app)
        assert (reply.result, reply.run) == (2008, "not-run")

    async def test_a_busy_endpoint_is_not_suspected(self):
        async with entry(refusing(503), answer_whole) as (app, _, context):
            await complete(app)
            assert not context.fleet.is_penalized("endpoint-0", now=0.0)

    async def test_retries_stop_when_the_budget_is_spent(self):
        async with entry(reset, reset, reset) as (app, endpoints, context):
            context.retry_budget._available = 1.0
            context.retry_budget._floor_per_second = 0.0
            replies = [await complete(app) for _ in range(3)]
        assert [reply.run for reply in replies] == ["unknown"] * 3
        assert sum(endpoint.calls["POST"] for endpoint in endpoints) == 4

    async def test_a_key_withdrawn_before_the_dispatch_does_not_run(self):
        async with entry(answer_whole) as (app, endpoints, context):
            admit = context.admission.admit

            def withdraw_then_admit(*arguments, **named):
                parts = dict(context.state.configuration.parts)
                del parts["customers/coop"]
                context.state.take_configuration(Configuration(2, parts))
                return admit(*arguments, **named)

            context.admission.admit = withdraw_then_admit
            reply = await complete(app)
        assert (reply.result, endpoints[0].exchanges) == (2003, [])


class TestCallerGone:
    @pytest.mark.parametrize("when", ["first-event", "in-silence"])
    async def test_the_engine_is_told_to_cancel(self, when):
        connection = CallerConnection()
        silent = broken(after=1 if when == "first-event" else 0, silent=True)

        async def script(exchange, writer):
            await (silent if exchange.method == "POST" else answer_whole)(exchange, writer)

        async with (
            entry(script) as (app, endpoints, context),
            in_time(2.0),
            anyio.create_task_group() as group,
        ):
            context.settings.entry.first_event_seconds = 10.0
            context.settings.entry.stall_seconds = 10.0
            group.start_soon(partial(complete, app, state={CONNECTION: connection}))
            await anyio.sleep(0.1)
            connection.lose()
            await anyio.sleep(0.1)
        assert endpoints[0].calls["DELETE"] == 1
        assert context.admission.open_requests == 0

    async def test_a_request_that_waits_for_admission_gives_its_place_up(self):
        connection = CallerConnection()
        left = []

        @contextlib.asynccontextmanager
        async def full(request, *, now):
            try:
                await anyio.sleep_forever()
                yield
            finally:
                left.append(request)

        async with entry(answer_whole) as (app, endpoints, context):
            context.admission.admit = full
            async with in_time(2.0), anyio.create_task_group() as group:
                group.start_soon(partial(complete, app, state={CONNECTION: connection}))
                group.start_soon(
                    partial(ask, app, "/services/stock/lots", state={CONNECTION: connection})
                )
                await anyio.sleep(0.02)
                connection.lose()
        assert (len(left), endpoints[0].exchanges) == (2, [])

    async def test_a_caller_that_stops_reading_is_given_up(self, monkeypatch):
        monkeypatch.setattr(attempt, "CALLER_STALL_SECONDS", 0.1)

        async def never(message):
            await anyio.sleep_forever()

        async with entry(answer_whole) as (app, endpoints, _):
            await complete(app, send=never)
        assert endpoints[0].calls == {"POST": 1, "DELETE": 1}
