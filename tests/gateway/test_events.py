"""Splitting of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.gateway.events import EventSplitter
from tests.support.odd_bytes import LONG_DIGITS


@pytest.mark.parametrize("number", [LONG_DIGITS, b"1" * 40])
def test_event_with_an_odd_number_has_none(number):
    (event,) = EventSplitter().feed(b"id: " + number + b"\ndata: x\n\n")
    assert event.number is None


@given(st.lists(st.one_of(st.binary(), st.sampled_from([b"id: 7", b"\n\n", LONG_DIGITS]))))
def test_any_bytes_give_events_that_join_to_them(pieces):
    splitter = EventSplitter()
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert b"".join(event.data for event in events) + splitter.remainder == b"".join(pieces)
    assert all(event.number is None or 0 <= event.number < 2**63 for event in events)
