"""Settings shared by all tests."""

import pytest
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("repeatable")


@pytest.fixture
def anyio_backend():
    return "asyncio"
