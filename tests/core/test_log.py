"""Tests of JSON log lines and of the bounded handler."""

import contextlib
import json
import logging
import os
import sys
import time

from samphirehall.core.log import (
    MAX_ORDINARY_LINES_PER_SECOND,
    MAX_UNWRITTEN_BYTES,
    BoundedStreamHandler,
    JsonLineFormatter,
    log_decision,
)


class TestJsonLineFormatter:
    def _lines(self, write):
        lines = []
        handler = logging.Handler()
        handler.emit = lambda record: lines.append(handler.format(record))
        handler.setFormatter(JsonLineFormatter(host="host-a", program="samphire-entry"))
        logger = logging.Logger("samphirehall.test", level=logging.INFO)
        logger.addHandler(handler)
        write(logger)
        return [json.loads(line) for line in lines]

    def test_a_decision_has_its_reason_and_inputs(self):
        (line,) = self._lines(
            lambda logger: log_decision(
                logger, "route", "fewest", endpoint="engine-1", estimate=0.5
            )
        )
        assert line.pop("time") > 0
        assert line == {
            "level": "INFO",
            "logger": "samphirehall.test",
            "message": "route",
            "host": "host-a",
            "program": "samphire-entry",
            "reason": "fewest",
            "endpoint": "engine-1",
            "estimate": 0.5,
        }

    def test_an_exception_and_a_strange_value_stay_one_line(self):
        def write(logger):
            try:
                raise ValueError("wrong\nvalue")
            except ValueError:
                logger.error("failed", exc_info=sys.exc_info(), extra={"value": object})

        (line,) = self._lines(write)
        assert "wrong" in line["exc_info"] and "object" in line["value"]


class TestBoundedStreamHandler:
    def handler(self, descriptor):
        handler = BoundedStreamHandler(descriptor)
        handler.setFormatter(JsonLineFormatter())
        return handler

    def emit(self, handler, count, *, second, level=logging.INFO):
        for number in range(count):
            record = logging.makeLogRecord({"msg": f"line {number}", "levelno": level})
            record.created = float(second)
            handler.emit(record)

    def test_lines_of_a_second_are_bounded_and_what_is_left_out_is_told(self):
        read_end, write_end = os.pipe()
        handler = self.handler(write_end)
        self.emit(handler, MAX_ORDINARY_LINES_PER_SECOND + 50, second=1)
        self.emit(handler, 1, second=2)
        lines = os.read(read_end, 1_000_000).decode().splitlines()
        dropped = next(json.loads(line) for line in lines if "log-lines-dropped" in line)
        assert dropped["lines"] == 50 and len(lines) == MAX_ORDINARY_LINES_PER_SECOND + 2

    def test_warnings_have_a_bound_of_their_own(self):
        read_end, write_end = os.pipe()
        handler = self.handler(write_end)
        self.emit(handler, MAX_ORDINARY_LINES_PER_SECOND + 50, second=1)
        self.emit(handler, 1, second=1, level=logging.WARNING)
        assert (
            len(os.read(read_end, 1_000_000).decode().splitlines())
            == MAX_ORDINARY_LINES_PER_SECOND + 1
        )

    def test_reader_that_stops_reading_blocks_nothing_and_costs_bounded_memory(self):
        _, write_end = os.pipe()
        handler = self.handler(write_end)
        started_at = time.monotonic()
        for second in range(60):
            self.emit(handler, MAX_ORDINARY_LINES_PER_SECOND, second=second)
        assert time.monotonic() - started_at < 5.0
        assert len(handler._unwritten) < MAX_UNWRITTEN_BYTES + 10_000

    def test_line_is_whole_after_a_slow_reader_has_caught_up(self):
        read_end, write_end = os.pipe()
        handler = self.handler(write_end)
        for second in range(20):
            self.emit(handler, MAX_ORDINARY_LINES_PER_SECOND, second=second)
        received = b""
        for second in range(20, 30):
            received += os.read(read_end, 1_000_000)
            self.emit(handler, 1, second=second)
        os.set_blocking(read_end, False)
        with contextlib.suppress(BlockingIOError):
            received += os.read(read_end, 1_000_000)
        assert all(json.loads(line) for line in received.splitlines())
