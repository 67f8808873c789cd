"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.rendezvous import is_chosen, ranked

members = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=12)


class TestRanked:
    @given(members, st.text(max_size=5), st.integers(1, 4))
    def test_agrees_with_is_chosen(self, group, subject, count):
        chosen = {member for member in group if is_chosen(member, group, subject, count=count)}
        assert chosen == set(ranked(group, subject)[:count])

    @given(members, st.text(max_size=5))
    def test_a_leaver_moves_only_what_it_had(self, group, subject):
        order = ranked(group, subject)
        leaver = order[-1]
        assert ranked(group - {leaver}, subject) == [item for item in order if item != leaver]
