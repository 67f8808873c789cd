"""Speed of each engine, learned by all hosts together from the prefill times that they measure.

Speeds are logarithms of prompt tokens per second of an engine in the prefill stage. Hosts whose
common rates differ can therefore exchange them, and they stay right when a common rate moves or
the engine changes its stage. The common rate of a service and stage serves as the reference from
which a speed must differ clearly before it is used.

The estimate of an engine is a robust running mean: the distance of a sample from it is bounded,
slow samples weigh less, as a call may have waited behind prompts that its host did not know of, and
each sample that disagrees reduces the confidence, so that a lasting change is learned within a few
samples. Samples of one engine change no other estimate.
"""

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass

from samphirehall.scheduling.speed_samples import (
    CommonSpeed,
    SpeedRange,
    SpeedReference,
    SpeedReport,
    SpeedSample,
)

MAX_STEP = 0.5  # largest distance of a sample from the estimate that counts; a factor of 1.65
NOISE = 0.25  # distance within which a sample agrees with the estimate
# Of a sample that is slower than the estimate: it may be by an unknown queue or temporary slowness.
SLOW_WEIGHT = 0.4
QUEUED_WEIGHT = 0.5  # factor for a sample whose queue explains some but not all of its time
DISAGREEMENT_DECAY = 0.85  # of the confidence, for each sample that disagrees
MAX_WEIGHT = 12.0  # confidence limit; equals the memory of an estimate in samples
MAX_SAMPLE_WEIGHT = 3.0  # of several samples that a peer sent as one
PRIOR_WEIGHT = 1.5  # of the common speed; two or three samples have to agree against it
DEAD_BAND = math.log(1.25)  # differences from the common speed below this are ignored
# Added to the dead band between engines, by the weight: estimates from contradictory samples have a
# weight of 2 to 4 and scatter by 0.3; consistent ones reach 6 to 12.
UNCERTAINTY = 0.6
MIN_KNOWN_WEIGHT = 1.0  # of an estimate with which others are compared
OUTER_FRACTION = 0.1  # of the engines on either side, with which others are not compared
SHARING_THRESHOLD = 0.15  # difference from the common speed above which samples are exchanged
MIN_FACTOR, MAX_FACTOR = 0.2, 4.0  # bounds of what an engine's own samples may claim
FRESH_SECONDS = 30.0  # age of the last sample after which an estimate approaches 1 again
FADING_SECONDS = 15.0  # time constant of that
LIFETIME_SECONDS = 120.0  # after the last sample; hardly anything is left then
SHARED_SECONDS = 6.0  # for which samples are exchanged after the last sign of a difference
MIN_SLOWDOWN = 0.4  # distance of a sample that counts as temporary slowness
SLOWDOWN_SECONDS = 0.4  # time constant of temporary slowness; little is left after a second
NOTABLE_CHANGE = math.log(1.2)  # of a lasting factor, for the log
NOTE_INTERVAL_SECONDS = 10.0  # between log lines on one engine


@dataclass(slots=True)
class _Estimate:
    """Estimate of one engine, and the samples of this host that were not sent yet."""

    speed: float
    weight: float = 0.0
    sampled_at: float = float("-inf")
    slowdown: float = 0.0
    slow_at: float = float("-inf")
    shared_until: float = float("-inf")
    noted_factor: float = 1.0
    noted_at: float = float("-inf")
    unsent_sum: float = 0.0
    unsent_weight: float = 0.0

    def slowdown_at(self, now: float) -> float:
        """Return what is left of the temporary slowness."""
        return self.slowdown * math.exp(-max(0.0, now - self.slow_at) / SLOWDOWN_SECONDS)

    def difference(self, common: float, now: float) -> float:
        """Return the logarithm of the lasting speed by that of the common one, without band."""
        excess = max(0.0, now - self.sampled_at - FRESH_SECONDS)
        share = self.weight / (self.weight + PRIOR_WEIGHT)
        return (self.speed - common) * share * math.exp(-excess / FADING_SECONDS)

    def lasting_difference(self, reference: SpeedReference, now: float) -> float:
        """Return the difference from the common speed if it is clear, or else 0."""
        difference = self.difference(reference.common, now)
        band = DEAD_BAND + UNCERTAINTY / max(self.weight, 0.1)
        if difference < 0:
            is_distinct = self.speed < reference.fast - band
        else:
            is_distinct = self.speed > reference.slow + band
        return difference if is_distinct and abs(difference) > DEAD_BAND else 0.0

    def is_old(self, now: float) -> bool:
        """Return whether the last sample is too old for a comparison with other engines."""
        return now - self.sampled_at > FRESH_SECONDS

    def add(self, speed: float, weight: float) -> None:
        """Add a sample whose distance and weight are bounded already."""
        if abs(speed - self.speed) > NOISE:
            self.weight *= DISAGREEMENT_DECAY
        total = self.weight + weight
        if total > 0:
            self.speed += (speed - self.speed) * weight / total
        self.weight = min(MAX_WEIGHT, total)

    def keep_unsent(self, speed: float, weight: float) -> None:
        """Keep a sample for other hosts; as many as count, the later ones weighing more."""
        scale = min(1.0, max(0.0, MAX_SAMPLE_WEIGHT - weight) / (self.unsent_weight or 1.0))
        self.unsent_sum = self.unsent_sum * scale + speed * weight
        self.unsent_weight = self.unsent_weight * scale + weight

    def renew_sharing(self, common: float, now: float) -> None:
        """Have samples exchanged for a while if the estimate differs from the common speed."""
        if abs(self.difference(common, now)) > SHARING_THRESHOLD:
            self.shared_until = now + SHARED_SECONDS


