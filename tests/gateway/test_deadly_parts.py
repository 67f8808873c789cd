"""Requests that are all different and share a part of the prompt that crashes engines."""

import contextlib

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import PART_QUARANTINED, QUARANTINED
from samphirehall.gateway.crashes import Crash, CrashTracker
from samphirehall.gateway.exchange import check_quarantine
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.request_state import RequestState
from samphirehall.gateway.types import Prompt, PromptPart
from samphirehall.routing.part_quarantine import MIN_SCORE, SETTLING_SECONDS
from tests.gateway.helpers import (
    DESK,
    MODEL,
    ROUTES,
    RecordingCaller,
    configuration,
    context,
    engine,
    request,
    scripted_endpoint,
)
from tests.gateway.test_generation import generate, stream_head
from tests.gateway.test_zone_exchange import hub_and_members, start, until
from tests.support.resets import reset_on_close

pytestmark = pytest.mark.anyio

CRASHES_IN_TOTAL = 5  # stated by the platform: after the fifth crash, hardly any may follow


def prompt_with(part, number):
    parts = (PromptPart("common", 300), PromptPart(part, 200), PromptPart(f"own-{number}", 500))
    return Prompt("m", parts, 1000, 20)


class Engines:
    """Engines that crash as soon as they write an answer to a prompt with the deadly part."""

    def __init__(self):
        self.context, _ = context()
        self.gateway = Gateway(self.context)
        self.gateway.apply_configuration(configuration(), source="test")
        self.crashes = 0

    @contextlib.asynccontextmanager
    async def engine(self, name):
        async def script(received, writer):
            if b"deadly" not in received[":body"]:
                await generate(received, writer)
                return
            self.crashes += 1
            writer.write(stream_head(received))
            await writer.drain()
            reset_on_close(writer)

        async with scripted_endpoint(script) as endpoint:
            self.context.fleet.update(engine(name, address=endpoint.address), MODEL)
            yield
        self.context.fleet.remove(name)
        self.context.crashes.confirm(name, now=self.context.clock())

    async def ask(self, part, number):
        """Serve a request that is like no other; return the code of its result."""
        caller = RecordingCaller()
        asked = request(
            "/once/x",
            request_id=f"r{number}",
            body=f"{part}-{number}".encode(),
            prompt=prompt_with(part, number),
        )
        try:
            await self.gateway.serve(asked, caller)
        except SamphireError as error:
            return error.result.code
        return 1000


class TestDeadlyPart:
    async def test_new_requests_with_a_deadly_part_do_not_crash_engine_after_engine(self):
        engines = Engines()
        codes = []
        for number in range(2 * CRASHES_IN_TOTAL):
            async with engines.engine(f"e{number}"):
                codes.append(await engines.ask("deadly", number))
                assert await engines.ask("sound", number) == 1000
            await anyio.sleep(SETTLING_SECONDS + 0.1)
        assert engines.crashes <= CRASHES_IN_TOTAL
        assert codes[-1] == PART_QUARANTINED.code


class TestConfirmation:
    async def served_once(self, *, ends):
        """Return the context after a stream broke, of an engine that then ends or lives on."""
        shared, _ = context()
        gateway = Gateway(shared)
        gateway.apply_configuration(configuration(), source="test")
        stopped = []

        async def script(received, writer):
            writer.write(stream_head(received))
            await writer.drain()
            if ends:
                stopped[0]()
            reset_on_close(writer)

        async with scripted_endpoint(script) as endpoint:
            stopped.append(endpoint.refuse)
            shared.fleet.update(engine("e1", address=endpoint.address), MODEL)
            with pytest.raises(SamphireError):
                asked = request("/once/x", prompt=prompt_with("deadly", 1), body=b"1")
                await gateway.serve(asked, RecordingCaller())
        return shared

    async def test_crash_of_an_engine_that_nobody_calls_again_is_confirmed_at_once(self):
        shared = await self.served_once(ends=True)
        assert [crash.parts for crash in shared.crashes.unpublished_parts] == [("common", "deadly")]

    async def test_engine_that_only_lost_a_connection_did_not_crash(self):
        shared = await self.served_once(ends=False)
        assert not shared.crashes.unpublished


class TestHosts:
    async def crash(self, host, endpoint, parts):
        now = boot_seconds()
        host.context.crashes.record_unconfirmed(endpoint, Crash(1, endpoint, parts), now=now)
        host.context.crashes.confirm(endpoint, now=now)
        with host.context.loads.track_request("d1"):
            await anyio.sleep(0.3)

    def is_blocked(self, host, *parts):
        return host.context.crashes.parts.blocked(parts, now=boot_seconds()) is not None

    async def test_crashes_that_different_hosts_saw_block_the_part_on_all(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abc")
            for number in range(MIN_SCORE):
                host = hosts[number % len(hosts)]
                await self.crash(host, f"e{number}", ("common", "deadly"))
            await until(lambda: all(self.is_blocked(host, "common", "deadly") for host in hosts))
            assert not any(self.is_blocked(host, "common", "sound") for host in hosts)
            hosts[0].context.crashes.clear(9, ("common", "sound"), now=boot_seconds())
            hosts[0].context.loads.on_change()
            await until(lambda: all(self.is_blocked(host, "other", "deadly") for host in hosts))
            group.cancel_scope.cancel()

    async def test_host_that_starts_later_refuses_a_request_that_crashed_endpoints_before(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abc")
            hub, members = hub_and_members(hosts)
            for number in range(MIN_SCORE):
                await self.crash(hub, f"e{number}", ())
            started = members[0].context
            started.crashes = CrashTracker()
            await anyio.sleep(0.5)
            started_request = RequestState(
                request("/book/x"), ROUTES[1], DESK, None, 0, boot_seconds() + 1.0, 1, fingerprint=1
            )
            with pytest.raises(SamphireError) as caught:
                check_quarantine(started, started_request)
            assert caught.value.result is QUARANTINED
            group.cancel_scope.cancel()

    async def test_host_that_starts_later_learns_the_blocked_parts(self):
        async with anyio.create_task_group() as group:
            hosts, _ = await start(group, "abc")
            hub, members = hub_and_members(hosts)
            for number in range(MIN_SCORE):
                await self.crash(hub, f"e{number}", ("deadly",))
            assert self.is_blocked(hub, "deadly")
            forgetful = members[0].context.crashes
            forgetful.parts = type(forgetful.parts)()
            await until(lambda: self.is_blocked(members[0], "deadly"))
            group.cancel_scope.cancel()
