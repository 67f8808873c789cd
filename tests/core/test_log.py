"""Log lines as JSON."""

import json
import logging
import sys

from samphirehall.core.log import JsonLineFormatter, log_decision


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
