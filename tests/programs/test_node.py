"""``samphire-node`` as a process, with a platform stand-in and scripted endpoints."""

import json
import os
import signal
import sys
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import httpcore
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import SETTINGS_INVALID
from samphirehall.gateway.rows import RowChange, Rows, StoreVersion
from samphirehall.platform.settings import (
    HEDGING_VARIABLE,
    PATH_VARIABLE,
    load_platform_settings,
)
from samphirehall.programs import node
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.gateway.test_generation import generate
from tests.platform.standin import platform_standin
from tests.platform.test_decoding import CONFIGURATION, ENTRY, SETTINGS
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

ROOT = Path(__file__).parents[2]
ROUTE = {"host": "h.example", "timeout_ms": 2000, "latency_goal_ms": 200, "max_attempts": 2}
ROUTES = [
    {**ROUTE, "name": "read", "prefix": "/read/", "kind": "safe", "service": "t"},
    {**ROUTE, "name": "book", "prefix": "/book/", "kind": "unsafe", "service": "t"},
    {**ROUTE, "name": "chat", "prefix": "/chat/", "kind": "streaming", "service": "s"},
]
DOCUMENT = {**CONFIGURATION, "routes": ROUTES}
DOCUMENT["services"] = [*CONFIGURATION["services"], {"name": "t", "max_conns": 100}]
PROMPT = [(b"X-Token-Counts", b"1460,80"), (b"X-Prompt-Prefix", b"5c:800,e4:660")]


DELAYS = {"slow": 0.05, "slower": 0.5, "long": 3.4, "longest": 9.0}


async def answer_with_customer(received, writer):
    await anyio.sleep(DELAYS.get(received[":target"].rpartition("/")[2], 0))
    writer.write(response_bytes(received, received["x-tenant"].encode()))


