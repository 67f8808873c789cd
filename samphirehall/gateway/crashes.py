"""Detection of requests that crash endpoints, shared between hosts.

A request that crashes its endpoint may be sent again and again, through any host,
and would take down an endpoint each time.
"""

import logging
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from samphirehall.core.log import log_decision
from samphirehall.gateway.types import Request, Route
from samphirehall.routing.part_quarantine import PartQuarantine

MIN_CRASHES_FOR_QUARANTINE = 3  # fewer also occur for requests that did not cause the crash
RETENTION_SECONDS = 120.0  # since the last crash of a request
CONFIRMATION_TIMEOUT_SECONDS = 8.0  # a crashed endpoint is delisted or restarted within this time
MAX_REQUESTS = 10_000  # bounds memory; the oldest are evicted first
MAX_REPORTED_PARTS = 8  # of a prompt, in a report to peers; a datagram must fit one packet

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Crash:
    """Loss of an endpoint while it ran a request.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request, independent of its id.
    endpoint : str
        Incarnation of the endpoint.
    parts : tuple of str
        Shared parts of the prompt, if it has one.
    """

    fingerprint: int
    endpoint: str
    parts: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class PartCrash:
    """Confirmed crash of an engine while it ran a prompt, for peers.

    Parameters
    ----------
    endpoint : str
        Incarnation of the engine.
    age : float
        Seconds since the crash when it was confirmed.
    parts : tuple of str
        Shared parts of the prompt.
    """

    endpoint: str
    age: float
    parts: tuple[str, ...]


def fingerprint(request: Request, route: Route) -> int:
    """Return a hash of route, target, key and body, equal for each retry of a request."""
    digest = xxhash.xxh3_64()
    for part in (route.name.encode(), request.target, (request.key or "").encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.intdigest()


def request_part(request_fingerprint: int) -> str:
    """Return the name under which a whole request is kept among the parts in quarantine."""
    return f"request:{request_fingerprint:016x}"


class CrashTracker:
    """Tracks crashes observed by this host and its peers.

    A broken connection alone is not a crash, as an answer may be lost while the endpoint
    is alive. It is confirmed as a crash once the endpoint turns out to be gone.
    Requests that crashed several endpoints are kept among the parts in quarantine, which
    started hosts learn from others. `unpublished` holds confirmed crashes that have yet to be
    sent to peers, `unpublished_parts` and `unpublished_cleared` what they say about parts of
    prompts.
    """

    def __init__(self) -> None:
        self._crashed_endpoints: dict[int, tuple[float, set[str]]] = {}
        self._unconfirmed: dict[str, deque[tuple[float, Crash]]] = {}
        self.unpublished: deque[Crash] = deque(maxlen=MAX_REQUESTS)
        self.unpublished_parts: deque[PartCrash] = deque(maxlen=MAX_REQUESTS)
        self.unpublished_cleared: deque[str] = deque(maxlen=MAX_REQUESTS)
        self.parts = PartQuarantine()

    def record_unconfirmed(self, endpoint_id: str, crash: Crash, *, now: float) -> None:
        """Record that the connection to an endpoint broke while it ran a request."""
        unconfirmed = self._unconfirmed.setdefault(endpoint_id, deque(maxlen=MAX_REQUESTS))
        unconfirmed.append((now, crash))

    def is_suspect(self, endpoint_id: str) -> bool:
        """Return whether a connection to an endpoint broke, and it is not known why."""
        return endpoint_id in self._unconfirmed

    def confirm(self, endpoint_id: str, *, now: float) -> None:
        """Confirm the recent crashes of an endpoint that is gone."""
        for recorded_at, crash in self._unconfirmed.pop(endpoint_id, ()):
            if now - recorded_at < CONFIRMATION_TIMEOUT_SECONDS:
                self.record(crash, source="seen here", now=now)
                self.unpublished.append(crash)
                if crash.parts:
                    parts = crash.parts[:MAX_REPORTED_PARTS]
                    report = PartCrash(crash.endpoint, now - recorded_at, parts)
                    self.record_parts(report, now=now)
                    self.unpublished_parts.append(report)

    def record_parts(self, crash: PartCrash, *, now: float) -> None:
        """Record a crash that this host or a peer has seen as evidence about parts of prompts."""
        innocent = self.parts.record_crash(crash.endpoint, crash.parts, at=now - crash.age, now=now)
        self.unpublished_cleared.extend(innocent)

    def record_cleared_parts(self, parts: Sequence[str], *, now: float) -> None:
        """Record parts with a complete answer at a peer."""
        self.parts.record_completion(parts, now=now)

    def record(self, crash: Crash, *, source: str, now: float) -> None:
        """Record a confirmed crash that this host or a peer has seen."""
        self._prune(now)
        _, endpoints = self._crashed_endpoints.pop(crash.fingerprint, (now, set()))
        is_new = crash.endpoint not in endpoints
        endpoints.add(crash.endpoint)
        self._crashed_endpoints[crash.fingerprint] = now, endpoints
        if self.crash_count(crash.fingerprint, now=now) >= MIN_CRASHES_FOR_QUARANTINE:
            self.parts.block(frozenset((request_part(crash.fingerprint),)), now=now)
        if is_new:
            log_decision(
                _log,
                "crash",
                source,
                fingerprint=crash.fingerprint,
                endpoint=crash.endpoint,
                crashed=len(endpoints),
            )

    def clear(self, request_fingerprint: int, parts: Sequence[str] = (), *, now: float) -> None:
        """Remove the crashes of a request that has been answered, and of its shared parts."""
        self._crashed_endpoints.pop(request_fingerprint, None)
        request = request_part(request_fingerprint)
        proven = (*parts, request) if self.parts.blocked((request,), now=now) else parts
        self.unpublished_cleared.extend(self.parts.record_completion(proven, now=now))

    def crash_count(self, request_fingerprint: int, *, now: float) -> int:
        """Return the number of endpoints that a request has recently crashed."""
        recorded_at, endpoints = self._crashed_endpoints.get(request_fingerprint, (now, set()))
        return len(endpoints) if now - recorded_at < RETENTION_SECONDS else 0

    def _prune(self, now: float) -> None:
        while self._crashed_endpoints:
            oldest = next(iter(self._crashed_endpoints))
            stale = now - self._crashed_endpoints[oldest][0] >= RETENTION_SECONDS
            if not stale and len(self._crashed_endpoints) <= MAX_REQUESTS:
                return
            del self._crashed_endpoints[oldest]
