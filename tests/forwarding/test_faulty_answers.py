"""Answers that a faulty endpoint repeats, breaks off in the head, or gives in mid-stream."""

import asyncio
import tracemalloc

import anyio
import msgspec
import pytest

from samphirehall.core.types import EndpointProtocol
from tests.forwarding.test_completion import (
    COMPLETE_TEXT,
    TOKENS,
    broken_stream,
    entry,
    send_remaining_events,
    streamed_tokens,
)
from tests.support.endpoint import HEAD, ScriptedEndpoint, chunk, event
from tests.support.entry import ask, complete, entry_context, running_app

pytestmark = pytest.mark.anyio

MAX_KEPT_BYTES = 8 * 2**20  # with the buffers of both sides; far more is sent
ERROR_TEXT = b"stack trace of the engine"


def answer(status, body=b"", *, request_id=None):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
    if request_id is not None:
        lines.append(b"X-Request-Id: " + request_id.encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def repeating_refusal(*, names_request, answers=send_remaining_events):
    """Return a script that refuses its first request, and writes that refusal before the next."""
    refusal = b""

    async def script(exchange, writer):
        nonlocal refusal
        if exchange.method == "POST" and not refusal:
            refusal = answer(503, request_id=exchange.request_id if names_request else None)
            writer.write(refusal)
            return
        if exchange.method == "POST" and writer is script.first_writer:
            writer.write(refusal)
            await writer.drain()
            script.running += 1
            return
        await answers(exchange, writer)

    async def with_writer(exchange, writer):
        script.first_writer = script.first_writer or writer
        await script(exchange, writer)

    script.first_writer, script.running = None, 0
    with_writer.script = script
    return with_writer


class TestRepeatedRefusal:
    @pytest.mark.parametrize("names_request", [True, False], ids=["named", "not named"])
    async def test_refusal_of_an_earlier_request_does_not_let_a_running_one_run_twice(
        self, names_request
    ):
        script = repeating_refusal(names_request=names_request)
        async with entry(script, send_remaining_events) as (app, endpoints, _):
            await complete(app, tokens=TOKENS)
            reply = await complete(app, stream=True, tokens=TOKENS)
        assert streamed_tokens(reply) == COMPLETE_TEXT
        assert script.script.running == 1
        assert endpoints[1].calls["POST"] == 1

    async def test_answer_of_an_earlier_call_is_not_delivered_to_the_next(self):
        earlier = b""

        async def script(exchange, writer):
            nonlocal earlier
            if earlier:
                writer.write(earlier)
                return
            earlier = answer(200, b"earlier", request_id=exchange.request_id)
            writer.write(earlier)

        async def sound(exchange, writer):
            writer.write(answer(200, b"own", request_id=exchange.request_id))

        async with (
            ScriptedEndpoint(script).serving() as faulty,
            ScriptedEndpoint(sound).serving() as other,
        ):
            context = entry_context([faulty, other], protocol=EndpointProtocol.SERVICE)
            context.random_source.choice = lambda items: items[0]
            async with running_app(context) as app:
                first = await ask(app, "/services/stock/lots", method="GET")
                second = await ask(app, "/services/stock/lots", method="GET")
        assert first.body == b"earlier"
        assert second.body == b"own"


async def test_control_character_in_a_content_type_is_not_passed_on():
    async def script(exchange, writer):
        head = answer(200, b"lots", request_id=exchange.request_id)
        writer.write(head.replace(b"\r\n\r\n", b"\r\nContent-Type: a\x01b\r\n\r\n"))

    async with ScriptedEndpoint(script).serving() as endpoint:
        context = entry_context([endpoint], protocol=EndpointProtocol.SERVICE)
        async with running_app(context) as app:
            reply = await ask(app, "/services/stock/lots", method="GET")
    assert reply.body == b"lots" and reply.headers[b"content-type"] == b"application/json"


async def test_status_that_cannot_be_sent_leaves_no_caller_without_an_answer():
    async with ScriptedEndpoint(failing(600)).serving() as endpoint:
        context = entry_context([endpoint], protocol=EndpointProtocol.SERVICE)
        async with running_app(context) as app:
            reply = await ask(app, "/services/stock/lots", method="GET")
    assert reply.status == 502 and b"samphire-result" in reply.headers


def failing(status):
    async def script(exchange, writer):
        writer.write(answer(status, ERROR_TEXT))

    return script


async def head_in_body(exchange, writer):
    text = answer(500, ERROR_TEXT)
    writer.write(HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (len(text), text))


ERRORS = {str(status): failing(status) for status in (500, 502, 400, 404, 429, 503)} | {
    "head of an error inside a body": head_in_body
}


class TestErrorInMidStream:
    @pytest.mark.parametrize("kind", ERRORS)
    async def test_text_of_an_error_is_never_part_of_a_stream(self, kind):
        async with entry(broken_stream(after=2), ERRORS[kind]) as (app, endpoints, _):
            reply = await complete(app, headers=[(b"samphire-deadline", b"1.0")])
        assert endpoints[1].calls["POST"]
        assert ERROR_TEXT not in reply.body and b"HTTP/1.1" not in reply.body
        assert b"[DONE]" not in reply.body


HEADS = {
    "in the status line": b"HTTP/1.1 200 O",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "in a header": b"HTTP/1.1 200 OK\r\nContent-Type: text/eve",
    "before the empty line": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "in the empty line": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
}


def broken_head(kind):
    async def script(exchange, writer):
        if exchange.method != "POST":
            writer.write(answer(404))
            return
        writer.write(HEADS[kind])
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.close()

    return script


class TestHeadBrokenOff:
    @pytest.mark.parametrize("kind", HEADS)
    @pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
    async def test_completion_is_complete_after_a_broken_head(self, kind, stream):
        async with entry(broken_head(kind), send_remaining_events) as (app, _, _):
            reply = await complete(app, stream=stream, tokens=TOKENS)
        if stream:
            assert streamed_tokens(reply) == COMPLETE_TEXT
        else:
            answered = msgspec.json.decode(reply.body)
            assert answered["choices"][0]["message"]["content"] == COMPLETE_TEXT

    @pytest.mark.parametrize("kind", HEADS)
    async def test_call_of_a_service_is_not_answered_as_whole(self, kind):
        async with ScriptedEndpoint(broken_head(kind)).serving() as endpoint:
            context = entry_context([endpoint], protocol=EndpointProtocol.SERVICE)
            async with running_app(context) as app:
                with anyio.fail_after(4.0):
                    headers = [(b"idempotency-key", b"k1"), (b"samphire-deadline", b"1.0")]
                    reply = await ask(app, "/services/bookings/x", b"{}", headers=headers)
        assert reply.status >= 500 and reply.run == "unknown"


class TestEventsWithoutEnd:
    @pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
    async def test_events_of_a_faulty_engine_without_end_do_not_fill_the_memory(self, stream):
        async def script(exchange, writer):
            if exchange.method != "POST":
                writer.write(answer(404))
                return
            writer.write(HEAD)
            for index in range(2000):
                writer.write(chunk(event(exchange.request_id, index, " " * 32_768)))
                await writer.drain()

        async with entry(script) as (app, _, _):
            tracemalloc.start()
            try:
                headers = [(b"samphire-deadline", b"3.0")]
                reply = await complete(app, stream=stream, tokens=TOKENS, headers=headers)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert peak <= MAX_KEPT_BYTES
        assert b"[DONE]" not in reply.body
