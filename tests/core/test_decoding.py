"""Decoding of any bytes and texts into bounded values, or one error."""

import logging

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.decoding import (
    MAX_INTEGER,
    MAX_REASON_CHARACTERS,
    DecodingError,
    Name,
    Unsigned,
    convert,
    decode,
    parse_address,
    parse_unsigned,
)
from samphirehall.core.log import MAX_REJECTION_SOURCES, REJECTION_INTERVAL_SECONDS, RejectionLog
from tests.support import odd_bytes


class Row(msgspec.Struct):
    count: Unsigned = 0
    name: Name = "x"


@given(odd_bytes.documents)
def test_any_bytes_give_a_row_or_a_short_error(content):
    try:
        row = decode(content, msgspec.json.Decoder(Row))
    except DecodingError as error:
        assert len(str(error)) <= MAX_REASON_CHARACTERS
        return
    assert 0 <= row.count <= MAX_INTEGER and row.name.strip()


@given(odd_bytes.json_values)
def test_any_value_gives_a_row_or_an_error(value):
    try:
        row = convert(value, Row)
    except DecodingError:
        return
    assert 0 <= row.count <= MAX_INTEGER


@given(st.one_of(odd_bytes.texts, odd_bytes.texts.map(str.encode), st.integers().map(str)))
def test_any_text_gives_a_number_within_its_maximum_or_none(text):
    number = parse_unsigned(text, maximum=99)
    assert number is None or 0 <= number <= 99


@pytest.mark.parametrize(
    ("text", "expected"), [("0", 0), ("007", 7), (b"12", 12), ("-1", None), ("1_0", None)]
)
def test_digits_are_parsed(text, expected):
    assert parse_unsigned(text) == expected


@given(st.one_of(odd_bytes.json_values, st.text().map(lambda port: f"10.0.0.1:{port}")))
def test_any_value_gives_an_address_or_none(value):
    address = parse_address(value)
    assert address is None or 1 <= address[1] <= 65_535


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("10.0.0.1:80", ("10.0.0.1", 80)),
        ("[::1]:80", ("::1", 80)),
        ("host:80", None),
        ("10.0.0.1:65536", None),
    ],
)
def test_addresses_are_parsed(text, expected):
    assert parse_address(text) == expected


class TestRejectionLog:
    def test_a_source_is_logged_once_an_interval(self, caplog):
        now = [0.0]
        log = RejectionLog(logging.getLogger("t"), "odd", lambda: now[0])
        for _ in range(5):
            log.record("i-1", "x" * 10_000)
        now[0] = REJECTION_INTERVAL_SECONDS
        log.record("i-1", "again")
        assert [record.omitted for record in caplog.records] == [0, 4]
        assert len(caplog.records[0].reason) == MAX_REASON_CHARACTERS

    def test_many_sources_are_logged_up_to_a_number(self, caplog):
        log = RejectionLog(logging.getLogger("t"), "odd", lambda: 0.0)
        for number in range(2 * MAX_REJECTION_SOURCES):
            log.record(f"i-{number}", "odd")
        assert len(caplog.records) == MAX_REJECTION_SOURCES
