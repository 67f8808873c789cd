"""Prometheus metrics of the requests and the state of a host."""

from collections.abc import Callable, Container
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from samphirehall.core.results import Result
from samphirehall.forwarding.answers import Receive, Scope, Send, send_response
from samphirehall.gateway.request_state import RequestState, SendOutcome

# Latency targets of routes lie between 0.1 and 0.6 seconds, deadlines below 8 seconds.
BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
TEXT_CONTENT_TYPE = b"text/plain; version=0.0.4"

ReadValue = Callable[[], float]


class GatewayMetrics:
    """Registers and updates the metrics of a host.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._requests = Counter(
            "samphire_requests",
            "Requests by route and result code.",
            ["route", "result"],
            registry=registry,
        )
        self._customer_requests = Counter(
            "samphire_customer_requests",
            "Requests by customer and whether they ran.",
            ["customer", "run"],
            registry=registry,
        )
        self._sends = Counter(
            "samphire_sends",
            "Sends to endpoints by purpose and outcome.",
            ["purpose", "outcome"],
            registry=registry,
        )
        self._request_seconds = Histogram(
            "samphire_request_seconds",
            "Seconds from receipt of the whole request to the end of its response.",
            ["route"],
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._first_event_seconds = Histogram(
            "samphire_first_event_seconds",
            "Seconds from receipt of the whole request to the first event of its stream.",
            ["route"],
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )

        self._wait_seconds = Histogram(
            "samphire_wait_seconds",
            "Expected seconds until an engine starts the prefill of a request.",
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._longest_gap_seconds = Histogram(
            "samphire_longest_pause_seconds",
            "Longest gap in seconds between two events of a stream.",
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._store_call_seconds = Histogram(
            "samphire_store_call_seconds",
            "Duration of store calls in seconds by kind and whether they were answered.",
            ["call", "answered"],
            buckets=BUCKETS_SECONDS,
            registry=registry,
        )
        self._endpoint_failures = Counter(
            "samphire_endpoint_failures",
            "Unanswered sends by listed endpoint.",
            ["endpoint"],
            registry=registry,
        )
        self._failed_endpoints: set[str] = set()

    def observe_store_call(self, kind: str, seconds: float, answered: bool) -> None:
        """Record the duration of a call to the store."""
        self._store_call_seconds.labels(kind, str(answered).lower()).observe(seconds)

    def remove_unlisted_endpoints(self, listed: Container[str]) -> None:
        """Remove the series of unlisted endpoints, which bounds the number of label values."""
        for endpoint_id in [name for name in self._failed_endpoints if name not in listed]:
            self._failed_endpoints.discard(endpoint_id)
            self._endpoint_failures.remove(endpoint_id)

    def observe_request(self, request_state: RequestState, result: Result, seconds: float) -> None:
        """Record a request that has ended."""
        route = request_state.route.name
        self._requests.labels(route, str(result.code)).inc()
        self._request_seconds.labels(route).observe(seconds)
        if request_state.customer_name is not None:
            self._customer_requests.labels(request_state.customer_name, result.run.value).inc()
        for endpoint_id, purpose, outcome in request_state.sends:
            self._sends.labels(purpose, outcome).inc()
            if outcome != SendOutcome.ANSWERED:
                self._failed_endpoints.add(endpoint_id)
                self._endpoint_failures.labels(endpoint_id).inc()
        self._observe_stream(request_state)

    def _observe_stream(self, request_state: RequestState) -> None:
        route, notes = request_state.route.name, request_state.extra_log_fields
        wait = notes.get("choice", {}).get("wait")
        if wait is not None:
            self._wait_seconds.observe(wait)
        if "longest_pause" in notes:
            self._longest_gap_seconds.observe(notes["longest_pause"])
        first_event = notes.get("first_event_after")
        if first_event is not None:
            self._first_event_seconds.labels(route).observe(first_event)

    def add_gauge(self, name: str, help_text: str, read: ReadValue) -> None:
        """Register a gauge whose value is read at each scrape."""
        Gauge(f"samphire_{name}", help_text, registry=self._registry).set_function(read)

    def app(self, path: str) -> Any:
        """Return the ASGI application that serves the metrics as text at `path`."""

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] != "http":
                return
            if scope["path"] != path:
                await send_response(send, 404, [], b"")
                return
            body = generate_latest(self._registry)
            await send_response(send, 200, [(b"content-type", TEXT_CONTENT_TYPE)], body)

        return serve
