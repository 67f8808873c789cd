"""Failed and late requests are explained from the log lines of the gateway alone."""

import asyncio
import contextlib
import json
import logging
import sys
import time

import pytest

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import JsonLineFormatter
from samphirehall.explain.causes import UNTRACED, find_cause
from samphirehall.explain.lines import LogLine, read_lines
from samphirehall.explain.timeline import (
    collect_timeline,
    count_causes,
    format_timeline,
    to_dict,
    traced_fraction,
)
from samphirehall.gateway.gateway import Gateway
from samphirehall.gateway.types import Stage
from samphirehall.programs import ctl
from tests.gateway.helpers import (
    DESK,
    MODEL,
    RecordingCaller,
    configuration,
    context,
    engine,
    listed,
    prompt,
    request,
    response_bytes,
    scripted_endpoint,
)
from tests.gateway.test_generation import generate
from tests.support.resets import reset_on_close

pytestmark = pytest.mark.anyio


async def reject(received, writer):
    writer.write(response_bytes(received, b"", status=503, extra=["X-Not-Executed: 1"]))


async def send_partial_stream(received, writer):
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "X-Response-Stamp: s"]
    lines.append(f"X-Request-Id: {received['x-request-id']}")
    event = b"id: 1\ndata: t\n\n"
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_on_close(writer)


async def answer_slowly(received, writer):
    await asyncio.sleep(0.15)
    writer.write(response_bytes(received, b"body"))


async def answer_with_error(received, writer):
    writer.write(response_bytes(received, b"oops", status=500))


class Logs:
    """Log lines of a host, formatted as its process writes them."""

    def __init__(self, caplog, host="host-a"):
        caplog.set_level(logging.INFO)
        self._caplog = caplog
        self._formatter = JsonLineFormatter(host=host, program="samphire-node")

    def __call__(self):
        return [self._formatter.format(record) for record in self._caplog.records]


@pytest.fixture
def logs(caplog):
    return Logs(caplog)


async def serve(
    path, script, *, prompt_to_send=None, pending_tokens=0, stage=None, method=None, key="key-1"
):
    async with scripted_endpoint(script) as endpoint:
        shared, _ = context()
        if stage is None:
            shared.fleet.update(listed("e1", endpoint.address), DESK)
        else:
            shared.fleet.update(engine("e1", stage, address=endpoint.address), MODEL)
        shared.loads._local["e1"].pending_prefill_tokens[0] = pending_tokens
        gateway = Gateway(shared)
        gateway.apply_configuration(configuration(), source="test")
        caller = RecordingCaller()
        with contextlib.suppress(SamphireError):
            await gateway.serve(
                request(path, prompt=prompt_to_send, method=method, key=key), caller
            )
        shared.fleet.remove("e1")


