import pytest

from samphirehall.core.types import Priority
from samphirehall.standins.batch import Batch, Sequence
from samphirehall.standins.prefix_cache import PrefixCache
from samphirehall.standins.timing import EngineTiming

TIMING = EngineTiming(
    step_base_seconds=0.01,
    decode_sequence_seconds=0.001,
    prefill_tokens_per_second=10_000,
    prefill_chunk_tokens=100,
    max_batch=2,
    cache_block_tokens=100,
    cache_capacity_tokens=300,
    cache_event_loss=0.0,
)


def new_batch(timing=TIMING):
    cache = PrefixCache(timing)
    return Batch(timing, cache, paused=lambda: False), cache


def new_sequence(name, *, prompt=100, tokens=4, priority=Priority.NORMAL, hashes=()):
    return Sequence(name, prompt, list(hashes), 0, tokens, priority, readers=1)


def run_steps(batch, steps, *, now=0.0):
    for _ in range(steps):
        step = batch.plan(now=now)
        now += step.seconds
        batch.finish(step, now=now)
    return now


class TestEngineTiming:
    def test_prefill_slows_the_step_that_decodes(self):
        assert TIMING.step_seconds(2, 0) == pytest.approx(0.012)
        assert TIMING.step_seconds(2, 100) == pytest.approx(0.022)

    def test_time_scale_divides_every_duration(self):
        fast = EngineTiming(time_scale=10)
        slow = EngineTiming()
        assert fast.step_seconds(5, 50) == pytest.approx(slow.step_seconds(5, 50) / 10)
        assert fast.transfer_seconds(1000) == pytest.approx(slow.transfer_seconds(1000) / 10)


class TestBatch:
    def test_prefill_is_chunked_and_ends_with_the_first_token(self):
        batch, _ = new_batch()
        sequence = new_sequence("a", prompt=250)
        batch.add(sequence)
        run_steps(batch, 2)
        assert sequence.next_index == 0
        run_steps(batch, 1)
        assert sequence.next_index == 1

    def test_batch_is_bounded_and_the_rest_waits(self):
        batch, _ = new_batch()
        for name in "abc":
            batch.add(new_sequence(name))
        run_steps(batch, 1)
        assert (batch.running, batch.waiting) == (2, 1)

    def test_urgent_goes_before_batch(self):
        batch, _ = new_batch()
        first, second, urgent = (
            new_sequence("a", priority=Priority.BATCH),
            new_sequence("b", priority=Priority.BATCH),
            new_sequence("c", priority=Priority.URGENT),
        )
        for sequence in (first, second, urgent):
            batch.add(sequence)
        run_steps(batch, 1)
        assert (urgent.next_index, first.next_index, second.next_index) == (1, 0, 0)

    def test_cached_blocks_need_no_prefill(self):
        batch, _ = new_batch()
        batch.add(new_sequence("a", prompt=300, tokens=1, hashes=[1, 2, 3]))
        run_steps(batch, 3)
        repeated = new_sequence("b", prompt=300, tokens=1, hashes=[1, 2, 3])
        batch.add(repeated)
        run_steps(batch, 1)
        assert repeated.finished

    def test_sequence_that_nobody_reads_is_aborted(self):
        batch, _ = new_batch()
        sequence = new_sequence("a", tokens=1000)
        sequence.readers = 0
        batch.add(sequence)
        run_steps(batch, 2, now=TIMING.orphan_seconds + 1)
        assert sequence.cancelled
        assert batch.running == 0


class TestPrefixCache:
    def test_capacity_is_kept_and_the_oldest_is_removed(self):
        cache = PrefixCache(TIMING)
        cache.store([1, 2, 3], now=0.0)
        cache.store([4], now=1.0)
        assert cache.tokens == 300
        assert cache.matched_tokens([1]) == 0
        assert cache.matched_tokens([4]) == 100

    def test_events_are_published_late(self):
        cache = PrefixCache(TIMING)
        cache.store([1, 2, 3, 4], now=10.0)
        assert cache.events(after=0, now=10.0) == []
        later = cache.events(after=3, now=10.0 + TIMING.cache_event_lag_seconds)
        assert [(event.number, event.block, event.stored) for event in later] == [
            (4, 4, True),
            (5, 1, False),
        ]

    def test_lost_events_leave_a_gap(self):
        cache = PrefixCache(EngineTiming(cache_event_loss=0.5), seed=3)
        cache.store(list(range(40)), now=0.0)
        numbers = [event.number for event in cache.events(after=0, now=99.0)]
        assert 0 < len(numbers) < 40
        assert numbers == sorted(numbers)
