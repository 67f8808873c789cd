"""Fixtures that run the tests on uvloop, the event loop of the programs."""

import pytest
import uvloop


@pytest.fixture
def anyio_backend():
    return ("asyncio", {"loop_factory": uvloop.new_event_loop})
