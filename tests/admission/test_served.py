from samphirehall.admission.fair_queue import VirtualCounters
from samphirehall.admission.served import MAX_FACTS_PER_ROUND, ServedWorkTracker
from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState


def host(name, zone="z1"):
    state, counters = NodeState(name, zone, 1), VirtualCounters()
    return state, counters, ServedWorkTracker(state, counters, lambda customer: 2.0)


def exchange_facts(sender, receiver, *, now):
    for fact in sender.fact_store.current(FactKind.SERVED_TOKENS, now=now):
        receiver.fact_store.merge(fact, now=now)


class TestServedWorkTracker:
    def test_work_of_a_peer_since_its_first_fact_is_charged_once(self):
        (sender, _, tracker), (receiver, counters, _) = host("h1"), host("h2")
        tracker.record("coop", 100.0)
        tracker.publish(now=0.0)
        exchange_facts(sender, receiver, now=0.0)
        tracker.record("coop", 50.0)
        tracker.publish(now=1.0)
        exchange_facts(sender, receiver, now=1.0)
        exchange_facts(sender, receiver, now=1.0)
        assert counters.value("coop") == 25.0

    def test_work_of_another_zone_is_not_charged(self):
        (sender, _, tracker), (receiver, counters, _) = host("h1"), host("h2", "z2")
        for now in (0.0, 1.0):
            tracker.record("coop", 100.0)
            tracker.publish(now=now)
            exchange_facts(sender, receiver, now=now)
        assert counters.value("coop") == 0.0

    def test_a_round_publishes_a_bounded_number_and_later_rounds_the_others(self):
        _, _, tracker = host("h1")
        for number in range(MAX_FACTS_PER_ROUND + 3):
            tracker.record(f"c{number}", 10.0 + number)
        assert tracker.publish(now=0.0) == MAX_FACTS_PER_ROUND
        assert tracker.publish(now=1.0) == 3
        assert tracker.publish(now=2.0) == 0
