"""Daemons log to standard output through a bounded buffer and never block on a slow reader."""

import logging
from types import SimpleNamespace

import pytest

from samphirehall.core.log import BoundedStreamHandler
from samphirehall.programs import control, entry


@pytest.fixture
def root_logger():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield root
    root.handlers[:] = handlers
    root.setLevel(level)


@pytest.mark.parametrize("program", [control, entry])
def test_daemon_writes_bounded_lines(monkeypatch, root_logger, program, capfd):
    settings = SimpleNamespace(
        logging=SimpleNamespace(level="info"), host=SimpleNamespace(id="host-a")
    )
    monkeypatch.setattr(program, "load_or_exit", lambda *arguments, **options: settings)
    monkeypatch.setattr(program, "run_daemon", lambda main: logging.info("runs"))
    program.run("settings.toml")
    assert any(isinstance(handler, BoundedStreamHandler) for handler in root_logger.handlers)
    assert '"message":"runs"' in capfd.readouterr().out
