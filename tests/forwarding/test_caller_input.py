"""Limits on what a connection reads ahead of its parser."""

import socket

import pytest
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

from samphirehall.forwarding.caller_input import (
    MAX_UNPARSED_BYTES,
    PIECE_BYTES,
    InputControl,
    UnparsedInput,
    has_hung_up,
    may_read,
)


class FakeTransport:
    def __init__(self):
        self.calls = []

    def pause_reading(self):
        self.calls.append("pause")

    def resume_reading(self):
        self.calls.append("resume")


@pytest.mark.parametrize(
    ("unparsed", "body", "expected"),
    [
        (0, 0, True),
        (MAX_UNPARSED_BYTES - 1, HIGH_WATER_LIMIT, True),
        (MAX_UNPARSED_BYTES, 0, False),
        (0, HIGH_WATER_LIMIT + 1, False),
    ],
)
def test_connection_is_read_within_both_limits(unparsed, body, expected):
    assert may_read(unparsed, body) is expected


def test_pieces_join_to_what_was_received():
    unparsed = UnparsedInput()
    unparsed.add(b"x" * PIECE_BYTES)
    unparsed.add(b"yz")
    assert [unparsed.take(), unparsed.take()] == [b"x" * PIECE_BYTES, b"yz"] and not unparsed


# Guards against hundreds of parsed requests that wait on one connection.
def test_piece_ends_with_a_head():
    unparsed = UnparsedInput()
    unparsed.add(b"GET / HTTP/1.1\r\n\r\n" * 3)
    assert [len(unparsed.take()) for _ in range(3)] == [18, 18, 18] and not unparsed


@pytest.mark.anyio
async def test_reading_follows_the_state_of_the_connection():
    reads = True
    transport = FakeTransport()
    control = InputControl(transport, lambda: reads)
    control.pause_reading()
    assert transport.calls == []
    reads = False
    control.resume_reading()
    control.update()
    assert transport.calls == ["pause"] and control.read_paused
    reads = True
    control.update()
    control.stop_checking()
    assert transport.calls == ["pause", "resume"]


@pytest.mark.parametrize("data", [b"", b"x"])
def test_close_of_a_peer_is_seen_without_reading(data):
    left, right = socket.socketpair()
    with left, right:
        right.sendall(data)
        assert not has_hung_up(left.fileno())
        right.close()
        assert has_hung_up(left.fileno())
