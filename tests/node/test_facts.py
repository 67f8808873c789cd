"""Facts: merging, lookup, expiry and digest."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.node.facts import Fact, FactBoard, FactKind

NOW = 100.0

facts = st.builds(
    Fact,
    kind=st.sampled_from(FactKind),
    key=st.sampled_from(["a", "b"]),
    owner=st.sampled_from(["host-1", "host-2"]),
    incarnation=st.integers(1, 3),
    counter=st.integers(1, 4),
    value=st.just(None),
    lifetime=st.just(10.0),
)


def board_of(received) -> FactBoard:
    board = FactBoard("me", 1)
    for fact in received:
        board.merge(fact, now=NOW)
    return board


def orders(board: FactBoard):
    return {held.fact.identity: held.fact.order for held in board.held(now=NOW)}


class TestMerge:
    @given(st.lists(facts).flatmap(lambda some: st.tuples(st.just(some), st.permutations(some))))
    def test_is_commutative(self, both):
        first, second = (board_of(received) for received in both)
        assert orders(first) == orders(second)
        assert first.digest == second.digest

    @given(st.lists(facts))
    def test_is_idempotent_and_newest_wins(self, received):
        board = board_of([*received, *received])
        newest = {}
        for fact in received:
            newest[fact.identity] = max(newest.get(fact.identity, (0, 0)), fact.order)
        assert orders(board) == newest

    def test_new_incarnation_wins_over_higher_counter(self):
        board = board_of([Fact(FactKind.HOST, "h", "h", 1, 900, "old", 10.0)])
        assert board.merge(Fact(FactKind.HOST, "h", "h", 2, 1, "new", 10.0), now=NOW)
        assert [fact.value for fact in board.current(FactKind.HOST, now=NOW)] == ["new"]


class TestExpiry:
    @given(st.lists(facts))
    def test_digest_forgets_what_ended(self, received):
        board = board_of(received)
        board.prune(now=NOW + 11)
        assert board.digest == 0
        assert not list(board.held(now=0))

    @pytest.mark.parametrize(("after", "held"), [(9.0, True), (10.0, False)])
    def test_holds_until_lifetime_ends(self, after, held):
        board = FactBoard("me", 1)
        board.publish(FactKind.KEY_WITHDRAWN, "digest", None, lifetime=10.0, now=NOW)
        assert board.holds(FactKind.KEY_WITHDRAWN, "digest", now=NOW + after) is held
        assert bool(board.about(FactKind.KEY_WITHDRAWN, "digest", now=NOW + after)) is held
        assert bool(board.current(FactKind.KEY_WITHDRAWN, now=NOW + after)) is held


class TestListen:
    def test_source_does_not_hear_its_own_facts(self):
        board, heard = FactBoard("me", 1), []
        link = object()
        stop = board.listen(heard.append, source=link)
        board.merge(Fact(FactKind.HOST, "a", "a", 1, 1, None, 5.0), now=NOW, source=link)
        assert heard == []
        board.merge(Fact(FactKind.HOST, "b", "b", 1, 1, None, 5.0), now=NOW, source=object())
        board.publish(FactKind.HOST, "me", None, lifetime=5.0, now=NOW)
        assert [fact.owner for fact in heard] == ["b", "me"]
        stop()
        board.publish(FactKind.HOST, "me", None, lifetime=5.0, now=NOW)
        assert len(heard) == 2
