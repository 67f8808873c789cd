"""Engines that start again under their id with another version before the list says so."""

import asyncio
import json

import pytest

from samphirehall.core.results import RunState
from tests.gateway.helpers import response_bytes
from tests.gateway.test_stream_versions import BEGINS, NEW, OLD, Engine, Host, engines, versions
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

LISTED, RESTARTED = 1_700_000_000_000, 1_700_000_009_000
LONG_SECONDS = 60.0
SILENCE_SECONDS = 0.5


class ReportingEngine(Engine):
    """Script of an engine that says when it started, if it is given, or is silent first."""

    def __init__(self, version, born=None, *, silence=0.0):
        super().__init__(version)
        self.born = born
        self.silence = silence
        self.reports = 0

    async def __call__(self, received, writer):
        if received[":target"] != "/report":
            await super().__call__(received, writer)
            return
        self.reports += 1
        await asyncio.sleep(self.silence)
        report = {"stage": "decode", "sequence": 0}
        report |= {} if self.born is None else {"born": self.born}
        writer.write(response_bytes(received, json.dumps(report).encode()))


async def take_up(*, store_age=0.0, **scripts):
    """Begin a stream at the old version, take it up; return the result and who streamed."""
    async with engines(begins=BEGINS, **scripts) as running, Host(FaultyTable()) as host:
        host.list("begins", running["begins"], OLD)
        await host.serve("first")
        host.remove("begins")
        for name in scripts:
            host.list(name, running[name], OLD, born=LISTED)
        host.context.store_age = lambda: store_age
        caller, error = await host.serve("second", resumes="first", after=2)
        streamed = [
            name
            for name in scripts
            if any(received[":target"] != "/report" for received in running[name].received)
        ]
        return caller, error, streamed


class TestTakeUp:
    # Guards against ORDER: a stream that goes on at an engine that is no longer of its version.
    async def test_stream_does_not_go_on_at_an_engine_that_has_restarted(self):
        restarted = ReportingEngine(NEW, RESTARTED)
        caller, error, streamed = await take_up(store_age=LONG_SECONDS, d1=restarted)
        assert error.result.run is RunState.NOT_RUN and not caller.started and streamed == []

    async def test_stream_goes_on_at_the_engine_that_has_not(self):
        scripts = {"d1": ReportingEngine(NEW, RESTARTED), "d2": ReportingEngine(OLD, LISTED)}
        caller, error, streamed = await take_up(store_age=LONG_SECONDS, **scripts)
        assert error is None and versions(caller) == {OLD} and streamed == ["d2"]

    @pytest.mark.parametrize("silence", [0.0, SILENCE_SECONDS])
    @pytest.mark.parametrize(("store_age", "goes_on"), [(0.0, True), (LONG_SECONDS, False)])
    async def test_engine_that_does_not_say_is_trusted_while_the_store_answers(
        self, store_age, goes_on, silence
    ):
        silent = ReportingEngine(OLD, LISTED if silence else None, silence=silence)
        caller, error, streamed = await take_up(store_age=store_age, d1=silent)
        assert (error is None) is goes_on and (streamed == ["d1"]) is goes_on
        assert caller.complete is goes_on

    async def test_new_stream_asks_no_engine(self):
        script = ReportingEngine(OLD, LISTED)
        async with engines(d1=script) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD, born=LISTED)
            _, error = await host.serve("first")
        assert error is None and script.reports == 0
