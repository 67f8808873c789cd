"""Counters and latency histograms of a host's requests."""

from collections.abc import Callable, Container
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from samphirehall.core.results import Result
from samphirehall.forwarding.answers import Receive, Scope, Send, send_response
from samphirehall.gateway.journey import Journey, SendOutcome

# Seconds; the goals of today's routes lie between 0.1 and 0.6, their deadlines below 8.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
TEXT = b"text/plain; version=0.0.4"

Read = Callable[[], float]


class GatewayMetrics:
    """Metrics of the requests and of what the host believes.

    Parameters
    ----------
    registry : CollectorRegistry
        Where they are collected.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._requests = Counter(
            "samphire_requests",
            "Requests by route and result code.",
            ["route", "result"],
            registry=registry,
        )
        self._customers = Counter(
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
        self._seconds = Histogram(
            "samphire_request_seconds",
            "Seconds from the whole request to the end of its answer.",
            ["route"],
            buckets=BUCKETS,
            registry=registry,
        )
        self._first_event = Histogram(
            "samphire_first_event_seconds",
            "Seconds from the whole request to the first event of its stream.",
            ["route"],
            buckets=BUCKETS,
            registry=registry,
        )

        self._waits = Histogram(
            "samphire_wait_seconds",
            "Expected seconds until an engine would read a request's prompt.",
            buckets=BUCKETS,
            registry=registry,
        )
        self._pauses = Histogram(
            "samphire_longest_pause_seconds",
            "Longest pause between two events of a stream.",
            buckets=BUCKETS,
            registry=registry,
        )
        self._store_calls = Histogram(
            "samphire_store_call_seconds",
            "Seconds of a call to the store by kind and whether it was answered.",
            ["call", "answered"],
            buckets=BUCKETS,
            registry=registry,
        )
        self._endpoint_failures = Counter(
            "samphire_endpoint_failures",
            "Sends to endpoints of the list that were not answered.",
            ["endpoint"],
            registry=registry,
        )
        self._failed_endpoints: set[str] = set()

    def observe_store_call(self, kind: str, seconds: float, answered: bool) -> None:
        """Count a call to the store."""
        self._store_calls.labels(kind, str(answered).lower()).observe(seconds)

    def keep_endpoints(self, listed: Container[str]) -> None:
        """Drop the counts of endpoints that are gone, so that their number stays bounded."""
        for endpoint_id in [name for name in self._failed_endpoints if name not in listed]:
            self._failed_endpoints.discard(endpoint_id)
            self._endpoint_failures.remove(endpoint_id)

    def observe(self, journey: Journey, result: Result, seconds: float) -> None:
        """Count a request that has ended."""
        route = journey.route.name
        self._requests.labels(route, str(result.code)).inc()
        self._seconds.labels(route).observe(seconds)
        if journey.customer_name is not None:
            self._customers.labels(journey.customer_name, result.run.value).inc()
        for endpoint_id, purpose, outcome in journey.sends:
            self._sends.labels(purpose, outcome).inc()
            if outcome != SendOutcome.ANSWERED:
                self._failed_endpoints.add(endpoint_id)
                self._endpoint_failures.labels(endpoint_id).inc()
        self._observe_stream(journey)

    def _observe_stream(self, journey: Journey) -> None:
        route, notes = journey.route.name, journey.notes
        wait = notes.get("choice", {}).get("wait")
        if wait is not None:
            self._waits.observe(wait)
        if "longest_pause" in notes:
            self._pauses.observe(notes["longest_pause"])
        first_event = notes.get("first_event_after")
        if first_event is not None:
            self._first_event.labels(route).observe(first_event)

    def gauge(self, name: str, help_text: str, read: Read) -> None:
        """Serve a value that is read when it is asked for."""
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
            await send_response(send, 200, [(b"content-type", TEXT)], body)

        return serve
