"""An entry's context and application in this process, with scripted endpoints."""

import contextlib
import random
from collections.abc import AsyncIterator

import anyio
import msgspec
from prometheus_client import CollectorRegistry

from samphirehall.admission.controller import AdmissionController, AdmissionRules
from samphirehall.configuration.documents import CustomerPart, RoutePart
from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.identifiers import key_digest
from samphirehall.core.types import EndpointInfo, EndpointProtocol
from samphirehall.endpoints.pools import EndpointPools
from samphirehall.forwarding.app import EntryApp
from samphirehall.forwarding.claims import ClaimStore
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.metrics import EntryMetrics
from samphirehall.forwarding.quarantine import Quarantine
from samphirehall.forwarding.retry_budget import RetryBudget
from samphirehall.node.state import NodeState
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.setup import routing_policy
from samphirehall.settings import EntrySettings
from samphirehall.settings.tables import EntryTable, HostTable, PlatformTable, RoutingTable
from samphirehall.usage.meter import UsageMeter
from tests.support.endpoint import ScriptedEndpoint
from tests.support.table import FaultyTable

KEY = "sk-samphire-test"
TIMEOUTS = {"answer_head_seconds": 0.3, "first_event_seconds": 0.3, "stall_seconds": 0.3}


def entry_context(
    endpoints: list[ScriptedEndpoint], *, protocol=EndpointProtocol.ENGINE, table=None
) -> EntryContext:
    """Return the context of an entry that knows these endpoints, one customer and two routes."""
    state = NodeState("host-a/entry", "zone-1", 1)
    routes = {
        "routes/answer": RoutePart("model", "answer", deadline_seconds=5.0),
        "routes/stock": RoutePart("service", "answer"),
        "routes/bookings": RoutePart("service", "answer", idempotent=False, deadline_seconds=2.0),
        "customers/coop": CustomerPart(key_digests=[key_digest(KEY)]),
    }
    state.put_in_force(Configuration(1, routes))
    state.replace_endpoints(
        EndpointInfo(f"endpoint-{number}", item.address, "zone-1", protocol, models=("answer",))
        for number, item in enumerate(endpoints)
    )
    entry = EntryTable("127.0.0.1:1", "127.0.0.1:2", **TIMEOUTS)
    settings = EntrySettings(
        HostTable("host-a", "zone-1"),
        PlatformTable("127.0.0.1:3"),
        entry,
        RoutingTable("least-in-flight"),
    )
    fleet = Fleet(state)
    return EntryContext(
        settings=settings,
        state=state,
        pools=EndpointPools(stall_timeout=1.0),
        fleet=fleet,
        routing_policy=routing_policy(settings.routing, fleet),
        admission=AdmissionController(
            AdmissionRules(),
            concurrency_limit=fleet.concurrency_limit,
            host_count=fleet.host_count,
            now=boot_seconds(),
        ),
        claims=ClaimStore(table or FaultyTable(), random_source=random.Random(0)),
        metrics=EntryMetrics(CollectorRegistry()),
        meter=UsageMeter(),
        random_source=random.Random(0),
        retry_budget=RetryBudget(now=boot_seconds()),
        quarantine=Quarantine(state.fact_store),
    )


@contextlib.asynccontextmanager
async def running_app(context: EntryContext) -> AsyncIterator[EntryApp]:
    """Run the background tasks of an entry and yield its application."""
    async with anyio.create_task_group() as group:
        group.start_soon(context.stalls.run)
        group.start_soon(context.claims.run)
        yield EntryApp(context)
        group.cancel_scope.cancel()
    await context.pools.aclose()


class Reply:
    """Holds the response of the application to one request."""

    def __init__(self, messages):
        self.status = messages[0]["status"]
        self.headers = dict(messages[0]["headers"])
        self.body = b"".join(message.get("body", b"") for message in messages[1:])

    @property
    def result(self) -> int:
        return int(self.headers[b"samphire-result"])

    @property
    def run(self) -> str:
        return self.headers[b"samphire-run"].decode()


async def ask(
    app: EntryApp, path: str, body=b"", *, headers=(), key=KEY, method="POST", send=None, state=None
) -> Reply:
    """Send one request to the application and return its response, None if it sent none."""
    messages = []
    sent = False

    async def receive():
        nonlocal sent
        if sent:
            await anyio.sleep_forever()
        sent = True
        return {"type": "http.request", "body": body, "more_body": False}

    async def collect(message):
        messages.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {key}".encode()), *headers],
        **(state or {}),
    }
    await app(scope, receive, send or collect)
    return Reply(messages) if messages else None


async def complete(
    app: EntryApp,
    prompt="hello",
    *,
    system=(),
    stream=True,
    tokens=4,
    headers=(),
    send=None,
    state=None,
) -> Reply:
    """Request a chat completion, after messages of the system, and return the response."""
    messages = [{"role": "system", "content": content} for content in system]
    messages.append({"role": "user", "content": prompt})
    body = {"model": "answer", "messages": messages, "stream": stream, "max_tokens": tokens}
    content = msgspec.json.encode(body)
    return await ask(app, "/v1/chat/completions", content, headers=headers, send=send, state=state)
