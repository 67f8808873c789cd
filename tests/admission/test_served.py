from samphirehall.admission.fair_queue import VirtualCounters
from samphirehall.admission.served import MAX_FACTS_A_ROUND, ServedAccount
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState


def host(name, zone="z1"):
    state, counters = NodeState(name, zone, 1), VirtualCounters()
    return state, counters, ServedAccount(state, counters, lambda customer: 2.0)


def tell(sender, receiver, *, now):
    for fact in sender.board.current(FactKind.SERVED_TOKENS, now=now):
        receiver.board.merge(fact, now=now)


class TestServedAccount:
    def test_peer_is_lifted_by_what_was_served_since(self):
        (one, _, account), (other, counters, _) = host("h1"), host("h2")
        account.add("coop", 100.0)
        account.publish(now=0.0)
        tell(one, other, now=0.0)
        account.add("coop", 50.0)
        account.publish(now=1.0)
        tell(one, other, now=1.0)
        tell(one, other, now=1.0)
        assert counters.of("coop") == 25.0

    def test_other_zones_keep_their_own_account(self):
        (one, _, account), (other, counters, _) = host("h1"), host("h2", "z2")
        for now in (0.0, 1.0):
            account.add("coop", 100.0)
            account.publish(now=now)
            tell(one, other, now=now)
        assert counters.of("coop") == 0.0

    def test_a_round_tells_a_bounded_number_and_the_rest_later(self):
        _, _, account = host("h1")
        for number in range(MAX_FACTS_A_ROUND + 3):
            account.add(f"c{number}", 10.0 + number)
        assert account.publish(now=0.0) == MAX_FACTS_A_ROUND
        assert account.publish(now=1.0) == 3
        assert account.publish(now=2.0) == 0
