"""Parts of prompts that crash engines, among sound prompts that share their other parts."""

import random

import pytest

from samphirehall.routing.part_quarantine import (
    BURST_SECONDS,
    GROUP_LIFETIME_SECONDS,
    MAX_CRASHES,
    MIN_SCORE,
    SETTLING_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    PartQuarantine,
)

STEP = 1.0  # seconds between crashes, longer than a burst


def after_crashes(*prompts, step=STEP):
    """Return evidence of one crash a step, each under the given prompts, and the time after it."""
    quarantine = PartQuarantine()
    for number, running in enumerate(prompts):
        at = number * step
        for parts in running:
            quarantine.record_crash(f"e{number}", parts, at=at, now=at)
    return quarantine, (len(prompts) - 1) * step + SETTLING_SECONDS


class TestDeadlyPart:
    def test_part_that_is_present_in_several_crashes_is_blocked_in_every_prompt(self):
        quarantine, now = after_crashes(*[[("deadly", f"other-{n}")] for n in range(MIN_SCORE)])
        assert quarantine.blocked(("deadly", "new"), now=now) == {"deadly"}
        assert quarantine.blocked(("new", "other-1"), now=now) is None

    def test_fewer_crashes_block_nothing(self):
        quarantine, now = after_crashes(*[[("deadly",)]] * (MIN_SCORE - 1))
        assert quarantine.blocked(("deadly",), now=now) is None

    def test_part_with_a_complete_answer_since_is_not_blocked(self):
        quarantine, now = after_crashes(*[[("common", "deadly")]] * MIN_SCORE)
        assert quarantine.record_completion(("common", "sound"), now=now) == ["common"]
        assert quarantine.blocked(("common", "sound"), now=now) is None
        assert quarantine.blocked(("common", "deadly"), now=now) == {"deadly"}

    def test_sound_prompts_run_while_two_parts_explain_the_crashes_equally_well(self):
        quarantine, now = after_crashes(*[[("common", "deadly")]] * MIN_SCORE)
        assert quarantine.blocked(("common", "sound"), now=now) is None
        assert quarantine.blocked(("common", "deadly"), now=now) == {"common", "deadly"}
        assert quarantine.record_completion(("common", "sound"), now=now) == ["common"]
        assert quarantine.blocked(("other", "deadly"), now=now) == {"deadly"}

    def test_prompt_that_moved_on_with_a_deadly_one_is_not_blocked(self):
        running = [("a", "deadly"), ("b", "bystander")]
        quarantine, now = after_crashes(running, running, running, [("a", "deadly")])
        assert quarantine.blocked(("b", "bystander"), now=now) is None
        quarantine.record_completion(("a",), now=now)
        assert quarantine.blocked(("a", "deadly"), now=now) == {"deadly"}
        assert quarantine.blocked(("b", "bystander"), now=now) is None

    def test_new_part_is_blamed_before_one_with_answers_of_old(self):
        quarantine = PartQuarantine()
        quarantine.record_completion(("old",), now=0.0)
        for number in range(6):
            for parts in (("deadly",), ("old",)):
                quarantine.record_crash(f"e{number}", parts, at=number + 1.0, now=number + 1.0)
        assert quarantine.blocked(("deadly",), now=9.0) == {"deadly"}
        assert quarantine.blocked(("old",), now=9.0) is None

    def test_engines_that_are_lost_at_once_block_nothing(self):
        running = [[("common", f"session-{n}")] for n in range(9)]
        quarantine, now = after_crashes(*running, step=BURST_SECONDS / 10)
        assert quarantine.blocked(("common", "new"), now=now) is None

    def test_two_deadly_parts_are_both_found(self):
        crashes = [[("x", "common")], [("y", "common")]] * MIN_SCORE
        quarantine, now = after_crashes(*crashes)
        quarantine.record_completion(("common",), now=now)
        assert quarantine.blocked(("x",), now=now) == {"x"}
        assert quarantine.blocked(("y",), now=now) == {"y"}


