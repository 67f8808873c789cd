"""Metrics of an entry process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

TTFT_BUCKETS_SECONDS = (0.01, 0.05, 0.1, 0.25, 0.5, 0.95, 2.0, 5.0, 15.0)


class EntryMetrics:
    """Counters, gauges and histograms of an entry process.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry that the metrics are added to.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            "samphire_requests", "Requests by result", ["route", "result"], registry=registry
        )
        self.tokens = Counter(
            "samphire_tokens", "Tokens relayed to callers", ["route"], registry=registry
        )
        self.retries = Counter(
            "samphire_retries", "Attempts after the first", ["reason"], registry=registry
        )
        self.open_requests = Gauge("samphire_open_requests", "Requests open now", registry=registry)
        self.first_token = Histogram(
            "samphire_first_token_seconds",
            "Time to the first token",
            ["route"],
            buckets=TTFT_BUCKETS_SECONDS,
            registry=registry,
        )
