"""Event streams, cut anywhere and with planted faults."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.endpoints.events import MAX_EVENT_BYTES, BrokenStreamError, EventReader
from tests.support.endpoint import event, last_event

REQUEST = "req-1"
FAULTS = {
    "gap": lambda index: event(REQUEST, index + 1),
    "repeat": lambda index: event(REQUEST, index - 1),
    "foreign": lambda index: event("req-2", index),
    "longer id": lambda index: event(REQUEST + "1", index),
    "no index": lambda index: b"id: req-1:\ndata: {}\n\n",
    "no data": lambda index: f"id: {REQUEST}:{index}\nevent: x\n\n".encode(),
    "signed index": lambda index: f"id: {REQUEST}:+{index}\ndata: {{}}\n\n".encode(),
    "no id": lambda index: b"data: {}\n\n",
}


def feed(reader, content, cuts):
    """Feed content in pieces; return what was passed on, also of a stream that broke."""
    passed = b""
    edges = [0, *sorted(cut % (len(content) + 1) for cut in cuts), len(content)]
    for begin, end in itertools.pairwise(edges):
        passed += reader.feed(content[begin:end]).content
    return passed


def stream(tokens):
    return b"".join(event(REQUEST, index) for index in range(tokens)) + last_event(REQUEST, tokens)


class TestEventReader:
    @given(tokens=st.integers(0, 6), cuts=st.lists(st.integers(0, 2000), max_size=12))
    def test_passes_a_right_stream_on_however_it_is_cut(self, tokens, cuts):
        reader = EventReader(REQUEST)
        assert feed(reader, stream(tokens), cuts) == stream(tokens)
        assert reader.done and reader.next_index == tokens + 1

    @given(
        fault=st.sampled_from(sorted(FAULTS)),
        at=st.integers(1, 4),
        cuts=st.lists(st.integers(0, 2000), max_size=12),
    )
    def test_passes_nothing_on_from_a_fault(self, fault, at, cuts):
        reader = EventReader(REQUEST)
        good = b"".join(event(REQUEST, index) for index in range(at))
        content = good + FAULTS[fault](at) + event(REQUEST, at) + last_event(REQUEST, at + 1)
        passed = b""
        edges = [0, *sorted(cut % (len(content) + 1) for cut in cuts), len(content)]
        with pytest.raises(BrokenStreamError):
            for begin, end in itertools.pairwise(edges):
                passed += reader.feed(content[begin:end]).content
        assert good.startswith(passed)
        assert passed.count(b"\n\n") == reader.next_index, "a resume would leave events out"

    @given(tokens=st.integers(1, 5), cut=st.integers(0, 2000))
    def test_a_stream_cut_short_is_not_done(self, tokens, cut):
        reader = EventReader(REQUEST)
        content = stream(tokens)
        feed(reader, content[: cut % len(content)], [])
        assert not reader.done

    def test_an_event_after_the_end_is_refused(self):
        with pytest.raises(BrokenStreamError):
            EventReader(REQUEST).feed(stream(1) + event(REQUEST, 2))

    def test_an_endless_event_is_refused(self):
        with pytest.raises(BrokenStreamError):
            EventReader(REQUEST).feed(b"x" * (MAX_EVENT_BYTES + 1))
