"""Client of the platform's duties interface, against the stand-in over real sockets."""

import logging

import pytest

from samphirehall.authority.lease import LeaseGrant
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.platform.duties import DutiesClient
from tests.platform.standin import platform_standin
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

GRANT = LeaseGrant("duties", "a/1", 1, 1e9, 1)


async def test_loss_and_recovery_of_the_interface_are_logged_once_each(caplog):
    caplog.set_level(logging.INFO)
    duties = DutiesClient(free_address(), "a")
    for _ in range(2):
        with pytest.raises(PlatformUnavailableError):
            await duties.report_usage(GRANT, 7, {"acme": 1})
    async with platform_standin() as (_, standin):
        duties._pool = DutiesClient(standin.address, "a")._pool
        for _ in range(2):
            await duties.report_usage(GRANT, 7, {"acme": 1})
        await duties.aclose()
    events = [item.message for item in caplog.records if item.message.startswith("duties-")]
    assert events == ["duties-interface-lost", "duties-interface-regained"]
