"""Retry loop of a completion: choose an endpoint, run an attempt, continue on another engine.

A later attempt sends the tokens received so far along with the prompt, so that the next engine
continues the answer instead of starting again. What two software versions write does not fit
together, so an answer goes on only at the version that began it.
"""

import logging

import anyio

from samphirehall.admission.authentication import is_key_valid
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    ENDPOINT_CRASHED,
    KEY_UNKNOWN,
    OVERLOADED,
    PART_QUARANTINED,
    QUARANTINED,
)
from samphirehall.core.types import EndpointProtocol, EndpointState
from samphirehall.endpoints.events import EventBatch, EventReader
from samphirehall.forwarding.attempt import AttemptFailedError, EngineAttempt, Failure
from samphirehall.forwarding.completion_run import CompletionRun, Sink
from samphirehall.forwarding.context import EntryContext
from samphirehall.forwarding.quarantine import Suspicion
from samphirehall.forwarding.retry_budget import retry_delay
from samphirehall.node.facts import FactKind
from samphirehall.routing.fleet import EndpointView, PendingPrefill, RoutingRequest
from samphirehall.routing.policy import NoEndpointError, RoutingDecision

MAX_ATTEMPTS_WITHOUT_EVENTS = 4  # while no event of the answer has been received
MAX_TOTAL_ATTEMPTS = 16  # all attempts, once the answer has begun
MAX_STREAM_BYTES = 65_536  # of a stream without tokens
MAX_BYTES_PER_TOKEN = 2048  # of an event, which holds a token and its frame
NO_ENDPOINT_TIMEOUT_SECONDS = 1.0
TRIAL_TIMEOUT_SECONDS = 0.5
TRIAL_POLL_INTERVAL_SECONDS = 0.05
FAILURES_OF_SOUND_ENGINES = frozenset((Failure.BUSY, Failure.OTHER_VERSION))

_log = logging.getLogger(__name__)


class VersionGoneError(Exception):
    """No engine is left of the software version that began the answer."""

    def __init__(self, software_version: str) -> None:
        super().__init__(f"no engine of software version {software_version!r} is left")


async def run_completion(context: EntryContext, run: CompletionRun, sink: Sink) -> None:
    """Send the validated events of the complete answer to `sink`, retrying on other endpoints.

    Raises
    ------
    SamphireError
        No complete answer was received; its result says whether the request ran.
    """
    _refuse_quarantined(context, run)
    context.retry_budget.record_first_attempt()
    reader = _event_reader(run)
    failed: set[str] = set()
    for retries in range(MAX_TOTAL_ATTEMPTS):
        if retries:
            await _wait_before_retry(context, run, retries)
            _refuse_quarantined(context, run)
        try:
            decision, request = await _choose_with_timeout(context, run, failed)
        except VersionGoneError as error:
            if run.stream_started:
                raise run.build_error(str(error)) from error
            log_decision(_log, "restart", str(error), request=run.request_id)
            run.discard_events()
            reader = _event_reader(run)
            continue
        try:
            await _run_attempt(context, run, reader, decision, request, sink)
            return
        except AttemptFailedError as error:
            _record_failure(context, run, decision.endpoint, error, reader.next_index)
            failed.add(decision.endpoint.info.endpoint_id)
        if retries + 1 >= MAX_ATTEMPTS_WITHOUT_EVENTS and not run.payloads:
            raise run.build_error(f"{MAX_ATTEMPTS_WITHOUT_EVENTS} attempts failed")
    raise run.build_error(f"{MAX_TOTAL_ATTEMPTS} attempts failed")


def _event_reader(run: CompletionRun) -> EventReader:
    """Return a reader of a stream whose events are all kept, so that their length is limited."""
    max_bytes = MAX_STREAM_BYTES + run.max_tokens * MAX_BYTES_PER_TOKEN
    return EventReader(run.request_id, max_bytes=max_bytes)


