"""Planned stop of a host: requests that cannot end in time, and those that still run at its end."""

import asyncio

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OUTCOME_UNKNOWN, SHUTTING_DOWN
from samphirehall.core.stopping import StopSchedule
from tests.gateway.helpers import RecordingCaller, request, scripted_endpoint
from tests.gateway.test_plain import answered, gateway_with

pytestmark = pytest.mark.anyio


def stop(gateway, *, finish_in):
    """Begin the part of a stop in which the balancer sends no more requests."""
    now = boot_seconds()
    gateway.stop_schedule = StopSchedule(now, now + finish_in)


async def silent(received, writer):
    await asyncio.sleep(5)


class TestLateRequests:
    async def test_request_that_may_outlast_the_host_is_refused_and_sent_nowhere(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            stop(gateway, finish_in=0.8)
            with pytest.raises(SamphireError) as caught:
                await gateway.serve(request("/book/x"), RecordingCaller())
        assert caught.value.result is SHUTTING_DOWN and caught.value.retry_after
        assert not endpoint.received

    async def test_request_that_ends_before_the_host_is_served(self):
        async with scripted_endpoint(answered) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            stop(gateway, finish_in=1.5)
            caller = RecordingCaller()
            await gateway.serve(request("/book/x"), caller)
        assert caller.complete and caller.status == 200


class TestEndOfTheStop:
    async def test_request_that_still_runs_ends_as_unknown_and_with_an_answer(self):
        async with scripted_endpoint(silent) as endpoint:
            gateway, _ = gateway_with(endpoint.address)
            async with anyio.create_task_group() as group:
                group.start_soon(end_soon, gateway)
                with anyio.fail_after(0.7), pytest.raises(SamphireError) as caught:
                    await gateway.serve(request("/book/x"), RecordingCaller())
        assert caught.value.result is OUTCOME_UNKNOWN


async def end_soon(gateway):
    await anyio.sleep(0.1)
    gateway.end_running_requests()
