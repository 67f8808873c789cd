"""Prefill rate of each engine: the common rate of its service and stage, times its own speed."""

import logging
import math
from collections.abc import Iterable, Mapping

from samphirehall.core.log import log_decision
from samphirehall.gateway.context import DECODE_PREFILL_SPEED_FRACTION, GatewayContext
from samphirehall.gateway.generation_plan import GenerationPlan
from samphirehall.gateway.types import ListedEndpoint, Stage
from samphirehall.scheduling.speed_samples import CommonSpeed, SpeedReference, speed_range

# Measured calls of a service and stage before single engines are compared with it. The prior may
# be far from the rate of all engines, which must not look like a difference of one.
MIN_COMMON_CALLS = 6
# Prefills that should take less tell nothing of an engine's speed: hosts with a part of a core, and
# the network, add tens of milliseconds at random.
MIN_MEASURED_SECONDS = 0.1

_log = logging.getLogger(__name__)


def engine_rate(context: GatewayContext, listed: ListedEndpoint) -> tuple[float, float]:
    """Return the prompt tokens per second of an engine, and the overhead of a call in seconds."""
    rate = context.prefill_rate(listed.service, listed.stage or Stage.DECODE)
    if not len(context.speeds):
        return rate.tokens_per_second, rate.overhead
    reference = _reference(context, listed)
    factor = context.speeds.factor(listed.incarnation, reference, now=context.clock())
    return rate.tokens_per_second * factor, rate.overhead


def lasting_factors(
    context: GatewayContext, engines: Iterable[ListedEndpoint]
) -> Mapping[str, float]:
    """Return the lasting speeds of engines by id, as multiples of their service's and stage's."""
    if not len(context.speeds):
        return dict.fromkeys((listed.endpoint_id for listed in engines), 1.0)
    references: dict[tuple[str, Stage | None], SpeedReference] = {}
    factors = {}
    for listed in engines:
        key = listed.service, listed.stage
        if key not in references:
            references[key] = _reference(context, listed)
        factors[listed.endpoint_id] = context.speeds.lasting_factor(
            listed.incarnation, references[key], now=context.clock()
        )
    return factors


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
    if plan.uncached_tokens / rate.tokens_per_second < MIN_MEASURED_SECONDS:
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
    reference = _reference(context, listed)
    change = context.speeds.take_notable_change(listed.incarnation, reference, now=now)
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


def count_uneven(context: GatewayContext) -> tuple[int, int]:
    """Return the numbers of engines that are clearly slower and clearly faster than others."""
    engines = [state.listed for state in context.fleet.states() if state.listed.stage is not None]
    factors = lasting_factors(context, engines).values()
    return sum(factor < 1.0 for factor in factors), sum(factor > 1.0 for factor in factors)


def _reference(context: GatewayContext, listed: ListedEndpoint) -> SpeedReference:
    """Return what the speed of an engine is compared with."""
    engines = (
        state.listed.incarnation
        for state in context.fleet.states()
        if state.listed.service == listed.service and state.listed.ready
    )
    common = _common_speed(context, listed)
    return context.speeds.reference(engines, common, now=context.clock())


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
