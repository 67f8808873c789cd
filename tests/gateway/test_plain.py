"""Requests to plain endpoints: forwarding of answers, and retries only where they are safe."""

import asyncio
import contextlib

import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import NO_ENDPOINT, OUTCOME_UNKNOWN, QUARANTINED
from samphirehall.gateway.context import RepeatLimits
from samphirehall.gateway.gateway import Gateway
from tests.gateway.helpers import (
    DESK,
    RecordingCaller,
    configuration,
    context,
    listed,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.support.ports import free_address
from tests.support.resets import reset_on_close

pytestmark = pytest.mark.anyio


def gateway_with(*addresses):
    shared, started = context()
    for number, address in enumerate(addresses):
        shared.fleet.update(listed(f"e{number}", address), DESK)
    gateway = Gateway(shared)
    gateway.apply_configuration(configuration(), source="test")
    return gateway, started


async def answered(received, writer):
    writer.write(response_bytes(received, b"body", extra=["X-Other: 1"]))


async def failed(received, writer):
    writer.write(response_bytes(received, b"oops", status=500))


async def refused(received, writer):
    writer.write(response_bytes(received, b"", status=503, extra=["X-Not-Executed: 1"]))


async def reset(received, writer):
    reset_on_close(writer)


async def truncated(received, writer):
    writer.write(response_bytes(received, b"half", length=100))
    writer.close()


def until_closed(*, whole):
    """Return a script whose answer has no length; it is reset at its end unless it is whole."""

    async def script(received, writer):
        lines = ["HTTP/1.1 200 OK", "X-Response-Stamp: s", "Connection: close"]
        lines.append(f"X-Request-Id: {received['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
        await writer.drain()
        await asyncio.sleep(0.02)
        (writer.close if whole else lambda: reset_on_close(writer))()

    return script


class TestAnswersThatEndWithTheirConnection:
    async def test_whole_answer_is_forwarded(self):
        async with scripted_endpoint(until_closed(whole=True)) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body, caller.complete) == (200, b"body", True)

    async def test_answer_that_is_reset_is_fetched_from_another_endpoint(self):
        async with (
            scripted_endpoint(until_closed(whole=False)) as broken,
            scripted_endpoint(answered) as sound,
        ):
            gateway, _ = gateway_with(broken.address, sound.address)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body) == (200, b"body")
        assert len(sound.received) == 1


