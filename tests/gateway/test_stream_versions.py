"""Streams and prompt memory while engines of several software versions serve one service."""

import asyncio
import contextlib
import json
from dataclasses import replace

import anyio
import pytest

from samphirehall.backing.table import NO_ERA
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import OVERLOADED, STREAM_CUT, STREAM_UNKNOWN, RunState
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.stream_store import StreamStore
from samphirehall.gateway.types import PromptPart, ServiceShare
from samphirehall.platform import documents, wire
from tests.gateway.helpers import (
    MODEL,
    ROUTES,
    RecordingCaller,
    configuration,
    context,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.support.resets import reset_on_close
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

OLD, NEW = "v1", "v1.1"
EVENTS = 5


class Engine:
    """Script of an engine whose events name its version; it may break off."""

    def __init__(self, version, *, events=EVENTS):
        self.version = version
        self.events = events

    async def __call__(self, received, writer):
        if received.get("x-stage") == "prefill":
            writer.write(response_bytes(received, b'{"kv_handle":"c0ffee","tokens":1,"version":1}'))
            return
        if received[":method"] == "DELETE":  # releases a KV handle, and bears no request id
            writer.write(response_bytes(received, b""))
            return
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "X-Response-Stamp: s"]
        lines.append(f"X-Request-Id: {received['x-request-id']}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(received.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        if self.events == EVENTS:
            writer.write(b"0\r\n\r\n")
            return
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_on_close(writer)


class Host:
    """A host that shares the store with others."""

    def __init__(self, table, name="host-a"):
        self.context, _ = context()
        self.list_complete_until = None  # None: until now
        self.context.streams = StreamStore(
            table,
            self.context.fleet,
            f"{name}/1",
            is_hub=lambda: True,
            list_is_current=lambda: True,
            list_era=lambda: NO_ERA,
            list_complete_until=lambda: self.list_complete_until or boot_seconds(),
            clock=boot_seconds,
            agreed_time=wall_seconds,
        )
        self.context.host = name
        self.gateway = Gateway(self.context)
        self.gateway.apply_configuration(configuration(), source="test")

    async def __aenter__(self):
        self._running = anyio.create_task_group()
        group = await self._running.__aenter__()
        group.start_soon(self.context.streams.run)
        return self

    async def __aexit__(self, *exc_info):
        self._running.cancel_scope.cancel()
        return await self._running.__aexit__(*exc_info)

    def list(self, name, endpoint, version, *, requests=0, born=0):
        """List an engine; a name with a leading p prefills."""
        entry = {"service": "model", "address": endpoint.address, "zone": "a", "slots": 64}
        entry |= {"state": "ready", "version": version, "born": born}
        entry["stage"] = "prefill" if name.startswith("p") else "decode"
        listed = documents.decode_endpoint(name, json.dumps(entry).encode())
        self.context.fleet.update(listed, MODEL, now=boot_seconds())
        if requests:
            self.context.loads._local[name].requests = requests

    def remove(self, name):
        self.context.fleet.remove(name)

    async def serve(self, request_id, *, resumes=None, after=None, parts=b"own:1000", caller=None):
        """Serve a request; return its caller and the error that ended it, if any."""
        headers = [(b"host", b"h.example"), (b"x-request-id", request_id.encode())]
        headers += [(b"x-key", b"key-1"), (b"x-deadline-ms", b"3000"), (b"x-model", b"m")]
        tokens = sum(int(part.partition(b":")[2]) for part in parts.split(b","))
        headers += [(b"x-token-counts", b"%d,20" % tokens), (b"x-prompt-prefix", parts)]
        if after is not None:
            headers.append((b"last-event-id", str(after).encode()))
        if resumes is not None:
            headers.append((b"resumes", resumes.encode()))
        decoded = wire.decode_request("POST", b"/chat/x", headers, b"", boot_seconds())
        caller = caller or RecordingCaller()
        try:
            await self.gateway.serve(decoded, caller)
        except SamphireError as error:
            return caller, error
        return caller, None


@contextlib.asynccontextmanager
async def engines(**scripts):
    """Serve engines by name; yield their endpoints."""
    async with contextlib.AsyncExitStack() as stack:
        yield {
            name: await stack.enter_async_context(scripted_endpoint(script))
            for name, script in scripts.items()
        }


def versions(*callers):
    """Return the versions of the events that callers have received."""
    body = b"".join(caller.body for caller in callers)
    return {line.partition(b": ")[2].decode() for line in body.split(b"\n") if b"data" in line}


async def begin(host, running, *, version=OLD):
    """Begin a stream at an engine that breaks off after two events; return its caller."""
    host.list("begins", running["begins"], version)
    caller, error = await host.serve("first")
    assert error.result is STREAM_CUT and versions(caller) == {version}
    host.remove("begins")
    return caller


def assert_refused_as_not_run(caller, error):
    assert error is not None and not caller.started
    assert error.result.http_status == 503 and error.result.run is RunState.NOT_RUN


BEGINS = Engine(OLD, events=2)


class TestRetryInsideOneAnswer:
    async def test_stream_that_breaks_does_not_go_on_at_another_version(self):
        async with engines(d1=BEGINS, d2=Engine(NEW)) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            host.list("d2", running["d2"], NEW, requests=40)
            caller, error = await host.serve("r1")
        assert error is not None and error.result is STREAM_CUT
        assert versions(caller) == {OLD} and not running["d2"].received

    async def test_stream_that_breaks_goes_on_at_its_version(self):
        scripts = {"d1": BEGINS, "d2": Engine(NEW), "d3": Engine(OLD)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            host.list("d2", running["d2"], NEW, requests=40)
            host.list("d3", running["d3"], OLD, requests=60)
            caller, error = await host.serve("r1")
        assert error is None and caller.complete
        assert versions(caller) == {OLD}


class TestTakeUp:
    async def test_take_up_at_the_same_host_does_not_go_on_at_another_version(self):
        async with (
            engines(begins=BEGINS, d2=Engine(NEW)) as running,
            Host(FaultyTable()) as host,
        ):
            await begin(host, running)
            host.list("d2", running["d2"], NEW)
            caller, error = await host.serve("second", resumes="first", after=2)
        assert_refused_as_not_run(caller, error)
        assert not running["d2"].received

    async def test_take_up_at_another_host_does_not_go_on_at_another_version(self):
        table = FaultyTable()
        async with (
            engines(begins=BEGINS, d2=Engine(NEW)) as running,
            Host(table, "host-a") as host,
            Host(table, "host-b") as other,
        ):
            await begin(host, running)
            other.list("d2", running["d2"], NEW)
            caller, error = await other.serve("second", resumes="first", after=2)
        assert_refused_as_not_run(caller, error)
        assert not running["d2"].received

    @pytest.mark.parametrize("version", [OLD, NEW])
    async def test_take_up_after_all_hosts_ended_does_not_go_on_at_another_version(self, version):
        table = FaultyTable()
        another = NEW if version == OLD else OLD
        scripts = {"begins": Engine(version, events=2), "d2": Engine(another)}
        async with engines(**scripts) as running:
            async with Host(table, "host-a") as host:
                await begin(host, running, version=version)
            async with Host(table, "host-b") as started:
                started.list("d2", running["d2"], another)
                caller, error = await started.serve("second", resumes="first", after=2)
        assert_refused_as_not_run(caller, error)
        assert not running["d2"].received

    @pytest.mark.parametrize("version", [OLD, NEW])
    async def test_take_up_after_all_hosts_ended_goes_on_at_its_version(self, version):
        table = FaultyTable()
        another = NEW if version == OLD else OLD
        scripts = {
            "begins": Engine(version, events=2),
            "d2": Engine(another),
            "d3": Engine(version),
        }
        async with engines(**scripts) as running:
            async with Host(table, "host-a") as host:
                first = await begin(host, running, version=version)
            async with Host(table, "host-b") as started:
                started.list("d2", running["d2"], another)
                started.list("d3", running["d3"], version, requests=60)
                caller, error = await started.serve("second", resumes="first", after=2)
        assert error is None and caller.complete
        assert versions(first, caller) == {version}

    async def test_second_take_up_names_the_attempt_that_brought_the_first_event(self):
        table = FaultyTable()
        scripts = {"begins": BEGINS, "d2": Engine(NEW), "d3": Engine(OLD, events=3)}
        scripts["d4"] = Engine(OLD)
        async with engines(**scripts) as running, Host(table) as host:
            first = await begin(host, running)
            host.list("d3", running["d3"], OLD)
            second, error = await host.serve("second", resumes="first", after=2)
            assert error.result is STREAM_CUT
            host.remove("d3")
            host.list("d2", running["d2"], NEW)
            host.list("d4", running["d4"], OLD, requests=60)
            third, error = await host.serve("third", resumes="first", after=3)
        assert error is None and third.complete
        assert versions(first, second, third) == {OLD}

    async def test_take_up_does_not_go_on_at_an_engine_that_may_have_restarted(self):
        restarted = Engine(OLD, events=2)
        async with engines(d1=restarted) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            await host.serve("first")
            restarted.version, restarted.events = NEW, EVENTS
            caller, error = await host.serve("second", resumes="first", after=2)
            assert_refused_as_not_run(caller, error)
            _, error = await host.serve("new")
            assert error is None

    async def test_take_up_that_does_not_name_its_stream_is_refused(self):
        async with engines(d1=Engine(OLD), d2=Engine(NEW)) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            host.list("d2", running["d2"], NEW)
            caller, error = await host.serve("second", after=2)
        assert_refused_as_not_run(caller, error)
        assert error.result is STREAM_UNKNOWN

    async def test_take_up_is_refused_while_the_store_does_not_tell_its_version(self):
        table = FaultyTable(faults=TableFaults(outage=True))
        async with engines(d1=Engine(OLD), d2=Engine(NEW)) as running, Host(table) as host:
            host.list("d1", running["d1"], OLD)
            host.list("d2", running["d2"], NEW)
            caller, error = await host.serve("second", resumes="first", after=2)
        assert_refused_as_not_run(caller, error)
        assert error.result is STREAM_UNKNOWN and error.retry_after > 0

    async def test_take_up_waits_longer_than_a_new_stream_may(self):
        scripts = {"begins": BEGINS, "d1": Engine(OLD)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            await begin(host, running)
            host.list("d1", running["d1"], OLD)
            host.context.loads._local["d1"].pending_prefill_tokens[0] = 30_000
            _, refused = await host.serve("new")
            caller, error = await host.serve("second", resumes="first", after=2)
        assert refused.result is OVERLOADED
        assert error is None and caller.complete

    def test_take_up_on_a_split_route_reaches_the_service_that_began_the_stream(self):
        host = Host(FaultyTable())
        shares = (ServiceShare("model", 1), ServiceShare("other", 1))
        chat = next(route for route in ROUTES if route.name == "chat")
        for number in range(20):
            begun, taken_up = request(request_id=f"r{number}"), request(request_id=f"s{number}")
            taken_up.resumes = f"r{number}"
            host.gateway.apply_configuration(
                replace(
                    configuration(2 + number, routes=(replace(chat, shares=shares),)),
                    services={"model": MODEL, "other": replace(MODEL, name="other")},
                ),
                source="test",
            )
            begun.target = taken_up.target = b"/chat/x"
            services = {host.gateway._accept(item).service.name for item in (begun, taken_up)}
            assert len(services) == 1


class TestRecords:
    @pytest.mark.parametrize("delay", [0.0, 0.1])
    async def test_first_event_is_not_passed_on_before_the_version_is_stored(self, delay):
        table = FaultyTable(faults=TableFaults(max_delay=delay))
        seen = []
        async with engines(d1=Engine(NEW)) as running, Host(table) as host:
            host.list("d1", running["d1"], NEW)

            class Caller(RecordingCaller):
                async def start(self, status, headers):
                    rows = table.store.scan("streams/begun/", 10)
                    seen.append(sum(len(row.value["streams"]) for row in rows))
                    await super().start(status, headers)

            caller, error = await host.serve("first", caller=Caller())
        assert error is None and caller.complete
        assert seen == [1]

    async def test_stream_whose_version_is_not_stored_begins_again_at_the_base(self):
        table = FaultyTable()
        async with engines(d1=Engine(OLD), d2=Engine(NEW)) as running, Host(table) as host:
            host.list("d1", running["d1"], OLD, requests=60)
            await host.context.streams.follow_bases()
            host.list("d2", running["d2"], NEW)
            table.faults = TableFaults(outage=True)
            caller, error = await host.serve("first")
        assert error is None and versions(caller) == {OLD}
        assert len(running["d2"].received) == 1


class TestPromptMemory:
    async def test_prompt_read_at_one_version_is_not_handed_to_an_engine_of_another(self):
        scripts = {"p1": Engine(NEW), "d1": Engine(OLD)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("p1", running["p1"], NEW)
            host.list("d1", running["d1"], OLD, requests=3)
            caller, error = await host.serve("r1", parts=b"own:8000")
        assert error is None and caller.complete
        assert not running["p1"].received
        assert "x-kv-source" not in running["d1"].received[0]

    async def test_prompt_read_while_its_engine_leaves_is_not_handed_to_another_version(self):
        hosts = []

        async def read_while_the_engine_leaves(received, writer):
            hosts[0].remove("d1")
            await Engine(OLD)(received, writer)

        scripts = {"p1": read_while_the_engine_leaves, "d1": Engine(OLD), "d2": Engine(NEW)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            hosts.append(host)
            host.list("p1", running["p1"], OLD)
            host.list("d1", running["d1"], OLD, requests=3)
            host.list("d2", running["d2"], NEW, requests=60)
            with anyio.fail_after(3.0):
                await host.serve("r1", parts=b"own:20000")
        assert running["p1"].received[0]["x-stage"] == "prefill"
        assert all("x-kv-source" not in received for received in running["d2"].received)

    async def test_cached_prompt_is_not_fetched_from_an_engine_of_another_version(self):
        scripts = {"d1": Engine(OLD), "d2": Engine(NEW)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            host.list("d2", running["d2"], NEW)
            host.context.loads._local["d2"].pending_prefill_tokens[0] = 400_000
            host.context.record_cached_prompt("d2", (PromptPart("shared", 20_000),))
            caller, error = await host.serve("r1", parts=b"shared:20000,own:10")
        assert error is None and versions(caller) == {OLD}
        assert "kv-fetch" not in running["d1"].received[0]
