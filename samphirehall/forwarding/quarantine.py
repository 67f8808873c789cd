"""Quarantine of requests that crash endpoints, identified by fingerprint.

When an endpoint crashes, every request that ran on it becomes a suspect. A
suspect is retried only on an endpoint where no other suspect runs. If that
endpoint crashes too, the request is quarantined and refused; if the request
completes, it is cleared. Hosts share their records as facts.

Requests that are all different may share messages that crash endpoints. All messages but
the last one of a request are parts that others may share; see `PartQuarantine`.
"""

import enum
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import DecodingError, convert
from samphirehall.core.rendezvous import is_chosen
from samphirehall.node.facts import Fact, FactKind, FactStore
from samphirehall.routing.part_quarantine import CRASH_LIFETIME_SECONDS, Group, PartQuarantine

RECORD_LIFETIME_SECONDS = 600.0
INCIDENT_WINDOW_SECONDS = 3.0
MIN_QUARANTINE_CRASHES = 2
MAX_RECORDS = 10_000
MAX_CRASHES = 8
MAX_PARTS = 16  # messages of one request that are recorded with a crash


class Suspicion(enum.Enum):
    """How strongly a request is suspected of crashing endpoints."""

    NONE = 0
    SUSPECT = 1
    QUARANTINED = 2


@dataclass(slots=True, frozen=True)
class SuspectRecord:
    """Record of one host about a suspected request.

    Parameters
    ----------
    deaths : list of str
        Endpoints that crashed while they ran the request, one entry for each crash that
        is attributed to it.
    cleared : int
        Number of crashes, seen by all hosts, that no longer count because the request
        completed afterwards.
    trial : str
        Endpoint on which the request runs without other suspects now; empty if none.
    parts : list of str
        Digests of the messages that other requests may share.
    is_cleared_part : bool
        Whether the record is of a shared message instead: a request with it has completed.
    """

    deaths: list[str] = field(default_factory=list)
    cleared: int = 0
    trial: str = ""
    parts: list[str] = field(default_factory=list)
    is_cleared_part: bool = False


@dataclass(slots=True, frozen=True)
class _ReceivedRecord:
    record: SuspectRecord
    expires_at: float


@dataclass(slots=True, frozen=True)
class _Incident:
    """Crash of an endpoint and the suspects that ran on it."""

    detected_at: float
    suspects: frozenset[str]


