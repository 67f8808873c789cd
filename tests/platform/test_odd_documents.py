"""Entries and configurations of another writer: valid JSON that cannot be used."""

import json
import logging
import math

import anyio
import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.decoding import MAX_INTEGER, MAX_NAME_CHARACTERS
from samphirehall.core.log import RejectionLog
from samphirehall.gateway.rows import RowChange, Rows, StoreVersion, TableFollower
from samphirehall.platform import documents
from samphirehall.platform.wire import INCARNATION_HEADER
from tests.platform.test_decoding import CONFIGURATION, ENTRY
from tests.support import odd_bytes

DEEP = b'"odd":' + odd_bytes.DEEP_LIST
WITH_DEEP_FIELD = json.dumps(ENTRY).encode()[:-1] + b"," + DEEP + b"}"


def entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def check_endpoint(found):
    """Check that what was decoded can be used and passed on."""
    if found is None:
        return
    host, _, port = found.address.rpartition(":")
    assert host and 1 <= int(port) <= 65_535
    assert 1 <= found.slots <= documents.MAX_ENDPOINT_SLOTS
    assert 0 <= found.started_at_milliseconds <= documents.MAX_UNIX_MILLISECONDS
    assert all(
        0 < len(name) <= MAX_NAME_CHARACTERS
        for name in (found.endpoint_id, found.service, found.zone)
    )
    msgspec.msgpack.encode([found.slots, found.started_at_milliseconds])
    headers = [(b"Host", found.address.encode()), (INCARNATION_HEADER, found.endpoint_id.encode())]
    h11.Request(method="GET", target="/", headers=headers)


class TestOddEntries:
    @pytest.mark.parametrize(
        "content",
        [
            WITH_DEEP_FIELD,
            entry(address="10.0.0.9:0"),
            entry(address="10.0.0.9:99999"),
            entry(address="10.0.0.9:" + "1" * 5_000),
            entry(address="10.0.0.9:²"),
            entry(address="engine:80"),
            entry(address="10.0.0.9\0:80"),
            entry(address="fe80::1%\0:80"),
            entry(slots=10**400),
            entry(slots=2**70),
            entry(slots=0),
            entry(slots=-5),
            entry(born=10**40),
            entry(born=-1),
            entry(zone="z" * 1_000_000),
            entry(zone="z\n"),
            entry(service=""),
        ],
        ids=lambda content: content[-60:].decode(),
    )
    def test_odd_entry_names_no_endpoint(self, content):
        assert documents.decode_endpoint("i-1", content) is None

    @pytest.mark.parametrize("endpoint_id", ["", "a\r\nb", "a\0", " a", "x" * 201])
    def test_id_that_no_header_can_carry_names_no_endpoint(self, endpoint_id):
        assert documents.decode_endpoint(endpoint_id, entry()) is None

    @pytest.mark.parametrize(
        "content",
        [
            entry(slots=100_000),
            entry(zone="z" * 200, service="s" * 200),
            entry(born=1_900_000_000_000),
            entry(address="255.255.255.255:65535"),
            entry(odd=10**400),
        ],
        ids=lambda content: content[-60:].decode(),
    )
    def test_legitimate_entry_is_used(self, content):
        assert documents.decode_endpoint("i" * 200, content) is not None

    @given(st.one_of(odd_bytes.documents, odd_bytes.changed_documents(ENTRY)))
    def test_any_bytes_give_a_usable_endpoint_or_none(self, content):
        check_endpoint(documents.decode_endpoint("i-1", content))

    @given(odd_bytes.texts)
    def test_any_id_gives_a_usable_endpoint_or_none(self, endpoint_id):
        check_endpoint(documents.decode_endpoint(endpoint_id, entry()))

    def test_entry_that_is_odd_each_second_is_logged_once_a_minute(self, monkeypatch, caplog):
        now = [0.0]
        log = RejectionLog(logging.getLogger("odd"), "endpoint-unreadable", lambda: now[0])
        monkeypatch.setattr(documents, "_endpoint_rejections", log)
        for second in range(120):
            now[0] = float(second)
            documents.decode_endpoint("i-1", entry(zone="z" * 1_000_000, slots=second))
        assert len(caplog.records) == 2
        assert all(len(json.dumps(str(record.__dict__))) < 2_000 for record in caplog.records)


