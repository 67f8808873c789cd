"""The life of one completion: choice, attempts, continuation, whole answer."""

import logging

import anyio

from samphirehall.admission.authentication import is_key_valid
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import ENDPOINT_CRASHED, KEY_UNKNOWN, OVERLOADED, QUARANTINED
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

MAX_ATTEMPTS = 4
MAX_CONTINUATIONS = 16
NO_ENDPOINT_WAIT_SECONDS = 1.0
TRIAL_WAIT_SECONDS = 0.5
TRIAL_POLL_SECONDS = 0.05

_log = logging.getLogger(__name__)


async def run_completion(context: EntryContext, run: CompletionRun, sink: Sink) -> None:
    """Give the checked events of the whole answer to `sink`, whatever endpoints it takes.

    Raises
    ------
    SamphireError
        The answer could not be had; its result says whether the request ran.
    """
    _refuse_quarantined(context, run)
    context.retry_budget.record_first_attempt()
    reader = EventReader(run.request_id)
    failed: set[str] = set()
    for retries in range(MAX_CONTINUATIONS):
        if retries:
            await _before_retry(context, run, retries)
        decision, request = await _choose_in_time(context, run, failed)
        try:
            await _attempt(context, run, reader, decision, request, sink)
            return
        except AttemptFailedError as error:
            _note_failure(context, run, decision.endpoint, error, reader.next_index)
            failed.add(decision.endpoint.info.endpoint_id)
        if retries + 1 >= MAX_ATTEMPTS and not run.payloads:
            raise run.failure(f"{MAX_ATTEMPTS} attempts failed")
    raise run.failure(f"{MAX_CONTINUATIONS} attempts failed")


def _refuse_quarantined(context: EntryContext, run: CompletionRun) -> None:
    if _suspicion(context, run) is Suspicion.QUARANTINED:
        raise SamphireError(QUARANTINED, "endpoints died under this request")


def _suspicion(context: EntryContext, run: CompletionRun) -> Suspicion:
    if context.quarantine.is_empty:
        return Suspicion.NONE
    return context.quarantine.suspicion(run.fingerprint, now=boot_seconds())


async def _before_retry(context: EntryContext, run: CompletionRun, retries: int) -> None:
    """Wait a little; a retry is paid from the budget, but an answer begun is finished."""
    paid = context.retry_budget.spend(now=boot_seconds())
    if not paid and not run.payloads:
        raise run.failure("the host's retry budget is spent", not_run=OVERLOADED)
    context.metrics.retries.labels("completion").inc()
    await anyio.sleep(retry_delay(retries - 1, random_source=context.random_source))


async def _choose_in_time(
    context: EntryContext, run: CompletionRun, failed: set[str]
) -> tuple[RoutingDecision, RoutingRequest]:
    """Choose an endpoint; while there is none, wait a little, or to the deadline once begun."""
    give_up = run.deadline if run.payloads else boot_seconds() + NO_ENDPOINT_WAIT_SECONDS
    waits = 0
    while True:
        if not is_key_valid(context.state.configuration, run.caller):
            raise run.failure("the key was withdrawn meanwhile", not_run=KEY_UNKNOWN)
        try:
            return await _choose(context, run, failed)
        except NoEndpointError as error:
            if boot_seconds() >= min(give_up, run.deadline):
                raise run.failure(str(error)) from error
            failed.clear()
            waits += 1
            await anyio.sleep(retry_delay(waits + 2, random_source=context.random_source))


async def _choose(
    context: EntryContext, run: CompletionRun, failed: set[str]
) -> tuple[RoutingDecision, RoutingRequest]:
    now = boot_seconds()
    target = run.caller.route.target
    candidates = context.fleet.candidates(target, EndpointProtocol.ENGINE, excluded=failed, now=now)
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
        decision = await _choose_apart(context, run, candidates)
    else:
        if not run.payloads:
            request.prefill_candidates = context.fleet.prefill_candidates(
                target, excluded=failed, now=now
            )
        candidates = _away_from_trials(context, run, candidates)
        decision = context.choose(candidates, request, now=now, random_source=context.random_source)
    log_decision(
        _log,
        "route",
        decision.reason,
        request=run.request_id,
        customer=run.caller.customer,
        target=target,
        endpoint=decision.endpoint.info.endpoint_id,
        candidates=len(candidates),
        prefill=decision.prefill_engine.info.endpoint_id if decision.prefill_engine else None,
        estimate=decision.estimated_latency,
    )
    return decision, request


def _away_from_trials(
    context: EntryContext, run: CompletionRun, candidates: list[EndpointView]
) -> list[EndpointView]:
    """Leave out endpoints that run a suspect, if others are there."""
    if context.quarantine.is_empty:
        return candidates
    on_trial = context.quarantine.endpoints_with_other_suspects(run.fingerprint, now=boot_seconds())
    return [view for view in candidates if view.info.endpoint_id not in on_trial] or candidates


