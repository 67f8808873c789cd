"""Settings shared by all tests, and the list of tests that are known to fail.

``KNOWN-RED.txt`` has one entry a test: the line ``test: <id>`` and the lines
``command:``, ``seen:`` and ``issue:``. Exactly the tests with these ids are
passed over, and their entries are printed.
"""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
TEST_LINE = "test: "

settings.register_profile("repeatable", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("repeatable")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def known_red_entries(text):
    """Return the entries of the list by test id."""
    blocks = [block for block in text.split("\n\n") if block.startswith(TEST_LINE)]
    return {block.splitlines()[0].removeprefix(TEST_LINE): block for block in blocks}


def pytest_addoption(parser):
    parser.addoption("--seed", type=int, default=None, help="only this seed of the proof runs")
    parser.addoption("--with-known-red", action="store_true", help="run the known failures too")


def pytest_collection_modifyitems(config, items):
    if config.getoption("--with-known-red") or not KNOWN_RED.exists():
        return
    entries = known_red_entries(KNOWN_RED.read_text())
    passed_over = [item for item in items if item.nodeid in entries]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in entries]


def pytest_terminal_summary(terminalreporter, config):
    if not KNOWN_RED.exists() or config.getoption("--with-known-red"):
        return
    for entry in known_red_entries(KNOWN_RED.read_text()).values():
        terminalreporter.section("passed over, known red")
        terminalreporter.write_line(entry.strip())
