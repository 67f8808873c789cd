"""Endpoints as the entry sees them: listed, reported by engines, corrected by its own calls."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from samphirehall.core.clock import boot_seconds
from samphirehall.core.types import EndpointInfo, EndpointProtocol, Role
from samphirehall.endpoints.compact_report import decode_report
from samphirehall.endpoints.protocol import EngineReport
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.routing.outstanding import QueueAims, adapted, concurrency_limit
from samphirehall.routing.prefix_index import PrefixIndex
from samphirehall.routing.view import EndpointView, RoutingRequest

UNCACHED_GAIN = 0.02
HOSTS_COUNT_SECONDS = 1.0
FACT_KINDS = frozenset(
    (FactKind.ENGINE_REPORT, FactKind.ENDPOINT_LEAVING, FactKind.ENDPOINT_DOWN, FactKind.HOST)
)

__all__ = ["EndpointView", "Fleet", "RoutingRequest"]


@dataclass(slots=True)
class OutstandingCall:
    """One call of this host on an endpoint, from before the first byte to its end.

    Parameters
    ----------
    view : EndpointView
        Where it runs.
    hashes : sequence of int
        Blocks that the endpoint will hold once it has prefilled them.
    tokens : int
        Prompt tokens to prefill that still count as pending.
    estimate : float
        Estimated seconds to the first token; 0 if there is none.
    begun_at : float
        Boot clock in seconds.
    """

    view: EndpointView
    hashes: Sequence[int]
    tokens: int
    estimate: float
    begun_at: float


@dataclass(slots=True, frozen=True)
class _Usable:
    """Endpoints of one target by what they can be asked; holds until `valid_until`."""

    trusted: list[EndpointView]
    whole: list[EndpointView]
    prefill: list[EndpointView]
    valid_until: float


class Fleet:
    """Endpoints of all zones with this host's own calls.

    Parameters
    ----------
    state : NodeState
        What this host knows.
    aims : QueueAims, optional
        What an engine's queue may hold before less is sent to it.
    """

    def __init__(self, state: NodeState, *, aims: QueueAims | None = None) -> None:
        self.prefixes = PrefixIndex()
        self.aims = aims or QueueAims()
        self.uncached_share = 1.0
        self._state = state
        self._views: dict[str, EndpointView] = {}
        self._table: dict[str, EndpointInfo] | None = None
        self._usable_lists: dict[tuple[str, EndpointProtocol], _Usable] = {}
        self._hosts_until: dict[str, float] = {}
        self._hosts_counted_at = 0.0
        now = boot_seconds()
        self._refresh()
        for kind in FACT_KINDS:
            for fact in state.board.current(kind, now=now):
                self._take_fact(fact)
        state.board.listen(self._take_fact)

    def candidates(
        self,
        target: str,
        protocol: EndpointProtocol,
        *,
        excluded: frozenset[str] | set[str],
        now: float,
    ) -> list[EndpointView]:
        """Return the endpoints that serve `target` and take new work.

        Prefill engines are left out, as they give no whole answer. Suspected
        endpoints are left out unless no other is there.
        """
        usable = self._usable(target, protocol, now)
        if not excluded:
            return usable.trusted or usable.whole
        kept = _without(usable.trusted, excluded)
        return kept or _without(usable.whole, excluded)

    def prefill_candidates(
        self, target: str, *, excluded: frozenset[str] | set[str], now: float
    ) -> list[EndpointView]:
        """Return the trusted prefill engines that serve `target` and take new work."""
        usable = self._usable(target, EndpointProtocol.ENGINE, now)
        return _without(usable.prefill, excluded) if excluded else usable.prefill

    def engines(self, zone: str, *, now: float) -> list[EndpointView]:
        """Return the engines of a zone that take new work."""
        self._refresh()
        return [
            view
            for view in self._views.values()
            if view.info.zone == zone
            and view.info.protocol is EndpointProtocol.ENGINE
            and view.takes_work(now)
        ]

    def hosts(self, now: float) -> int:
        """Return the number of hosts that share the endpoints, this one included."""
        if now >= self._hosts_counted_at + HOSTS_COUNT_SECONDS:
            self._hosts_counted_at = now
            live = {host: until for host, until in self._hosts_until.items() if until > now}
            self._hosts_until = live
        return max(1, len(self._hosts_until))

    def concurrency_limit(self, target: str, now: float) -> int:
        """Return how many requests for a model this host may have running."""
        usable = self._usable(target, EndpointProtocol.ENGINE, now)
        return concurrency_limit(usable.trusted or usable.whole, hosts=self.hosts(now))

    def find(self, endpoint_id: str) -> EndpointView | None:
        """Return the view of an endpoint, or None."""
        return self._views.get(endpoint_id)

    def is_suspect(self, endpoint_id: str, *, now: float) -> bool:
        """Return whether a recent call to the endpoint failed."""
        return self._view(endpoint_id).is_suspect(now)

    def suspect(self, endpoint_id: str, *, now: float) -> None:
        """Avoid an endpoint for a while, longer after each failure."""
        view = self._views.get(endpoint_id)
        if view is not None:
            view.suspect(now=now)
            self._usable_lists.clear()

    def trust(self, endpoint_id: str) -> None:
        """Stop avoiding an endpoint that answered."""
        view = self._views.get(endpoint_id)
        if view is not None and view.failures:
            view.trust()
            self._usable_lists.clear()

    def begin(self, endpoint_id: str) -> None:
        """Count a call that is about to be made."""
        view = self._view(endpoint_id)
        if view.failures:
            self._usable_lists.clear()
        view.in_flight += 1
        view.running_since_report += 1

    def end(self, endpoint_id: str) -> None:
        """Count a call that is over."""
        view = self._views[endpoint_id]
        if view.failures:
            self._usable_lists.clear()
        view.in_flight -= 1
        view.running_since_report -= 1

    def in_flight(self, endpoint_id: str) -> int:
        """Return this host's calls in flight on an endpoint."""
        return self._view(endpoint_id).in_flight

    def begin_prefill(
        self,
        endpoint_id: str,
        request: RoutingRequest,
        *,
        cached_tokens: int,
        estimate: float,
        now: float,
    ) -> OutstandingCall:
        """Count the prompt tokens that an endpoint is about to prefill.

        Parameters
        ----------
        endpoint_id : str
            Where the request goes.
        request : RoutingRequest
            Prompt and its blocks.
        cached_tokens : int
            Prompt tokens thought to need no prefill.
        estimate : float
            Estimated seconds to the first token; 0 for none.
        now : float
            Boot clock in seconds.
        """
        view = self._view(endpoint_id)
        tokens = max(0, request.prompt_tokens - cached_tokens)
        share = tokens / max(1, request.prompt_tokens)
        self.uncached_share += UNCACHED_GAIN * (share - self.uncached_share)
        view.pending_tokens += tokens
        view.pending_since_report += tokens
        return OutstandingCall(view, request.block_hashes, tokens, estimate, now)

    def end_prefill(self, call: OutstandingCall, *, answered: bool, now: float) -> None:
        """Count a prompt as prefilled, or given up; counts once, however often it is called."""
        if call.begun_at < 0:
            return
        view = call.view
        view.pending_tokens -= call.tokens
        view.pending_since_report = max(0, view.pending_since_report - call.tokens)
        if answered:
            self.prefixes.store(view.info.endpoint_id, call.hashes)
            if call.estimate > 0:
                view.note_slowness((now - call.begun_at) / call.estimate, now=now)
        call.begun_at = -1.0

    def _usable(self, target: str, protocol: EndpointProtocol, now: float) -> _Usable:
        """Return the lists for a target, made anew only after something changed."""
        self._refresh()
        held = self._usable_lists.get((target, protocol))
        if held is None or held.valid_until <= now:
            held = self._usable_lists[target, protocol] = self._list(target, protocol, now)
        return held

    def _list(self, target: str, protocol: EndpointProtocol, now: float) -> _Usable:
        serving = [
            view
            for view in self._views.values()
            if view.info.protocol is protocol and target in view.info.models
        ]
        valid_until = min((view.next_change(now) for view in serving), default=math.inf)
        usable = [view for view in serving if view.takes_work(now)]
        trusted = [view for view in usable if not view.is_suspect(now)]
        return _Usable(
            trusted=[view for view in trusted if view.role is not Role.PREFILL],
            whole=[view for view in usable if view.role is not Role.PREFILL],
            prefill=[view for view in trusted if view.role is Role.PREFILL],
            valid_until=valid_until,
        )

    def _refresh(self) -> None:
        """Bring the views up to a new endpoint table."""
        table = self._state.endpoints
        if table is self._table:
            return
        self._table = table
        self._usable_lists.clear()
        for endpoint_id, info in table.items():
            view = self._views.get(endpoint_id)
            if view is None:
                self._views[endpoint_id] = EndpointView(info)
            else:
                view.info = info
        for endpoint_id in self._views.keys() - table.keys():
            if not self._views[endpoint_id].in_flight:
                del self._views[endpoint_id]
        self.prefixes.keep_only(set(table))

    def _view(self, endpoint_id: str) -> EndpointView:
        self._refresh()
        return self._views[endpoint_id]

    def _take_fact(self, fact: Fact) -> None:
        if fact.kind not in FACT_KINDS:
            return
        if fact.kind is FactKind.HOST:
            self._hosts_until[fact.key] = boot_seconds() + fact.lifetime
            return
        self._refresh()
        view = self._views.get(fact.key)
        if view is None:
            return
        now = boot_seconds()
        match fact.kind:
            case FactKind.ENDPOINT_LEAVING:
                view.leaving_until = now + fact.lifetime
                self._usable_lists.clear()
            case FactKind.ENDPOINT_DOWN:
                view.down_until = now + fact.lifetime
                self._usable_lists.clear()
            case FactKind.ENGINE_REPORT:
                report = decode_report(fact.key, fact.value)
                if report is not None:
                    self._take_report(view, report, now)

    def _take_report(self, view: EndpointView, report: EngineReport, now: float) -> None:
        before = (view.role, view.takes_work(now))
        if report.role is not view.role:
            self.prefixes.forget(view.info.endpoint_id)
        view.allowed = adapted(view.allowed, report.load, self.aims)
        view.take_report(report, now=now)
        if (view.role, view.takes_work(now)) != before:
            self._usable_lists.clear()


def _without(views: list[EndpointView], excluded: frozenset[str] | set[str]) -> list[EndpointView]:
    return [view for view in views if view.info.endpoint_id not in excluded]