class System:
    """A node process with a platform stand-in and one endpoint of each service."""

    def __init__(self, tmp_path, store, duties, plain, engine):
        self.store, self.duties = store, duties
        self.plain, self.engine = plain, engine
        self.settings = tmp_path / "settings.conf"
        self.log = tmp_path / "log"
        self.clients = free_address()
        self.readiness = free_address()
        self.process = None

    def write_settings(self, **changes):
        fields = {
            **SETTINGS,
            "ip": "127.0.0.1",
            "listen.front": self.clients,
            "listen.ready": self.readiness,
            "port_range": ",".join([free_address().rpartition(":")[2]] * 2),
            "platform.address": self.store.address,
            "cloud.address": self.duties.address,
            "bounds.report_window_s": "1",
            "bounds.usage_late_s": "3",
            **changes,
        }
        lines = "\n".join(f"{name}={value}" for name, value in fields.items())
        self.settings.write_text(lines)

    def list_endpoint(self, name, service, endpoint, **changes):
        host = {"service": service, "address": endpoint.address, "zone": "a", "slots": 6}
        self.store.put("servers", name, {**host, "state": "ready", "born": 1, **changes})

    async def start(self):
        await self.spawn()
        await self.wait_until(lambda: self.ready(), "ready")

    async def spawn(self):
        environment = {**os.environ, "SAMPHIREHALL_BOOT": str(self.settings)}
        self.process = await anyio.open_process(
            [sys.executable, "-m", "samphirehall.programs.start_node"],
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("wb"),
        )

    async def wait_until(self, condition, what, seconds=8.0):
        try:
            with anyio.fail_after(seconds):
                while not await condition():
                    await anyio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"not {what}: {self.log.read_text()[-2000:]}") from None

    async def ready(self):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", f"http://{self.readiness}/ready")
                return answer.status == 200
        except httpcore.ConnectError:
            return False

    async def get(self, path, *, number=0, key=b"k1", headers=()):
        sent = [
            (b"Host", b"h.example"),
            (b"X-Request-Id", b"r%d" % number),
            (b"X-Key", key),
            *headers,
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request("GET", f"http://{self.clients}{path}", headers=sent)

    def log_entries(self, message):
        entries = [
            json.loads(line) for line in self.log.read_text().splitlines() if line[:1] == "{"
        ]
        return [line for line in entries if line["message"] == message]


@asynccontextmanager
async def running_system(tmp_path, make=System):
    async with AsyncExitStack() as stack:
        store, duties = await stack.enter_async_context(platform_standin())
        plain = await stack.enter_async_context(scripted_endpoint(answer_with_customer))
        engine = await stack.enter_async_context(scripted_endpoint(generate))
        system = make(tmp_path, store, duties, plain, engine)
        store.put("op", "config", DOCUMENT)
        system.list_endpoint("t1", "t", plain)
        system.list_endpoint("s1", "s", engine, stage="decode")
        system.write_settings()
        try:
            await system.start()
            yield system
        finally:
            if system.process is not None and system.process.returncode is None:
                system.process.kill()
                await system.process.wait()


async def test_a_calm_day(tmp_path):
    async with running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        answer = await system.get("/chat/x", number=1, headers=PROMPT)
        assert answer.status == 200 and answer.content.count(b"data:") == 5
        assert (await system.get("/book/x", number=2)).status == 200
        assert (await system.get("/read/x", number=3, key=b"old")).status == 401
        assert (await system.get("/nowhere/", number=4)).status == 404
        await system.wait_until(lambda: reported(system, 3), "reported")
        assert {headers["x-fence-token"] for headers, _ in system.duties.usage} == {"1"}
        assert any(order["service"] == "s" for _, order in system.duties.orders)
        records = [line for line in system.log_entries("request") if line["request"] == "r1"]
        assert records[0]["result"] == 1000 and records[0]["sends"][-1][0] == "s1"
        assert "k1" not in system.log.read_text()


async def served(system):
    return (await system.get("/read/x")).content == b"acme"


async def reported(system, count):
    total = sum(body["counts"].get("acme", 0) for _, body in system.duties.usage)
    windows = [body["window"] for _, body in system.duties.usage]
    assert len(set(windows)) == len(windows)
    return total >= count


async def test_new_configuration_and_leaving_endpoint_are_heard_of_in_time(tmp_path):
    async with running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        async with scripted_endpoint(answer_with_customer) as other:
            system.list_endpoint("t2", "t", other)
            system.list_endpoint("t1", "t", system.plain, state="draining")
            routes = [*ROUTES, {**ROUTES[0], "name": "new", "prefix": "/new/"}]
            tenants = [{"name": "acme", "api_keys": ["k2"]}]
            system.store.faults.drop_history = True
            system.store.put(
                "op", "config", DOCUMENT | {"version": 9, "routes": routes, "tenants": tenants}
            )
            await anyio.sleep(1.9)
            before = len(system.plain.received)
            assert (await system.get("/new/x", number=7, key=b"k2")).status == 200
            assert (await system.get("/read/x", number=8)).status == 401
            assert len(system.plain.received) == before


async def test_store_that_is_down_stops_no_request(tmp_path):
    async with running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        system.store.faults.status = 503
        await anyio.sleep(1.5)
        assert (await system.get("/book/x", number=5)).status == 200
        assert await system.ready()
        system.store.faults.status = None
        await system.wait_until(lambda: regained(system), "regained")
        assert system.log_entries("store-lost")


async def regained(system):
    return bool(system.log_entries("store-regained"))


async def test_sighup_reads_the_settings_again(tmp_path):
    async with running_system(tmp_path) as system:
        system.process.send_signal(signal.SIGHUP)
        await system.wait_until(lambda: reloaded(system), "reloaded")
        assert await system.ready()


@pytest.mark.parametrize("delay", [0.15, 0.3, 0.5, 0.8])
async def test_sighup_during_the_start_does_not_end_the_process(tmp_path, delay):
    async with running_system(tmp_path) as system:
        system.process.kill()
        await system.process.wait()
        await system.spawn()
        await anyio.sleep(delay)
        system.process.send_signal(signal.SIGHUP)
        await system.wait_until(lambda: system.ready(), "ready")
        assert system.process.returncode is None


async def test_settings_that_change_while_the_host_starts_are_read(tmp_path, monkeypatch):
    monkeypatch.setattr(node, "SETTINGS_CHECK_INTERVAL_SECONDS", 0.01)
    path, reloads = tmp_path / "settings.conf", []
    path.write_text("".join(f"{key}={value}\n" for key, value in SETTINGS.items()))
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    built_node = node.Node(load_platform_settings(str(path)))
    monkeypatch.setattr(built_node, "reload", reloads.append)
    with anyio.move_on_after(0.1):
        await node._follow_settings(built_node, path.stat().st_mtime_ns - 1)
    assert reloads == ["file has changed"]


# Guards against a share that is changed in the file and not followed until a restart.
async def test_hedging_follows_the_settings(tmp_path, monkeypatch):
    path = tmp_path / "settings.conf"
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    monkeypatch.delenv(HEDGING_VARIABLE, raising=False)

    def write(share):
        values = SETTINGS | {"hedging.max_share": share}
        path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))

    write("0.05")
    built_node = node.Node(load_platform_settings(str(path)))
    assert built_node.context.hedging.max_share == 0.05
    write("2")
    built_node.reload("test")
    assert built_node.context.hedging.max_share == 0.05
    write("0")
    built_node.reload("test")
    assert built_node.context.hedging is None


