"""One soak run: hosts as processes, stand-ins around them, callers, and a plan of disruptions."""

import asyncio
import contextlib
import random
import time
from collections import deque
from pathlib import Path

from tests.platform.standin import platform_standin
from tests.platform.test_decoding import CONFIGURATION
from tests.soak.callers import Caller
from tests.soak.endpoints import ENTRY_DELAY_SECONDS, Endpoint
from tests.soak.hosts import Host
from tests.soak.plan import RENEW, RESTORE, Action, Plan
from tests.soak.records import Records, broken_promises

COPY_INTERVAL_SECONDS = 0.5
MAX_COPIES = 8  # of the store; the oldest one is some seconds old
START_SECONDS = 10.0  # in which all hosts are ready
RECOVERY_SECONDS = 12.0  # after the last disruption
MIN_SERVED_SHARE = 0.25  # of the requests after the recovery
CALLERS_PER_HOST = 5
BODY_LIMITS = (4096, 65_536, 1_048_576)  # bytes; no caller sends more than the smallest
ROUTE = {"host": "h.example", "timeout_ms": 4000, "latency_goal_ms": 200, "max_attempts": 2}
ROUTES = [
    {**ROUTE, "name": "read", "prefix": "/read/", "kind": "safe", "service": "t"},
    {**ROUTE, "name": "book", "prefix": "/book/", "kind": "unsafe", "service": "t"},
    {
        **ROUTE,
        "name": "chat",
        "prefix": "/chat/",
        "kind": "streaming",
        "service": "s",
        "resumable": True,
        "target_gap_ms": 150,
    },
]


class Operator:
    """Writes configurations, each of which allows all that callers send."""

    def __init__(self, store, chance: random.Random) -> None:
        self._store = store
        self._chance = chance
        self._document = {
            **CONFIGURATION,
            "routes": ROUTES,
            "services": [*CONFIGURATION["services"], {"name": "t", "max_conns": 100}],
            "tenants": [{"name": "acme", "api_keys": ["k1"]}],
            "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 3000},
        }
        self.write()

    def idle_timeout(self) -> float:
        """Return the idle timeout in force, in seconds."""
        return self._document["limits"]["idle_timeout_ms"] / 1000

    def change(self, how: str) -> None:
        """Write a new version."""
        limits, version = self._document["limits"], self._document["version"]
        if how == "idle":
            limits["idle_timeout_ms"] = self._chance.randrange(1000, 5000)
        elif how == "body":
            limits["max_body_bytes"] = self._chance.choice(BODY_LIMITS)
        elif how == "key":
            self._document["tenants"] = [{"name": "acme", "api_keys": ["k1", f"k{version}"]}]
        elif how == "timeout":
            timeout = self._chance.randrange(3500, 5000)
            routes = self._document["routes"]
            self._document["routes"] = [{**route, "timeout_ms": timeout} for route in routes]
        else:
            extra = {**ROUTES[0], "name": f"r{version}", "prefix": f"/extra{version}/"}
            self._document["routes"] = [*self._document["routes"][: len(ROUTES)], extra]
        self._document["version"] += self._chance.randint(1, 3)
        self.write()

    def write(self) -> None:
        """Write the newest version."""
        self._store.put("op", "config", self._document)


