"""When a host finds out that it reaches no endpoint."""

import contextlib

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.gateway.endpoint_paths import MANY_ENDPOINTS
from samphirehall.gateway.exchange import update_crash_tracker
from samphirehall.gateway.request_state import RequestState, SendOutcome
from tests.gateway.helpers import (
    DESK,
    ROUTES,
    context,
    listed,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio


async def answer(received, writer):
    writer.write(response_bytes(received))


@contextlib.asynccontextmanager
async def checked_paths(*, sound, gone):
    """Yield a context whose endpoints are partly gone, while its paths are checked."""
    created, _ = context()
    async with contextlib.AsyncExitStack() as stack:
        endpoints = [
            await stack.enter_async_context(scripted_endpoint(answer)) for _ in range(sound)
        ]
        addresses = [endpoint.address for endpoint in endpoints]
        addresses += [free_address() for _ in range(gone)]
        for number, address in enumerate(addresses):
            created.fleet.update(listed(f"d{number}", address), DESK, now=0.0)
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        group.start_soon(created.paths.run)
        await anyio.sleep(0.05)
        yield created, endpoints


def fail_all(created):
    for state in created.fleet.states():
        state.record_failure(now=boot_seconds(), unreachable=True)


class TestEndpointPaths:
    async def test_paths_are_lost_when_no_endpoint_can_be_connected_to(self):
        async with checked_paths(sound=0, gone=5) as (created, _):
            fail_all(created)
            with anyio.fail_after(1.0):
                await created.paths.lost_event.wait()
            assert created.paths.lost

    async def test_endpoints_that_are_gone_do_not_lose_the_paths_to_others(self):
        async with checked_paths(sound=1, gone=MANY_ENDPOINTS - 1) as (created, _):
            fail_all(created)
            await anyio.sleep(0.5)
            assert not created.paths.lost

    async def test_paths_are_back_when_an_endpoint_can_be_connected_to(self):
        async with checked_paths(sound=0, gone=2) as (created, _):
            fail_all(created)
            with anyio.fail_after(1.0):
                await created.paths.lost_event.wait()
            async with scripted_endpoint(answer) as endpoint:
                created.fleet.update(listed("d9", endpoint.address), DESK, now=0.0)
                await anyio.sleep(0.5)
                assert not created.paths.lost and not created.paths.lost_event.is_set()

    @pytest.mark.parametrize("sound", [0, 1])
    async def test_crash_is_reported_only_while_another_endpoint_is_reached(self, sound):
        async with checked_paths(sound=sound, gone=3) as (created, _):
            route = next(route for route in ROUTES if route.name == "read")
            crashed = created.fleet.endpoint(f"d{sound}")
            state = RequestState(request(), route, DESK, None, 0, boot_seconds() + 1.0, 1)
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(
                        update_crash_tracker, created, state, crashed, SendOutcome.BROKEN
                    )
            assert len(created.crashes.unpublished) == 3 * sound

    async def test_nothing_is_connected_to_without_a_failed_send(self):
        async with checked_paths(sound=3, gone=0) as (created, endpoints):
            await anyio.sleep(0.7)
            assert [endpoint.connections for endpoint in endpoints] == [0, 0, 0]
            next(iter(created.fleet.states())).record_silence(True)
            await anyio.sleep(0.1)
            assert sum(endpoint.connections for endpoint in endpoints) >= 1
