import anyio
import msgspec

from samphirehall.core.connections import ConnectionPool, header, read_body
from samphirehall.core.serving import serving
from samphirehall.core.types import Role
from samphirehall.endpoints.events import EventReader, decode_chunk, extract_tokens
from samphirehall.endpoints.protocol import SOFTWARE_VERSION_HEADER, EngineReport, EngineRequest
from samphirehall.standins.engine import EngineStandin, token_at
from samphirehall.standins.timing import EngineTiming
from tests.support.ports import free_address

FAST_TIMING = EngineTiming(time_scale=20, prefill_tokens_per_second=500)
COMPLETIONS = "/v1/chat/completions"
PROMPT = "sort the petals " * 200


async def complete(address, request_id, *, prior=(), tokens=6, kv_source=None):
    body = EngineRequest(
        "answer", [{"role": "user", "content": PROMPT}], tokens, list(prior), kv_source=kv_source
    )
    pool = ConnectionPool(address)
    headers = {b"x-request-id": request_id.encode()}
    content = msgspec.json.encode(body)
    async with pool.request("POST", COMPLETIONS, headers=headers, content=content) as answer:
        received = await read_body(answer, max_bytes=1 << 20)
    await pool.aclose()
    reader = EventReader(request_id, next_index=len(prior))
    return reader, reader.feed(received)


def run_engines(test, *roles):
    async def main():
        addresses = [free_address() for _ in roles]
        async with anyio.create_task_group() as group:
            for address, role in zip(addresses, roles, strict=True):
                engine = EngineStandin(f"e-{role}", ["answer"], role=role, timing=FAST_TIMING)
                group.start_soon(engine.run)
                await group.start(_serve, engine, address)
            await test(*addresses)
            group.cancel_scope.cancel()

    anyio.run(main)


async def _serve(engine, address, *, task_status):
    async with serving(engine.app(), address):
        task_status.started()
        await anyio.sleep_forever()


class TestEngineStandin:
    def test_engine_names_its_software_version_and_its_tokens_depend_on_it(self):
        async def main():
            address = free_address()
            engine = EngineStandin("e-1", ["answer"], software_version="v2", timing=FAST_TIMING)
            async with anyio.create_task_group() as group, serving(engine.app(), address):
                group.start_soon(engine.run)
                _, batch = await complete(address, "req-1")
                expected = [token_at("answer", PROMPT, i, "v2") for i in range(6)]
                assert extract_tokens(batch.data) == expected
                pool = ConnectionPool(address)
                resumed = {b"last-event-id": b"req-1:0"}
                async with pool.request("GET", "/v1/streams/req-1", headers=resumed) as answer:
                    assert header(answer.headers, SOFTWARE_VERSION_HEADER) == "v2"
                await pool.aclose()
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_mixed_engine_gives_the_whole_answer(self):
        async def check(address):
            reader, batch = await complete(address, "req-1")
            assert reader.done
            assert extract_tokens(batch.data) == [token_at("answer", PROMPT, i) for i in range(6)]

        run_engines(check, Role.MIXED)

    def test_prefill_engine_gives_one_token_and_the_other_imports_its_cache(self):
        async def check(prefill, decode):
            reader, batch = await complete(prefill, "req-1")
            first_tokens = extract_tokens(batch.data)
            assert (first_tokens, reader.done) == ([token_at("answer", PROMPT, 0)], False)
            started = anyio.current_time()
            reader, batch = await complete(decode, "req-1", prior=first_tokens, kv_source=prefill)
            imported_seconds = anyio.current_time() - started
            assert reader.done
            assert decode_chunk(batch.data[0]).text == token_at("answer", PROMPT, 1)
            started = anyio.current_time()
            # The prefill engine holds no cache for req-2, so the decode engine prefills it.
            await complete(decode, "req-2", prior=first_tokens, kv_source=prefill)
            assert anyio.current_time() - started > imported_seconds

        run_engines(check, Role.PREFILL, Role.DECODE)

    def test_leaving_engine_takes_no_new_work(self):
        async def check(address):
            pool = ConnectionPool(address)
            notice = b'{"seconds": 60}'
            async with pool.request("POST", "/admin/leaving", content=notice) as answer:
                await read_body(answer, max_bytes=1000)
            body = msgspec.json.encode(EngineRequest("answer", [{"content": "x"}]))
            headers = {b"x-request-id": b"req-1"}
            async with pool.request("POST", COMPLETIONS, headers=headers, content=body) as answer:
                assert answer.status == 503
            async with pool.request("GET", "/state") as answer:
                content = await read_body(answer, max_bytes=10_000)
            assert msgspec.json.decode(content, type=EngineReport).leaving
            await pool.aclose()

        run_engines(check, Role.MIXED)
