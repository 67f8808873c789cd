"""Limits on all connections of a listener together."""

import pytest

from samphirehall.forwarding import connection_limits
from samphirehall.forwarding.connection_limits import (
    MIN_BUFFERED_BYTES,
    ConnectionLimits,
    Held,
    RefusalReason,
    limits_of_process,
)


class FakeConnection:
    def __init__(self, unread=False):
        self.closed, self.unread = [], unread

    def has_unread_bytes(self):
        return self.unread

    def close_for_room(self, reason):
        self.closed.append(reason)


def admitted(limits, count):
    connections = [FakeConnection() for _ in range(count)]
    assert all(limits.admit(connection) for connection in connections)
    return connections


class TestConnections:
    # Guards against a process without descriptors for its endpoints.
    def test_oldest_unused_connection_makes_room(self):
        limits = ConnectionLimits(3, lambda: 100)
        used, old, new = admitted(limits, 3)
        limits.mark_used(used)
        assert limits.admit(FakeConnection()) and limits.connections == 3
        assert (used.closed, old.closed, new.closed) == ([], [RefusalReason.UNUSED], [])

    def test_connection_whose_request_has_arrived_is_kept(self):
        limits = ConnectionLimits(1, lambda: 100)
        assert limits.admit(FakeConnection(unread=True))
        assert not limits.admit(FakeConnection())

    def test_connection_is_idle_only_between_its_requests(self):
        limits = ConnectionLimits(1, lambda: 100, closes_idle=True)
        (used,) = admitted(limits, 1)
        limits.mark_used(used)
        assert not limits.admit(FakeConnection())
        limits.mark_idle(used)
        limits.mark_used(used)
        assert not limits.admit(FakeConnection()) and not used.closed
        limits.mark_idle(used)
        assert limits.admit(FakeConnection()) and used.closed == [RefusalReason.UNUSED]

    def test_unread_responses_make_room_where_all_connections_are_used(self):
        limits = ConnectionLimits(2, lambda: 100)
        ordinary, unread = admitted(limits, 2)
        limits.mark_used(ordinary)
        limits.mark_used(unread)
        assert not limits.admit(FakeConnection())
        limits.update(unread, Held(9, 9, 9))
        assert limits.admit(FakeConnection()) and limits.connections == 2
        assert (ordinary.closed, unread.closed) == ([], [RefusalReason.UNREAD])

    def test_closed_connection_makes_room_and_a_retired_one_does_not(self):
        limits = ConnectionLimits(2, lambda: 100)
        first, second = admitted(limits, 2)
        limits.mark_used(second)
        limits.retire(first)
        assert not limits.admit(FakeConnection())
        limits.remove(first)
        assert limits.admit(FakeConnection())


class TestBytes:
    # Guards against a process that outgrows its memory, and against ordinary clients that pay.
    def test_bytes_sent_ahead_go_before_a_long_body(self):
        limits = ConnectionLimits(9, lambda: 1000)
        body, ahead, small = admitted(limits, 3)
        limits.update(small, Held(10))
        limits.update(ahead, Held(300, 300))
        limits.update(body, Held(800))
        assert ahead.closed == [RefusalReason.MEMORY] and not body.closed + small.closed
        assert limits.buffered_bytes == 810

    def test_longest_body_makes_room(self):
        limits = ConnectionLimits(9, lambda: 1000)
        long, short = admitted(limits, 2)
        limits.update(long, Held(900))
        limits.update(short, Held(200))
        assert (long.closed, short.closed) == ([RefusalReason.MEMORY], [])

    def test_bytes_of_a_connection_that_was_lost_are_not_counted(self):
        limits = ConnectionLimits(9, lambda: 1000)
        (lost,) = admitted(limits, 1)
        limits.remove(lost)
        limits.update(lost, Held(900))
        assert limits.buffered_bytes == 0


class TestDefaults:
    @pytest.mark.parametrize(("memory", "expected"), [(1024, 64), (160, 32)])
    def test_defaults_follow_from_the_process(self, monkeypatch, memory, expected):
        monkeypatch.setattr(connection_limits, "descriptor_limit", lambda: 400)
        monkeypatch.setattr(connection_limits, "memory_limit", lambda: memory * 2**20)
        limits = limits_of_process()
        assert limits.max_connections == 300
        assert limits._max_buffered_bytes() == expected * 2**20

    def test_two_of_the_longest_bodies_always_fit(self):
        limits = limits_of_process(max_buffered_bytes=1, max_body_bytes=lambda: MIN_BUFFERED_BYTES)
        assert limits._max_buffered_bytes() == 2 * MIN_BUFFERED_BYTES
