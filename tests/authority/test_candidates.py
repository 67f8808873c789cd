"""Ranks and poll intervals of lease candidates."""

import random

import pytest

from samphirehall.authority.candidates import (
    MAX_POLL_INTERVAL_SECONDS,
    candidate_rank,
    initial_poll_delay,
    poll_interval,
)

HOSTS = [f"host-{number}" for number in range(420)]


class TestCandidateRank:
    def test_every_host_has_its_own_rank(self):
        ranks = sorted(candidate_rank(host, HOSTS, "platform") for host in HOSTS)
        assert ranks == list(range(len(HOSTS)))

    def test_unlisted_host_is_a_candidate(self):
        assert 0 <= candidate_rank("new", HOSTS, "platform") <= len(HOSTS)


class TestPollSeconds:
    @pytest.mark.parametrize("rank", [0, 1, 5, 400])
    def test_interval_grows_with_rank(self, rank):
        seconds = poll_interval(rank, 2.0, random_source=random.Random(1))
        assert seconds == pytest.approx(min(2.0 * (rank + 1), MAX_POLL_INTERVAL_SECONDS), rel=0.1)

    def test_total_read_rate_stays_low(self):
        source = random.Random(1)
        reads = sum(1 / poll_interval(rank, 2.0, random_source=source) for rank in range(420))
        assert reads < 20.0

    def test_first_candidate_polls_immediately(self):
        assert initial_poll_delay(0, 2.0, random_source=random.Random(1)) == 0.0