def _refuse_quarantined(context: EntryContext, run: CompletionRun) -> None:
    if _suspicion(context, run) is Suspicion.QUARANTINED:
        detail = "endpoints crashed while they ran this request"
        if run.may_have_run:
            raise run.build_error(detail)
        raise SamphireError(QUARANTINED, detail)
    now = boot_seconds()
    group = context.quarantine.blocked_parts(run.shared_parts, now=now)
    if group is not None and not context.quarantine.take_trial(group, now=now):
        detail = "endpoints crashed under each request with one of its messages"
        raise run.build_error(detail, not_run=PART_QUARANTINED)


def _suspicion(context: EntryContext, run: CompletionRun) -> Suspicion:
    if context.quarantine.is_empty:
        return Suspicion.NONE
    return context.quarantine.suspicion(run.fingerprint, now=boot_seconds())


async def _wait_before_retry(context: EntryContext, run: CompletionRun, retries: int) -> None:
    """Spend one retry from the budget, then wait for the backoff.

    An answer that has begun is continued even if the budget is exhausted.
    """
    paid = context.retry_budget.spend(now=boot_seconds())
    if not paid and not run.payloads:
        raise run.build_error("the retry budget of this host is exhausted", not_run=OVERLOADED)
    context.metrics.retries.labels("completion").inc()
    await anyio.sleep(retry_delay(retries - 1, random_source=context.random_source))


async def _choose_with_timeout(
    context: EntryContext, run: CompletionRun, failed: set[str]
) -> tuple[RoutingDecision, RoutingRequest]:
    """Return a routing decision; while no endpoint is available, poll for one.

    Polling ends after `NO_ENDPOINT_TIMEOUT_SECONDS`, or at the deadline once the answer has begun.

    Raises
    ------
    SamphireError
        No endpoint became available in time.
    VersionGoneError
        The answer has begun, and its software version is known and no longer listed.
    """
    give_up_at = run.deadline if run.payloads else boot_seconds() + NO_ENDPOINT_TIMEOUT_SECONDS
    wait_count = 0
    while True:
        if not is_key_valid(context.state.configuration, run.caller):
            raise run.build_error(
                "the customer key was withdrawn while the request was open", not_run=KEY_UNKNOWN
            )
        try:
            return await _choose(context, run, failed)
        except NoEndpointError as error:
            if boot_seconds() >= min(give_up_at, run.deadline):
                raise run.build_error(str(error)) from error
            if run.software_version and not context.fleet.has_version(
                run.caller.route.target, run.software_version, now=boot_seconds()
            ):
                raise VersionGoneError(run.software_version) from error
            failed.clear()
            wait_count += 1
            await anyio.sleep(retry_delay(wait_count + 2, random_source=context.random_source))


async def _choose(
    context: EntryContext, run: CompletionRun, failed: set[str]
) -> tuple[RoutingDecision, RoutingRequest]:
    now = boot_seconds()
    target = run.caller.route.target
    candidates = context.fleet.candidates(
        target,
        EndpointProtocol.ENGINE,
        excluded=failed,
        software_version=run.software_version if run.payloads else None,
        now=now,
    )
    request = RoutingRequest(
        target,
        context.state.zone,
        run.deadline,
        run.block_hashes(block_tokens=context.settings.routing.block_tokens),
        run.prompt_tokens,
        run.max_tokens,
        run.priority,
    )
    if _suspicion(context, run) is Suspicion.SUSPECT and candidates:
        decision = await _choose_for_suspect(context, run, candidates)
    else:
        if not run.payloads:
            request.prefill_candidates = context.fleet.prefill_candidates(
                target, excluded=failed, now=now
            )
        candidates = _exclude_trial_endpoints(context, run, candidates)
        decision = context.routing_policy(
            candidates, request, now=now, random_source=context.random_source
        )
    log_decision(
        _log,
        "route",
        decision.reason,
        request=run.request_id,
        customer=run.caller.customer,
        target=target,
        endpoint=decision.endpoint.info.endpoint_id,
        software_version=decision.endpoint.info.software_version or None,
        candidates=len(candidates),
        prefill=decision.prefill_engine.info.endpoint_id if decision.prefill_engine else None,
        estimate=decision.estimated_latency,
    )
    return decision, request


