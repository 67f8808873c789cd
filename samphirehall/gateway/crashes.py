"""Requests that crash the endpoints that run them, known to all hosts.

The load it answers: one request that comes again and again, at any host, and
takes an endpoint away from everyone else each time.
"""

from collections import deque
from dataclasses import dataclass

import xxhash

from samphirehall.gateway.types import Request, Route

MIN_CRASHES_FOR_QUARANTINE = (
    3  # endpoints lost with a request running; fewer also happen to innocent requests
)
RETENTION_SECONDS = 120.0  # a request that has not come for so long is forgotten
CONFIRMATION_TIMEOUT_SECONDS = (
    8.0  # a crashed endpoint is gone from the list, or back anew, within so long
)
MAX_REQUESTS = 10_000  # bounds memory; the oldest are forgotten first


@dataclass(slots=True, frozen=True)
class Crash:
    """An endpoint broke off while it worked on a request.

    Parameters
    ----------
    fingerprint : int
        The request, whatever id it bears.
    endpoint : str
        The incarnation of the endpoint.
    """

    fingerprint: int
    endpoint: str


def fingerprint(request: Request, route: Route) -> int:
    """Return what a request has in common with itself sent again: route, target, key and body."""
    digest = xxhash.xxh3_64()
    for part in (route.name.encode(), request.target, (request.key or "").encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.intdigest()


class CrashTracker:
    """Crashes that this host and its peers have seen.

    A connection that breaks is no crash yet: an answer may be lost while the
    endpoint lives. It becomes one when the endpoint is then found to be gone.
    """

    def __init__(self) -> None:
        self._crashed_endpoints: dict[int, tuple[float, set[str]]] = {}
        self._unconfirmed: dict[str, deque[tuple[float, Crash]]] = {}
        self.unpublished: deque[Crash] = deque(maxlen=MAX_REQUESTS)

    def record_unconfirmed(self, endpoint_id: str, crash: Crash, *, now: float) -> None:
        """Take note that an endpoint broke off while it worked on a request."""
        unconfirmed = self._unconfirmed.setdefault(endpoint_id, deque(maxlen=MAX_REQUESTS))
        unconfirmed.append((now, crash))

    def confirm(self, endpoint_id: str, *, now: float) -> None:
        """Take note that an endpoint is gone: the requests it broke off lately count."""
        for recorded_at, crash in self._unconfirmed.pop(endpoint_id, ()):
            if now - recorded_at < CONFIRMATION_TIMEOUT_SECONDS:
                self.record(crash, now=now)
                self.unpublished.append(crash)

    def record(self, crash: Crash, *, now: float) -> None:
        """Take note of a crash."""
        self._prune(now)
        _, endpoints = self._crashed_endpoints.pop(crash.fingerprint, (now, set()))
        endpoints.add(crash.endpoint)
        self._crashed_endpoints[crash.fingerprint] = now, endpoints

    def clear(self, request_fingerprint: int) -> None:
        """Forget a request that has been answered."""
        self._crashed_endpoints.pop(request_fingerprint, None)

    def crash_count(self, request_fingerprint: int, *, now: float) -> int:
        """Return on how many endpoints a request has broken off lately."""
        recorded_at, endpoints = self._crashed_endpoints.get(request_fingerprint, (now, set()))
        return len(endpoints) if now - recorded_at < RETENTION_SECONDS else 0

    def _prune(self, now: float) -> None:
        while self._crashed_endpoints:
            oldest = next(iter(self._crashed_endpoints))
            stale = now - self._crashed_endpoints[oldest][0] >= RETENTION_SECONDS
            if not stale and len(self._crashed_endpoints) <= MAX_REQUESTS:
                return
            del self._crashed_endpoints[oldest]
