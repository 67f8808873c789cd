"""Fetching the configuration and the endpoint list from another host."""

import random

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.frames import FrameStream
from samphirehall.gateway.catch_up import (
    _MESSAGES,
    MAX_CONCURRENT_ANSWERS,
    CatchUp,
    CatchUpAnswer,
    CatchUpRequest,
)
from samphirehall.gateway.rows import NO_VERSION, RowChange, Rows, StoreVersion, TableReplica
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

ROWS = 160
POSITION = StoreVersion(0, 1000)


def endpoint_list():
    numbers = random.Random(1)
    rows = []
    for number in range(ROWS):
        key = f"i-{numbers.getrandbits(40):010x}"
        value = (
            f'{{"service":"model","address":"10.2.{number % 250}.{number % 200}:8601",'
            f'"zone":"a","state":"ready","slots":64,"born":{numbers.getrandbits(40)}}}'
        )
        rows.append(RowChange(key, StoreVersion(0, number + 1), value.encode()))
    return Rows(rows, POSITION)


def catch_up(version=0):
    address = free_address()
    replica = TableReplica(lambda change: None)
    return CatchUp(address, lambda: version, replica, lambda *_: None), replica, address


def hub_with_list():
    hub, replica, address = catch_up(version=3)
    replica.apply_snapshot(endpoint_list(), now=boot_seconds())
    hub.set_document(random.Random(2).randbytes(4_000))
    host, _, port = address.rpartition(":")
    return hub, (host, int(port))


async def connect(address):
    with anyio.fail_after(2.0):
        while True:
            try:
                return await anyio.connect_tcp(*address)
            except OSError:
                await anyio.sleep(0.01)


class Caller:
    """A host that asks another one, and closes the connection when it is told to."""

    def __init__(self):
        self.answer = None
        self.may_close = anyio.Event()

    async def run(self, address):
        async with await connect(address) as stream:
            frames = FrameStream(stream, _MESSAGES)
            await frames.send(CatchUpRequest(0, NO_VERSION))
            self.answer = await frames.receive()
            await self.may_close.wait()


class TestCatchUp:
    async def test_host_takes_the_whole_list(self):
        hub, address = hub_with_list()
        host, replica, _ = catch_up()
        async with anyio.create_task_group() as group:
            group.start_soon(hub.run)
            (await anyio.wait_all_tasks_blocked())
            group.start_soon(host.run)
            with anyio.fail_after(4.0):
                while not replica.has_snapshot:
                    host.request(address, position=POSITION, now=boot_seconds())
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        assert replica.position == POSITION
        assert {row.key: row.value for row in replica.present.values()} == {
            row.key: row.value for row in endpoint_list().rows
        }

    async def test_answers_to_hosts_that_start_together_do_not_share_the_link(self):
        hub, address = hub_with_list()
        callers = [Caller() for _ in range(3 * MAX_CONCURRENT_ANSWERS)]
        most_at_once = 0
        async with anyio.create_task_group() as group:
            group.start_soon(hub.run)
            for caller in callers:
                group.start_soon(caller.run, address)
            with anyio.move_on_after(4.0):
                while any(caller.answer is None for caller in callers):
                    await anyio.sleep(0.02)
                    answered = [c for c in callers if c.answer and not c.may_close.is_set()]
                    most_at_once = max(most_at_once, len(answered))
                    for caller in answered:
                        caller.may_close.set()
            group.cancel_scope.cancel()
        assert 0 < most_at_once <= MAX_CONCURRENT_ANSWERS

    async def test_list_that_is_told_of_often_is_fetched_once(self, caplog):
        caplog.set_level("INFO")
        hub, address = hub_with_list()
        host, replica, _ = catch_up()
        async with anyio.create_task_group() as group:
            group.start_soon(hub.run)
            group.start_soon(host.run)
            await (await connect(address)).aclose()
            with anyio.fail_after(4.0):
                while not replica.has_snapshot:
                    host.request(address, position=POSITION, now=boot_seconds())
                    await anyio.sleep(0.001)
            assert host.late_by(now=boot_seconds()) == 0.0
            host.request(address, position=POSITION, now=boot_seconds())
            await anyio.sleep(0.3)
            group.cancel_scope.cancel()
        assert [record.message for record in caplog.records].count("caught-up") == 1

    async def test_callers_that_have_left_get_no_answer(self):
        hub, address = hub_with_list()
        answered = []
        make_answer = hub._answer
        hub._answer = lambda request: answered.append(request) or make_answer(request)
        async with anyio.create_task_group() as group:
            group.start_soon(hub.run)
            for _ in range(MAX_CONCURRENT_ANSWERS):
                hub._answers.acquire_nowait()
            for _ in range(2 * MAX_CONCURRENT_ANSWERS):
                async with await connect(address) as stream:
                    await FrameStream(stream, _MESSAGES).send(CatchUpRequest(0, NO_VERSION))
            await anyio.sleep(0.1)
            for _ in range(MAX_CONCURRENT_ANSWERS):
                hub._answers.release()
            caller = Caller()
            caller.may_close.set()
            with anyio.fail_after(2.0):
                await caller.run(address)
            group.cancel_scope.cancel()
        assert caller.answer is not None and len(answered) == 1

    def test_answer_is_small_enough_for_a_zone_that_starts(self):
        hub, _ = hub_with_list()
        answer = hub._answer(CatchUpRequest(0, NO_VERSION))
        assert isinstance(answer, CatchUpAnswer)
        assert len(answer.rows) < sum(len(row.value) for row in endpoint_list().rows) / 3