def _exclude_trial_endpoints(
    context: EntryContext, run: CompletionRun, candidates: list[EndpointView]
) -> list[EndpointView]:
    """Return the candidates that run no suspect request, or all if each of them runs one."""
    if context.quarantine.is_empty:
        return candidates
    on_trial = context.quarantine.endpoints_with_other_suspects(run.fingerprint, now=boot_seconds())
    return [view for view in candidates if view.info.endpoint_id not in on_trial] or candidates


async def _choose_for_suspect(
    context: EntryContext, run: CompletionRun, candidates: list[EndpointView]
) -> RoutingDecision:
    """Choose the endpoint where a crash under a suspect request would fail the fewest others.

    This is the least loaded endpoint that runs no other suspect request.
    """
    give_up_at = boot_seconds() + TRIAL_TIMEOUT_SECONDS
    while True:
        on_trial = context.quarantine.endpoints_with_other_suspects(
            run.fingerprint, now=boot_seconds()
        )
        without_trial = [view for view in candidates if view.info.endpoint_id not in on_trial]
        if without_trial or boot_seconds() >= give_up_at:
            view = min(without_trial or candidates, key=lambda item: item.in_flight)
            return RoutingDecision(
                view, 0.0, f"suspect request, least loaded engine: {view.in_flight} in flight"
            )
        await anyio.sleep(TRIAL_POLL_INTERVAL_SECONDS)


async def _run_attempt(
    context: EntryContext,
    run: CompletionRun,
    reader: EventReader,
    decision: RoutingDecision,
    request: RoutingRequest,
    sink: Sink,
) -> None:
    """Run one attempt, with the prefill on a separate engine if the decision names one."""
    kv_source = None
    if decision.prefill_engine is not None:
        await _run_separate_prefill(context, run, reader, decision, request, sink)
        if reader.done:
            return
        if reader.next_index and _fits_memory(run, decision):
            kv_source = decision.prefill_engine.info.address
    if not context.fleet.is_listed(decision.endpoint.info.endpoint_id):
        raise AttemptFailedError(Failure.UNREACHABLE, "the endpoint has left the list")
    kv_imported = kv_source is not None
    call = context.fleet.begin_prefill(
        decision.endpoint.info.endpoint_id,
        request,
        cached_tokens=request.prompt_tokens if kv_imported else decision.cached_tokens,
        estimated_first_token=0.0 if decision.prefill_engine else decision.estimated_first_token,
        now=boot_seconds(),
    )
    endpoint = decision.endpoint.info
    tracking_sink = _record_prefill_on_first_batch(context, call, sink)
    attempt = EngineAttempt(context, run, endpoint, reader, tracking_sink, kv_source=kv_source)
    suspect = _suspicion(context, run) is Suspicion.SUSPECT
    context.fleet.begin_call(endpoint.endpoint_id)
    if suspect:
        context.quarantine.begin_trial(run.fingerprint, endpoint.endpoint_id, now=boot_seconds())
    try:
        await attempt.run()
        context.fleet.record_success(endpoint.endpoint_id)
        context.quarantine.record_completed_parts(run.shared_parts, now=boot_seconds())
        if suspect:
            context.quarantine.record_completion(run.fingerprint, now=boot_seconds())
    except AttemptFailedError as error:
        _record_crash(context, run, decision.endpoint, error)
        raise
    finally:
        if suspect:
            context.quarantine.end_trial(run.fingerprint, endpoint.endpoint_id, now=boot_seconds())
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end_call(endpoint.endpoint_id)


