"""Stand-ins of the users' store and duties interface, with faults that tests switch on."""

import asyncio
import base64
import json
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from samphirehall.core.serving import serving
from tests.support.ports import free_address

UNANSWERED_SECONDS = 30.0


@dataclass(slots=True)
class Faults:
    """Faults of the store.

    `silent` leaves calls unanswered, `status` answers each call with that status, `slow`
    delays each answer by that many seconds. `lose_answers` applies writes and leaves them
    unanswered; `drop_history` drops the change history once. `away` refuses all calls until
    the store is restored, whatever other faults begin or end.
    """

    silent: bool = False
    status: int | None = None
    slow: float = 0.0
    lose_answers: bool = False
    drop_history: bool = False
    away: bool = False


@dataclass(slots=True)
class StoreStandin:
    """Store with rows by table, part and key, and a change feed."""

    address: str = ""
    faults: Faults = field(default_factory=Faults)
    rows: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    version: int = 0
    era: int = 0
    calls: list = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table, key, value, *, part=""):
        """Write a row as another process would; None removes it."""
        self.version += 1
        raw = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        self._apply((table, part, key), raw)
        self._notify()

    def copy(self):
        """Return a copy from which `restore` can bring the store back."""
        return dict(self.rows), list(self.history), self.version

    def restore(self, copy):
        """Come back from a copy: what was written since is gone, and versions go back."""
        rows, history, self.version = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self._notify()

    def product_rows(self, prefix=""):
        """Return the rows of the table ``samphirehall`` by key."""
        return {
            key: json.loads(raw)
            for (table, _, key), (raw, _) in sorted(self.rows.items())
            if table == "samphirehall" and key.startswith(prefix)
        }

    def _apply(self, name, raw):
        if raw is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = raw, self.version
        self.history.append((self.version, name, raw))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _rows_response(self, rows, status=200, **fields):
        body = {"rows": rows, "ver": self.version, "now_ms": 1000.0, **fields}
        return JSONResponse(body, status)

    async def transact(self, request):
        document = await request.json()
        failed = [row for row in document["expected"] if self._version_of(row) != row["ver"]]
        if failed:
            named = [self._row_name(row) for row in failed]
            return self._rows_response(
                [self._row(name) for name in named if name in self.rows], 412
            )
        self.version += 1
        for row in document["puts"]:
            self._apply(self._row_name(row), base64.b64decode(row["value"]))
        for row in document["remove"]:
            self._apply(self._row_name(row), None)
        self._notify()
        return self._rows_response([])

    async def get(self, request):
        query = request.query_params
        end = query.get("to", "\U0010ffff\U0010ffff")
        names = [
            name
            for name in sorted(self.rows)
            if name[0] == query["table"] and query.get("from", "") <= name[2] < end
        ]
        limit = int(query.get("limit", 500))
        page = [self._row(name) for name in names[:limit]]
        return self._rows_response(page, has_more=len(names) > limit)

    async def feed(self, request):
        if self.faults.drop_history:
            self.faults.drop_history = False
            return Response(status_code=410)
        query = request.query_params
        after, table = int(query["after"]), query["table"]
        if after > self.version:
            return Response(status_code=410)
        deadline = asyncio.ensure_future(asyncio.sleep(int(query["wait_ms"]) / 1000))
        while not (changes := self._changes(table, after)) and not deadline.done():
            changed = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait({deadline, changed}, return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        deadline.cancel()
        return self._rows_response(changes)

    def _changes(self, table, after):
        newest = {
            name: (version, raw)
            for version, name, raw in self.history
            if version > after and name[0] == table
        }
        return [self._encode(name, raw, version) for name, (version, raw) in newest.items()]

    def _row(self, name):
        raw, version = self.rows[name]
        return self._encode(name, raw, version)

    def _encode(self, name, raw, version):
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": version}
        if raw is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(raw).decode()}

    def _row_name(self, row):
        return row["table"], row["part"], row["key"]

    def _version_of(self, row):
        return self.rows.get(self._row_name(row), (None, 0))[1]

    def with_faults(self, handler):
        async def serve(request):
            self.calls.append(request.url.path)
            if self.faults.silent:
                await asyncio.sleep(UNANSWERED_SECONDS)
            await asyncio.sleep(self.faults.slow)
            if self.faults.away or self.faults.status is not None:
                return Response(status_code=self.faults.status or 503)
            answer = await handler(request)
            answer.headers["Store-Era"] = str(self.era)
            if self.faults.lose_answers and request.method == "POST":
                await asyncio.sleep(UNANSWERED_SECONDS)
            return answer

        return serve

    def app(self):
        return Starlette(
            routes=[
                Route("/rows-tx", self.with_faults(self.transact), methods=["POST"]),
                Route("/rows-get", self.with_faults(self.get)),
                Route("/rows-feed", self.with_faults(self.feed)),
            ]
        )


@dataclass(slots=True)
class DutiesStandin:
    """Duties interface that records usage reports and endpoint orders."""

    address: str = ""
    usage: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    status: int = 200

    async def receive_usage(self, request):
        self.usage.append((dict(request.headers), await request.json()))
        return Response(status_code=self.status)

    async def receive_order(self, request):
        self.orders.append((dict(request.headers), await request.json()))
        return Response(status_code=self.status)

    def app(self):
        return Starlette(
            routes=[
                Route("/usage", self.receive_usage, methods=["POST"]),
                Route("/scale", self.receive_order, methods=["POST"]),
            ]
        )


@asynccontextmanager
async def platform_standin():
    """Serve a store and a duties interface; yield both."""
    store, duties = StoreStandin(free_address()), DutiesStandin(free_address())
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(serving(store.app(), store.address, shutdown_timeout=0.1))
        await stack.enter_async_context(serving(duties.app(), duties.address, shutdown_timeout=0.1))
        yield store, duties
