"""The answer check of the load tool, on scripted engines."""

import anyio
import pytest

from samphirehall.endpoints.pools import EndpointPools
from samphirehall.load.arrivals import Arrival, build_prompt
from samphirehall.load.caller import direct_caller
from samphirehall.load.scenario import Phase, Scenario, Workload
from samphirehall.standins.engine_events import encode_final_event, event_encoder
from samphirehall.standins.tokens import TokenSource
from tests.support.endpoint import HEAD, ScriptedEndpoint, chunk

TOKENS = 6
SEED = 3
WORKLOAD = Workload("answer", output_tokens=TOKENS)
ARRIVAL = Arrival(1, 0.0, "coop", "chat", 20, TOKENS, 0)


def answer_from(versions):
    """Return a script whose answer holds one token of each of the software versions."""
    prompt = build_prompt(ARRIVAL, WORKLOAD, seed=SEED)

    async def script(exchange, writer):
        request_id = exchange.request_id
        for index, version in enumerate(versions):
            source = TokenSource("answer", prompt, version)
            content = event_encoder(request_id, "answer", source)(index)
            writer.write((HEAD if index == 0 else b"") + chunk(content))
        writer.write(chunk(encode_final_event(request_id, TOKENS, 20)) + b"0\r\n\r\n")

    return script


def outcome_of(versions):
    async def main():
        scenario = Scenario("one", {"chat": WORKLOAD}, {}, [Phase(1.0, 1.0, {"chat": 1.0})], [])
        pools = EndpointPools()
        async with ScriptedEndpoint(answer_from(versions)).serving() as engine:
            call = direct_caller(scenario, [engine.address], pools, seed=SEED)
            outcome = await call(ARRIVAL, anyio.current_time())
            await pools.aclose()
        return outcome

    return anyio.run(main)


class TestAnswerCheck:
    @pytest.mark.parametrize("version", ["", "v1", "v2"])
    def test_answer_of_one_software_version_is_complete(self, version):
        outcome = outcome_of([version] * TOKENS)
        assert (outcome.complete, outcome.wrong) == (True, False)

    @pytest.mark.parametrize("versions", [("v1", "v2"), ("", "v2"), ("v1", "")])
    def test_answer_joined_from_two_software_versions_is_wrong(self, versions):
        outcome = outcome_of([versions[0]] * 4 + [versions[1]] * 2)
        assert (outcome.complete, outcome.wrong) == (False, True)