class TestReview:
    def blocked_part(self):
        quarantine, now = after_crashes(*[[("deadly",)]] * MIN_SCORE)
        group = quarantine.blocked(("deadly",), now=now)
        return quarantine, group, now

    def test_one_trial_is_taken_and_the_next_one_waits_longer(self):
        quarantine, group, now = self.blocked_part()
        assert not quarantine.take_trial(group, now=now)
        later = now + TRIAL_INTERVAL_SECONDS
        assert quarantine.retry_after(group, now=later) == 0.0
        assert quarantine.take_trial(group, now=later)
        assert not quarantine.take_trial(group, now=later + 2 * TRIAL_INTERVAL_SECONDS)

    def test_trial_that_is_answered_ends_the_quarantine(self):
        quarantine, _, now = self.blocked_part()
        assert quarantine.record_completion(("deadly",), now=now) == ["deadly"]
        assert quarantine.blocked(("deadly",), now=now) is None
        assert list(quarantine.blocks(now=now)) == []

    def test_quarantine_ends_long_after_the_last_crash(self):
        quarantine, _, now = self.blocked_part()
        assert quarantine.blocked(("deadly",), now=now + GROUP_LIFETIME_SECONDS) is None


class TestPeers:
    def test_started_host_takes_over_the_quarantine_of_its_peers(self):
        first, now = after_crashes(*[[("deadly",)]] * MIN_SCORE)
        first.blocked(("deadly",), now=now)
        started = PartQuarantine()
        for parts, age in first.blocks(now=now):
            started.receive_block(parts, age, now=500.0)
        assert started.blocked(("deadly", "new"), now=500.0) == {"deadly"}

    def test_quarantine_that_a_peer_has_not_ended_yet_is_not_taken_over(self):
        quarantine = PartQuarantine()
        quarantine.record_completion(("sound",), now=10.0)
        quarantine.receive_block(("sound",), 5.0, now=11.0)
        assert quarantine.blocked(("sound",), now=11.0) is None

    def test_crash_before_the_latest_answer_is_no_evidence(self):
        quarantine = PartQuarantine()
        quarantine.record_completion(("sound",), now=10.0)
        assert quarantine.record_crash("e1", ("sound", "x"), at=9.0, now=10.1) == ["sound"]


class TestLongLoad:
    @pytest.mark.parametrize("seed", range(20))
    def test_only_the_deadly_part_is_blocked_under_a_mixed_load(self, seed):
        random_source = random.Random(seed)
        quarantine = PartQuarantine()
        engines = [[] for _ in range(6)]
        crashes, sound_refused, sound, now = 0, 0, 0, 0.0
        for _ in range(3000):
            now += random_source.expovariate(30.0)
            common = random_source.choice(("kind-1", "kind-2", "kind-3"))
            deadly = now > 2.0 and common == "kind-1" and random_source.random() < 0.05
            middle = "deadly" if deadly else f"session-{random_source.randrange(60)}"
            parts = (common, middle)
            for engine in engines:
                done = [item for item in engine if item[0] <= now]
                engine[:] = [item for item in engine if item[0] > now]
                for ended_at, finished in done:
                    quarantine.record_completion(finished, now=ended_at)
            sound += not deadly
            if quarantine.blocked(parts, now=now):
                sound_refused += not deadly
                continue
            chosen = random_source.randrange(6)
            if deadly:
                crashes += 1
                for _, running in engines[chosen]:
                    quarantine.record_crash(f"e{crashes}", running, at=now, now=now)
                quarantine.record_crash(f"e{crashes}", parts, at=now, now=now)
                engines[chosen].clear()
            else:
                engines[chosen].append((now + random_source.uniform(0.05, 0.4), parts))
        assert crashes <= 5
        assert sound_refused <= 0.01 * sound

    def test_memory_is_bounded(self):
        quarantine = PartQuarantine()
        for number in range(10 * MAX_CRASHES):
            quarantine.record_crash(f"e{number}", (f"p{number}",), at=0.0, now=0.0)
        quarantine.blocked(("x",), now=1.0)
        assert len(quarantine._crashes) == MAX_CRASHES
