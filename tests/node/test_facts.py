"""Facts: merging, lookup, expiry and digest."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.node.facts import Fact, FactKind, FactStore

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


def store_with(received) -> FactStore:
    store = FactStore("me", 1)
    for fact in received:
        store.merge(fact, now=NOW)
    return store


def orders(store: FactStore):
    return {stored.fact.identity: stored.fact.order for stored in store.unexpired(now=NOW)}


class TestMerge:
    @given(st.lists(facts).flatmap(lambda some: st.tuples(st.just(some), st.permutations(some))))
    def test_is_commutative(self, both):
        first, second = (store_with(received) for received in both)
        assert orders(first) == orders(second)
        assert first.digest == second.digest

    @given(st.lists(facts))
    def test_is_idempotent_and_newest_wins(self, received):
        store = store_with([*received, *received])
        newest = {}
        for fact in received:
            newest[fact.identity] = max(newest.get(fact.identity, (0, 0)), fact.order)
        assert orders(store) == newest

    def test_new_incarnation_wins_over_higher_counter(self):
        store = store_with([Fact(FactKind.HOST, "h", "h", 1, 900, "old", 10.0)])
        assert store.merge(Fact(FactKind.HOST, "h", "h", 2, 1, "new", 10.0), now=NOW)
        assert [fact.value for fact in store.current(FactKind.HOST, now=NOW)] == ["new"]


class TestExpiry:
    @given(st.lists(facts))
    def test_digest_forgets_what_ended(self, received):
        store = store_with(received)
        store.prune(now=NOW + 11)
        assert store.digest == 0
        assert not list(store.unexpired(now=0))

    @pytest.mark.parametrize(("seconds", "expected"), [(9.0, True), (10.0, False)])
    def test_holds_until_lifetime_ends(self, seconds, expected):
        store = FactStore("me", 1)
        store.publish(FactKind.KEY_WITHDRAWN, "digest", None, lifetime=10.0, now=NOW)
        assert store.contains(FactKind.KEY_WITHDRAWN, "digest", now=NOW + seconds) is expected
        assert (
            bool(store.current_for_key(FactKind.KEY_WITHDRAWN, "digest", now=NOW + seconds))
            is expected
        )
        assert bool(store.current(FactKind.KEY_WITHDRAWN, now=NOW + seconds)) is expected


class TestListen:
    def test_source_does_not_hear_its_own_facts(self):
        store, received_facts = FactStore("me", 1), []
        link = object()
        unsubscribe = store.subscribe(received_facts.append, source=link)
        store.merge(Fact(FactKind.HOST, "a", "a", 1, 1, None, 5.0), now=NOW, source=link)
        assert received_facts == []
        store.merge(Fact(FactKind.HOST, "b", "b", 1, 1, None, 5.0), now=NOW, source=object())
        store.publish(FactKind.HOST, "me", None, lifetime=5.0, now=NOW)
        assert [fact.owner for fact in received_facts] == ["b", "me"]
        unsubscribe()
        store.publish(FactKind.HOST, "me", None, lifetime=5.0, now=NOW)
        assert len(received_facts) == 2
