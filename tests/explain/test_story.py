"""Requests that failed are explained by what the gateway logs, and by nothing else."""

import asyncio
import contextlib
import json
import logging
import sys
import time

import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import JsonLineFormatter
from samphirehall.explain.causes import UNTRACED, cause_of
from samphirehall.explain.lines import read_lines
from samphirehall.explain.timeline import as_data, collect_story, count_causes, tell, traced_share
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.types import Stage
from samphirehall.programs import ctl
from tests.gateway.helpers import (
    DESK,
    MODEL,
    KeptCaller,
    answer_bytes,
    configuration,
    context,
    engine,
    listed,
    prompt,
    request,
    reset_on_close,
    scripted_endpoint,
)
from tests.gateway.test_generation import generate

pytestmark = pytest.mark.anyio


async def refuse(received, writer):
    writer.write(answer_bytes(received, b"", status=503, extra=["X-Not-Executed: 1"]))


async def break_off(received, writer):
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "X-Response-Stamp: s"]
    lines.append(f"X-Request-Id: {received['x-request-id']}")
    event = b"id: 1\ndata: t\n\n"
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_on_close(writer)


async def slow(received, writer):
    await asyncio.sleep(0.15)
    writer.write(answer_bytes(received, b"body"))


async def broken_service(received, writer):
    writer.write(answer_bytes(received, b"oops", status=500))


class Logs:
    """Lines of a host, as its process would write them."""

    def __init__(self, caplog, host="host-a"):
        caplog.set_level(logging.INFO)
        self._caplog = caplog
        self._formatter = JsonLineFormatter(host=host, program="samphire-node")

    def __call__(self):
        return [self._formatter.format(record) for record in self._caplog.records]


@pytest.fixture
def logs(caplog):
    return Logs(caplog)


async def serve(path, script, *, of=None, busy=0, stage=None, method=None, key="key-1"):
    async with scripted_endpoint(script) as endpoint:
        shared, _ = context()
        if stage is None:
            shared.fleet.update(listed("e1", endpoint.address), DESK)
        else:
            shared.fleet.update(engine("e1", stage, address=endpoint.address), MODEL)
        shared.loads._local["e1"].pending_prefill_tokens[0] = busy
        gateway = Gateway(shared)
        gateway.take_configuration(configuration(), source="test")
        caller = KeptCaller()
        with contextlib.suppress(SamphireError):
            await gateway.serve(request(path, of=of, method=method, key=key), caller)
        shared.fleet.remove("e1")


class TestExplain:
    async def test_refused_booking(self, logs):
        await serve("/book/x", refuse, method="POST")
        story = collect_story(logs, "r1")
        told = "\n".join(tell(story))
        assert "e1 refused to run it (run)" in told
        assert "no endpoint: all failed or full (result 2008, no-endpoint)" in told
        assert "route book, customer acme, configuration 1" in told
        assert as_data(story)["causes"][0]["name"] == "no endpoint: all failed or full"

    async def test_stream_that_broke(self, logs):
        await serve("/once/x", break_off, of=prompt(), stage=Stage.DECODE)
        story = collect_story(logs, "r1")
        told = "\n".join(tell(story))
        assert "cause: e1 broke off its answer (generate)" in told
        assert "endpoint-gone" in told

    async def test_answer_that_came_late(self, logs):
        await serve("/read/x", slow)
        story = collect_story(logs, "r1")
        assert cause_of(story.own[-1]).name == "late: slow endpoint"

    async def test_refused_stream_names_the_queue(self, logs):
        await serve("/chat/x", break_off, of=prompt(), stage=Stage.DECODE, busy=50_000)
        (name,), text = count_causes(logs())[0], tell(collect_story(logs, "r1"))[-1]
        assert name == "refused: queue too long"
        assert "50000 prompt tokens before this one" in text

    async def test_failure_that_an_endpoint_answered(self, logs):
        await serve("/book/x", broken_service, method="POST")
        assert set(count_causes(logs())[0]) == {"endpoint answered a failure"}

    async def test_failure_that_another_engine_made_good_is_none(self, logs):
        async with scripted_endpoint(broken_service) as bad, scripted_endpoint(generate) as good:
            shared, _ = context()
            shared.fleet.update(engine("d1", address=bad.address), MODEL)
            shared.fleet.update(engine("d2", address=good.address), MODEL)
            shared.loads._local["d2"].requests = 40
            gateway = Gateway(shared)
            gateway.take_configuration(configuration(), source="test")
            await gateway.serve(request("/chat/x", of=prompt()), KeptCaller())
        assert bad.received and good.received
        assert not count_causes(logs())[0]

    async def test_unknown_key(self, logs):
        await serve("/read/x", slow, key="other")
        assert set(count_causes(logs())[0]) == {"key-unknown"}

    async def test_request_that_no_line_is_about(self, logs):
        await serve("/read/x", slow)
        assert tell(collect_story(logs, "r2")) == ["no line is about r2"]


