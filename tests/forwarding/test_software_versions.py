"""Completions on engines of several software versions, whose tokens do not fit together."""

import asyncio
import contextlib
import dataclasses

import anyio
import msgspec
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import STREAM_CUT
from samphirehall.core.types import EndpointState
from samphirehall.endpoints.events import extract_tokens
from tests.support.endpoint import HEAD, ScriptedEndpoint, chunk, event, last_event, refusal
from tests.support.entry import complete, entry_context, running_app

pytestmark = pytest.mark.anyio

TOKENS = 6


class Engine(ScriptedEndpoint):
    """An engine whose tokens and answers name its software version.

    It dies once it has sent `dies_after` events of one request.
    """

    def __init__(self, version, *, dies_after=None, listed=None, names_version=True):
        super().__init__(self._answer)
        self.version = version
        self.listed = version if listed is None else listed
        self.dies_after = dies_after
        self.names_version = names_version

    async def _answer(self, exchange, writer):
        if exchange.method != "POST":
            writer.write(refusal(204 if exchange.method == "DELETE" else 404))
            return
        request_id = exchange.request_id
        start = len(msgspec.json.decode(exchange.body)["prior_tokens"])
        named = b"X-Software-Version: %s\r\n" % self.version.encode() if self.names_version else b""
        writer.write(HEAD.replace(b"Content-Type", named + b"Content-Type"))
        for index in range(start, TOKENS):
            if index - start == self.dies_after:
                await writer.drain()
                await asyncio.sleep(0.05)
                self.die()
                return
            writer.write(chunk(event(request_id, index, f" {self.version}.")))
        writer.write(chunk(last_event(request_id, TOKENS)) + b"0\r\n\r\n")


@contextlib.asynccontextmanager
async def entry(*engines):
    """Run an entry that knows these engines and tries them in their order."""
    async with contextlib.AsyncExitStack() as stack:
        for engine in engines:
            await stack.enter_async_context(engine.serving())
        context = entry_context(list(engines))
        context.random_source.choice = lambda items: items[0]
        context.state.replace_endpoints(
            dataclasses.replace(info, software_version=engine.listed)
            for info, engine in zip(context.state.endpoints.values(), engines, strict=True)
        )
        yield await stack.enter_async_context(running_app(context)), context


def change_listed(context, endpoint_id, **fields):
    """Change the entry of one endpoint in the list."""
    listed = dict(context.state.endpoints)
    listed[endpoint_id] = dataclasses.replace(listed[endpoint_id], **fields)
    context.state.replace_endpoints(listed.values())


def streamed_text(reply):
    events = [item for item in reply.body.split(b"\n\n") if item.startswith(b"id: ")]
    payloads = [item.partition(b"data: ")[2] for item in events]
    return "".join(extract_tokens([item for item in payloads if item != b"[DONE]"]))


def text_of(version, count=TOKENS):
    return "".join(f" {version}.{index}" for index in range(count))


class TestContinuation:
    @pytest.mark.parametrize("names_version", [True, False])
    async def test_broken_stream_goes_on_only_at_the_version_that_began_it(self, names_version):
        first = Engine("v1", dies_after=2, names_version=names_version)
        other, same = (Engine(version, names_version=names_version) for version in ("v2", "v1"))
        async with entry(first, other, same) as (app, _):
            reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v1")
        assert reply.body.endswith(b"data: [DONE]\n\n")
        assert other.calls["POST"] == 0

    async def test_penalized_engine_of_the_version_is_preferred_to_a_sound_one_of_another(self):
        first, other, same = Engine("v1", dies_after=2), Engine("v2"), Engine("v1")
        async with entry(first, other, same) as (app, context):
            context.fleet.record_failure("endpoint-2", now=boot_seconds())
            reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v1")

    @pytest.mark.parametrize("state", [EndpointState.LEAVING, EndpointState.GONE])
    async def test_stream_without_engines_of_its_version_is_broken_off_at_once(self, state):
        first, other = Engine("v1", dies_after=2), Engine("v2")
        async with entry(first, other) as (app, context), anyio.create_task_group() as group:
            group.start_soon(_list_after_death, context, first, state)
            with anyio.fail_after(2.0):
                reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v1", 2)
        assert str(STREAM_CUT.code).encode() in reply.body
        assert b"[DONE]" not in reply.body

    async def test_stream_waits_for_a_starting_engine_of_its_version(self):
        first, other, same = Engine("v1", dies_after=2), Engine("v2"), Engine("v1")
        async with entry(first, other, same) as (app, context):
            change_listed(context, "endpoint-2", state=EndpointState.STARTING)
            async with anyio.create_task_group() as group:
                group.start_soon(_list_later, context, "endpoint-2", EndpointState.READY, 0.5)
                reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v1")

    @pytest.mark.parametrize("listed", ["v1", ""])
    async def test_engine_that_states_another_version_than_the_listed_one_is_not_joined(
        self, listed
    ):
        first, same = Engine("v1", dies_after=2), Engine("v1")
        restarted = Engine("v2", listed=listed)
        async with entry(first, restarted, same) as (app, context):
            reply = await complete(app, tokens=TOKENS)
            assert not context.fleet.is_penalized("endpoint-1", now=boot_seconds())
        assert streamed_text(reply) == text_of("v1")
        assert restarted.calls["DELETE"] == 1

    async def test_stated_version_of_the_first_event_counts_and_not_the_listed_one(self):
        first = Engine("v2", dies_after=2, listed="v1")
        other, same = Engine("v1"), Engine("v2")
        async with entry(first, other, same) as (app, _):
            reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v2")

    async def test_engine_of_unknown_version_does_not_go_on_with_a_stream_of_a_known_one(self):
        first, same = Engine("v1", dies_after=2), Engine("v1")
        unknown = Engine("v2", listed="", names_version=False)
        async with entry(first, unknown, same) as (app, _):
            reply = await complete(app, tokens=TOKENS)
        assert streamed_text(reply) == text_of("v1")

    async def test_whole_answer_begins_again_at_another_version_if_its_own_is_gone(self):
        first, other = Engine("v1", dies_after=2), Engine("v2")
        async with entry(first, other) as (app, context), anyio.create_task_group() as group:
            group.start_soon(_list_after_death, context, first, EndpointState.GONE)
            with anyio.fail_after(2.0):
                reply = await complete(app, tokens=TOKENS, stream=False)
        answer = msgspec.json.decode(reply.body)
        assert answer["choices"][0]["message"]["content"] == text_of("v2")


async def _list_after_death(context, engine, state):
    while engine.server is None or engine.server.is_serving():
        await anyio.sleep(0.005)
    change_listed(context, "endpoint-0", state=state)


async def _list_later(context, endpoint_id, state, seconds):
    await anyio.sleep(seconds)
    change_listed(context, endpoint_id, state=state)