async def reloaded(system):
    return bool(system.log_entries("reload"))


async def test_stop_turns_not_ready_at_once_and_finishes_what_runs(tmp_path):
    async with running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        system.process.send_signal(signal.SIGTERM)
        await anyio.sleep(0.1)
        assert not await system.ready()
        answer = await system.get("/book/slow", number=6)
        assert answer.status == 200 and (b"connection", b"close") in answer.headers
        with anyio.fail_after(8):
            assert await system.process.wait() == 0
        assert system.log_entries("stop")


async def test_request_that_comes_late_in_a_stop_is_refused_or_finished_but_never_cut(tmp_path):
    async with running_system(tmp_path) as system:
        routes = [*ROUTES, {**ROUTES[1], "name": "long", "prefix": "/long/", "timeout_ms": 8000}]
        system.store.put("op", "config", DOCUMENT | {"version": 9, "routes": routes})
        await system.wait_until(lambda: has_status(system, "/long/x", 200), "configured")
        system.process.send_signal(signal.SIGTERM)
        async with anyio.create_task_group() as group:
            await anyio.sleep(2.5)
            group.start_soon(is_answered, system, "/long/long")
            await anyio.sleep(1.7)
            received = len(system.plain.received)
            late = await system.get("/long/long", number=7)
            assert late.status == 503 and (b"samphire-run", b"not-run") in late.headers
            assert len(system.plain.received) == received
            assert (await system.get("/book/slow", number=8)).status == 200
        with anyio.fail_after(4):
            assert await system.process.wait() == 0


@pytest.mark.parametrize(("stop_timeout", "open_for"), [(8.0, 2.9), (4.0, 0.9), (2.0, -1.1)])
def test_requests_taken_in_a_stop_have_time_to_finish(stop_timeout, open_for):
    schedule = node.stop_schedule(stop_timeout, now=100.0)
    assert schedule.open_until == pytest.approx(100.0 + open_for)
    assert schedule.finish_by == pytest.approx(100.0 + stop_timeout - 0.6)


async def test_request_that_outlasts_the_stop_is_answered_well_before_the_kill(tmp_path):
    async with running_system(tmp_path) as system:
        routes = [*ROUTES, {**ROUTES[1], "name": "long", "prefix": "/long/", "timeout_ms": 9000}]
        system.store.put("op", "config", DOCUMENT | {"version": 9, "routes": routes})
        await system.wait_until(lambda: has_status(system, "/long/x", 200), "configured")
        began = boot_seconds()
        answered = []

        async def ask():
            answer = await system.get("/long/longest")
            answered.append((answer.status, boot_seconds() - began))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.1)
            began = boot_seconds()
            system.process.send_signal(signal.SIGTERM)
            with anyio.fail_after(8):
                assert await system.process.wait() == 0
        ((status, seconds),) = answered
        assert status == 502 and 7.0 < seconds < 7.65


async def test_second_stop_signal_cuts_no_running_request(tmp_path):
    async with running_system(tmp_path) as system:
        await system.wait_until(lambda: served(system), "served")
        async with anyio.create_task_group() as group:
            group.start_soon(is_answered, system, "/book/slower")
            await anyio.sleep(0.1)
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
                system.process.send_signal(number)
                await anyio.sleep(0.02)
        with anyio.fail_after(8):
            assert await system.process.wait() == 0


async def is_answered(system, path):
    assert await has_status(system, path, 200)


async def has_status(system, path, status):
    return (await system.get(path)).status == status


async def started(system):
    return bool(system.log_entries("start"))


async def test_without_a_configuration_the_node_is_not_ready_and_says_not_run(tmp_path):
    async with AsyncExitStack() as stack:
        store, duties = await stack.enter_async_context(platform_standin())
        plain = await stack.enter_async_context(scripted_endpoint(answer_with_customer))
        system = System(tmp_path, store, duties, plain, plain)
        system.write_settings()
        await system.spawn()
        try:
            await system.wait_until(lambda: started(system), "started")
            assert not await system.ready()
            answer = await system.get("/read/x")
            assert answer.status == 503
            assert (b"samphire-run", b"not-run") in answer.headers
        finally:
            system.process.kill()
            await system.process.wait()