class EngineSpeeds:
    """Estimated speeds of engines by incarnation; a restarted engine starts without one."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def __len__(self) -> int:
        return len(self._estimates)

    def reference(self, engines: Iterable[str], common: float, *, now: float) -> SpeedReference:
        """Return what the speed of an engine is compared with.

        Parameters
        ----------
        engines : iterable of str
            Incarnations of all engines of its service.
        common : float
            Logarithmic speed of the engines of its service and stage.
        now : float
            Boot clock in seconds.
        """
        speeds = [
            (
                known.speed
                if known is not None and known.weight >= MIN_KNOWN_WEIGHT and not known.is_old(now)
                else common
            )
            for known in map(self._estimates.get, engines)
        ]
        speeds.sort()
        if not speeds:
            return SpeedReference(common, common, common)
        outside = int(OUTER_FRACTION * len(speeds))
        return SpeedReference(common, speeds[outside], speeds[-1 - outside])

    def factor(self, engine: str, reference: SpeedReference, *, now: float) -> float:
        """Return the present speed of an engine as a multiple of the common one."""
        known = self._estimates.get(engine)
        if known is None:
            return 1.0
        slowdown = known.slowdown_at(now)
        if slowdown < DEAD_BAND:
            slowdown = 0.0
        return _bounded_factor(known.lasting_difference(reference, now) - slowdown)

    def lasting_factor(self, engine: str, reference: SpeedReference, *, now: float) -> float:
        """Return the lasting speed of an engine as a multiple of the common one."""
        known = self._estimates.get(engine)
        return 1.0 if known is None else _bounded_factor(known.lasting_difference(reference, now))

    def record(self, engine: str, measured: SpeedRange, common: float, *, now: float) -> None:
        """Record a call of this host.

        An estimate between the bounds of a call that met a queue is left as it is.

        Parameters
        ----------
        engine : str
            Incarnation of the engine.
        measured : SpeedRange
            What the call says.
        common : float
            Logarithmic speed of the engines of its service and stage.
        now : float
            Boot clock in seconds.
        """
        known = self._estimates.get(engine)
        reference = known.speed if known is not None else common
        speed = min(max(reference, measured.slowest), measured.fastest)
        is_queued = measured.fastest > measured.slowest
        if is_queued and speed == reference:
            if known is not None:
                known.sampled_at = now
            return
        distance = speed - reference
        if known is None:
            if abs(distance) <= NOISE:
                return
            known = self._estimates[engine] = _Estimate(reference)
        weight = measured.weight
        if distance < 0:
            weight *= SLOW_WEIGHT * (QUEUED_WEIGHT if is_queued else 1.0)
        if not is_queued:
            known.slowdown, known.slow_at = _slowdown(known, -distance, now), now
        bounded = reference + min(max(distance, -MAX_STEP), MAX_STEP)
        known.add(bounded, weight)
        known.sampled_at = now
        known.keep_unsent(bounded, weight)
        known.renew_sharing(common, now)

    def take_notable_change(
        self, engine: str, reference: SpeedReference, *, now: float
    ) -> tuple[float, float] | None:
        """Return the lasting factor last returned and the present one if they differ clearly."""
        known = self._estimates.get(engine)
        if known is None or now - known.noted_at < NOTE_INTERVAL_SECONDS:
            return None
        before, factor = known.noted_factor, self.lasting_factor(engine, reference, now=now)
        if abs(math.log(factor / before)) < NOTABLE_CHANGE:
            return None
        known.noted_factor, known.noted_at = factor, now
        return before, factor

    def take_samples(self, count: int, *, now: float) -> list[SpeedSample]:
        """Return samples of this host that others need, at most `count`; they count as sent.

        These are the samples of engines that seem to differ from the common speed at any host,
        normal samples included. Others are not sent, so that equal engines cause no messages.
        """
        self._expire(now)
        samples: list[SpeedSample] = []
        for engine, known in self._estimates.items():
            if len(samples) >= count:
                break
            if known.unsent_weight > 0 and known.shared_until > now:
                weight = known.unsent_weight
                samples.append((engine, known.unsent_sum / weight, weight))
                known.unsent_sum = known.unsent_weight = 0.0
        return samples

    def receive_samples(
        self, samples: Iterable[SpeedSample], common: CommonSpeed, *, now: float
    ) -> list[SpeedSample]:
        """Record samples that a peer sent, at the hub; return those of listed engines."""
        taken = []
        for engine, speed, sent_weight in samples:
            reference = common(engine)
            if reference is None:
                continue
            taken.append((engine, speed, sent_weight))
            known = self._estimates.setdefault(engine, _Estimate(reference))
            distance = speed - known.speed
            if distance < -MIN_SLOWDOWN:
                known.slowdown, known.slow_at = _slowdown(known, -distance, now), now
            bounded = known.speed + min(max(distance, -MAX_STEP), MAX_STEP)
            known.add(bounded, min(sent_weight, MAX_SAMPLE_WEIGHT))
            known.sampled_at = now
            known.renew_sharing(reference, now)
        return taken

    def shared_engines(self, *, now: float) -> list[str]:
        """Return the engines whose estimates are exchanged."""
        self._expire(now)
        return [name for name, known in self._estimates.items() if known.shared_until > now]

    def report(self, engine: str, *, now: float) -> SpeedReport:
        """Return the estimate of a known engine for another host."""
        known = self._estimates[engine]
        age = max(0.0, now - known.sampled_at)
        return SpeedReport(engine, known.speed, known.weight, age, known.slowdown_at(now))

    def receive_reports(
        self,
        reports: Iterable[SpeedReport],
        common: CommonSpeed,
        *,
        now: float,
        min_gain: float,
    ) -> None:
        """Take over estimates of another host.

        Parameters
        ----------
        reports : iterable of SpeedReport
            What the host sent.
        common : callable
            See `CommonSpeed`.
        now : float
            Boot clock in seconds.
        min_gain : float
            An own estimate is replaced by one of at least so many times its weight. A hub that
            has just started thus replaces no better estimate.
        """
        for report in reports:
            reference = common(report.engine)
            if reference is None:
                continue
            known = self._estimates.setdefault(report.engine, _Estimate(reference))
            if report.weight >= known.weight * min_gain:
                known.speed = report.speed
                known.weight = min(report.weight, MAX_WEIGHT)
                known.sampled_at = max(known.sampled_at, now - report.age)
            if report.slowdown > known.slowdown_at(now):
                known.slowdown, known.slow_at = report.slowdown, now
            known.renew_sharing(reference, now)

    def keep_only(self, engines: Container[str]) -> None:
        """Forget all other engines, which are gone."""
        for engine in [name for name in self._estimates if name not in engines]:
            del self._estimates[engine]

    def _expire(self, now: float) -> None:
        for engine in [
            name
            for name, known in self._estimates.items()
            if now - known.sampled_at > LIFETIME_SECONDS
        ]:
            del self._estimates[engine]


def _bounded_factor(difference: float) -> float:
    return min(max(math.exp(difference), MIN_FACTOR), MAX_FACTOR)


def _slowdown(known: _Estimate, distance: float, now: float) -> float:
    """Return the temporary slowness after a sample that is slower than the estimate.

    A sample at the lasting speed ends it.
    """
    if distance < MIN_SLOWDOWN:
        return 0.0 if distance < NOISE else known.slowdown_at(now)
    return min(max(known.slowdown_at(now), distance), -math.log(MIN_FACTOR))
