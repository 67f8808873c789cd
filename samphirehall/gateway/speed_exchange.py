"""Exchange of engine speeds between hosts: samples go up to the hub, estimates come down.

Each host sends the samples of engines that differ to its hub. The hub adds them to its estimates,
passes them on to the other hubs, and sends its estimates to its members. A lost datagram loses
samples or delays an estimate. A hub that ends takes samples of a few hundred milliseconds with
it: its successor knows the estimates as a member.
"""

from collections import deque
from collections.abc import Sequence

from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.engine_rates import common_speed
from samphirehall.gateway.zone_messages import (
    MAX_LOG_SPEED,
    MAX_SPEED_AGE,
    MAX_SPEED_WEIGHT,
    EncodedSpeedReport,
    EncodedSpeedSample,
)
from samphirehall.scheduling.engine_speed import EngineSpeeds
from samphirehall.scheduling.speed_samples import SpeedReport, SpeedSample

SAMPLES_PER_DATAGRAM = 8  # a datagram must fit one packet
REPORTS_PER_DATAGRAM = 12
MEMBER_REFRESH_SECONDS = 2.0  # between reports of an estimate that has not changed, to members
HUB_REFRESH_SECONDS = 5.0  # the same, to other hubs, which have the samples as well
NOTABLE_SPEED_CHANGE = 0.05  # of a logarithmic speed; reported before the refresh
NOTABLE_SLOWDOWN = 0.2  # logarithm of a temporary slowness; reported before the refresh
MAX_PENDING_SAMPLES = 100  # older ones are dropped if datagrams to other hubs fall behind
# A member takes the estimates of its hub unless they rest on far fewer samples than its own.
MEMBER_MIN_GAIN = 0.5
HUB_MIN_GAIN = 2.0  # a hub takes those of another zone only if it has missed most samples
SCALE = 100  # speeds, slowness and weights are sent in hundredths
AGE_SCALE = 10  # ages are sent in tenths of a second


class ReportChannel:
    """Estimates to send to one group of receivers: changes first, then all in turn."""

    def __init__(self, refresh_seconds: float) -> None:
        self._refresh_seconds = refresh_seconds
        self._sent: dict[str, tuple[float, float]] = {}

    def restart(self) -> None:
        """Send everything again, as there is a new receiver."""
        self._sent.clear()

    def choose(self, speeds: EngineSpeeds, *, now: float) -> list[SpeedReport]:
        """Return the estimates for the next datagram."""
        due = []
        reports = [speeds.report(engine, now=now) for engine in speeds.shared_engines(now=now)]
        for report in reports:
            speed, sent_at = self._sent.get(report.engine, (float("inf"), float("-inf")))
            is_changed = (
                abs(report.speed - speed) > NOTABLE_SPEED_CHANGE
                or report.slowdown > NOTABLE_SLOWDOWN
            )
            if is_changed or now - sent_at >= self._refresh_seconds:
                due.append((not is_changed, sent_at, report.engine, report))
        chosen = [report for *_, report in sorted(due, key=lambda item: item[:3])]
        del chosen[REPORTS_PER_DATAGRAM:]
        known = {report.engine for report in reports}
        self._sent = {name: sent for name, sent in self._sent.items() if name in known}
        self._sent.update({report.engine: (report.speed, now) for report in chosen})
        return chosen


class SpeedExchange:
    """Makes and takes the parts of datagrams that hold engine speeds.

    Parameters
    ----------
    context : GatewayContext
        Holds the estimates of this host.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._speeds = context.speeds
        self._common = common_speed(context)
        self._members = ReportChannel(MEMBER_REFRESH_SECONDS)
        self._hubs = ReportChannel(HUB_REFRESH_SECONDS)
        self._for_hubs: deque[SpeedSample] = deque(maxlen=MAX_PENDING_SAMPLES)

    def samples_for_hub(self, *, now: float) -> list[EncodedSpeedSample]:
        """Return samples of this host for its hub."""
        return _encode_samples(self._speeds.take_samples(SAMPLES_PER_DATAGRAM, now=now))

    def samples_for_hubs(self, *, now: float) -> list[EncodedSpeedSample]:
        """Return samples of this zone for other hubs."""
        self._for_hubs.extend(self._speeds.take_samples(SAMPLES_PER_DATAGRAM, now=now))
        count = min(len(self._for_hubs), SAMPLES_PER_DATAGRAM)
        return _encode_samples([self._for_hubs.popleft() for _ in range(count)])

    def reports_for_members(self, *, now: float) -> list[EncodedSpeedReport]:
        """Return estimates of this hub for its members."""
        return [_encode_report(report) for report in self._members.choose(self._speeds, now=now)]

    def reports_for_hubs(self, *, now: float) -> list[EncodedSpeedReport]:
        """Return estimates of this hub for other hubs."""
        return [_encode_report(report) for report in self._hubs.choose(self._speeds, now=now)]

    def add_member(self) -> None:
        """Send all estimates to the members again, as one has started."""
        self._members.restart()

    def receive_from_member(self, samples: Sequence[EncodedSpeedSample], *, now: float) -> None:
        """Record samples of a member, as its hub, and pass them on."""
        taken = self._speeds.receive_samples(_decode_samples(samples), self._common, now=now)
        self._for_hubs.extend(taken)

    def receive_from_own_hub(self, reports: Sequence[EncodedSpeedReport], *, now: float) -> None:
        """Take over the estimates of the hub that this host follows."""
        decoded = [_decode_report(report) for report in reports]
        self._speeds.receive_reports(decoded, self._common, now=now, min_gain=MEMBER_MIN_GAIN)

    def receive_from_other_hub(
        self,
        reports: Sequence[EncodedSpeedReport],
        samples: Sequence[EncodedSpeedSample],
        *,
        now: float,
    ) -> None:
        """Record samples of another zone, as a hub, and estimates that rest on far more."""
        self._speeds.receive_samples(_decode_samples(samples), self._common, now=now)
        decoded = [_decode_report(report) for report in reports]
        self._speeds.receive_reports(decoded, self._common, now=now, min_gain=HUB_MIN_GAIN)


def _encode_samples(samples: Sequence[SpeedSample]) -> list[EncodedSpeedSample]:
    return [
        (engine, _scaled(speed, SCALE, MAX_LOG_SPEED), _scaled(weight, SCALE, MAX_SPEED_WEIGHT))
        for engine, speed, weight in samples
    ]


def _decode_samples(samples: Sequence[EncodedSpeedSample]) -> list[SpeedSample]:
    return [(engine, speed / SCALE, weight / SCALE) for engine, speed, weight in samples]


def _encode_report(report: SpeedReport) -> EncodedSpeedReport:
    return (
        report.engine,
        _scaled(report.speed, SCALE, MAX_LOG_SPEED),
        _scaled(report.weight, SCALE, MAX_SPEED_WEIGHT),
        _scaled(report.age, AGE_SCALE, MAX_SPEED_AGE),
        _scaled(report.slowdown, SCALE, MAX_LOG_SPEED),
    )


def _decode_report(report: EncodedSpeedReport) -> SpeedReport:
    engine, speed, weight, age, slowdown = report
    return SpeedReport(engine, speed / SCALE, weight / SCALE, age / AGE_SCALE, slowdown / SCALE)


def _scaled(value: float, scale: int, largest: int) -> int:
    return min(max(round(value * scale), 0), largest)
