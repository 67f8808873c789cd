"""Completions whose prompt is prefilled on one engine and decoded on another."""

import contextlib

import anyio
import pytest

from samphirehall.core.serving import serving
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.forwarding import completion
from samphirehall.routing.setup import routing_policy
from samphirehall.settings.tables import RoutingTable
from samphirehall.standins.engine import EngineStandin
from samphirehall.standins.timing import EngineTiming
from samphirehall.standins.tokens import token_at, versions_in
from tests.support.entry import complete, entry_context, running_app
from tests.support.ports import free_address

PROMPT = "a long ledger of lots " * 4000
TOKENS = 6
DEADLINE = [(b"samphire-deadline", b"1.5")]
SLOW_PREFILL = EngineTiming(prefill_tokens_per_second=100_000, time_scale=10)


@contextlib.asynccontextmanager
async def entry_with_engines(*roles, versions=None, listed=None):
    """Yield an entry and its stand-in engines, one for each role.

    `versions` are the engines' software versions, and `listed` those of the endpoint list if
    they differ.
    """
    versions = versions or [""] * len(roles)
    engines = [
        EngineStandin(
            f"e-{number}-{role}",
            ["answer"],
            role=role,
            software_version=version,
            timing=SLOW_PREFILL,
        )
        for number, (role, version) in enumerate(zip(roles, versions, strict=True))
    ]
    addresses = [free_address() for _ in engines]
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        for engine, address in zip(engines, addresses, strict=True):
            await stack.enter_async_context(serving(engine.app(), address))
            group.start_soon(engine.run)
        context = entry_context([])
        context.state.replace_endpoints(
            EndpointInfo(
                engine.endpoint_id,
                address,
                "zone-1",
                EndpointProtocol.ENGINE,
                role=role,
                models=("answer",),
                software_version=version,
            )
            for engine, address, role, version in zip(
                engines, addresses, roles, listed or versions, strict=True
            )
        )
        context.routing_policy = routing_policy(RoutingTable("prefix-aware"), context.fleet)
        app = await stack.enter_async_context(running_app(context))
        yield app, engines
        group.cancel_scope.cancel()


def streamed_tokens(reply):
    return [part.split(b'"')[0].decode() for part in reply.body.split(b'"content":"')[1:]]


EXPECTED_TOKENS = [token_at("answer", PROMPT, index) for index in range(TOKENS)]


class TestDisaggregatedPrefill:
    def test_answer_is_complete_and_the_prompt_is_prefilled_once(self):
        async def main():
            async with entry_with_engines(Role.PREFILL, Role.DECODE) as (app, (prefill, decode)):
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert reply.status == 200
                assert streamed_tokens(reply) == EXPECTED_TOKENS
                assert prefill.counts.prefilled_tokens > 0
                assert decode.counts.prefilled_tokens == 0

        anyio.run(main)

    def test_decode_engine_prefills_if_the_prefill_engine_refuses(self):
        async def main():
            async with entry_with_engines(Role.PREFILL, Role.DECODE) as (app, (prefill, decode)):
                prefill.faults.reject = True
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert streamed_tokens(reply) == EXPECTED_TOKENS
                assert decode.counts.prefilled_tokens > 0

        anyio.run(main)

    def test_decode_engine_that_left_the_list_during_the_prefill_is_replaced(self, monkeypatch):
        run_prefill = completion._run_separate_prefill

        async def run_prefill_and_delist(context, run, reader, decision, request, sink):
            await run_prefill(context, run, reader, decision, request, sink)
            left = decision.endpoint.info.endpoint_id
            listed = context.state.endpoints.values()
            context.state.replace_endpoints([item for item in listed if item.endpoint_id != left])

        monkeypatch.setattr(completion, "_run_separate_prefill", run_prefill_and_delist)

        async def main():
            async with entry_with_engines(Role.PREFILL, Role.DECODE, Role.DECODE) as (app, _):
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert streamed_tokens(reply) == EXPECTED_TOKENS

        anyio.run(main)


class TestSoftwareVersions:
    def test_prompt_memory_is_handed_over_within_one_version(self):
        async def main():
            roles = (Role.PREFILL, Role.DECODE, Role.DECODE)
            async with entry_with_engines(*roles, versions=["v1", "v2", "v1"]) as (app, engines):
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert streamed_tokens(reply) == [
                    token_at("answer", PROMPT, index, "v1") for index in range(TOKENS)
                ]
                prefilled = [engine.counts.prefilled_tokens > 0 for engine in engines]
                assert prefilled == [True, False, False]

        anyio.run(main)

    @pytest.mark.parametrize("listed", [None, ["v1", "v1"], ["", ""]])
    def test_prompt_memory_is_not_handed_to_another_version(self, listed):
        async def main():
            roles = (Role.PREFILL, Role.DECODE)
            async with entry_with_engines(*roles, versions=["v2", "v1"], listed=listed) as (
                app,
                (_, decode),
            ):
                reply = await complete(app, PROMPT, tokens=TOKENS, headers=DEADLINE)
                assert len(versions_in("".join(streamed_tokens(reply)))) == 1
                assert decode.imported_caches == 0

        anyio.run(main)
