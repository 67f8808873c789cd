"""Prefill rate of each engine: the common rate of its service and stage, times its own speed."""

import logging
import math
from collections.abc import Iterator

from samphirehall.core.log import log_decision
from samphirehall.gateway.context import DECODE_PREFILL_SPEED_FRACTION, GatewayContext
from samphirehall.gateway.generation_plan import GenerationPlan
from samphirehall.gateway.types import ListedEndpoint, Stage
from samphirehall.scheduling.engine_speed import CommonSpeed, speed_range

# Measured calls of a service and stage before single engines are compared with it. The prior may
# be far from the rate of all engines, which must not look like a difference of one.
MIN_COMMON_CALLS = 6

_log = logging.getLogger(__name__)


def engine_rate(context: GatewayContext, listed: ListedEndpoint) -> tuple[float, float]:
    """Return the prompt tokens per second of an engine, and the overhead of a call in seconds."""
    rate = context.prefill_rate(listed.service, listed.stage or Stage.DECODE)
    if not len(context.speeds):
        return rate.tokens_per_second, rate.overhead
    common = _common_speed(context, listed)
    factor = context.speeds.factor(listed.incarnation, common, now=context.clock())
    return rate.tokens_per_second * factor, rate.overhead


def lasting_factor(context: GatewayContext, listed: ListedEndpoint) -> float:
    """Return the lasting speed of an engine as a multiple of that of its service and stage."""
    if not len(context.speeds):
        return 1.0
    common = _common_speed(context, listed)
    return context.speeds.lasting_factor(listed.incarnation, common, now=context.clock())


def record_prefill(context: GatewayContext, plan: GenerationPlan, seconds: float) -> None:
    """Record a prefill in the common rate, and in the speed of its engine.

    The common rate takes only calls that met neither a queue nor a fetch.
    """
    engine = plan.prefill_engine
    endpoint = context.fleet.endpoint(engine.endpoint_id)
    if endpoint is None:
        return
    listed = endpoint.listed
    rate = context.prefill_rate(listed.service, engine.stage)
    if engine.tokens_ahead == 0 and plan.prefix_source is None:
        rate.record(plan.uncached_tokens, seconds)
    if rate.sample_count < MIN_COMMON_CALLS:
        return
    fraction = _stage_fraction(engine.stage)
    measured = speed_range(
        plan.uncached_tokens / fraction,
        engine.tokens_ahead / fraction,
        seconds,
        rate.overhead,
        fetch_seconds=plan.fetch_time,
    )
    if measured is None:
        return
    now, common = context.clock(), math.log(rate.tokens_per_second / fraction)
    context.speeds.record(listed.incarnation, measured, common, now=now)
    change = context.speeds.take_notable_change(listed.incarnation, common, now=now)
    if change is not None:
        before, factor = change
        log_decision(
            _log,
            "engine-speed",
            "measured by several hosts",
            endpoint=listed.incarnation,
            service=listed.service,
            stage=listed.stage,
            factor=round(factor, 2),
            before=round(before, 2),
            common=round(rate.tokens_per_second),
        )


def common_speed(context: GatewayContext) -> CommonSpeed:
    """Return the function that gives the common speed of an engine by its incarnation."""

    def find(incarnation: str) -> float | None:
        endpoint = context.fleet.endpoint(incarnation.rpartition("/")[0])
        if endpoint is None or endpoint.listed.incarnation != incarnation:
            return None
        return _common_speed(context, endpoint.listed)

    return find


def lasting_factors(context: GatewayContext) -> Iterator[float]:
    """Yield the lasting speeds of all engines."""
    for state in context.fleet.states():
        if state.listed.stage is not None:
            yield lasting_factor(context, state.listed)


def _common_speed(context: GatewayContext, listed: ListedEndpoint) -> float:
    """Return the speed with which an engine is compared, as that of a prefill engine.

    An engine in a stage of which few calls are measured is compared with the prefill engines, so
    that it keeps its factor when its stage changes.
    """
    stage = listed.stage or Stage.DECODE
    rate = context.prefill_rate(listed.service, stage)
    if rate.sample_count < MIN_COMMON_CALLS:
        stage = Stage.PREFILL
        rate = context.prefill_rate(listed.service, stage)
    return math.log(rate.tokens_per_second / _stage_fraction(stage))


def _stage_fraction(stage: Stage) -> float:
    return DECODE_PREFILL_SPEED_FRACTION if stage is Stage.DECODE else 1.0
