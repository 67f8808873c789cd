import contextlib

import anyio

from samphirehall.core.serving import serving
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.routing.setup import routing_policy
from samphirehall.settings.tables import RoutingTable
from samphirehall.standins.engine import EngineStandin
from samphirehall.standins.timing import EngineTiming
from samphirehall.standins.tokens import token_at
from tests.support.entry import complete, entry_context, running
from tests.support.ports import free_address

PROMPT = "a long ledger of lots " * 4000
TOKENS = 6
SLOW_PREFILL = EngineTiming(prefill_tokens_per_second=100_000, time_scale=10)


@contextlib.asynccontextmanager
async def entry_with(*roles):
    """Yield an entry over engines of these roles, and the engines."""
    engines = [
        EngineStandin(f"e-{role}", ["answer"], role=role, timing=SLOW_PREFILL) for role in roles
    ]
    addresses = [free_address() for _ in engines]
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        for engine, address in zip(engines, addresses, strict=True):
            await stack.enter_async_context(serving(engine.app(), address))
            group.start_soon(engine.run)
        context = entry_context([])
        context.state.take_endpoints(
            EndpointInfo(
                engine.endpoint_id,
                address,
                "zone-1",
                EndpointProtocol.ENGINE,
                role=role,
                models=("answer",),
            )
            for engine, address, role in zip(engines, addresses, roles, strict=True)
        )
        context.choose = routing_policy(RoutingTable("prefix-aware"), context.fleet)
        app = await stack.enter_async_context(running(context))
        yield app, engines
        group.cancel_scope.cancel()


def text_of(reply):
    return [part.split(b'"')[0].decode() for part in reply.body.split(b'"content":"')[1:]]


EXPECTED = [token_at("answer", PROMPT, index) for index in range(TOKENS)]


class TestPrefillApart:
    def test_answer_is_whole_and_the_prompt_is_read_once(self):
        async def main():
            async with entry_with(Role.PREFILL, Role.DECODE) as (app, (prefill, decode)):
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert reply.status == 200
                assert text_of(reply) == EXPECTED
                assert prefill.counts.prefilled_tokens > 0
                assert decode.counts.prefilled_tokens == 0

        anyio.run(main)

    def test_other_engine_does_the_whole_work_if_the_prefill_engine_refuses(self):
        async def main():
            async with entry_with(Role.PREFILL, Role.DECODE) as (app, (prefill, decode)):
                prefill.faults.reject = True
                reply = await complete(app, PROMPT, tokens=TOKENS)
                assert text_of(reply) == EXPECTED
                assert decode.counts.prefilled_tokens > 0

        anyio.run(main)
