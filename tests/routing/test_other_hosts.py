"""Order in which other hosts are asked to take a request."""

import random

from samphirehall.routing.other_hosts import (
    BACKOFF_SECONDS,
    MAX_TRIED_HOSTS,
    MAX_TRIED_IN_ZONE,
    OtherHost,
    OtherHosts,
)


def other_hosts(zones):
    names = [f"{zone}{number}" for number, zone in enumerate(zones)]
    hosts = {name: OtherHost(name, name[0], "10.0.0.1") for name in [*names, "self"]}
    chosen = OtherHosts("self", "a", random.Random(1))
    chosen.update(hosts)
    return chosen, hosts


class TestChoose:
    def test_hosts_of_the_own_zone_come_first_and_leave_room_for_others(self):
        others, _ = other_hosts("aaaaabbb")
        zones = [host.zone for host in others.choose(now=0.0)]
        assert zones == ["a"] * MAX_TRIED_IN_ZONE + ["b"] * (MAX_TRIED_HOSTS - MAX_TRIED_IN_ZONE)

    def test_this_host_is_never_chosen(self):
        others, _ = other_hosts("ab")
        assert {host.name for host in others.choose(now=0.0)} == {"a0", "b1"}

    def test_host_that_refused_comes_last_until_its_backoff_ends(self):
        others, hosts = other_hosts("ab")
        others.record_refusal(hosts["a0"], now=5.0)
        assert [host.name for host in others.choose(now=5.1)] == ["b1", "a0"]
        names = [host.name for host in others.choose(now=5.0 + BACKOFF_SECONDS)]
        assert names == ["a0", "b1"]

    def test_one_host_is_asked_while_all_are_in_backoff(self):
        others, hosts = other_hosts("aabb")
        for number, host in enumerate(hosts.values()):
            others.record_refusal(host, now=5.0 + number / 100)
        assert [host.name for host in others.choose(now=5.1)] == ["a0"]

    def test_requests_are_spread_over_the_hosts(self):
        others, _ = other_hosts("bbbb")
        assert len({others.choose(now=0.0)[0].name for _ in range(50)}) == 4
