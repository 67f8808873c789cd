"""Engines that start again under their id with another version before the list says so."""

import asyncio
import json

import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import RunState
from samphirehall.gateway.crashes import Crash
from tests.gateway.helpers import response_bytes
from tests.gateway.test_stream_versions import (
    BEGINS,
    EVENTS,
    NEW,
    OLD,
    Engine,
    Host,
    engines,
    versions,
)
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

LISTED, RESTARTED = 1_700_000_000_000, 1_700_000_009_000
LONG_SECONDS = 60.0
SILENCE_SECONDS = 0.5


class ReportingEngine(Engine):
    """Script of an engine that says when it started, if it is given, or is silent first."""

    def __init__(self, version, born=None, *, silence=0.0, events=EVENTS, on_prefill=None):
        super().__init__(version, events=events)
        self.born = born
        self.silence = silence
        self._on_prefill = on_prefill
        self.reports = 0

    async def __call__(self, received, writer):
        if received[":target"] != "/report":
            if self._on_prefill is not None and received.get("x-stage") == "prefill":
                await self._on_prefill()
            await super().__call__(received, writer)
            return
        self.reports += 1
        await asyncio.sleep(self.silence)
        report = {"stage": "decode", "sequence": 0}
        report |= {} if self.born is None else {"born": self.born}
        writer.write(response_bytes(received, json.dumps(report).encode()))


SOUND = ReportingEngine(OLD, LISTED)


def streams_at(endpoint):
    """Return the requests that an engine has received besides questions for its state."""
    return [received for received in endpoint.received if received[":target"] != "/report"]


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
        streamed = [name for name in scripts if streams_at(running[name])]
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


class TestBegin:
    # Guards against ORDER: a stream that begins at a restarted engine and goes on at the listed
    # version of that engine.
    async def test_stream_begins_at_the_version_at_which_it_goes_on(self):
        scripts = {"d1": ReportingEngine(NEW, RESTARTED, events=2), "d2": SOUND}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD, born=LISTED)
            host.list("d2", running["d2"], OLD, born=LISTED, requests=40)
            caller, error = await host.serve("first")
        assert error is None and caller.complete and versions(caller) == {OLD}
        assert not streams_at(running["d1"])

    # Guards against a stream that is recorded at a version at which it did not begin.
    async def test_stream_does_not_begin_at_an_engine_that_has_restarted(self):
        restarted = ReportingEngine(NEW, RESTARTED)
        async with engines(d1=restarted) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD, born=LISTED)
            caller, error = await host.serve("first")
        assert error.result.run is RunState.NOT_RUN and not caller.started
        assert not streams_at(running["d1"])

    # Guards against a decode engine that is listed with another version once the prompt was read.
    async def test_stream_does_not_begin_at_an_engine_renewed_during_its_prefill(self):
        async def renew():
            host.list("d1", running["d1"], NEW, born=RESTARTED)

        scripts = {
            "p1": ReportingEngine(OLD, LISTED, on_prefill=renew),
            "d1": ReportingEngine(NEW, RESTARTED),
            "d2": SOUND,
        }
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            for name, requests in (("p1", 0), ("d1", 0), ("d2", 40)):
                host.list(name, running[name], OLD, born=LISTED, requests=requests)
            caller, error = await host.serve("first", parts=b"own:60000")
        assert running["p1"].received and error is None and caller.complete
        assert versions(caller) == {OLD} and not streams_at(running["d1"])

    # Guards against prompt memory that an engine of another version hands to the decode engine.
    async def test_restarted_engine_does_not_prefill(self):
        scripts = {"p1": ReportingEngine(NEW, RESTARTED), "p2": SOUND, "d1": SOUND}
        async with engines(**scripts) as running, Host(FaultyTable()) as host:
            for name, requests in (("p1", 0), ("p2", 40), ("d1", 0)):
                host.list(name, running[name], OLD, born=LISTED, requests=requests)
            caller, error = await host.serve("first", parts=b"own:60000")
        assert error is None and caller.complete and not streams_at(running["p1"])

    # Guards against a crash that is blamed on a request, as a sound engine was silent for a while.
    async def test_silence_of_an_engine_confirms_no_crash(self):
        silent = ReportingEngine(OLD, LISTED, silence=SILENCE_SECONDS)
        async with engines(d1=silent) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD, born=LISTED)
            host.context.store_age = lambda: LONG_SECONDS
            crash = Crash(1, f"d1/{LISTED}", ())
            host.context.crashes.record_unconfirmed("d1", crash, now=boot_seconds())
            _, error = await host.serve("first")
            assert error.result.run is RunState.NOT_RUN
            assert host.context.crashes.is_suspect("d1")

    # Guards against a question to the engine for each stream.
    async def test_engine_is_asked_once_for_a_connection(self):
        script = ReportingEngine(OLD, LISTED)
        async with engines(d1=script) as running, Host(FaultyTable()) as host:
            host.list("d1", running["d1"], OLD, born=LISTED)
            for number in range(3):
                _, error = await host.serve(f"stream-{number}")
                assert error is None
        assert script.reports == 1
