"""Requests that crash endpoints: suspected, run apart, and refused by fingerprint.

When an endpoint dies, every request that ran on it is suspect. A suspect runs
again only where no other suspect runs. If that endpoint dies too, the request
is quarantined; if it completes, it is cleared. Hosts tell each other by facts.
"""

import enum
from collections import Counter
from dataclasses import dataclass, field, replace

import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.node.facts import Fact, FactKind, FactStore

LIFETIME_SECONDS = 600.0
INCIDENT_SECONDS = 3.0
QUARANTINE_DEATHS = 2
MAX_RECORDS = 10_000
MAX_DEATHS = 8


class Suspicion(enum.Enum):
    """What is thought of a request."""

    NONE = 0
    SUSPECT = 1
    QUARANTINED = 2


@dataclass(slots=True, frozen=True)
class SuspectRecord:
    """What one host knows of a request.

    Parameters
    ----------
    deaths : list of str
        Endpoints that died under it, once for each death that speaks against it.
    cleared : int
        Deaths of all hosts that it has been cleared of by completing.
    trial : str
        Endpoint on which it runs apart now; empty if none.
    """

    deaths: list[str] = field(default_factory=list)
    cleared: int = 0
    trial: str = ""


@dataclass(slots=True, frozen=True)
class _Held:
    record: SuspectRecord
    until: float


@dataclass(slots=True, frozen=True)
class _Incident:
    """Death of an endpoint and the suspects that ran on it."""

    at: float
    suspects: frozenset[str]


class Quarantine:
    """Suspected requests of all hosts.

    Parameters
    ----------
    board : FactStore
        Facts of this host and its peers.
    lifetime : float
        Seconds for which a death is remembered.
    """

    def __init__(self, board: FactStore, *, lifetime: float = LIFETIME_SECONDS) -> None:
        self._board = board
        self._lifetime = lifetime
        self._records: dict[str, dict[str, _Held]] = {}
        self._trials: dict[str, Counter[str]] = {}
        self._incidents: dict[str, _Incident] = {}
        board.subscribe(self._take_fact)

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspect."""
        return not self._records

    def suspicion(self, fingerprint: str, *, now: float) -> Suspicion:
        """Return what is thought of a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        now : float
            Boot clock in seconds.
        """
        deaths = self._deaths(fingerprint, now) - self._cleared(fingerprint, now)
        if deaths >= QUARANTINE_DEATHS:
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT if deaths > 0 else Suspicion.NONE

    def endpoints_on_trial(self, fingerprint: str, *, now: float) -> set[str]:
        """Return the endpoints on which suspects other than this request run."""
        busy = {
            endpoint
            for endpoint, running in self._trials.items()
            if any(other != fingerprint for other in running)
        }
        for other, owners in self._records.items():
            if other != fingerprint:
                busy.update(
                    held.record.trial
                    for held in owners.values()
                    if held.record.trial and held.until > now
                )
        return busy

    def begin_trial(self, fingerprint: str, endpoint_id: str, *, now: float) -> None:
        """Note that a suspect runs on an endpoint."""
        self._trials.setdefault(endpoint_id, Counter())[fingerprint] += 1
        self._publish(fingerprint, replace(self._own(fingerprint), trial=endpoint_id), now=now)

    def end_trial(self, fingerprint: str, endpoint_id: str, *, now: float) -> None:
        """Note that a suspect does not run on an endpoint any more."""
        running = self._trials[endpoint_id]
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if not running:
            del self._trials[endpoint_id]
        self._publish(fingerprint, replace(self._own(fingerprint), trial=""), now=now)

    def note_death(self, fingerprint: str, endpoint_id: str, *, now: float) -> Suspicion:
        """Blame a request for the death of the endpoint that it ran on.

        A suspect is blamed again only if no other suspect ran there.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        endpoint_id : str
            Endpoint that died.
        now : float
            Boot clock in seconds.
        """
        incident = self._incident(endpoint_id, now)
        before = self.suspicion(fingerprint, now=now)
        conclusive = incident.suspects <= {fingerprint}
        own = self._own(fingerprint)
        if (before is Suspicion.NONE or conclusive) and len(own.deaths) < MAX_DEATHS:
            own = replace(own, deaths=[*own.deaths, endpoint_id])
        self._publish(fingerprint, own, now=now)
        return self.suspicion(fingerprint, now=now)

    def note_completed(self, fingerprint: str, *, now: float) -> None:
        """Clear a suspect that an endpoint has run to its end."""
        deaths = self._deaths(fingerprint, now)
        if deaths:
            self._publish(fingerprint, replace(self._own(fingerprint), cleared=deaths), now=now)

    def prune(self, *, now: float) -> None:
        """Forget what has expired."""
        for fingerprint, owners in list(self._records.items()):
            kept = {owner: held for owner, held in owners.items() if held.until > now}
            if kept:
                self._records[fingerprint] = kept
            else:
                del self._records[fingerprint]
        self._incidents = {
            endpoint: incident
            for endpoint, incident in self._incidents.items()
            if now - incident.at < INCIDENT_SECONDS
        }

    def _incident(self, endpoint_id: str, now: float) -> _Incident:
        """Return the death that is being noted; those who notice later share it."""
        incident = self._incidents.get(endpoint_id)
        if incident is None or now - incident.at >= INCIDENT_SECONDS:
            suspects = set(self._trials.get(endpoint_id, ()))
            for fingerprint, owners in self._records.items():
                if any(held.record.trial == endpoint_id for held in owners.values()):
                    suspects.add(fingerprint)
            incident = self._incidents[endpoint_id] = _Incident(now, frozenset(suspects))
        return incident

    def _deaths(self, fingerprint: str, now: float) -> int:
        """Return the deaths of all hosts; two hosts that saw the same one count once."""
        most: Counter[str] = Counter()
        for held in self._records.get(fingerprint, {}).values():
            if held.until > now:
                most |= Counter(held.record.deaths)
        return most.total()

    def _cleared(self, fingerprint: str, now: float) -> int:
        owners = self._records.get(fingerprint, {}).values()
        return max((held.record.cleared for held in owners if held.until > now), default=0)

    def _own(self, fingerprint: str) -> SuspectRecord:
        held = self._records.get(fingerprint, {}).get(self._board.owner)
        return held.record if held else SuspectRecord()

    def _publish(self, fingerprint: str, record: SuspectRecord, *, now: float) -> None:
        if len(self._records) >= MAX_RECORDS:
            self.prune(now=now)
        value = msgspec.to_builtins(record)
        self._board.publish(
            FactKind.SUSPECT_REQUEST, fingerprint, value, lifetime=self._lifetime, now=now
        )

    def _take_fact(self, fact: Fact) -> None:
        if fact.kind is not FactKind.SUSPECT_REQUEST:
            return
        try:
            record = msgspec.convert(fact.value, SuspectRecord)
        except msgspec.ValidationError:
            return
        if fact.key in self._records or len(self._records) < MAX_RECORDS:
            owners = self._records.setdefault(fact.key, {})
            owners[fact.owner] = _Held(record, boot_seconds() + fact.lifetime)