async def test_ready_host_takes_connections(monkeypatch, tmp_path):
    """The readiness listener opens only after clients can connect."""
    path, opened = tmp_path / "settings.conf", []
    path.write_text("".join(f"{key}={value}\n" for key, value in SETTINGS.items()))
    settings = load_platform_settings(str(path))

    @asynccontextmanager
    async def recorded(app, address, **options):
        opened.append(address)
        yield

    monkeypatch.setattr(node, "serving", recorded)
    async with AsyncExitStack() as stack:
        await node._listen(stack, node.Node(settings))
    assert opened.index(settings.client_listen_address) < opened.index(
        settings.readiness_listen_address
    )


class TestUsage:
    def test_holder_counts_what_it_has_not_saved_itself(self, tmp_path):
        path = tmp_path / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in SETTINGS.items()))
        built_node = node.Node(load_platform_settings(str(path)))
        built_node.usage.record("acme")
        (local,) = built_node._usage_by_process(built_node.usage.window_now).values()
        assert local.counts == {"acme": 1}

    async def test_run_that_begins_after_the_hand_over_is_counted_without_its_hub(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr(node, "BALANCER_GRACE_SECONDS", 0.0)
        path = tmp_path / "settings.conf"
        async with platform_standin() as (store, _):
            fields = {**SETTINGS, "platform.address": store.address, "bounds.grace_s": "2"}
            path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
            built_node = node.Node(load_platform_settings(str(path)))
            monkeypatch.setattr(built_node.exchange, "usage_to_store", lambda: None)
            built_node.ingress.open_requests = 1
            async with anyio.create_task_group() as group:
                group.start_soon(node._drain, built_node)
                await anyio.sleep(1.2)
                built_node.usage.record("acme")
                built_node.ingress.open_requests = 0
            await built_node.store.aclose()
            rows = store.product_rows().values()
        assert [row["counts"] for row in rows if row["counts"]] == [{"acme": 1}]


class TestEntries:
    def node_with_one_endpoint(self, tmp_path):
        path = tmp_path / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in SETTINGS.items()))
        built_node = node.Node(load_platform_settings(str(path)))
        self.entry = {**ENTRY, "service": "t", "stage": None}
        self.apply_row(built_node, "e1", 1, json.dumps(self.entry).encode())
        return built_node

    def apply_row(self, built_node, key, version, content):
        position = StoreVersion(0, version)
        rows = Rows([RowChange(key, position, content)], position)
        built_node.endpoints.replica.apply_changes(rows, now=0.0)

    def candidates(self, built_node):
        return built_node.context.fleet.candidates("t", now=0.0)

    def test_entry_that_cannot_be_read_names_no_endpoint_to_use(self, tmp_path):
        built_node = self.node_with_one_endpoint(tmp_path)
        assert self.candidates(built_node)
        self.apply_row(built_node, "e1", 2, b"{")
        assert not self.candidates(built_node)
        self.apply_row(built_node, "e1", 3, json.dumps(self.entry).encode())
        assert self.candidates(built_node)

    def test_entry_of_another_key_that_cannot_be_read_changes_nothing(self, tmp_path):
        built_node = self.node_with_one_endpoint(tmp_path)
        self.apply_row(built_node, "e2", 2, b"{")
        assert self.candidates(built_node)


class TestCheck:
    def check(self, monkeypatch, capsys, path):
        monkeypatch.setenv(PATH_VARIABLE, str(path))
        with pytest.raises(SystemExit) as ended:
            node.run(check=True)
        return ended.value.code, capsys.readouterr()

    def test_sound_file_is_ok(self, monkeypatch, capsys, tmp_path):
        path = tmp_path / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in SETTINGS.items()))
        status, printed = self.check(monkeypatch, capsys, path)
        assert status == 0 and printed.out == f"{path}: ok\n"

    def test_each_problem_has_a_line(self, monkeypatch, capsys, tmp_path):
        fields = {**SETTINGS, "bounds.lease_ms": "soon", "platform.address": "nowhere"}
        path = tmp_path / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        status, printed = self.check(monkeypatch, capsys, path)
        lines = printed.err.splitlines()
        assert status == SETTINGS_INVALID.exit_status and len(lines) == 2
        assert "platform.address" in lines[0] and "bounds.lease_ms" in lines[1]


async def test_hang_up_before_the_interpreter_runs_does_not_end_the_process(tmp_path):
    environment = {**os.environ, PATH_VARIABLE: str(tmp_path / "missing.conf")}
    command = [sys.executable, "-m", "samphirehall.programs.start_node"]
    process = await anyio.open_process(command, cwd=ROOT, env=environment)
    await anyio.sleep(0.005)
    process.send_signal(signal.SIGHUP)
    assert await process.wait() == SETTINGS_INVALID.exit_status
