"""Endpoints that this host can route to: listed, with reported load and local calls."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.endpoints.compact_report import decode_report
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.routing.concurrency import QueueLimits, adapt_concurrency, host_concurrency_limit
from samphirehall.routing.prefix_index import PrefixIndex
from samphirehall.routing.view import EndpointView, RoutingRequest

UNCACHED_SMOOTHING_FRACTION = 0.02
HOST_COUNT_INTERVAL_SECONDS = 1.0
FACT_KINDS = frozenset(
    (FactKind.ENGINE_REPORT, FactKind.ENDPOINT_LEAVING, FactKind.ENDPOINT_DOWN, FactKind.HOST)
)

__all__ = ["EndpointView", "Fleet", "RoutingRequest"]


@dataclass(slots=True)
class PendingPrefill:
    """Prompt of one call that an endpoint has yet to prefill.

    Parameters
    ----------
    view : EndpointView
        Endpoint that the call is sent to.
    block_hashes : sequence of int
        Blocks that the endpoint will hold once it has prefilled them.
    pending_tokens : int
        Uncached prompt tokens, counted as pending until the first token.
    estimated_first_token : float
        Estimated seconds until the first token; 0 if there is no estimate.
    started_at : float
        Boot clock in seconds; -1 once the prompt was prefilled or given up.
    """

    view: EndpointView
    block_hashes: Sequence[int]
    pending_tokens: int
    estimated_first_token: float
    started_at: float


@dataclass(slots=True, frozen=True)
class _ServingEndpoints:
    """Endpoints of one target that accept requests; valid until `valid_until`.

    `available` holds those that can serve a whole request, `healthy` those of
    them without a failure penalty, and `prefill_engines` the healthy prefill engines.
    """

    healthy: list[EndpointView]
    available: list[EndpointView]
    prefill_engines: list[EndpointView]
    valid_until: float


class Fleet:
    """Tracks the endpoints of all zones and this host's calls on them.

    Parameters
    ----------
    state : NodeState
        Endpoint table and facts of this host.
    queue_limits : QueueLimits, optional
        Queue sizes of an engine above which its concurrency limit is lowered.
    """

    def __init__(self, state: NodeState, *, queue_limits: QueueLimits | None = None) -> None:
        self.prefixes = PrefixIndex()
        self.queue_limits = queue_limits or QueueLimits()
        self.uncached_fraction = 1.0
        self._state = state
        self._views: dict[str, EndpointView] = {}
        self._endpoint_table: dict[str, EndpointInfo] | None = None
        self._serving_by_target: dict[tuple[str, EndpointProtocol], _ServingEndpoints] = {}
        self._host_expiries: dict[str, float] = {}
        self._hosts_counted_at = float("-inf")
        now = boot_seconds()
        self._refresh()
        for kind in FACT_KINDS:
            for fact in state.fact_store.current(kind, now=now):
                self._apply_fact(fact)
        state.fact_store.subscribe(self._apply_fact)

    def candidates(
        self,
        target: str,
        protocol: EndpointProtocol,
        *,
        excluded: frozenset[str] | set[str],
        software_version: str | None = None,
        now: float,
    ) -> list[EndpointView]:
        """Return the endpoints that serve `target` and accept new requests.

        Prefill engines are left out, as they do not decode. Endpoints with a
        failure penalty are returned only if there are no others. If
        `software_version` is given, only endpoints that can continue an answer
        of that version are returned.
        """
        serving = self._serving(target, protocol, now)
        healthy, available = serving.healthy, serving.available
        if software_version is not None:
            healthy = [view for view in healthy if view.can_continue(software_version)]
            available = [view for view in available if view.can_continue(software_version)]
        if not excluded:
            return healthy or available
        return _without(healthy, excluded) or _without(available, excluded)

    def has_version(self, target: str, software_version: str, *, now: float) -> bool:
        """Return whether an engine is listed that can continue an answer, now or soon."""
        self._refresh()
        return any(
            target in view.info.models
            and view.info.protocol is EndpointProtocol.ENGINE
            and view.role is not Role.PREFILL
            and view.can_continue(software_version)
            and view.may_serve_later(now)
            for view in self._listed_views()
        )

    def prefill_candidates(
        self, target: str, *, excluded: frozenset[str] | set[str], now: float
    ) -> list[EndpointView]:
        """Return the healthy prefill engines that serve `target` and accept new requests."""
        serving = self._serving(target, EndpointProtocol.ENGINE, now)
        return _without(serving.prefill_engines, excluded) if excluded else serving.prefill_engines

    def engines(self, zone: str, *, now: float) -> list[EndpointView]:
        """Return the engines of a zone that accept new requests."""
        self._refresh()
        return [
            view
            for view in self._listed_views()
            if view.info.zone == zone
            and view.info.protocol is EndpointProtocol.ENGINE
            and view.accepts_requests(now)
        ]

    def host_count(self, now: float) -> int:
        """Return the number of hosts that share the endpoints, this one included."""
        if now >= self._hosts_counted_at + HOST_COUNT_INTERVAL_SECONDS:
            self._hosts_counted_at = now
            unexpired = {host: until for host, until in self._host_expiries.items() if until > now}
            self._host_expiries = unexpired
        return max(1, len(self._host_expiries))

    def concurrency_limit(self, target: str, now: float) -> int:
        """Return how many requests for a model this host may have running."""
        serving = self._serving(target, EndpointProtocol.ENGINE, now)
        return host_concurrency_limit(
            serving.healthy or serving.available, hosts=self.host_count(now)
        )

    def is_listed(self, endpoint_id: str) -> bool:
        """Return whether the endpoint is in the endpoint list."""
        self._refresh()
        return endpoint_id in (self._endpoint_table or ())

    def find(self, endpoint_id: str) -> EndpointView | None:
        """Return the view of an endpoint, or None."""
        return self._views.get(endpoint_id)

    def is_penalized(self, endpoint_id: str, *, now: float) -> bool:
        """Return whether the endpoint is avoided because of failures."""
        return self._view(endpoint_id).is_penalized(now)

    def record_failure(self, endpoint_id: str, *, now: float) -> None:
        """Avoid an endpoint for a time that doubles with each consecutive failure."""
        view = self._views.get(endpoint_id)
        if view is not None:
            view.record_failure(now=now)
            self._serving_by_target.clear()

    def record_success(self, endpoint_id: str) -> None:
        """Lift the failure penalty of an endpoint that answered."""
        view = self._views.get(endpoint_id)
        if view is not None and view.consecutive_failures:
            view.record_success()
            self._serving_by_target.clear()

    def begin_call(self, endpoint_id: str) -> None:
        """Record the start of a call to an endpoint."""
        view = self._view(endpoint_id)
        if view.consecutive_failures:
            self._serving_by_target.clear()
        view.in_flight += 1
        view.local_started_since_report += 1

    def end_call(self, endpoint_id: str) -> None:
        """Record the end of a call to an endpoint."""
        view = self._views[endpoint_id]
        if view.consecutive_failures:
            self._serving_by_target.clear()
        view.in_flight -= 1
        view.local_started_since_report -= 1

    def in_flight(self, endpoint_id: str) -> int:
        """Return the number of this host's calls in flight on an endpoint."""
        return self._view(endpoint_id).in_flight

    def begin_prefill(
        self,
        endpoint_id: str,
        request: RoutingRequest,
        *,
        cached_tokens: int,
        estimated_first_token: float,
        now: float,
    ) -> PendingPrefill:
        """Count the uncached tokens of a prompt as pending on an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that the request is sent to.
        request : RoutingRequest
            Request with its prompt length and block hashes.
        cached_tokens : int
            Prompt tokens estimated to be in the prefix cache.
        estimated_first_token : float
            Estimated seconds until the first token; 0 if there is no estimate.
        now : float
            Boot clock in seconds.
        """
        view = self._view(endpoint_id)
        tokens = max(0, request.prompt_tokens - cached_tokens)
        share = tokens / max(1, request.prompt_tokens)
        self.uncached_fraction += UNCACHED_SMOOTHING_FRACTION * (share - self.uncached_fraction)
        view.local_pending_tokens += tokens
        view.local_pending_since_report += tokens
        return PendingPrefill(view, request.block_hashes, tokens, estimated_first_token, now)

    def end_prefill(self, call: PendingPrefill, *, answered: bool, now: float) -> None:
        """Stop counting a prompt as pending, once; later calls do nothing.

        If the endpoint answered, also record the prefix and the latency.
        """
        if call.started_at < 0:
            return
        view = call.view
        view.local_pending_tokens -= call.pending_tokens
        view.local_pending_since_report = max(
            0, view.local_pending_since_report - call.pending_tokens
        )
        if answered:
            self.prefixes.store(view.info.endpoint_id, call.block_hashes)
            if call.estimated_first_token > 0:
                view.record_slowness((now - call.started_at) / call.estimated_first_token, now=now)
        call.started_at = -1.0

    def _serving(self, target: str, protocol: EndpointProtocol, now: float) -> _ServingEndpoints:
        """Return the cached endpoints of a target, rebuilt if the cache is stale."""
        self._refresh()
        serving = self._serving_by_target.get((target, protocol))
        if serving is None or serving.valid_until <= now:
            serving = self._serving_by_target[target, protocol] = self._select_serving(
                target, protocol, now
            )
        return serving

    def _select_serving(
        self, target: str, protocol: EndpointProtocol, now: float
    ) -> _ServingEndpoints:
        serving = [
            view
            for view in self._listed_views()
            if view.info.protocol is protocol and target in view.info.models
        ]
        valid_until = min((view.next_expiry(now) for view in serving), default=math.inf)
        accepting = [view for view in serving if view.accepts_requests(now)]
        healthy = [view for view in accepting if not view.is_penalized(now)]
        return _ServingEndpoints(
            healthy=[view for view in healthy if view.role is not Role.PREFILL],
            available=[view for view in accepting if view.role is not Role.PREFILL],
            prefill_engines=[view for view in healthy if view.role is Role.PREFILL],
            valid_until=valid_until,
        )

    def _refresh(self) -> None:
        """Update the views if the endpoint table has changed.

        An endpoint that is no longer listed keeps its view while it has calls.
        """
        table = self._state.endpoints
        if table is self._endpoint_table:
            return
        self._endpoint_table = table
        self._serving_by_target.clear()
        for endpoint_id, info in table.items():
            view = self._views.get(endpoint_id)
            if view is None:
                self._views[endpoint_id] = EndpointView(info)
            else:
                if view.info.software_version != info.software_version:
                    self.prefixes.remove_endpoint(endpoint_id)
                view.info = info
        for endpoint_id in self._views.keys() - table.keys():
            if not self._views[endpoint_id].in_flight:
                del self._views[endpoint_id]
        self.prefixes.retain_endpoints(set(table))

    def _listed_views(self) -> list[EndpointView]:
        return [self._views[endpoint_id] for endpoint_id in self._endpoint_table or ()]

    def _view(self, endpoint_id: str) -> EndpointView:
        self._refresh()
        return self._views[endpoint_id]

    def _apply_fact(self, fact: Fact) -> None:
        if fact.kind not in FACT_KINDS:
            return
        if fact.kind is FactKind.HOST:
            self._host_expiries[fact.key] = boot_seconds() + fact.lifetime
            return
        self._refresh()
        view = self._views.get(fact.key)
        if view is None:
            return
        now = boot_seconds()
        match fact.kind:
            case FactKind.ENDPOINT_LEAVING:
                view.leaving_until = now + fact.lifetime
                self._serving_by_target.clear()
            case FactKind.ENDPOINT_DOWN:
                view.down_until = now + fact.lifetime
                self._serving_by_target.clear()
            case FactKind.ENGINE_REPORT:
                report = decode_report(fact.key, fact.value)
                if report is not None:
                    self._apply_report(view, report, now)

    def _apply_report(self, view: EndpointView, report: EngineReport, now: float) -> None:
        previous = (view.role, view.accepts_requests(now))
        if report.role is not view.role:
            self.prefixes.remove_endpoint(view.info.endpoint_id)
        view.concurrency_limit = adapt_concurrency(
            view.concurrency_limit, report.load, self.queue_limits
        )
        view.apply_report(report, now=now)
        if (view.role, view.accepts_requests(now)) != previous:
            self._serving_by_target.clear()


def _without(views: list[EndpointView], excluded: frozenset[str] | set[str]) -> list[EndpointView]:
    return [view for view in views if view.info.endpoint_id not in excluded]
