import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.admission.fair_queue import FairQueue, VirtualCounters

WEIGHTS = st.lists(st.sampled_from([0.5, 1.0, 2.0, 3.0]), min_size=2, max_size=5)
WORKS = st.lists(st.integers(1, 20), min_size=5, max_size=60)
MAX_WORK = 20.0
ROUNDING = 1e-9


def filled(weights, works):
    """Return a queue in which every customer has the same items."""
    queue = FairQueue(VirtualCounters())
    for number, weight in enumerate(weights):
        for position, work in enumerate(works):
            item = (f"c{number}", position, work)
            queue.push(f"c{number}", item, weight=weight, work=work, priority=1)
    return queue


class TestFairQueue:
    @given(WEIGHTS, WORKS)
    def test_shares_differ_by_at_most_one_request(self, weights, works):
        queue = filled(weights, works)
        served = dict.fromkeys((f"c{number}" for number in range(len(weights))), 0.0)
        remaining = dict.fromkeys(served, len(works))
        while all(remaining.values()):
            customer, _, work = queue.pop()
            served[customer] += work
            remaining[customer] -= 1
            shares = [served[f"c{number}"] / weight for number, weight in enumerate(weights)]
            assert max(shares) - min(shares) <= MAX_WORK / min(weights) + ROUNDING

    @given(WEIGHTS, WORKS)
    def test_everything_is_served_and_virtual_time_never_decreases(self, weights, works):
        counters = VirtualCounters()
        queue = FairQueue(counters)
        for number, weight in enumerate(weights):
            for work in works:
                queue.push(f"c{number}", work, weight=weight, work=work, priority=1)
        times = []
        while len(queue):
            queue.pop()
            times.append(counters.virtual_time)
        assert len(times) == len(weights) * len(works)
        assert times == sorted(times)

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("push"), st.sampled_from("abc"), st.integers(1, 9)),
                st.tuples(st.just("pop"), st.just(""), st.just(0)),
                st.tuples(st.just("remove"), st.just(""), st.integers(0, 9)),
                st.tuples(st.just("correct"), st.sampled_from("abc"), st.integers(-9, 9)),
            )
        )
    )
    def test_any_operations_keep_the_length_and_virtual_time(self, history):
        counters = VirtualCounters()
        queue, handles, last_virtual_time = FairQueue(counters), {}, 0.0
        for number, (action, customer, value) in enumerate(history):
            if action == "push":
                handles[number] = queue.push(customer, number, weight=1, work=value, priority=1)
            elif action == "pop" and handles:
                del handles[queue.pop()]
            elif action == "remove" and handles:
                queue.remove(handles.pop(sorted(handles)[value % len(handles)]))
            elif action == "correct":
                counters.charge(customer, value, 1.0)
            assert len(queue) == len(handles)
            assert counters.virtual_time >= last_virtual_time
            last_virtual_time = counters.virtual_time

    def test_idle_time_earns_no_credit(self):
        queue = FairQueue(VirtualCounters())
        for _ in range(20):
            queue.push("busy", "busy", weight=1, work=1, priority=1)
        for _ in range(10):
            queue.pop()
        for _ in range(10):
            queue.push("idle", "idle", weight=1, work=1, priority=1)
        order = [queue.pop() for _ in range(10)]
        assert order.count("idle") in (5, 6)

    def test_priority_then_arrival_within_a_customer(self):
        queue = FairQueue(VirtualCounters())
        for priority, item in ((2, "batch"), (1, "first"), (1, "second"), (0, "urgent")):
            queue.push("a", item, weight=1, work=1, priority=priority)
        assert [queue.pop() for _ in range(4)] == ["urgent", "first", "second", "batch"]

    def test_last_of_the_largest_backlog_belongs_to_the_flooding_customer(self):
        queue = FairQueue(VirtualCounters())
        queue.push("small", "s", weight=1, work=5, priority=1)
        for number in range(3):
            queue.push("large", number, weight=1, work=5, priority=1)
        assert queue.last_of_largest_backlog().entry.item == 2

    def test_pop_from_an_empty_queue_raises(self):
        with pytest.raises(IndexError):
            FairQueue(VirtualCounters()).pop()