class Quarantine:
    """Records of suspected requests, merged from all hosts.

    Parameters
    ----------
    fact_store : FactStore
        Facts of this host and its peers.
    lifetime : float
        Seconds for which a crash is remembered.
    """

    def __init__(self, fact_store: FactStore, *, lifetime: float = RECORD_LIFETIME_SECONDS) -> None:
        self._fact_store = fact_store
        self._lifetime = lifetime
        self._records: dict[str, dict[str, _ReceivedRecord]] = {}
        self._local_trials: dict[str, Counter[str]] = {}
        self._incidents: dict[str, _Incident] = {}
        self._parts = PartQuarantine()
        fact_store.subscribe(self._apply_fact)

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspect."""
        return not self._records

    def suspicion(self, fingerprint: str, *, now: float) -> Suspicion:
        """Return how strongly a request is suspected.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        now : float
            Boot clock in seconds.
        """
        crashes = self._count_crashes(fingerprint, now) - self._count_cleared(fingerprint, now)
        if crashes >= MIN_QUARANTINE_CRASHES:
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT if crashes > 0 else Suspicion.NONE

    def blocked_parts(self, parts: Sequence[str], *, now: float) -> Group | None:
        """Return the messages for which a request is refused, or None if it may run.

        Parameters
        ----------
        parts : sequence of str
            Digests of the messages of the request that others may share.
        now : float
            Boot clock in seconds.
        """
        return self._parts.blocked(parts, now=now)

    def take_trial(self, parts: Group, *, now: float) -> bool:
        """Return whether one request may run in spite of its messages, to review their quarantine.

        Of all live hosts, one takes the trials of a group.
        """
        hosts = {fact.key for fact in self._fact_store.current(FactKind.HOST, now=now)}
        host = self._fact_store.owner
        is_owner = is_chosen(host, {*hosts, host}, ",".join(sorted(parts)))
        return is_owner and self._parts.take_trial(parts, now=now)

    def endpoints_with_other_suspects(self, fingerprint: str, *, now: float) -> set[str]:
        """Return the endpoints on which suspects other than this request run."""
        endpoints = {
            endpoint
            for endpoint, running in self._local_trials.items()
            if any(other != fingerprint for other in running)
        }
        for other, owners in self._records.items():
            if other != fingerprint:
                endpoints.update(
                    received.record.trial
                    for received in owners.values()
                    if received.record.trial and received.expires_at > now
                )
        return endpoints

    def begin_trial(self, fingerprint: str, endpoint_id: str, *, now: float) -> None:
        """Record that a suspect starts to run on an endpoint."""
        self._local_trials.setdefault(endpoint_id, Counter())[fingerprint] += 1
        self._publish(
            fingerprint, replace(self._local_record(fingerprint), trial=endpoint_id), now=now
        )

    def end_trial(self, fingerprint: str, endpoint_id: str, *, now: float) -> None:
        """Record that a suspect no longer runs on an endpoint."""
        running = self._local_trials[endpoint_id]
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if not running:
            del self._local_trials[endpoint_id]
        self._publish(fingerprint, replace(self._local_record(fingerprint), trial=""), now=now)

    def record_crash(
        self, fingerprint: str, endpoint_id: str, *, parts: Sequence[str] = (), now: float
    ) -> Suspicion:
        """Record that an endpoint crashed while it ran a request; return the new suspicion.

        The crash counts against a request that is already suspect only if no
        other suspect ran on that endpoint.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        endpoint_id : str
            Endpoint that crashed.
        parts : sequence of str
            Digests of the messages of the request that others may share.
        now : float
            Boot clock in seconds.
        """
        incident = self._current_incident(endpoint_id, now)
        previous = self.suspicion(fingerprint, now=now)
        conclusive = incident.suspects <= {fingerprint}
        record = self._local_record(fingerprint)
        if (previous is Suspicion.NONE or conclusive) and len(record.deaths) < MAX_CRASHES:
            deaths = [*record.deaths, endpoint_id]
            record = replace(record, deaths=deaths, parts=list(parts[:MAX_PARTS]))
        self._publish(fingerprint, record, now=now)
        return self.suspicion(fingerprint, now=now)

    def record_completed_parts(self, parts: Sequence[str], *, now: float) -> None:
        """Clear the shared messages of a request that an endpoint completed."""
        for part in self._parts.record_completion(parts, now=now):
            value = msgspec.to_builtins(SuspectRecord(is_cleared_part=True))
            self._fact_store.publish(
                FactKind.SUSPECT_REQUEST, part, value, lifetime=CRASH_LIFETIME_SECONDS, now=now
            )

    def record_completion(self, fingerprint: str, *, now: float) -> None:
        """Clear a suspect after an endpoint completed it."""
        crashes = self._count_crashes(fingerprint, now)
        if crashes:
            self._publish(
                fingerprint, replace(self._local_record(fingerprint), cleared=crashes), now=now
            )

    def prune(self, *, now: float) -> None:
        """Remove expired records and incidents."""
        for fingerprint, owners in list(self._records.items()):
            unexpired = {
                owner: received for owner, received in owners.items() if received.expires_at > now
            }
            if unexpired:
                self._records[fingerprint] = unexpired
            else:
                del self._records[fingerprint]
        self._incidents = {
            endpoint: incident
            for endpoint, incident in self._incidents.items()
            if now - incident.detected_at < INCIDENT_WINDOW_SECONDS
        }

    def _current_incident(self, endpoint_id: str, now: float) -> _Incident:
        """Return the incident for a crash that was detected now.

        All detections within `INCIDENT_WINDOW_SECONDS` share one incident, so that they see
        the same suspects.
        """
        incident = self._incidents.get(endpoint_id)
        if incident is None or now - incident.detected_at >= INCIDENT_WINDOW_SECONDS:
            suspects = set(self._local_trials.get(endpoint_id, ()))
            for fingerprint, owners in self._records.items():
                if any(received.record.trial == endpoint_id for received in owners.values()):
                    suspects.add(fingerprint)
            incident = self._incidents[endpoint_id] = _Incident(now, frozenset(suspects))
        return incident

    def _count_crashes(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes seen by all hosts; one seen by two hosts counts once."""
        most_by_endpoint: Counter[str] = Counter()
        for received in self._records.get(fingerprint, {}).values():
            if received.expires_at > now:
                most_by_endpoint |= Counter(received.record.deaths)
        return most_by_endpoint.total()

    def _count_cleared(self, fingerprint: str, now: float) -> int:
        owners = self._records.get(fingerprint, {}).values()
        return max(
            (received.record.cleared for received in owners if received.expires_at > now), default=0
        )

    def _local_record(self, fingerprint: str) -> SuspectRecord:
        received = self._records.get(fingerprint, {}).get(self._fact_store.owner)
        return received.record if received else SuspectRecord()

    def _publish(self, fingerprint: str, record: SuspectRecord, *, now: float) -> None:
        if len(self._records) >= MAX_RECORDS:
            self.prune(now=now)
        value = msgspec.to_builtins(record)
        self._fact_store.publish(
            FactKind.SUSPECT_REQUEST, fingerprint, value, lifetime=self._lifetime, now=now
        )

    def _apply_fact(self, fact: Fact) -> None:
        if fact.kind is not FactKind.SUSPECT_REQUEST:
            return
        try:
            record = convert(fact.value, SuspectRecord)
        except DecodingError:
            return
        now = boot_seconds()
        if record.is_cleared_part:
            self._parts.record_completion([fact.key], now=now)
            return
        previous = self._records.get(fact.key, {}).get(fact.owner)
        known_deaths = previous.record.deaths if previous else []
        for endpoint_id in record.deaths[len(known_deaths) :]:
            self._parts.record_crash(endpoint_id, record.parts, at=now, now=now)
        if fact.key in self._records or len(self._records) < MAX_RECORDS:
            owners = self._records.setdefault(fact.key, {})
            owners[fact.owner] = _ReceivedRecord(record, now + fact.lifetime)
