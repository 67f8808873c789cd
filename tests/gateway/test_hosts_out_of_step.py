"""Take-ups at a host that is out of step while engines of a new software version join."""

import contextlib

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import STREAM_CUT, STREAM_UNKNOWN
from samphirehall.gateway.stream_store import LIST_WAIT_SECONDS
from tests.gateway.test_stream_versions import (
    NEW,
    OLD,
    Engine,
    Host,
    assert_refused_as_not_run,
    engines,
    versions,
)
from tests.support.table import FaultyTable, TableFaults

pytestmark = pytest.mark.anyio

LONG_SECONDS = 100.0  # longer than any stream lives


@contextlib.asynccontextmanager
async def out_of_step(running, table):
    """Yield a host that has long followed a list of one version, and does not reach the store."""
    async with Host(table, "host-b") as host:
        host.list("d1", running["d1"], OLD)
        host.context.fleet.versions.follow(is_current=True, now=boot_seconds() - LONG_SECONDS)
        yield host


class TestTakeUp:
    # Guards against ORDER: a host that has not heard of a version takes another for the only one.
    @pytest.mark.parametrize("resumes", ["first", None])
    async def test_stream_of_a_version_that_joined_does_not_go_on_at_another(self, resumes):
        cut_off = FaultyTable(faults=TableFaults(outage=True))
        async with (
            engines(d1=Engine(OLD), e1=Engine(NEW, events=2)) as running,
            Host(FaultyTable(), "host-a") as other,
            out_of_step(running, cut_off) as host,
        ):
            host.list_complete_until = boot_seconds()
            other.list("e1", running["e1"], NEW)
            _, broken = await other.serve("first")
            assert broken.result is STREAM_CUT
            started = boot_seconds()
            caller, error = await host.serve("second", resumes=resumes, after=2)
            assert boot_seconds() - started < LIST_WAIT_SECONDS + 0.5
        assert_refused_as_not_run(caller, error)
        assert error.result is STREAM_UNKNOWN and error.retry_after is not None
        assert not running["d1"].received

    async def test_stream_goes_on_once_the_list_is_known_to_be_whole(self):
        cut_off = FaultyTable(faults=TableFaults(outage=True))
        async with (
            engines(d1=Engine(OLD)) as running,
            out_of_step(running, cut_off) as host,
            anyio.create_task_group() as group,
        ):
            host.list_complete_until = boot_seconds() - 1.0

            async def hear_of_the_list():
                await anyio.sleep(0.2)
                host.list_complete_until = None

            group.start_soon(hear_of_the_list)
            caller, error = await host.serve("second", resumes="first", after=2)
        assert error is None and versions(caller) == {OLD}

    async def test_version_that_is_heard_of_meanwhile_is_not_overlooked(self):
        cut_off = FaultyTable(faults=TableFaults(outage=True))
        async with (
            engines(d1=Engine(OLD), e1=Engine(NEW)) as running,
            out_of_step(running, cut_off) as host,
            anyio.create_task_group() as group,
        ):
            host.list_complete_until = boot_seconds() - 1.0

            async def hear_of_the_list():
                await anyio.sleep(0.2)
                host.list("e1", running["e1"], NEW)
                host.list_complete_until = None

            group.start_soon(hear_of_the_list)
            caller, error = await host.serve("second", resumes="first", after=2)
        assert_refused_as_not_run(caller, error)