class Soak:
    """System under a plan of disruptions.

    Parameters
    ----------
    plan : Plan
        What goes wrong.
    folder : Path
        Folder of settings and logs.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.records = Records()
        self._plan = plan
        self._folder = folder
        self._chance = random.Random(plan.seed + 1)
        self._hosts: list[Host] = []
        self._copies: deque = deque(maxlen=MAX_COPIES)
        self._renewing: set[str] = set()
        self._endpoints = [
            Endpoint(f"t{number}", "t", self.records, self._chance)
            for number in range(plan.endpoints - 2)
        ]
        self._endpoints += [
            Endpoint(f"s{number}", "s", self.records, self._chance, stage="decode")
            for number in range(2)
        ]

    async def run(self) -> list[str]:
        """Play the plan; return a line for each promise that was broken."""
        async with contextlib.AsyncExitStack() as stack:
            store, duties = await stack.enter_async_context(platform_standin())
            store.era = 1
            for endpoint in self._endpoints:
                await stack.enter_async_context(endpoint.serving())
                store.put("servers", endpoint.name, endpoint.entry())
            operator = Operator(store, self._chance)
            for number in range(self._plan.hosts):
                host = Host(number, self._folder, self.records, store.address, duties.address)
                stack.push_async_callback(host.end)
                self._hosts.append(host)
                await host.start()
            await self._play(store, operator)
            self.records.usage = [(body["window"], body["counts"]) for _, body in duties.usage]
        return broken_promises(self.records)

    async def _play(self, store, operator: Operator) -> None:
        background = [asyncio.create_task(host.watch()) for host in self._hosts]
        background.append(asyncio.create_task(self._copy_store(store)))
        try:
            await self._wait_until_ready(START_SECONDS)
            background += [
                asyncio.create_task(self._caller(number, operator).run())
                for number in range(CALLERS_PER_HOST * self._plan.hosts)
            ]
            await self._disrupt(store, operator)
            await self._wait_until_ready(RECOVERY_SECONDS)
            await self._check_recovery()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)

    def _caller(self, number: int, operator: Operator) -> Caller:
        chance = random.Random(self._plan.seed * 1000 + number)
        return Caller(f"c{number}", self.records, chance, self._choose_host, operator.idle_timeout)

    def _choose_host(self, chance: random.Random) -> tuple[int, str]:
        ready = [host for host in self._hosts if host.is_ready]
        host = chance.choice(ready or self._hosts)
        return host.number, host.callers

    async def _wait_until_ready(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while not all(host.is_ready for host in self._hosts):
            if time.monotonic() > end:
                late = [host.number for host in self._hosts if not host.is_ready]
                self.records.ended_hosts.append(f"RECOVER hosts {late} are not ready")
                return
            await asyncio.sleep(0.1)

    async def _check_recovery(self) -> None:
        before = len(self.records.sent)
        await asyncio.sleep(1.0)
        found = self.records.sent[before:]
        served = sum(sent.status == 200 for sent in found)
        if served < MIN_SERVED_SHARE * len(found) or not found:
            self.records.ended_hosts.append(f"RECOVER {served} of {len(found)} requests served")

    async def _disrupt(self, store, operator: Operator) -> None:
        """Carry the plan out; disruptions overlap."""
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for action in self._plan.actions:
                await asyncio.sleep(max(0.0, start + action.at - time.monotonic()))
                group.create_task(self._act(action, store, operator))

    async def _act(self, action: Action, store, operator: Operator) -> None:
        if action.kind == "configuration":
            operator.change(action.how)
        elif action.how == RESTORE:
            await self._restore_store(store, operator, action)
        elif action.how == RENEW:
            await self._renew(self._endpoints[action.target], store, action)
        elif action.kind == "store":
            await _disturb_store(store.faults, action)
        elif action.kind == "endpoint":
            endpoint = self._endpoints[action.target]
            endpoint.fault = action.how
            await asyncio.sleep(action.seconds)
            endpoint.fault = ""
        else:
            await self._disturb_host(self._hosts[action.target], action)

    async def _copy_store(self, store) -> None:
        while True:
            self._copies.append(store.copy())
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    async def _restore_store(self, store, operator: Operator, action: Action) -> None:
        """Bring the store back from a copy; operator and endpoints write again what they wrote."""
        copy = self._chance.choice(self._copies)
        store.faults.away = True
        await asyncio.sleep(action.seconds)
        store.restore(copy)
        store.faults.away = False
        operator.write()
        for endpoint in self._endpoints:
            store.put("servers", endpoint.name, endpoint.entry())

    async def _renew(self, endpoint: Endpoint, store, action: Action) -> None:
        """Renew an engine, which breaks streams off until its entry says so."""
        if endpoint.name in self._renewing:
            return
        self._renewing.add(endpoint.name)
        await endpoint.renew(action.seconds)
        endpoint.fault = "reset"
        await asyncio.sleep(self._chance.uniform(0.0, ENTRY_DELAY_SECONDS))
        endpoint.fault = ""
        store.put("servers", endpoint.name, endpoint.entry())
        self._renewing.remove(endpoint.name)

    async def _disturb_host(self, host: Host, action: Action) -> None:
        if action.kind == "hang_up":
            host.hang_up()
        elif action.kind == "stop":
            await host.stop()
        elif action.kind == "kill":
            await host.kill(action.seconds)
        else:
            await host.freeze(action.seconds)


async def _disturb_store(faults, action: Action) -> None:
    setattr(faults, action.how, {"status": 503, "slow": 0.3}.get(action.how, True))
    if action.how == "drop_history":
        return
    await asyncio.sleep(action.seconds)
    setattr(faults, action.how, getattr(type(faults)(), action.how))
