"""Splitting of event streams."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.gateway import events
from samphirehall.gateway.events import MAX_EVENT_BYTES, EventSplitter
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


class CountingPattern:
    """Pattern that counts the bytes in which it searches."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.searched = 0

    def search(self, text, start=0):
        match = self._pattern.search(text, start)
        self.searched += (len(text) if match is None else match.end()) - start
        return match

    def finditer(self, text):
        self.searched += len(text)
        return self._pattern.finditer(text)


# Guards against CONFIG: the work of a piece that grows with all that came before it.
@pytest.mark.parametrize("piece", [b"x" * 65, b"\n" * 65, b"x\r", b"id: 7\n\nx"])
def test_pieces_of_an_event_are_searched_once(piece, monkeypatch):
    pattern = CountingPattern(events._EVENT_END)
    monkeypatch.setattr(events, "_EVENT_END", pattern)
    splitter, count = EventSplitter(), MAX_EVENT_BYTES // len(piece)
    for _ in range(count):
        list(splitter.feed(piece))
    assert pattern.searched <= 5 * count * len(piece)


def test_blank_lines_without_end_are_too_long():
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="over"):
        for _ in range(MAX_EVENT_BYTES // 64 + 1):
            assert list(splitter.feed(b"\r\n" * 32)) == []


def test_blank_lines_belong_to_the_event_behind_them():
    splitter = EventSplitter()
    first, second = splitter.feed(b"\r\n\r\nid: 1\n\n\n\n\nid: 2\r\n\r\n\n")
    assert (first.number, second.number) == (1, 2) and second.data.startswith(b"\n\n\nid: 2")
    assert splitter.remainder == b"\n" and not splitter.is_inside_event


@given(st.lists(st.sampled_from([b"x", b"\n", b"\r", b"\r\n", b"id: 7\n\n"])), st.data())
def test_events_do_not_depend_on_how_the_bytes_are_split(parts, data):
    stream = b"".join(parts)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    whole, pieces = EventSplitter(), EventSplitter()
    expected = list(whole.feed(stream))
    found = []
    for begin, end in itertools.pairwise([0, *cuts, len(stream)]):
        found += pieces.feed(stream[begin:end])
    assert (found, pieces.remainder) == (expected, whole.remainder)
