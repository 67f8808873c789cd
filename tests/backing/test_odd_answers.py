"""Answers of the backing service that cannot be used."""

import json

import pytest

from samphirehall.backing.client import Platform
from samphirehall.backing.table import Check
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.serving import serving
from tests.support import odd_bytes
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

HOST = {"host_id": "h1", "zone": "a", "mesh_address": "10.0.0.1:7000"}
ENDPOINT = {"endpoint_id": "e1", "address": "10.0.0.2:80", "zone": "a", "protocol": "engine"}
ODD_ADDRESSES = ["host:80", "10.0.0.1:0", "10.0.0.1:" + "1" * 5_000, "10.0.0.1\0:80", "", 7]


def answering(content, *, era=b"0"):
    """Return an application that gives each request one answer."""

    async def app(scope, receive, send):
        headers = [(b"table-era", era)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": content})

    return app


@pytest.mark.parametrize("content", odd_bytes.ODD_DOCUMENTS, ids=range(8))
async def test_odd_answer_raises_platform_unavailable(content):
    address = free_address()
    async with serving(answering(content), address):
        platform = Platform(address)
        if content != b"[]":
            with pytest.raises(PlatformUnavailableError):
                await platform.scan("a/")
            with pytest.raises(PlatformUnavailableError):
                await platform.endpoints()
        with pytest.raises(PlatformUnavailableError):
            await platform.transact([Check("a", 1)], [])
        await platform.aclose()


@pytest.mark.parametrize("odd", ODD_ADDRESSES, ids=lambda odd: str(odd)[:20])
async def test_entry_with_an_odd_address_leaves_the_others(odd):
    hosts = [{**HOST, "mesh_address": odd}, HOST]
    endpoints = [{**ENDPOINT, "address": odd}, {"endpoint_id": 1}, [], ENDPOINT]
    for path, entries in (("hosts", hosts), ("endpoints", endpoints)):
        address = free_address()
        async with serving(answering(json.dumps(entries).encode()), address):
            platform = Platform(address)
            (found,) = await getattr(platform, path)()
            assert found.zone == "a"
            await platform.aclose()


@pytest.mark.parametrize("era", [odd_bytes.LONG_DIGITS, b"9" * 40, b"-1", b"\xb2"])
async def test_odd_era_is_no_restoration(era):
    address = free_address()
    async with serving(answering(b"[]", era=era), address):
        platform = Platform(address)
        with pytest.raises(PlatformUnavailableError):
            await platform.scan("a/")
        assert platform.era == 0
        await platform.aclose()