def _fits_memory(run: CompletionRun, decision: RoutingDecision) -> bool:
    """Return whether the decode engine has the software version that prefilled the prompt."""
    assert decision.prefill_engine is not None
    listed = decision.prefill_engine.info.software_version
    return listed == decision.endpoint.info.software_version == run.software_version


async def _run_separate_prefill(
    context: EntryContext,
    run: CompletionRun,
    reader: EventReader,
    decision: RoutingDecision,
    request: RoutingRequest,
    sink: Sink,
) -> None:
    """Prefill the prompt on a separate engine, which sends the first token and keeps the KV cache.

    If it fails, `sink` has received nothing and the decode engine prefills the prompt itself.
    """
    assert decision.prefill_engine is not None
    endpoint = decision.prefill_engine.info
    call = context.fleet.begin_prefill(
        endpoint.endpoint_id,
        request,
        cached_tokens=decision.cached_tokens,
        estimated_first_token=decision.estimated_first_token,
        now=boot_seconds(),
    )
    attempt = EngineAttempt(
        context, run, endpoint, reader, _record_prefill_on_first_batch(context, call, sink)
    )
    context.fleet.begin_call(endpoint.endpoint_id)
    try:
        await attempt.run_prefill()
    except AttemptFailedError as error:
        _record_crash(context, run, decision.prefill_engine, error)
        _record_failure(context, run, decision.prefill_engine, error, reader.next_index)
    finally:
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end_call(endpoint.endpoint_id)


def _record_prefill_on_first_batch(context: EntryContext, call: PendingPrefill, sink: Sink) -> Sink:
    """Return a sink that records the prefill as finished when the first batch arrives."""
    is_first = True

    async def forward(batch: EventBatch) -> None:
        nonlocal is_first
        if is_first:
            is_first = False
            context.fleet.end_prefill(call, answered=True, now=boot_seconds())
        await sink(batch)

    return forward


def _record_crash(
    context: EntryContext, run: CompletionRun, view: EndpointView, error: AttemptFailedError
) -> None:
    """Record that an endpoint crashed while it ran the request.

    The crash of an endpoint that was leaving anyway does not count.

    Raises
    ------
    SamphireError
        The recorded crashes put the request into quarantine.
    """
    if error.failure is not Failure.CRASHED or _is_leaving(context, view):
        return
    endpoint_id = view.info.endpoint_id
    suspicion = context.quarantine.record_crash(
        run.fingerprint, endpoint_id, parts=run.shared_parts, now=boot_seconds()
    )
    log_decision(
        _log,
        "suspect",
        str(error),
        request=run.request_id,
        fingerprint=run.fingerprint,
        parts=run.shared_parts,
        endpoint=endpoint_id,
        suspicion=suspicion.name.lower(),
    )
    if suspicion is Suspicion.QUARANTINED:
        raise SamphireError(
            ENDPOINT_CRASHED, "endpoints crashed while they ran this request"
        ) from error


def _is_leaving(context: EntryContext, view: EndpointView) -> bool:
    info = context.state.endpoints.get(view.info.endpoint_id)
    if info is None or info.state is not EndpointState.READY:
        return True
    now = boot_seconds()
    return context.state.fact_store.contains(FactKind.ENDPOINT_LEAVING, info.endpoint_id, now=now)


def _record_failure(
    context: EntryContext,
    run: CompletionRun,
    view: EndpointView,
    error: AttemptFailedError,
    received_events: int,
) -> None:
    """Log a failed attempt and penalize the endpoint, unless it is sound."""
    endpoint_id = view.info.endpoint_id
    if error.failure not in FAILURES_OF_SOUND_ENGINES:
        context.fleet.record_failure(endpoint_id, now=boot_seconds())
    log_decision(
        _log,
        "retry",
        str(error),
        request=run.request_id,
        endpoint=endpoint_id,
        events=received_events,
    )
