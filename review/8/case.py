"""A usage window that was just reported, when its reporter is killed and the store is restored."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins_2 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Cloud,
    Machine,
    Replica,
    Store,
    ask,
    choose_ports,
    play,
    wait_until_ready,
)

COPY_AGE_SECONDS = 3.0  # of the copy from which the store comes back
AWAY_SECONDS = 0.5
DOWN_SECONDS = 3.5  # of the machine that is killed
REQUEST_SECONDS = 0.2  # between two requests of a client; one client at each machine
MIN_RUNNING_SECONDS = 10.0  # before the disruption
CONFIGURATION = {
    "version": 10,
    "routes": [
        {
            "name": "stock",
            "host": "h.example",
            "prefix": "/stock/",
            "kind": "safe",
            "service": "desk",
            "timeout_ms": 1000,
            "latency_goal_ms": 125,
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "desk", "max_conns": 110, "health_path": "/health"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": ["k1"]}],
}


class Platform(Cloud):
    """Accepts usage reports; `on_report` is called with the holder before the answer."""

    on_report = staticmethod(lambda holder, window: None)

    async def answer(self, method, target, headers, body, writer):
        """Answer one call."""
        await super().answer(method, target, headers, body, writer)
        if target == "/usage":
            self.on_report(headers["x-duty-holder"], json.loads(body)["window"])

    def reports(self):
        """Return holder, token and body of each usage report."""
        return [(call[2], call[3], call[4]) for call in self.calls if call[1] == "/usage"]


async def case(record, folder, machines):
    """Play the case; return the exit status."""
    store, platform = Store(record), Platform(record)
    await store.start()
    await platform.start()
    replicas = [Replica(f"desk-{zone}", "desk", record, zone=zone) for zone in "abc"]
    for replica in replicas:
        await replica.start()

    def write_again():
        """What operator and replicas write."""
        for replica in replicas:
            store.put("servers", replica.name, replica.entry())
        store.put("op", "config", CONFIGURATION)

    write_again()
    ips = [f"127.0.0.{number + 10}" for number in (1, 2, 3)]
    ports = choose_ports(ips)
    for number, zone in enumerate("abc", 1):
        machines.append(Machine(number, zone, folder, record, store, platform, ports))
        machines[-1].start()
    await wait_until_ready(machines)

    copies = []

    async def copy():
        while True:
            copies.append((time.monotonic(), store.copy()))
            await asyncio.sleep(0.25)

    async def client(machine):
        number = 0
        while True:
            number += 1
            request_id = f"{machine.zone}{number}"
            answer = await ask(machine.front, request_id, f"/stock/{number}", timeout=2.0)
            status = "no answer" if answer is None else answer[0]
            record(f"client at {machine.name}: {request_id} {status}")
            await asyncio.sleep(REQUEST_SECONDS)

    began_at = time.monotonic()
    killed = asyncio.get_running_loop().create_future()

    def strike(holder, window):
        if time.monotonic() < began_at + MIN_RUNNING_SECONDS or killed.done():
            return
        killed.set_result((holder, window))
        if TROUBLE:
            next(each for each in machines if each.name == holder).signal(signal.SIGKILL)
            store.away = True

    platform.on_report = strike
    tasks = [asyncio.create_task(copy()), *(asyncio.create_task(client(m)) for m in machines)]
    try:
        async with asyncio.timeout(50):
            holder, window = await killed
        record(f"window {window} was reported by {holder}")
        if TROUBLE:
            struck_at = time.monotonic()
            age, content = max(
                (at, content) for at, content in copies if at <= struck_at - COPY_AGE_SECONDS
            )
            await asyncio.sleep(AWAY_SECONDS)
            store.restore(content)
            store.away = False
            record(f"the store is back from a copy {struck_at - age:.1f} s old, era {store.era}")
            write_again()
            await asyncio.sleep(DOWN_SECONDS - AWAY_SECONDS)
            machine = next(each for each in machines if each.name == holder)
            machine.process.wait()
            machine.start()
        await asyncio.sleep(20.0)
    except TimeoutError as error:
        raise CaseError("no window was reported") from error
    finally:
        for task in tasks:
            task.cancel()
    first = {}
    broken = False
    for holder, fence, body in platform.reports():
        known = first.setdefault(body["window"], (holder, fence, body["counts"]))
        if known[2] != body["counts"]:
            broken = True
            record.result(
                f"window {body['window']}: {known[0]} (token {known[1]}) reported {known[2]}, "
                f"then {holder} (token {fence}) reported {body['counts']}; both were accepted"
            )
    record.result(f"windows reported: {len(first)}; " + ("ONE broken" if broken else "ONE held"))
    return BROKEN if broken else HELD


if __name__ == "__main__":
    play(case, FOLDER)
