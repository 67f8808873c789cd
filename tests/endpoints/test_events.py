"""Event streams split at arbitrary bytes, and with invalid events."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.endpoints.events import MAX_EVENT_BYTES, BrokenStreamError, EventReader
from tests.support.endpoint import event, last_event

REQUEST = "req-1"
INVALID_EVENTS = {
    "gap": lambda index: event(REQUEST, index + 1),
    "repeat": lambda index: event(REQUEST, index - 1),
    "other request": lambda index: event("req-2", index),
    "longer id": lambda index: event(REQUEST + "1", index),
    "no index": lambda index: b"id: req-1:\ndata: {}\n\n",
    "no data": lambda index: f"id: {REQUEST}:{index}\nevent: x\n\n".encode(),
    "signed index": lambda index: f"id: {REQUEST}:+{index}\ndata: {{}}\n\n".encode(),
    "no id": lambda index: b"data: {}\n\n",
}


def feed(reader, content, cuts):
    """Feed content to a reader in pieces split at `cuts`; return the content it accepted."""
    accepted = b""
    edges = [0, *sorted(cut % (len(content) + 1) for cut in cuts), len(content)]
    for begin, end in itertools.pairwise(edges):
        accepted += reader.feed(content[begin:end]).content
    return accepted


def stream(tokens):
    return b"".join(event(REQUEST, index) for index in range(tokens)) + last_event(REQUEST, tokens)


class TestEventReader:
    @given(tokens=st.integers(0, 6), cuts=st.lists(st.integers(0, 2000), max_size=12))
    def test_accepts_a_valid_stream_however_it_is_split(self, tokens, cuts):
        reader = EventReader(REQUEST)
        assert feed(reader, stream(tokens), cuts) == stream(tokens)
        assert reader.done and reader.next_index == tokens + 1

    @given(
        fault=st.sampled_from(sorted(INVALID_EVENTS)),
        invalid_index=st.integers(1, 4),
        cuts=st.lists(st.integers(0, 2000), max_size=12),
    )
    def test_accepts_nothing_from_an_invalid_event_on(self, fault, invalid_index, cuts):
        reader = EventReader(REQUEST)
        valid = b"".join(event(REQUEST, index) for index in range(invalid_index))
        content = (
            valid
            + INVALID_EVENTS[fault](invalid_index)
            + event(REQUEST, invalid_index)
            + last_event(REQUEST, invalid_index + 1)
        )
        accepted = b""
        edges = [0, *sorted(cut % (len(content) + 1) for cut in cuts), len(content)]
        with pytest.raises(BrokenStreamError):
            for begin, end in itertools.pairwise(edges):
                accepted += reader.feed(content[begin:end]).content
        assert valid.startswith(accepted)
        assert accepted.count(b"\n\n") == reader.next_index, "a resumed stream would skip events"

    @given(tokens=st.integers(1, 5), cut=st.integers(0, 2000))
    def test_a_truncated_stream_is_not_done(self, tokens, cut):
        reader = EventReader(REQUEST)
        content = stream(tokens)
        feed(reader, content[: cut % len(content)], [])
        assert not reader.done

    def test_rejects_an_event_after_the_end_marker(self):
        with pytest.raises(BrokenStreamError):
            EventReader(REQUEST).feed(stream(1) + event(REQUEST, 2))

    def test_rejects_an_event_over_the_size_limit(self):
        with pytest.raises(BrokenStreamError):
            EventReader(REQUEST).feed(b"x" * (MAX_EVENT_BYTES + 1))
