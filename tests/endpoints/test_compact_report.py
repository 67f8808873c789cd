"""Compact encoding of engine reports: round trip, malformed values and size."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.types import EngineLoad, Role
from samphirehall.endpoints.compact_report import decode_report, encode_report
from samphirehall.endpoints.protocol import EngineReport

MAX_ENCODED_BYTES = 60
counts = st.integers(0, 1_000_000)
reports = st.builds(
    EngineReport,
    st.just("engine-1"),
    st.sampled_from(Role),
    st.lists(st.text("abc@1", min_size=1, max_size=8), max_size=3),
    st.booleans(),
    st.booleans(),
    st.builds(EngineLoad, counts, counts, counts, counts, counts, st.floats(0, 1e9)),
)


class TestDecodeReport:
    @given(reports)
    def test_decodes_every_encoded_report(self, report):
        value = msgpack.unpackb(msgpack.packb(encode_report(report)))
        assert decode_report("engine-1", value) == report

    @pytest.mark.parametrize(
        "value", [None, 7, {}, {"role": "mixed"}, [], [9, [], 0, 0, 1, 1, 1, 1, 1, 0.0], ["x"] * 10]
    )
    def test_returns_none_for_a_malformed_value(self, value):
        assert decode_report("engine-1", value) is None


class TestEncodeReport:
    def test_fits_the_size_limit(self):
        load = EngineLoad(200, 50, 400_000, 250_000, 262_144, 1e6 / 3)
        report = EngineReport("engine-1", Role.DECODE, ["answer@2026-11"], load=load)
        assert len(msgpack.packb(encode_report(report))) <= MAX_ENCODED_BYTES
