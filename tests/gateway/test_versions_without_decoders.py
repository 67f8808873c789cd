"""Software versions whose decode engines leave or crash while other engines of them serve."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import STREAM_CUT, STREAM_VERSION_GONE, RunState
from samphirehall.gateway.endpoint_counts import (
    EngineDemand,
    desired_stage_change,
    missing_decode_engine,
)
from samphirehall.gateway.generation_choice import lasting_versions, may_gain_decode_engine
from samphirehall.gateway.scaling import (
    STAGE_CHANGE_DELAY_SECONDS,
    EndpointScaler,
    ScalingCalls,
)
from samphirehall.gateway.scaling import scale_forever as keep_scaling
from samphirehall.gateway.types import Stage
from tests.gateway.helpers import MODEL, configuration, engine
from tests.gateway.test_duties import CallRecorder, scaling_with
from tests.gateway.test_stream_versions import NEW, OLD, Engine, Host, begin, engines, versions
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

PATIENCE_SECONDS = 2.0  # callers abandon a stream without an event after this


def of_version(version, decode, prefill, zone="a"):
    """Return ready engines of one version."""
    members = [engine(f"{version}-d{n}", Stage.DECODE, zone=zone) for n in range(decode)]
    members += [engine(f"{version}-p{n}", Stage.PREFILL, zone=zone) for n in range(prefill)]
    return [replace(member, software_version=version) for member in members]


class TestStages:
    @pytest.mark.parametrize(
        ("decode", "prefill", "changes"),
        [(0, 1, True), (0, 3, True), (1, 2, False), (1, 1, False), (2, 3, False), (1, 0, False)],
    )
    def test_version_without_a_decode_engine_gets_one(self, decode, prefill, changes):
        others = of_version(NEW, 4, 2)
        change = missing_decode_engine([*of_version(OLD, decode, prefill), *others])
        assert (change is not None) is changes
        if change is not None:
            assert change[0].startswith(f"{OLD}-p") and change[1] is Stage.DECODE

    def test_decode_engine_that_refuses_connections_does_not_count(self):
        members = of_version(OLD, 1, 1)
        assert missing_decode_engine(members, unreachable={f"{OLD}-d0"}) == (
            f"{OLD}-p0",
            Stage.DECODE,
        )

    @pytest.mark.parametrize("new_decode", [2, 3, 6])
    def test_change_to_prefill_leaves_each_version_its_decode_engines(self, new_decode):
        members = [*of_version(OLD, 2, 1), *of_version(NEW, new_decode, 0)]
        change = desired_stage_change(members, EngineDemand(6.0, 0.1))
        assert (change is not None) is (new_decode > 2)
        if change is not None:
            assert change[0].startswith(f"{NEW}-")

    # Guards against LOST: no engine decodes for a version of which engines serve.
    async def test_version_that_loses_its_last_decode_engine_gets_one_at_once(self):
        shared, calls, scaling = scaling_with(*of_version(OLD, 2, 2), *of_version(NEW, 4, 2))
        await scaling.step(configuration(), now=0.0)
        for name in (f"{OLD}-d0", f"{OLD}-d1"):
            shared.fleet.remove(name)
        await scaling.step(configuration(), now=0.5)
        assert calls.stages == [(f"{OLD}-p0", Stage.DECODE)]
        await scaling.step(configuration(), now=1.0)
        assert len(calls.stages) == 1

    # Guards against LOST: an order that comes when callers have nearly given up waiting.
    async def test_order_does_not_wait_for_the_next_check_when_an_engine_is_lost(self, monkeypatch):
        monkeypatch.setattr("samphirehall.gateway.scaling.CHECK_INTERVAL_SECONDS", 30.0)
        async with (
            engines(d1=Engine(OLD, events=2), e1=Engine(NEW)) as running,
            Host(FaultyTable()) as host,
        ):
            host.list("d1", running["d1"], OLD)
            host.list("p1", running["e1"], OLD)
            host.list("e1", running["e1"], NEW, requests=200)
            calls = CallRecorder()
            scaling = EndpointScaler(
                host.context, ScalingCalls(calls.order_count, calls.order_stage)
            )
            await scaling.step(configuration(), now=boot_seconds())
            running["d1"].refuse()
            async with anyio.create_task_group() as group:
                group.start_soon(host.serve, "r1")
                with anyio.move_on_after(1.0):
                    await keep_scaling(
                        scaling, may_act=lambda now: True, configuration=configuration
                    )
                group.cancel_scope.cancel()
        assert calls.stages == [("p1", Stage.DECODE)]

    async def test_engine_that_refuses_the_change_is_passed_over(self):
        shared, calls, scaling = scaling_with(*of_version(OLD, 1, 2), *of_version(NEW, 4, 2))
        calls.accepts_stages = False
        await scaling.step(configuration(), now=0.0)
        shared.fleet.remove(f"{OLD}-d0")
        for step in range(3):
            await scaling.step(configuration(), now=0.5 + step / 2)
        assert [name for name, _ in calls.stages] == [f"{OLD}-p0", f"{OLD}-p1"]

    async def test_version_that_never_decoded_gets_an_engine_after_the_delay(self):
        _, calls, scaling = scaling_with(*of_version(OLD, 4, 2), *of_version(NEW, 0, 1))
        await scaling.step(configuration(), now=0.0)
        await scaling.step(configuration(), now=STAGE_CHANGE_DELAY_SECONDS / 2)
        assert calls.stages == []
        await scaling.step(configuration(), now=STAGE_CHANGE_DELAY_SECONDS)
        assert calls.stages == [(f"{NEW}-p0", Stage.DECODE)]


class TestBegin:
    def test_version_with_one_decode_engine_does_not_last(self):
        shared, _, _ = scaling_with(*of_version(OLD, 1, 0), *of_version(NEW, 2, 0))
        assert lasting_versions(shared.fleet.states()) == {NEW}

    @pytest.mark.parametrize("others", [1, 2])
    async def test_stream_begins_where_a_second_engine_can_go_on_with_it(self, others):
        scripts = {"d1": Engine(OLD)} | {f"e{n}": Engine(NEW) for n in range(others)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            for number in range(others):
                host.list(f"e{number}", running[f"e{number}"], NEW, requests=20)
            await host.context.streams.follow_bases()
            caller, error = await host.serve("r1")
        assert error is None and versions(caller) == {NEW if others > 1 else OLD}


class TestAnswer:
    """A stream that breaks while no other engine of its version decodes."""

    async def serve(self, *, change_after, crashes=True):
        """Serve a stream that breaks after two events; return caller, error, seconds, engines."""
        breaks = Engine(OLD, events=2)

        async def first(received, writer):
            if crashes:
                running["d1"].refuse()
            await breaks(received, writer)

        scripts = {"d1": first, "p1": Engine(OLD), "e1": Engine(NEW)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD)
            host.list("p1", running["p1"], OLD)
            host.list("e1", running["e1"], NEW, requests=200)

            async def change_stage():
                await anyio.sleep(change_after)
                host.remove("d1")
                host.list("f1", running["p1"], OLD)

            started = boot_seconds()
            async with anyio.create_task_group() as group:
                group.start_soon(change_stage)
                caller, error = await host.serve("r1")
                seconds = boot_seconds() - started
                group.cancel_scope.cancel()
        return caller, error, seconds, running

    # Guards against LOST: an answer that is cut, and whose take-up comes before the stage change.
    async def test_answer_goes_on_once_an_engine_of_its_version_decodes(self):
        caller, error, _, running = await self.serve(change_after=0.4)
        assert error is None and caller.complete and versions(caller) == {OLD}
        assert not running["e1"].received

    async def test_answer_is_cut_before_its_caller_abandons_it(self):
        caller, error, seconds, _ = await self.serve(change_after=10.0)
        assert error.result is STREAM_CUT and versions(caller) == {OLD}
        assert 1.0 < seconds < PATIENCE_SECONDS

    # Guards against LOST: an answer that is cut before all crashes of one moment are known.
    async def test_answer_waits_while_another_engine_may_have_crashed_as_well(self):
        scripts = {"d1": Engine(OLD, events=2), "d2": Engine(OLD), "p1": Engine(OLD)}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            for name, endpoint in running.items():
                host.list(name, endpoint, OLD)
            context, state = host.context, SimpleNamespace(stream_version=OLD)
            state.service, state.tried_endpoints = MODEL, set()
            lost, checked = (context.fleet.endpoint(name) for name in ("d1", "d2"))
            lost.record_failure(now=boot_seconds(), unreachable=True)
            assert not may_gain_decode_engine(context, state)
            checked.record_failure(now=boot_seconds(), disconnected=True)
            checked.connection_checks += 1
            assert may_gain_decode_engine(context, state)
            checked.connection_checks -= 1
            assert not may_gain_decode_engine(context, state)

    async def test_answer_is_cut_at_once_if_its_engine_still_takes_connections(self):
        _, error, seconds, _ = await self.serve(change_after=10.0, crashes=False)
        assert error.result is STREAM_CUT and seconds < 0.5


class TestTakeUp:
    # Guards against LOST: a take-up that is refused while an engine of its version serves.
    async def test_take_up_waits_for_an_engine_of_its_version_to_decode(self):
        async with (
            engines(begins=Engine(OLD, events=2), p1=Engine(OLD), e1=Engine(NEW)) as running,
            Host(FaultyTable()) as host,
        ):
            await begin(host, running)
            host.list("p1", running["p1"], OLD)
            host.list("e1", running["e1"], NEW)

            async def change_stage():
                await anyio.sleep(0.3)
                running["p1"].received.clear()
                host.remove("p1")
                host.list("f1", running["p1"], OLD)

            async with anyio.create_task_group() as group:
                group.start_soon(change_stage)
                caller, error = await host.serve("r2", resumes="first", after=2)
        assert error is None and caller.complete and versions(caller) == {OLD}

    async def test_take_up_is_refused_before_its_caller_abandons_it(self):
        async with (
            engines(begins=Engine(OLD, events=2), p1=Engine(OLD), e1=Engine(NEW)) as running,
            Host(FaultyTable()) as host,
        ):
            await begin(host, running)
            host.list("p1", running["p1"], OLD)
            host.list("e1", running["e1"], NEW)
            started = boot_seconds()
            caller, error = await host.serve("r2", resumes="first", after=2)
            assert boot_seconds() - started < PATIENCE_SECONDS
        assert error.result is STREAM_VERSION_GONE and error.result.run is RunState.NOT_RUN
        assert error.retry_after is not None and not caller.started

    async def test_take_up_is_refused_at_once_if_no_engine_of_its_version_serves(self):
        async with (
            engines(begins=Engine(OLD, events=2), e1=Engine(NEW)) as running,
            Host(FaultyTable()) as host,
        ):
            await begin(host, running)
            host.list("e1", running["e1"], NEW)
            started = boot_seconds()
            _, error = await host.serve("r2", resumes="first", after=2)
            assert boot_seconds() - started < 0.2
        assert error.result is STREAM_VERSION_GONE and error.retry_after is None