class TestExplain:
    async def test_refused_booking(self, logs):
        await serve("/book/x", reject, method="POST")
        timeline = collect_timeline(logs, "r1")
        text = "\n".join(format_timeline(timeline))
        assert "e1 refused to run it (run)" in text
        assert "no endpoint: all failed or full (result 2008, no-endpoint)" in text
        assert "route book, customer acme, configuration 1" in text
        assert to_dict(timeline)["causes"][0]["name"] == "no endpoint: all failed or full"

    async def test_stream_that_broke(self, logs):
        await serve("/once/x", send_partial_stream, prompt_to_send=prompt(), stage=Stage.DECODE)
        timeline = collect_timeline(logs, "r1")
        text = "\n".join(format_timeline(timeline))
        assert "cause: e1 broke off its answer (generate)" in text
        assert "endpoint-gone" in text

    async def test_answer_that_came_late(self, logs):
        await serve("/read/x", answer_slowly)
        timeline = collect_timeline(logs, "r1")
        assert find_cause(timeline.request_lines[-1]).name == "late: slow endpoint"

    async def test_refused_stream_shows_the_queue(self, logs):
        await serve(
            "/chat/x",
            send_partial_stream,
            prompt_to_send=prompt(),
            stage=Stage.DECODE,
            pending_tokens=50_000,
        )
        (name,), text = count_causes(logs())[0], format_timeline(collect_timeline(logs, "r1"))[-1]
        assert name == "refused: queue too long"
        assert "50000 prompt tokens queued ahead" in text

    async def test_refused_request_shows_the_share_of_its_customer(self):
        share = {"use": 1.8, "served": 900, "asked": 1800, "fair": 500}
        reason = "above its fair share"
        fields = {"result": 2007, "outcome": "overloaded", "reason": reason, "share": share}
        cause = find_cause(LogLine(0.0, "h", "request", fields))
        assert cause.name == "refused: above its fair share"
        assert "served 900 tokens/s of 1800 asked for; its fair share is 500" in cause.text

    async def test_error_status_from_an_endpoint(self, logs):
        await serve("/book/x", answer_with_error, method="POST")
        assert set(count_causes(logs())[0]) == {"endpoint answered a failure"}

    async def test_failed_send_with_successful_retry_has_no_cause(self, logs):
        async with scripted_endpoint(answer_with_error) as bad, scripted_endpoint(generate) as good:
            shared, _ = context()
            shared.fleet.update(engine("d1", address=bad.address), MODEL)
            shared.fleet.update(engine("d2", address=good.address), MODEL)
            shared.loads._local["d2"].requests = 40
            gateway = Gateway(shared)
            gateway.apply_configuration(configuration(), source="test")
            await gateway.serve(request("/chat/x", prompt=prompt()), RecordingCaller())
        assert bad.received and good.received
        assert not count_causes(logs())[0]

    async def test_unknown_key(self, logs):
        await serve("/read/x", answer_slowly, key="other")
        assert set(count_causes(logs())[0]) == {"key-unknown"}

    async def test_request_without_log_lines(self, logs):
        await serve("/read/x", answer_slowly)
        assert format_timeline(collect_timeline(logs, "r2")) == [
            "no log line has the request id r2"
        ]


def line(event, moment, **fields):
    return json.dumps({"time": moment, "host": "a", "message": event, **fields})


SENDS = [["e1", "run", "broken"]]


class TestTimeline:
    END = line("request", 10.0, request="r1", result=3000, seconds=1.0, sends=SENDS)

    def timeline(self, *lines):
        return collect_timeline(lambda: [*lines, self.END], "r1")

    def test_context_is_limited_to_hosts_endpoints_and_time(self):
        timeline = self.timeline(
            line("endpoint-gone", 11.0, endpoint="e1"),
            line("store-lost", 9.5),
            line("endpoint-gone", 11.0, endpoint="e2"),
            line("store-lost", 9.5, host="b"),
            line("store-lost", 1.0),
        )
        assert [item.event for item in timeline.context_lines] == ["store-lost", "endpoint-gone"]

    def test_missing_lines_are_reported(self):
        timeline = self.timeline(line("log-lines-dropped", 10.5, lines=7), "{")
        assert format_timeline(timeline)[-2:] == [
            "7 lines of its hosts were dropped at that time",
            "1 lines could not be parsed",
        ]

    def test_times_are_relative_to_the_arrival(self):
        text = format_timeline(self.timeline(line("store-lost", 8.5)))
        assert text[1].startswith("   -0.500 s  a: store-lost")


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
        assert find_cause(end).name == name

    def test_traced_fraction_excludes_unknown_results(self):
        ends = [line("request", 1.0, result=code) for code in (1000, 2012, 2012, 9999)]
        counts, _ = count_causes(ends)
        assert counts == {"shutting-down": 2, UNTRACED: 1}
        assert traced_fraction(counts) == pytest.approx(2 / 3)


class TestCommands:
    def run(self, monkeypatch, capsys, *arguments):
        monkeypatch.setattr(sys, "argv", ["samphirectl", *arguments])
        ctl.main()
        return capsys.readouterr().out

    def test_request_id_that_looks_like_a_number_stays_text(self, monkeypatch, capsys, tmp_path):
        file = tmp_path / "a.log"
        file.write_text(line("request", time.time(), request="7e12", result=2012) + "\n")
        text = self.run(monkeypatch, capsys, "explain", "7e12", str(file))
        assert "shutting-down" in text
        counted = self.run(monkeypatch, capsys, "causes", str(file))
        assert "traced: 100.0% of 1 requests" in counted