def line(event, moment, **fields):
    return json.dumps({"time": moment, "host": "a", "message": event, **fields})


SENDS = [["e1", "run", "broken"]]


class TestStory:
    END = line("request", 10.0, request="r1", result=3000, seconds=1.0, sends=SENDS)

    def story(self, *lines):
        return collect_story(lambda: [*lines, self.END], "r1")

    def test_lines_around_it_are_of_its_hosts_its_endpoints_and_its_time(self):
        story = self.story(
            line("endpoint-gone", 11.0, endpoint="e1"),
            line("store-lost", 9.5),
            line("endpoint-gone", 11.0, endpoint="e2"),
            line("store-lost", 9.5, host="b"),
            line("store-lost", 1.0),
        )
        assert [item.event for item in story.around] == ["store-lost", "endpoint-gone"]

    def test_gaps_are_told(self):
        story = self.story(line("log-lines-dropped", 10.5, lines=7), "{")
        assert tell(story)[-2:] == [
            "7 lines of its hosts were left out at that time",
            "1 lines could not be read",
        ]

    def test_times_count_from_the_arrival(self):
        told = tell(self.story(line("store-lost", 8.5)))
        assert told[1].startswith("   -0.500 s  a: store-lost")


class TestCauses:
    @pytest.mark.parametrize(
        ("fields", "name"),
        [
            ({"result": 1000, "seconds": 0.05, "goal": 0.1}, "in time"),
            (
                {
                    "result": 1000,
                    "first_event_after": 0.2,
                    "goal": 0.5,
                    "pause_goal": 0.1,
                    "longest_pause": 0.3,
                },
                "late: pause in the stream",
            ),
            (
                {
                    "result": 1000,
                    "first_event_after": 0.9,
                    "goal": 0.5,
                    "choice": {"first_event": 0.7},
                },
                "late: expected",
            ),
            (
                {
                    "result": 1000,
                    "first_event_after": 0.9,
                    "goal": 0.5,
                    "read_in": 0.8,
                    "choice": {"first_event": 0.3},
                },
                "late: slower reading than estimated",
            ),
            (
                {
                    "result": 1000,
                    "first_event_after": 0.9,
                    "goal": 0.5,
                    "read_in": 0.2,
                    "choice": {"first_event": 0.3},
                },
                "late: slow start of generating",
            ),
            (
                {
                    "result": 1000,
                    "first_event_after": 0.9,
                    "goal": 0.5,
                    "sends": [["e1", "read", "silent"], ["e2", "generate", "answered"]],
                },
                "late: sent again",
            ),
            (
                {"result": 2008, "stopped": "repeat budget spent"},
                "no endpoint: repeat budget spent",
            ),
            ({"result": 2008}, "no endpoint: none listed"),
            ({"result": 2009}, "deadline: nothing was sent"),
            (
                {"result": 3001, "sends": [["e1", "run", "cut"]]},
                "deadline: endpoints took all of the time",
            ),
            ({"result": 2012}, "shutting-down"),
            ({"result": 9999}, UNTRACED),
            ({}, UNTRACED),
        ],
    )
    def test_cause_is_named(self, fields, name):
        (end,) = read_lines(['{"time":1,"host":"a","message":"request"}'])
        end.fields.update(fields)
        assert cause_of(end).name == name

    def test_share_without_a_cause_is_counted(self):
        ends = [line("request", 1.0, result=code) for code in (1000, 2012, 2012, 9999)]
        counts, _ = count_causes(ends)
        assert counts == {"shutting-down": 2, UNTRACED: 1}
        assert traced_share(counts) == pytest.approx(2 / 3)


class TestCommands:
    def run(self, monkeypatch, capsys, *arguments):
        monkeypatch.setattr(sys, "argv", ["samphirectl", *arguments])
        ctl.main()
        return capsys.readouterr().out

    def test_identifier_that_looks_like_a_number_is_taken_as_it_is(
        self, monkeypatch, capsys, tmp_path
    ):
        file = tmp_path / "a.log"
        file.write_text(line("request", time.time(), request="7e12", result=2012) + "\n")
        told = self.run(monkeypatch, capsys, "explain", "7e12", str(file))
        assert "shutting-down" in told
        counted = self.run(monkeypatch, capsys, "causes", str(file))
        assert "traced: 100.0% of 1 requests" in counted
