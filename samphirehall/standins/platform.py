"""Stand-in of the platform: table, objects, hosts, endpoints, orders and usage in memory."""

import dataclasses
import logging
import random
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from samphirehall.backing.client import ERA_HEADER, EndpointOrder, OrderAnswer, UsageReport
from samphirehall.backing.table import ABSENT, NO_ERA, Check, Row, TransactionResult, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointInfo, EndpointProtocol, EndpointState, HostInfo
from samphirehall.standins.answers import json_response
from samphirehall.standins.journal import Journal
from samphirehall.standins.order_body import body_timeout_response, read_order_body

ENDPOINT_START_SECONDS = 1.0
STATUS_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class PlatformFaults:
    """Holds the fault switches of the platform; probabilities from 0 to 1, times in seconds.

    `outage` refuses every call, `delay` delays each, `lose_answer` replaces the
    response to a write that took effect by a 503, `hide_cheap` makes the cheap kind
    unavailable.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answer: float = 0.0
    hide_cheap: bool = False


@dataclass(slots=True)
class Topology:
    """Holds the hosts and endpoints that the platform lists."""

    hosts: list[HostInfo] = field(default_factory=list)
    endpoints: list[EndpointInfo] = field(default_factory=list)


@dataclass(slots=True)
class _Transaction:
    checks: list[Check]
    writes: list[Write]


@dataclass(slots=True)
class _Keys:
    keys: list[str]


@dataclass(slots=True)
class _Scan:
    prefix: str
    limit: int = 1000


@dataclass(slots=True)
class EndpointChange:
    """Change of an endpoint's entry, requested by a test or demonstration.

    `software_version` is left as it is if None.
    """

    endpoint_id: str
    state: EndpointState
    leaving_in: float | None = None
    software_version: str | None = None


@dataclass(slots=True)
class TableCopy:
    """Copy of the rows of a `MemoryTable`, and the last version of each key."""

    rows: dict[str, Row] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)


class MemoryTable:
    """Holds the platform's transactional table in memory."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._versions: dict[str, int] = {}
        self.era = NO_ERA
        self.reads = 0
        self.transactions = 0

    def copy(self) -> TableCopy:
        """Return a copy of all rows."""
        return TableCopy(dict(self._rows), dict(self._versions))

    def restore(self, copy: TableCopy) -> None:
        """Come back from a copy; versions written since are given out again."""
        self._rows, self._versions = dict(copy.rows), dict(copy.versions)
        self.era += 1

    def transact(self, checks: list[Check], writes: list[Write]) -> TransactionResult:
        """Apply all writes, or none if a checked version differs."""
        self.transactions += 1
        conflicts = tuple(
            self._rows.get(check.key, Row(check.key, ABSENT, None))
            for check in checks
            if self._version(check.key) != check.version
        )
        if conflicts:
            return TransactionResult(False, conflicts)
        return TransactionResult(True, (), {write.key: self._write(write) for write in writes})

    def read(self, keys: list[str]) -> list[Row]:
        """Return the rows that exist among `keys`."""
        self.reads += 1
        return [self._rows[key] for key in keys if key in self._rows]

    def scan(self, prefix: str, limit: int) -> list[Row]:
        """Return rows whose key starts with `prefix`, ordered by key."""
        self.reads += 1
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys[:limit]]

    def _version(self, key: str) -> int:
        return self._rows[key].version if key in self._rows else ABSENT

    def _write(self, write: Write) -> int:
        version = self._versions.get(write.key, ABSENT) + 1
        self._versions[write.key] = version
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, version, write.value)
        return version


class _EraMiddleware:
    """Adds the era of the table to each answer."""

    def __init__(self, app: ASGIApp, table: MemoryTable) -> None:
        self._app = app
        self._table = table

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_era(message: Message) -> None:
            if message["type"] == "http.response.start":
                era = (ERA_HEADER, str(self._table.era).encode())
                message["headers"] = [*message.get("headers", ()), era]
            await send(message)

        await self._app(scope, receive, send_with_era)