async def _choose_apart(
    context: EntryContext, run: CompletionRun, candidates: list[EndpointView]
) -> RoutingDecision:
    """Choose where a suspect can take little with it: no other suspect, few requests."""
    give_up = boot_seconds() + TRIAL_WAIT_SECONDS
    while True:
        on_trial = context.quarantine.endpoints_with_other_suspects(
            run.fingerprint, now=boot_seconds()
        )
        free = [view for view in candidates if view.info.endpoint_id not in on_trial]
        if free or boot_seconds() >= give_up:
            view = min(free or candidates, key=lambda item: item.in_flight)
            return RoutingDecision(view, 0.0, f"suspect: {view.in_flight} in flight there")
        await anyio.sleep(TRIAL_POLL_SECONDS)


async def _attempt(
    context: EntryContext,
    run: CompletionRun,
    reader: EventReader,
    decision: RoutingDecision,
    request: RoutingRequest,
    sink: Sink,
) -> None:
    """Run one attempt, on a prefill engine first if the decision names one."""
    kv_source = None
    if decision.prefill_engine is not None:
        await _prefill_apart(context, run, reader, decision, request, sink)
        if reader.done:
            return
        kv_source = decision.prefill_engine.info.address if reader.next_index else None
    imported = kv_source is not None
    call = context.fleet.begin_prefill(
        decision.endpoint.info.endpoint_id,
        request,
        cached_tokens=request.prompt_tokens if imported else decision.cached_tokens,
        estimated_first_token=0.0 if decision.prefill_engine else decision.estimated_first_token,
        now=boot_seconds(),
    )
    endpoint = decision.endpoint.info
    counted = _counting(context, call, sink)
    attempt = EngineAttempt(context, run, endpoint, reader, counted, kv_source=kv_source)
    suspect = _suspicion(context, run) is Suspicion.SUSPECT
    context.fleet.begin_call(endpoint.endpoint_id)
    if suspect:
        context.quarantine.begin_trial(run.fingerprint, endpoint.endpoint_id, now=boot_seconds())
    try:
        await attempt.whole()
        context.fleet.record_success(endpoint.endpoint_id)
        if suspect:
            context.quarantine.record_completion(run.fingerprint, now=boot_seconds())
    except AttemptFailedError as error:
        _blame(context, run, decision.endpoint, error)
        raise
    finally:
        if suspect:
            context.quarantine.end_trial(run.fingerprint, endpoint.endpoint_id, now=boot_seconds())
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end_call(endpoint.endpoint_id)


async def _prefill_apart(
    context: EntryContext,
    run: CompletionRun,
    reader: EventReader,
    decision: RoutingDecision,
    request: RoutingRequest,
    sink: Sink,
) -> None:
    """Let a prefill engine read the prompt; it gives the first token and keeps the KV cache.

    If it fails, nothing was given to `sink` and the other engine does the whole work.
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
    attempt = EngineAttempt(context, run, endpoint, reader, _counting(context, call, sink))
    context.fleet.begin_call(endpoint.endpoint_id)
    try:
        await attempt.first_part()
    except AttemptFailedError as error:
        _blame(context, run, decision.prefill_engine, error)
        _note_failure(context, run, decision.prefill_engine, error, reader.next_index)
    finally:
        context.fleet.end_prefill(call, answered=False, now=boot_seconds())
        context.fleet.end_call(endpoint.endpoint_id)


def _counting(context: EntryContext, call: PendingPrefill, sink: Sink) -> Sink:
    """Return a sink that counts the prompt as prefilled with the first batch."""
    first = True

    async def take(batch: EventBatch) -> None:
        nonlocal first
        if first:
            first = False
            context.fleet.end_prefill(call, answered=True, now=boot_seconds())
        await sink(batch)

    return take


def _blame(
    context: EntryContext, run: CompletionRun, view: EndpointView, error: AttemptFailedError
) -> None:
    """Suspect a request under which an endpoint died; end it if that was not the first.

    An endpoint that was to leave anyway is no evidence.
    """
    if error.failure is not Failure.DIED or _is_leaving(context, view):
        return
    endpoint_id = view.info.endpoint_id
    suspicion = context.quarantine.record_crash(run.fingerprint, endpoint_id, now=boot_seconds())
    log_decision(
        _log,
        "suspect",
        str(error),
        request=run.request_id,
        fingerprint=run.fingerprint,
        endpoint=endpoint_id,
        suspicion=suspicion.name.lower(),
    )
    if suspicion is Suspicion.QUARANTINED:
        raise SamphireError(ENDPOINT_CRASHED, "endpoints died under this request") from error


def _is_leaving(context: EntryContext, view: EndpointView) -> bool:
    listed = context.state.endpoints.get(view.info.endpoint_id)
    if listed is None or listed.state is not EndpointState.READY:
        return True
    now = boot_seconds()
    return context.state.board.holds(FactKind.ENDPOINT_LEAVING, listed.endpoint_id, now=now)


def _note_failure(
    context: EntryContext,
    run: CompletionRun,
    view: EndpointView,
    error: AttemptFailedError,
    events: int,
) -> None:
    """Avoid an endpoint for a while, unless it only said that it is busy."""
    endpoint_id = view.info.endpoint_id
    if error.failure is not Failure.BUSY:
        context.fleet.record_failure(endpoint_id, now=boot_seconds())
    log_decision(
        _log, "retry", str(error), request=run.request_id, endpoint=endpoint_id, events=events
    )
