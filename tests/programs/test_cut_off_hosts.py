"""Hosts that lose their paths to all endpoints, while everything else reaches them."""

import contextlib
import contextvars
import logging

import anyio
import httpcore
import pytest

from samphirehall.gateway import connections
from samphirehall.platform.settings import parse_settings
from samphirehall.programs import node
from tests.gateway.helpers import response_bytes, scripted_endpoint
from tests.gateway.test_generation import generate
from tests.platform.standin import platform_standin
from tests.platform.test_decoding import SETTINGS
from tests.programs.test_node import DOCUMENT, PROMPT
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

STABLE_SECONDS = 3.0  # after which a host has to serve again
RUNNING_HOST = contextvars.ContextVar("running_host", default="")


class Cuts:
    """Cuts between hosts and endpoints: new connections hang or are refused.

    Where they hang, connections that are open hang as well; else they live on.
    """

    def __init__(self):
        self.hosts, self.refuses = set(), False
        self.endpoints = set()

    def applies(self, address):
        return RUNNING_HOST.get() in self.hosts and address in self.endpoints


@pytest.fixture
def cuts(monkeypatch):
    cuts = Cuts()
    connect = connections.EndpointConnections._connect
    next_response = connections._Connection.next_response

    async def connect_unless_cut(self, timeout):
        if not cuts.applies((self._host, self._port)):
            return await connect(self, timeout)
        if cuts.refuses:
            raise httpcore.ConnectError("refused")
        await anyio.sleep(timeout)
        raise httpcore.ConnectTimeout("no answer")

    async def next_response_unless_cut(self, matches):
        peer = self._stream._socket.getpeername()
        if cuts.applies(peer) and not cuts.refuses:
            await anyio.sleep_forever()
        return await next_response(self, matches)

    monkeypatch.setattr(connections.EndpointConnections, "_connect", connect_unless_cut)
    monkeypatch.setattr(connections._Connection, "next_response", next_response_unless_cut)
    monkeypatch.setattr(node, "wait_for_stop", anyio.sleep_forever)
    return cuts


class Host:
    """A host in this process, with an IP address of its own on loopback."""

    def __init__(self, name, zone, number, ports, system):
        ip = f"127.0.0.{number}"
        self.name = name
        self.clients = f"{ip}:{ports[0]}"
        fields = {
            **SETTINGS,
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen.front": self.clients,
            "listen.ready": f"{ip}:{ports[1]}",
            "port_range": f"{ports[2]},{ports[3]}",
            "platform.address": system.store.address,
            "cloud.address": system.duties.address,
        }
        text = "\n".join(f"{key}={value}" for key, value in fields.items())
        self._settings = parse_settings(text, file="test")
        self.scope = anyio.CancelScope()

    async def run(self):
        RUNNING_HOST.set(self.name)
        with self.scope:
            await node.serve(self._settings, 0)

    async def send(self, path, request_id, *, method="GET", headers=(), body=None):
        sent = [
            (b"Host", b"h.example"),
            (b"X-Request-Id", request_id.encode()),
            (b"X-Key", b"k1"),
            (b"X-Deadline-Ms", b"1500"),
            *headers,
        ]
        url = f"http://{self.clients}{path}"
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(method, url, headers=sent, content=body)

    async def serves(self, path="/read/x", headers=()):
        try:
            return (await self.send(path, "probe", headers=headers)).status == 200
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return False


class System:
    """Hosts, the platform's interfaces, and one endpoint of each service."""

    def __init__(self, store, duties, plain, engine):
        self.store, self.duties, self.plain, self.engine = store, duties, plain, engine
        self.hosts = []

    def runs(self, request_id):
        received = [*self.plain.received, *self.engine.received]
        return sum(request["x-request-id"] == request_id for request in received)


async def answer_slowly(received, writer):
    if received[":target"].endswith("/long"):
        await anyio.sleep(5.0)
    writer.write(response_bytes(received, received["x-tenant"].encode()))