class PlatformStandin:
    """Serves the platform's interface from memory.

    Parameters
    ----------
    topology : Topology
        Initial hosts and endpoints.
    seed : int
        Seed of the random faults.
    journal : Journal, optional
        Journal that keeps writes across restarts, as the real platform does.
    """

    def __init__(
        self, topology: Topology, *, seed: int = 0, journal: Journal | None = None
    ) -> None:
        self.table = MemoryTable()
        self.faults = PlatformFaults()
        self.usage: dict[tuple[int, str], UsageReport] = {}
        self.usage_conflicts: list[UsageReport] = []
        self.orders: dict[str, EndpointOrder] = {}
        self._copy = TableCopy()
        self._objects: dict[str, bytes] = {}
        self._hosts = {host.host_id: host for host in topology.hosts}
        self._endpoints = {item.endpoint_id: item for item in topology.endpoints}
        self._starting: dict[str, float] = {}
        self._leaves_at: dict[str, float] = {}
        self._fencing = 0
        self._random = random.Random(seed)
        self._journal = journal or Journal(None)
        for kind, value in self._journal.replay():
            self._restore(kind, value)

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/table/transact", self._transact, methods=["POST"]),
            Route("/table/read", self._read, methods=["POST"]),
            Route("/table/scan", self._scan, methods=["POST"]),
            Route("/objects/{digest}", self._put_object, methods=["PUT"]),
            Route("/objects/{digest}", self._get_object, methods=["GET"]),
            Route("/hosts", self._list_hosts, methods=["GET"]),
            Route("/endpoints", self._list_endpoints, methods=["GET"]),
            Route("/endpoint-orders", self._order, methods=["POST"]),
            Route("/usage-reports", self._report, methods=["POST"]),
            Route("/admin/faults", self._set_faults, methods=["PUT"]),
            Route("/admin/copies", self._save_copy, methods=["POST"]),
            Route("/admin/restorations", self._restore_copy, methods=["POST"]),
            Route("/admin/hosts", self._set_hosts, methods=["PUT"]),
            Route("/admin/endpoints", self._change_endpoint, methods=["POST"]),
            Route("/admin/usage", self._list_usage, methods=["GET"]),
            Route("/admin/counts", self._counts, methods=["GET"]),
        ]
        return Starlette(routes=routes, middleware=[Middleware(_EraMiddleware, table=self.table)])

    async def _transact(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=_Transaction)
        if refused := await self._apply_faults():
            return refused
        result = self.table.transact(body.checks, body.writes)
        if result.committed:
            self._journal.append("rows", body.writes)
        if self._random.random() < self.faults.lose_answer:
            return Response(status_code=STATUS_UNAVAILABLE)
        return json_response(result)

    async def _read(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=_Keys)
        return await self._apply_faults() or json_response(self.table.read(body.keys))

    async def _scan(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=_Scan)
        return await self._apply_faults() or json_response(self.table.scan(body.prefix, body.limit))

    async def _put_object(self, request: Request) -> Response:
        content = await request.body()
        if refused := await self._apply_faults():
            return refused
        digest = request.path_params["digest"]
        if digest not in self._objects:
            self._journal.append("object", (digest, content))
        self._objects[digest] = content
        return json_response(True)

    async def _get_object(self, request: Request) -> Response:
        if refused := await self._apply_faults():
            return refused
        content = self._objects.get(request.path_params["digest"])
        return Response(status_code=404) if content is None else Response(content)

    async def _list_hosts(self, request: Request) -> Response:
        return await self._apply_faults() or json_response(list(self._hosts.values()))

    async def _list_endpoints(self, request: Request) -> Response:
        return await self._apply_faults() or json_response(self._current_endpoints(boot_seconds()))

    async def _order(self, request: Request) -> Response:
        body = await read_order_body(request)
        if body is None:
            return body_timeout_response()
        order = msgspec.json.decode(body, type=EndpointOrder)
        if refused := await self._apply_faults():
            return refused
        if order.fencing < self._fencing:
            return json_response(
                OrderAnswer(False, f"fencing number {order.fencing} < {self._fencing}")
            )
        self._fencing = order.fencing
        if order.order_id not in self.orders:
            self.orders[order.order_id] = order
            self._journal.append("order", order)
            self._apply_order(order, boot_seconds())
        return json_response(OrderAnswer(True))

    async def _report(self, request: Request) -> Response:
        body = await read_order_body(request)
        if body is None:
            return body_timeout_response()
        report = msgspec.json.decode(body, type=UsageReport)
        if refused := await self._apply_faults():
            return refused
        key = (report.window, report.customer)
        if key not in self.usage:
            self._journal.append("usage", report)
        first_report = self.usage.setdefault(key, report)
        if first_report.figures != report.figures:
            self.usage_conflicts.append(report)
            return json_response(OrderAnswer(False, "the window was reported with other figures"))
        if self._random.random() < self.faults.lose_answer:
            return Response(status_code=STATUS_UNAVAILABLE)
        return json_response(OrderAnswer(True))

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=PlatformFaults)
        _log.info("platform-faults", extra={"faults": msgspec.to_builtins(self.faults)})
        return json_response(self.faults)

    async def _save_copy(self, request: Request) -> Response:
        self._copy = self.table.copy()
        return json_response(True)

    async def _restore_copy(self, request: Request) -> Response:
        """Lose all rows written since the last copy, as after a drill of the platform."""
        self.table.restore(self._copy)
        self._journal.append("restoration", self._copy)
        _log.info("table-restored", extra={"era": self.table.era, "rows": len(self._copy.rows)})
        return json_response({"era": self.table.era})

    async def _set_hosts(self, request: Request) -> Response:
        hosts = msgspec.json.decode(await request.body(), type=list[HostInfo])
        self._hosts = {host.host_id: host for host in hosts}
        return json_response(True)

    async def _change_endpoint(self, request: Request) -> Response:
        change = msgspec.json.decode(await request.body(), type=EndpointChange)
        endpoint = self._endpoints[change.endpoint_id]
        if change.leaving_in is not None:
            self._leaves_at[change.endpoint_id] = boot_seconds() + change.leaving_in
        if change.software_version is not None:
            endpoint = dataclasses.replace(endpoint, software_version=change.software_version)
        self._endpoints[change.endpoint_id] = _with_state(endpoint, change.state)
        return json_response(True)

    async def _list_usage(self, request: Request) -> Response:
        return json_response(
            {"reports": list(self.usage.values()), "conflicts": self.usage_conflicts}
        )

    async def _counts(self, request: Request) -> Response:
        return json_response({"reads": self.table.reads, "transactions": self.table.transactions})

    def _restore(self, kind: str, value: Any) -> None:
        match kind:
            case "rows":
                self.table.transact([], msgspec.convert(value, list[Write]))
            case "restoration":
                self.table.restore(msgspec.convert(value, TableCopy))
            case "object":
                self._objects[value[0]] = value[1]
            case "order":
                order = msgspec.convert(value, EndpointOrder)
                self.orders[order.order_id] = order
                self._fencing = max(self._fencing, order.fencing)
            case "usage":
                report = msgspec.convert(value, UsageReport)
                self.usage[report.window, report.customer] = report

    async def _apply_faults(self) -> Response | None:
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        return Response(status_code=STATUS_UNAVAILABLE) if self.faults.outage else None

    def _current_endpoints(self, now: float) -> list[EndpointInfo]:
        for name, ready_at in list(self._starting.items()):
            if now >= ready_at:
                del self._starting[name]
                self._endpoints[name] = _with_state(self._endpoints[name], EndpointState.READY)
        listed = []
        for name, endpoint in self._endpoints.items():
            leaves_at = self._leaves_at.get(name)
            if endpoint.state is EndpointState.LEAVING and leaves_at is not None:
                endpoint = _with_state(endpoint, EndpointState.LEAVING, leaving_in=leaves_at - now)
            if endpoint.state not in (EndpointState.OFF, EndpointState.GONE):
                listed.append(endpoint)
        return listed

    def _apply_order(self, order: EndpointOrder, now: float) -> None:
        engines = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.zone == order.zone
            and endpoint.kind == order.kind
            and endpoint.protocol is EndpointProtocol.ENGINE
        ]
        running = [
            item for item in engines if item.state in (EndpointState.READY, EndpointState.STARTING)
        ]
        spare = [item for item in engines if item.state in (EndpointState.OFF, EndpointState.GONE)]
        hidden = self.faults.hide_cheap and order.kind == "cheap"
        for endpoint in [] if hidden else spare[: max(0, order.count - len(running))]:
            self._endpoints[endpoint.endpoint_id] = _with_state(endpoint, EndpointState.STARTING)
            self._starting[endpoint.endpoint_id] = now + ENDPOINT_START_SECONDS
        for endpoint in running[order.count :]:
            self._endpoints[endpoint.endpoint_id] = _with_state(endpoint, EndpointState.LEAVING)


def _with_state(
    endpoint: EndpointInfo, state: EndpointState, *, leaving_in: float | None = None
) -> EndpointInfo:
    return dataclasses.replace(endpoint, state=state, leaving_in=leaving_in)
