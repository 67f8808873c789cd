"""Bodies and numbers that operators send."""

from types import SimpleNamespace

import pytest

from samphirehall.core.decoding import DecodingError
from samphirehall.core.errors import SamphireError
from samphirehall.node.operator_configuration import _fetch_version, apply, withdraw_key
from tests.support import odd_bytes

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("version", ["1" * 5_000, "1" * 40, "²", "-1", "x"])
async def test_odd_version_is_refused(version):
    with pytest.raises(SamphireError) as caught:
        await _fetch_version(SimpleNamespace(), version)
    assert caught.value.result.http_status == 400


@pytest.mark.parametrize("content", odd_bytes.ODD_DOCUMENTS, ids=range(8))
@pytest.mark.parametrize("handler", [apply, withdraw_key])
async def test_odd_body_is_a_decoding_error(handler, content):
    async def body():
        return content

    with pytest.raises(DecodingError):
        await handler(SimpleNamespace(), SimpleNamespace(body=body))
