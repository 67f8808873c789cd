"""Meshes run on the event loop that the programs use."""

import pytest
import uvloop


@pytest.fixture
def anyio_backend():
    return ("asyncio", {"loop_factory": uvloop.new_event_loop})
