"""Choice of the engines for one request, from what this host knows of all engines.

All engines of one choice are of one software version, as what two versions write does not fit
together.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.engine_candidates import decode_candidates, prefill_candidates
from samphirehall.gateway.engine_rates import engine_rate, lasting_factors
from samphirehall.gateway.exchange import limit_error, within_limits
from samphirehall.gateway.fleet import EndpointState
from samphirehall.gateway.generation_plan import EngineView, GenerationPlan, plan_generation
from samphirehall.gateway.request_state import RequestState
from samphirehall.gateway.types import Prompt, Stage

DEFAULT_INTER_EVENT_GAP_SECONDS = 0.15  # for routes without a target; readers notice longer gaps
WIDE_CHOICE_FACTOR = 4  # more candidates if the first cannot respond within the latency target


def next_plan(
    context: GatewayContext,
    request_state: RequestState,
    prompt: Prompt,
    *,
    only_preferred: bool = False,
) -> GenerationPlan | None:
    """Return the plan with the earliest first event, all of whose engines are of one version."""
    if request_state.service.engine is None:
        return None
    version = request_state.stream_version
    if version is None:
        version = _begin_version(context, request_state)
    engines = {
        stage: _candidates(context, request_state, stage, version, only_preferred=only_preferred)
        for stage in Stage
    }
    decoders = engines[Stage.DECODE]
    allowed = {stage: within_limits(context, request_state, engines[stage]) for stage in Stage}
    if decoders and not allowed[Stage.DECODE] and not request_state.may_have_run:
        raise limit_error(context, decoders)
    remaining_target = request_state.route.latency_target - request_state.elapsed(
        now=context.clock()
    )
    versions = {engine.listed.software_version for engine in allowed[Stage.DECODE]}
    groups = [versions]
    if request_state.route.resumable and request_state.stream_version is None:
        groups = [lasting_versions(decoders) & versions, versions]
    plan = None
    for group, width in itertools.product(groups, (1, WIDE_CHOICE_FACTOR)):
        plans = [
            _version_plan(context, request_state, prompt, engines, allowed, version, width)
            for version in sorted(group)
        ]
        found = [plan for plan in plans if plan is not None]
        plan = min(found, key=lambda plan: plan.cost, default=None)
        if plan is not None and plan.time_to_first_event <= remaining_target:
            break
    if plan is not None:
        request_state.extra_log_fields["choice"] = _plan_log_fields(plan)
    return plan


def lasting_versions(decoders: Iterable[EndpointState]) -> set[str]:
    """Return the versions at which a stream that begins can go on if its engine is lost."""
    counts = Counter(engine.listed.software_version for engine in decoders)
    return {version for version, count in counts.items() if count > 1}


def may_gain_decode_engine(context: GatewayContext, request_state: RequestState) -> bool:
    """Return whether no engine of the stream's version decodes, and one may before long.

    While one does, stages are not changed for the stream, also if that engine has just failed it.
    """
    service, version = request_state.service.name, request_state.stream_version
    members = [
        state
        for state in context.fleet.states()
        if state.listed.service == service
        and state.listed.ready
        and state.listed.software_version == version
    ]
    now = context.clock()
    decoders = [
        state
        for state in members
        if state.listed.stage is Stage.DECODE and not state.is_changing(now=now)
    ]
    return all(state.is_lost for state in decoders) and any(
        state.is_surely_of(str(version))
        and (state.listed.stage is Stage.PREFILL or state.is_changing(now=now))
        and state.listed.endpoint_id not in request_state.tried_endpoints
        for state in members
    )


def _begin_version(context: GatewayContext, request_state: RequestState) -> str | None:
    """Return the version at which a stream has to begin; None if any will do."""
    if context.streams is None or not request_state.route.resumable:
        return None
    version = context.streams.begin_version(request_state.service.name)
    has_engines = version is not None and _candidates(context, request_state, Stage.DECODE, version)
    return version if has_engines else None


def _candidates(
    context: GatewayContext,
    request_state: RequestState,
    stage: Stage,
    version: str | None,
    *,
    only_preferred: bool = False,
) -> list[EndpointState]:
    """Return the engines of one stage, and of one software version if it is given."""
    return context.fleet.candidates(
        request_state.service.name,
        now=context.clock(),
        excluded=request_state.tried_endpoints,
        stage=stage,
        software_version=version,
        only_preferred=only_preferred,
    )


def _version_plan(
    context: GatewayContext,
    request_state: RequestState,
    prompt: Prompt,
    engines: Mapping[Stage, Sequence[EndpointState]],
    allowed: Mapping[Stage, Sequence[EndpointState]],
    version: str,
    width: int,
) -> GenerationPlan | None:
    """Return the plan with the earliest first event on engines of one software version."""
    engine_limits = request_state.service.engine
    assert engine_limits is not None
    prefillers, decoders = (
        [engine for engine in allowed[stage] if engine.listed.software_version == version]
        for stage in (Stage.PREFILL, Stage.DECODE)
    )
    candidates = [
        *prefill_candidates(
            prefillers,
            prompt,
            width=width,
            speeds=lasting_factors(context, [engine.listed for engine in prefillers]),
        ),
        *decode_candidates(decoders, host=context.host, zone=context.zone, width=width),
    ]
    return plan_generation(
        [_engine_view(context, request_state, engine, prompt) for engine in candidates],
        prompt,
        engine_limits,
        prefix_source=_best_prefix_source(context, request_state, engines, prompt, version),
        kv_transfer_overhead=context.kv_transfer_overhead.value,
        max_event_gap=request_state.route.inter_event_gap_target or DEFAULT_INTER_EVENT_GAP_SECONDS,
    )


def _best_prefix_source(
    context: GatewayContext,
    request_state: RequestState,
    engines: Mapping[Stage, Sequence[EndpointState]],
    prompt: Prompt,
    version: str,
) -> EngineView | None:
    """Return the engine of one software version that caches most of the prompt.

    Among equals, one of this zone is returned.
    """

    def cached(engine: EndpointState) -> tuple[int, bool]:
        tokens = engine.cache.cached_tokens(prompt.parts) if engine.cache else 0
        return tokens, engine.listed.zone == context.zone

    same_version = (
        engine
        for stage in Stage
        for engine in engines[stage]
        if engine.listed.software_version == version
    )
    best = max(same_version, key=cached, default=None)
    return None if best is None else _engine_view(context, request_state, best, prompt)


def _engine_view(
    context: GatewayContext, request_state: RequestState, endpoint: EndpointState, prompt: Prompt
) -> EngineView:
    listed = endpoint.listed
    stage = listed.stage or Stage.DECODE
    load = context.loads.total_load(listed.endpoint_id, now=context.clock())
    tokens_per_second, overhead = engine_rate(context, listed)
    return EngineView(
        listed.endpoint_id,
        listed.address,
        listed.zone,
        stage,
        load.requests,
        load.tokens_up_to(request_state.rank),
        sum(load.pending_prefill_tokens),
        endpoint.cache.cached_tokens(prompt.parts) if endpoint.cache else 0,
        tokens_per_second,
        overhead,
        endpoint.failure_penalty(),
        listed.software_version,
    )


def _plan_log_fields(plan: GenerationPlan) -> dict[str, object]:
    return {
        "reads": plan.prefill_engine.endpoint_id,
        "generates": plan.decode.endpoint_id,
        "fetches": plan.prefix_source.endpoint_id if plan.prefix_source else None,
        "considered": plan.considered,
        "software_version": plan.decode.software_version,
        "tokens_ahead": plan.prefill_engine.tokens_ahead,
        "unread_tokens": plan.uncached_tokens,
        "tokens_per_second": round(plan.prefill_engine.prefill_tokens_per_second),
        "overhead": round(plan.prefill_engine.overhead, 4),
        "wait": round(plan.queue_wait, 4),
        "first_event": round(plan.time_to_first_event, 4),
    }


def with_ready_decode_engine(
    context: GatewayContext, request_state: RequestState, plan: GenerationPlan
) -> GenerationPlan | None:
    """Return the plan with another decode engine if its own one can no longer be used.

    It may accept no new requests any more, or be listed with another software version, as the
    prefill may have taken seconds. None is returned without such an engine of the same
    software version.
    """
    now = context.clock()
    version = plan.decode.software_version
    planned = context.fleet.endpoint(plan.decode.endpoint_id)
    if (
        planned is not None
        and planned.listed.ready
        and planned.listed.software_version == version
        and not planned.is_changing(now=now)
    ):
        return plan
    candidates = _candidates(context, request_state, Stage.DECODE, version)
    prompt = request_state.request.prompt
    assert prompt is not None
    views = [
        _engine_view(context, request_state, engine, prompt)
        for engine in within_limits(context, request_state, candidates)
    ]
    if not views:
        return None
    chosen = min(views, key=lambda view: (view.requests, view.zone != context.zone))
    request_state.extra_log_fields["generates_instead"] = chosen.endpoint_id
    engine = context.fleet.endpoint(chosen.endpoint_id)
    if engine is not None:
        context.limits.take(engine.listed, now=now)
    return replace(plan, decode=chosen)