@contextlib.asynccontextmanager
async def running_system(cuts, zones):
    async with contextlib.AsyncExitStack() as stack:
        store, duties = await stack.enter_async_context(platform_standin())
        plain = await stack.enter_async_context(scripted_endpoint(answer_slowly))
        engine = await stack.enter_async_context(scripted_endpoint(generate))
        system = System(store, duties, plain, engine)
        store.put("op", "config", DOCUMENT)
        for name, service, endpoint in (("t1", "t", plain), ("s1", "s", engine)):
            entry = {"service": service, "address": endpoint.address, "zone": "a", "slots": 6}
            entry |= {"state": "ready", "born": 1}
            store.put("servers", name, entry | ({"stage": "decode"} if service == "s" else {}))
            ip, _, port = endpoint.address.rpartition(":")
            cuts.endpoints.add((ip, int(port)))
        ports = [free_address().rpartition(":")[2] for _ in range(4)]
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        for number, zone in enumerate(zones, 1):
            system.hosts.append(Host(f"{zone}-{number}", zone, number, ports, system))
            group.start_soon(system.hosts[-1].run)
        for host in system.hosts:
            await until(host.serves, 8.0)
            await until(lambda host=host: host.serves("/chat/x", PROMPT), 8.0)
        yield system


async def until(condition, seconds):
    with anyio.fail_after(seconds):
        while not await condition():
            await anyio.sleep(0.05)


async def until_true(condition, seconds):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.02)


async def cut_off(cuts, host, *, refuses):
    """Cut a host off while callers send it requests, until it has to serve again."""
    cuts.refuses = refuses
    cuts.hosts.add(host.name)
    with anyio.move_on_after(STABLE_SECONDS):
        while True:
            await host.serves()
            await anyio.sleep(0.1)


class TestHostsWithoutPaths:
    @pytest.mark.parametrize("refuses", [True, False])
    async def test_host_that_loses_all_endpoints_serves_through_another_host(self, cuts, refuses):
        async with running_system(cuts, "ab") as system:
            host = system.hosts[0]
            await cut_off(cuts, host, refuses=refuses)
            for number in range(5):
                book = await host.send(
                    "/book/x", f"book-{number}", method="POST", body=b"b" * 100_000
                )
                chat = await host.send("/chat/x", f"chat-{number}", headers=PROMPT)
                assert (book.status, book.content) == (200, b"acme")
                assert chat.status == 200 and chat.content.count(b"data:") == 5
                assert system.runs(f"book-{number}") == system.runs(f"chat-{number}") == 1
            assert len(system.plain.received[-1][":body"]) == 100_000

    async def test_requests_are_passed_on_while_the_store_is_away(self, cuts):
        async with running_system(cuts, "aa") as system:
            system.store.faults.status = 503
            await cut_off(cuts, system.hosts[0], refuses=True)
            assert await system.hosts[0].serves("/chat/x", PROMPT)

    async def test_client_that_leaves_ends_the_run_of_its_passed_request(self, cuts):
        async with running_system(cuts, "ab") as system:
            host = system.hosts[0]
            await cut_off(cuts, host, refuses=True)
            aborted = system.plain.aborted_requests
            with anyio.move_on_after(0.5):
                await host.send("/read/long", "left")
            await until_true(lambda: system.runs("left") == 1, 0.5)
            await until_true(lambda: system.plain.aborted_requests == aborted + 1, 0.5)

    async def test_request_is_refused_at_once_while_all_hosts_have_lost_their_paths(self, cuts):
        async with running_system(cuts, "aab") as system:
            for host in system.hosts[1:]:
                cuts.hosts.add(host.name)
            await cut_off(cuts, system.hosts[0], refuses=True)
            for host in system.hosts:
                with anyio.move_on_after(0.6):
                    while (await host.send("/read/x", "probe")).status != 503:
                        await anyio.sleep(0.05)
            for host in system.hosts:
                with anyio.fail_after(0.3):
                    answer = await host.send("/book/x", "refused", method="POST")
                assert answer.status == 503 and b"not-run" in dict(answer.headers).values()
            assert system.runs("refused") == 0

    async def test_host_uses_its_own_paths_again_when_they_are_back(self, cuts, caplog):
        caplog.set_level(logging.INFO)
        async with running_system(cuts, "ab") as system:
            host = system.hosts[0]
            await cut_off(cuts, host, refuses=True)
            assert await host.serves("/chat/x", PROMPT)
            cuts.hosts.clear()
            await anyio.sleep(1.0)
            caplog.clear()
            assert await host.serves("/chat/x", PROMPT)
            requests = [record for record in caplog.records if record.message == "request"]
            assert len(requests) == 1 and requests[0].sends[0][0] == "s1"
