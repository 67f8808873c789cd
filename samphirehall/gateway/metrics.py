"""Metrics of the requests and the state of a host, for Prometheus.

Values are kept in plain containers. `prometheus_client` is imported when they are
first scraped, as it takes a tenth of the memory of a host that nobody scrapes.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Container, Iterator
from itertools import accumulate
from typing import Any

from samphirehall.core.results import Result
from samphirehall.forwarding.answers import Receive, Scope, Send, send_response
from samphirehall.gateway.request_state import RequestState, SendOutcome

# Latency targets of routes lie between 0.1 and 0.6 seconds, deadlines below 8 seconds.
BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
TEXT_CONTENT_TYPE = b"text/plain; version=0.0.4"

ReadValue = Callable[[], float]


class _Counter:
    """Counts by label values."""

    def __init__(self, name: str, help_text: str, labels: tuple[str, ...]) -> None:
        self._description = (f"samphire_{name}", help_text)
        self._labels = labels
        self._counts: defaultdict[tuple[str, ...], int] = defaultdict(int)

    def increment(self, *values: str) -> None:
        self._counts[values] += 1

    def remove(self, *values: str) -> None:
        self._counts.pop(values, None)

    def family(self) -> Any:
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(*self._description, labels=self._labels)
        for values, count in self._counts.items():
            family.add_metric(values, count)
        return family


class _Histogram:
    """Distribution of seconds over `BUCKETS_SECONDS` by label values."""

    def __init__(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> None:
        self._description = (f"samphire_{name}", help_text)
        self._labels = labels
        self._counts: defaultdict[tuple[str, ...], list[int]] = defaultdict(
            lambda: [0] * (len(BUCKETS_SECONDS) + 1)
        )
        self._sums: defaultdict[tuple[str, ...], float] = defaultdict(float)

    def observe(self, seconds: float, *values: str) -> None:
        self._counts[values][bisect_left(BUCKETS_SECONDS, seconds)] += 1
        self._sums[values] += seconds

    def family(self) -> Any:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(*self._description, labels=self._labels)
        limits = [*map(str, BUCKETS_SECONDS), "+Inf"]
        for values, counts in self._counts.items():
            buckets = list(zip(limits, accumulate(counts), strict=True))
            family.add_metric(values, buckets=buckets, sum_value=self._sums[values])
        return family


class GatewayMetrics:
    """Metrics of a host; a collector for a `prometheus_client` registry."""

    def __init__(self) -> None:
        self._requests = _Counter(
            "requests", "Requests by route and result code.", ("route", "result")
        )
        self._customer_requests = _Counter(
            "customer_requests",
            "Requests by customer and whether they ran.",
            ("customer", "run"),
        )
        self._quota_decisions = _Counter(
            "quota_decisions",
            "Requests that waited for other hosts' quota counts or were refused, by regime.",
            ("verdict", "regime"),
        )
        self._sends = _Counter(
            "sends", "Sends to endpoints by purpose and outcome.", ("purpose", "outcome")
        )
        self._admissions = _Counter(
            "admissions",
            "Decisions on whether requests are sent to engines, by reason.",
            ("reason",),
        )
        self._streams = _Counter(
            "streams",
            "Resumable streams: new ones and those taken up by callers, and whether they ran.",
            ("kind", "outcome"),
        )
        self._hedges = _Counter(
            "hedges", "Hedges by service and whether they won.", ("service", "won")
        )
        self._refused_hedges = _Counter(
            "hedges_refused", "Late requests that were not hedged.", ("service", "reason")
        )
        self._request_seconds = _Histogram(
            "request_seconds",
            "Seconds from receipt of the whole request to the end of its response.",
            ("route",),
        )
        self._first_event_seconds = _Histogram(
            "first_event_seconds",
            "Seconds from receipt of the whole request to the first event of its stream.",
            ("route",),
        )
        self._wait_seconds = _Histogram(
            "wait_seconds", "Expected seconds until an engine starts the prefill of a request."
        )
        self._longest_gap_seconds = _Histogram(
            "longest_pause_seconds", "Longest gap in seconds between two events of a stream."
        )
        self._store_call_seconds = _Histogram(
            "store_call_seconds",
            "Duration of store calls in seconds by kind and whether they were answered.",
            ("call", "answered"),
        )
        self._endpoint_failures = _Counter(
            "endpoint_failures", "Unanswered sends by listed endpoint.", ("endpoint",)
        )
        self._connections_refused = _Counter(
            "connections_refused",
            "Connections of clients that were refused or closed, by port and reason.",
            ("port", "reason"),
        )
        self._failed_endpoints: set[str] = set()
        self._gauges: list[tuple[str, str, ReadValue]] = []

    def observe_store_call(self, kind: str, seconds: float, answered: bool) -> None:
        """Record the duration of a call to the store."""
        self._store_call_seconds.observe(seconds, kind, str(answered).lower())

    def observe_refused_connection(self, port: str, reason: str) -> None:
        """Record that a connection was refused or closed for what its client sent."""
        self._connections_refused.increment(port, reason)

    def remove_unlisted_endpoints(self, listed: Container[str]) -> None:
        """Remove the series of unlisted endpoints, which bounds the number of label values."""
        for endpoint_id in [name for name in self._failed_endpoints if name not in listed]:
            self._failed_endpoints.discard(endpoint_id)
            self._endpoint_failures.remove(endpoint_id)

    def observe_request(self, request_state: RequestState, result: Result, seconds: float) -> None:
        """Record a request that has ended."""
        route = request_state.route.name
        self._requests.increment(route, str(result.code))
        self._request_seconds.observe(seconds, route)
        if request_state.customer_name is not None:
            self._customer_requests.increment(request_state.customer_name, result.run.value)
        quota = request_state.extra_log_fields.get("quota")
        if quota is not None:
            self._quota_decisions.increment(quota["verdict"], quota["regime"])
        for endpoint_id, purpose, outcome in request_state.sends:
            self._sends.increment(purpose, outcome)
            if outcome not in (SendOutcome.ANSWERED, SendOutcome.CANCELLED):
                self._failed_endpoints.add(endpoint_id)
                self._endpoint_failures.increment(endpoint_id)
        self._observe_stream(request_state)
        self._observe_hedge(request_state)
        if request_state.route.resumable:
            has_events = "first_event_after" in request_state.extra_log_fields
            self._streams.increment(
                "taken-up" if request_state.takes_up else "new",
                "went-on" if has_events else "refused",
            )

    def _observe_hedge(self, request_state: RequestState) -> None:
        hedge = request_state.extra_log_fields.get("hedge")
        if hedge is None:
            return
        service = request_state.service.name
        if request_state.hedged:
            self._hedges.increment(service, hedge["won"])
        else:
            self._refused_hedges.increment(service, hedge["refused"])

    def _observe_stream(self, request_state: RequestState) -> None:
        route, notes = request_state.route.name, request_state.extra_log_fields
        if "admission" in notes:
            self._admissions.increment(notes["admission"])
        wait = notes.get("choice", {}).get("wait")
        if wait is not None:
            self._wait_seconds.observe(wait)
        if "longest_pause" in notes:
            self._longest_gap_seconds.observe(notes["longest_pause"])
        first_event = notes.get("first_event_after")
        if first_event is not None:
            self._first_event_seconds.observe(first_event, route)

    def add_gauge(self, name: str, help_text: str, read: ReadValue) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauges.append((f"samphire_{name}", help_text, read))

    def collect(self) -> Iterator[Any]:
        """Yield the metric families for a registry."""
        from prometheus_client.core import GaugeMetricFamily

        for metric in (
            self._requests,
            self._customer_requests,
            self._quota_decisions,
            self._sends,
            self._admissions,
            self._streams,
            self._hedges,
            self._refused_hedges,
            self._request_seconds,
            self._first_event_seconds,
            self._wait_seconds,
            self._longest_gap_seconds,
            self._store_call_seconds,
            self._endpoint_failures,
            self._connections_refused,
        ):
            yield metric.family()
        for name, help_text, read in self._gauges:
            yield GaugeMetricFamily(name, help_text, value=float(read()))

    def app(self, path: str) -> Any:
        """Return the ASGI application that serves the metrics as text at `path`."""

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] != "http":
                return
            if scope["path"] != path:
                await send_response(send, 404, [], b"")
                return
            from prometheus_client import CollectorRegistry, generate_latest

            registry = CollectorRegistry()
            registry.register(self)
            headers = [(b"content-type", TEXT_CONTENT_TYPE)]
            await send_response(send, 200, headers, generate_latest(registry))

        return serve