class ScriptedSource:
    """Source of one snapshot and one change, which then blocks."""

    def __init__(self, snapshot, changes):
        self._answers = [snapshot, changes]

    async def snapshot(self, table):
        return self._answers.pop(0)

    async def changes(self, table, *, after, wait):
        if not self._answers:
            await anyio.sleep_forever()
        return self._answers.pop(0)


class TestFollowerOfTheList:
    @pytest.mark.anyio
    @pytest.mark.parametrize("odd", (*odd_bytes.ODD_DOCUMENTS, WITH_DEEP_FIELD), ids=range(9))
    async def test_one_odd_entry_leaves_the_others_and_the_follower_goes_on(self, odd):
        first, second = StoreVersion(0, 3), StoreVersion(0, 5)
        rows = [
            RowChange("i-1", StoreVersion(0, 1), entry()),
            RowChange("i-2", StoreVersion(0, 2), odd),
            RowChange("i-3", first, entry()),
        ]
        later = [
            RowChange("i-1", StoreVersion(0, 4), odd),
            RowChange("i-4", second, entry()),
        ]
        usable = {}

        def take(change):
            usable[change.key] = documents.decode_endpoint(change.key, change.value) is not None

        source = ScriptedSource(Rows(rows, first), Rows(later, second))
        follower = TableFollower(source, "servers", take)
        with anyio.move_on_after(0.2):
            await follower.run()
        assert usable == {"i-1": False, "i-2": False, "i-3": True, "i-4": True}
        assert follower.replica.position == second and follower.available


def check_configuration(made):
    assert 0 <= made.version <= MAX_INTEGER
    for route in made.routes:
        assert 0 <= route.timeout < math.inf and 0 <= route.latency_target < math.inf
        assert all(0 <= share.weight < math.inf for share in route.shares)
        assert 0 <= route.priority <= MAX_INTEGER and 0 <= route.max_attempts <= MAX_INTEGER
    limits = made.caller_limits
    assert 0 <= limits.head_timeout < math.inf and 0 <= limits.max_body_bytes <= MAX_INTEGER
    for customer in (made.customers_by_key or {}).values():
        h11.Request(
            method="GET", target="/", headers=[("Host", "-"), ("x-tenant", customer.name.encode())]
        )


class TestOddConfigurations:
    @pytest.mark.parametrize("content", odd_bytes.ODD_DOCUMENTS, ids=range(8))
    def test_document_that_cannot_be_used_raises_value_error(self, content):
        with pytest.raises(ValueError, match="configuration"):
            documents.decode_configuration(content)

    @pytest.mark.parametrize("version", [-1, 2**63, 2**70, 10**400])
    def test_version_that_hosts_cannot_tell_each_other_is_refused(self, version):
        content = json.dumps({**CONFIGURATION, "version": version}).encode()
        with pytest.raises(ValueError, match="configuration"):
            documents.decode_configuration(content)

    def test_deep_field_that_is_not_read_raises_value_error(self):
        content = json.dumps(CONFIGURATION).encode()[:-1] + b"," + DEEP + b"}"
        with pytest.raises(ValueError, match="configuration"):
            documents.decode_configuration(content)

    @given(
        st.one_of(
            odd_bytes.documents,
            odd_bytes.changed_documents(CONFIGURATION),
            *(
                odd_bytes.changed(part).map(
                    lambda value, name=name: json.dumps(
                        {**CONFIGURATION, name: [value] if name != "limits" else value}
                    ).encode()
                )
                for name, part in (
                    ("routes", CONFIGURATION["routes"][0]),
                    ("services", CONFIGURATION["services"][0]),
                    ("tenants", CONFIGURATION["tenants"][0]),
                    ("limits", CONFIGURATION["limits"]),
                )
            ),
        )
    )
    def test_any_bytes_give_usable_numbers_or_a_value_error(self, content):
        try:
            made = documents.decode_configuration(content)
        except ValueError:
            return
        check_configuration(made)