class TestAnswers:
    async def test_answer_is_forwarded_unchanged(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, started = gateway_with(endpoint.address)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body, caller.complete) == (200, b"body", True)
        assert (b"x-response-stamp", b"s") in caller.headers
        assert (b"x-other", b"1") in caller.headers
        assert started == ["acme"]

    async def test_endpoint_receives_customer_incarnation_and_deadline_but_no_key(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            await gateway.serve(request(), RecordingCaller())
        received = endpoint.received[0]
        assert received["x-tenant"] == "acme"
        assert received["x-expect-instance"] == "e0"
        assert 900 < int(received["x-deadline-ms"]) <= 1000
        assert "key-1" not in str(received)

    @pytest.mark.parametrize("script", [failed, refused, reset, truncated])
    async def test_idempotent_request_is_retried_on_another_endpoint(self, script):
        async with scripted_endpoint(script) as bad, scripted_endpoint(answered) as good:
            gateway, _ = gateway_with(bad.address, good.address)
            bodies = []
            for number in range(6):
                caller = RecordingCaller()
                await gateway.serve(request(request_id=f"r{number}"), caller)
                bodies.append((caller.status, caller.body))
        assert bodies == [(200, b"body")] * 6

    async def test_request_to_an_unresponsive_endpoint_is_retried_on_another(self):
        async def silent(received, writer):
            await asyncio.sleep(5)

        async with scripted_endpoint(silent) as bad, scripted_endpoint(answered) as good:
            gateway, _ = gateway_with(bad.address, good.address)
            for number in range(4):
                caller = RecordingCaller()
                await gateway.serve(request(request_id=f"r{number}"), caller)
                assert caller.status == 200

    async def test_error_answer_is_forwarded_if_there_is_no_other_endpoint(self):
        async with scripted_endpoint(failed) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            caller = RecordingCaller()
            await gateway.serve(request(), caller)
        assert (caller.status, caller.body) == (500, b"oops")


class TestUsage:
    @pytest.mark.parametrize(("script", "count"), [(answered, 1), (reset, 1), (refused, 0)])
    async def test_usage_counts_requests_whose_answer_was_lost(self, script, count):
        async with scripted_endpoint(script) as endpoint:
            gateway, started = gateway_with(endpoint.address)
            with contextlib.suppress(SamphireError):
                await gateway.serve(request("/book/x"), RecordingCaller())
        assert started == ["acme"] * count


class TestOnce:
    @pytest.mark.parametrize("script", [reset, truncated])
    async def test_doubtful_outcome_is_unknown_and_not_repeated(self, script):
        async with scripted_endpoint(script) as bad, scripted_endpoint(answered) as good:
            gateway, _ = gateway_with(bad.address, good.address)
            results = []
            for number in range(4):
                try:
                    await gateway.serve(
                        request("/book/x", request_id=f"r{number}"), RecordingCaller()
                    )
                except SamphireError as error:
                    results.append(error.result)
            assert bad.received and set(results) == {OUTCOME_UNKNOWN}
            ids = [item["x-request-id"] for item in bad.received + good.received]
            assert len(ids) == len(set(ids))

    async def test_refused_request_is_sent_to_another_endpoint(self):
        async with scripted_endpoint(refused) as bad, scripted_endpoint(answered) as good:
            gateway, _ = gateway_with(bad.address, good.address)
            for number in range(4):
                caller = RecordingCaller()
                await gateway.serve(request("/book/x", request_id=f"r{number}"), caller)
                assert caller.status == 200

    async def test_request_that_no_endpoint_received_reports_no_endpoint(self):
        gateway, _ = gateway_with(free_address(), free_address())
        with pytest.raises(SamphireError) as caught:
            await gateway.serve(request("/book/x"), RecordingCaller())
        assert caught.value.result is NO_ENDPOINT
        assert caught.value.retry_after is not None

    async def test_503_without_the_statement_is_not_passed_on_as_a_promise(self):
        async def busy(received, writer):
            writer.write(response_bytes(received, b"", status=503))

        async with scripted_endpoint(busy) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            with pytest.raises(SamphireError) as caught:
                await gateway.serve(request("/book/x"), RecordingCaller())
        assert caught.value.result is OUTCOME_UNKNOWN


class TestBudget:
    async def test_retries_stop_when_the_budget_is_spent(self):
        async with scripted_endpoint(failed) as one, scripted_endpoint(failed) as two:
            gateway, _ = gateway_with(one.address, two.address)
            for number in range(60):
                await gateway.serve(request(request_id=f"r{number}"), RecordingCaller())
            arrivals = len(one.received) + len(two.received)
        assert 60 < arrivals <= 60 + 0.2 * 60 + 20

    async def test_unreachable_endpoint_does_not_use_the_budget(self):
        async with scripted_endpoint(answered) as sound:
            gateway, _ = gateway_with("127.0.0.1:1", sound.address)
            gateway.context.set_repeat_limits(RepeatLimits(0.0, 0.0, 10.0))
            for number in range(8):
                caller = RecordingCaller()
                await gateway.serve(request("/book/x", request_id=f"r{number}"), caller)
                assert caller.status == 200


class TestDeadline:
    async def test_final_answer_comes_at_the_timeout_of_the_route(self):
        async def silent(received, writer):
            await asyncio.sleep(5)

        async with scripted_endpoint(silent) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            with pytest.raises(SamphireError) as caught:
                await asyncio.wait_for(gateway.serve(request("/book/x"), RecordingCaller()), 1.4)
        assert caught.value.result.http_status == 504
        assert caught.value.result.run == "unknown"


class TestCrashingRequest:
    async def test_request_that_crashes_endpoints_is_refused_after_the_third(self):
        shared, _ = context()
        gateway = Gateway(shared)
        gateway.apply_configuration(configuration(), source="test")
        codes = []
        for number in range(5):
            async with scripted_endpoint(reset) as endpoint:
                shared.fleet.update(listed(f"e{number}", endpoint.address), DESK)
                with pytest.raises(SamphireError) as caught:
                    await gateway.serve(
                        request("/book/x", request_id=f"r{number}", body=b"poison"),
                        RecordingCaller(),
                    )
                codes.append(caught.value.result.code)
            shared.fleet.remove(f"e{number}")
            shared.crashes.confirm(f"e{number}", now=shared.clock())
        assert codes == [OUTCOME_UNKNOWN.code] * 3 + [QUARANTINED.code] * 2


class TestRequestLog:
    async def test_attempt_cut_by_the_deadline_is_logged(self, caplog):
        async def silent(received, writer):
            await asyncio.sleep(5)

        caplog.set_level("INFO")
        async with scripted_endpoint(silent) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            with pytest.raises(SamphireError):
                await gateway.serve(request("/book/x"), RecordingCaller())
        entry = next(record for record in caplog.records if record.message == "request")
        assert entry.sends == [("e0", "run", "cut")]
        assert (entry.request, entry.customer, entry.configuration) == ("r1", "acme", 1)
