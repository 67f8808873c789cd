"""Answers and rows of the store that are valid JSON and still cannot be used."""

import base64
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.backing.table import Check
from samphirehall.core.decoding import MAX_INTEGER
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.serving import serving
from samphirehall.gateway.rows import RowChange, StoreVersion
from samphirehall.platform import store as store_module
from samphirehall.platform.store import Store
from tests.platform.standin import platform_standin
from tests.support import odd_bytes
from tests.support.ports import free_address

ROW = {"key": "i-1", "ver": 5, "value": base64.b64encode(b"{}").decode()}
ANSWER = {"rows": [ROW], "ver": 7, "has_more": False}


def answer_of(content, *, era=b"0"):
    """Return an application that gives each request one answer."""

    async def app(scope, receive, send):
        headers = [(b"store-era", era)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": content})

    return app


@given(
    st.lists(
        st.one_of(
            odd_bytes.json_values.map(lambda value: json.dumps(value).encode()),
            odd_bytes.changed_documents(ROW),
        ),
        max_size=3,
    )
)
def test_odd_rows_are_left_out_and_the_others_hold(odd):
    raw = [msgspec.Raw(content) for content in [*odd, json.dumps(ROW).encode()]]
    rows = store_module._decode_rows(store_module._RowsAnswer(raw, 7))
    assert rows[-1] == RowChange("i-1", StoreVersion(0, 5), b"{}")
    assert all(0 <= row.version.number <= MAX_INTEGER for row in rows)


@pytest.mark.parametrize(
    "change",
    [{"ver": -1}, {"ver": 2**70}, {"ver": 10**400}, {"value": "é"}, {"value": "="}, {"key": 1}],
    ids=lambda change: str(change)[:30],
)
def test_row_with_an_odd_field_is_left_out(change):
    raw = [msgspec.Raw(json.dumps(row).encode()) for row in ({**ROW, **change}, ROW)]
    assert len(store_module._decode_rows(store_module._RowsAnswer(raw, 7))) == 1


@given(odd_bytes.documents)
def test_any_value_of_an_own_row_gives_a_row(content):
    row = store_module._to_product_row(RowChange("k", StoreVersion(0, 5), content))
    assert (row.key, row.version) == ("k", 5)


@given(st.one_of(st.binary(max_size=30), st.sampled_from([odd_bytes.LONG_DIGITS, b"9" * 40])))
def test_any_era_header_gives_an_era_that_fencing_numbers_can_hold_or_none(value):
    era = store_module._decode_era([(b"Store-Era", value)])
    assert era is None or 0 <= era <= store_module.MAX_ERA


@pytest.mark.anyio
class TestCalls:
    @pytest.mark.parametrize("content", odd_bytes.ODD_DOCUMENTS[1:], ids=range(7))
    async def test_odd_answer_raises_platform_unavailable(self, content):
        address = free_address()
        async with serving(answer_of(content), address):
            store = Store(address)
            with pytest.raises(PlatformUnavailableError):
                await store.snapshot("servers")
            await store.aclose()

    @pytest.mark.parametrize("version", [-1, 2**64, 10**400])
    async def test_odd_version_of_an_answer_raises_platform_unavailable(self, version):
        address = free_address()
        async with serving(answer_of(json.dumps({**ANSWER, "ver": version}).encode()), address):
            store = Store(address)
            with pytest.raises(PlatformUnavailableError):
                await store.snapshot("servers")
            await store.aclose()

    @pytest.mark.parametrize("era", [odd_bytes.LONG_DIGITS, b"9" * 40, b"-1", b"\xb2"])
    async def test_odd_era_is_no_restoration(self, era):
        address = free_address()
        async with serving(answer_of(json.dumps(ANSWER).encode(), era=era), address):
            store = Store(address)
            assert (await store.snapshot("servers")).version == StoreVersion(0, 7)
            assert store.era == 0
            await store.aclose()

    @pytest.mark.parametrize("content", odd_bytes.ODD_DOCUMENTS[1:], ids=range(7))
    async def test_odd_own_row_is_read_with_its_version(self, content):
        async with platform_standin() as (standin, _):
            store = Store(standin.address)
            standin.put("samphirehall", "a/1", content)
            standin.put("samphirehall", "a/2", {"n": 1})
            rows = await store.scan("a/")
            assert [(row.key, row.version) for row in rows] == [("a/1", 1), ("a/2", 2)]
            assert rows[1].value == {"n": 1}
            assert (await store.read(["a/1"]))["a/1"].version == 1
            conflict = await store.transact([Check("a/1", 9)], [])
            assert conflict.conflicts[0].version == 1
            await store.aclose()
