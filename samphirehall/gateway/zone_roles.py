"""Roles that one host has at present: hub, reader of the store, candidate for the duties."""

import logging
from collections.abc import Callable

from samphirehall.core.log import log_decision
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.host_directory import HostDirectory
from samphirehall.gateway.rows import Switch, TableFollower
from samphirehall.gateway.zone_hub import (
    STORE_TIMEOUT_SECONDS,
    HubElection,
    hub_should_read,
    may_hold_duty,
    member_should_read,
)
from samphirehall.gateway.zone_view import StoreContact, ZoneView

LATE_SECONDS = 0.5  # after which a host reads what it lacks from the store
OWN_READING_SECONDS = 3.0  # since it was late, as whoever did not deliver may be slow for seconds

_log = logging.getLogger(__name__)


class ZoneRoles:
    """Decides which host is the hub, and whether this one reads the store.

    Parameters
    ----------
    context : GatewayContext
        Name, zone and received loads of this host.
    directory : HostDirectory
        Known hosts of the zone.
    endpoints : TableFollower
        The endpoint list.
    reading : Switch
        Switched on while this host reads the store.
    view : ZoneView
        What this host knows of the zones.
    late_by : callable
        Returns the seconds for which this host has lacked what other hosts have; see `CatchUp`.
    now : float
        Boot clock in seconds at the start.

    Attributes
    ----------
    acts_as_hub : Switch
        Switched on while this host is the hub.
    """

    def __init__(
        self,
        context: GatewayContext,
        directory: HostDirectory,
        endpoints: TableFollower,
        reading: Switch,
        view: ZoneView,
        late_by: Callable[[float], float],
        *,
        now: float,
    ) -> None:
        self._context = context
        self._directory = directory
        self._endpoints = endpoints
        self._reading = reading
        self._view = view
        self._late_by = late_by
        self._reads_for_itself_until = float("-inf")
        self._election = HubElection(context.host, context.zone, now=now)
        self._hub_since = now
        self.acts_as_hub = Switch()

    @property
    def hub(self) -> str | None:
        """Name of the hub that this host follows."""
        return self._election.hub

    @property
    def is_hub(self) -> bool:
        """Whether this host is the hub of its zone."""
        return self._election.is_hub

    def may_hold_duty(self, *, now: float) -> bool:
        """Return whether this host is a candidate for the duties."""
        hubs = [summary.hub for summary in self._view.other_zones(now=now)]
        return self.is_hub and may_hold_duty(hubs, host=self._context.host)

    def start(self, *, now: float) -> None:
        """Begin to wait for a hub, once all known hosts of the zone have been greeted."""
        self._election.start(now=now)

    def record_hub(self, name: str, *, now: float) -> None:
        """Record that a host of this zone acts as its hub."""
        self._election.record_hub(name, now=now)

    def choose_hub(self, *, now: float) -> bool:
        """Choose the hub; return whether it is another one than before."""
        before = self.hub
        decision = self._election.decide(self._directory.hosts, now=now)
        if decision.hub == before:
            return False
        log_decision(_log, "hub", decision.reason, hub=decision.hub, before=before)
        # The load of the zone is counted once: by host at the hub, as a sum at its members.
        members = self._view.members
        self._context.loads.forget([zone_source(self._context.zone), *members.live(now=now)])
        members.clear()
        self._hub_since = now
        self.acts_as_hub.set(self.is_hub)
        return True

    def choose_reader(self, *, now: float) -> None:
        """Decide whether this host reads the store, for its zone or only for itself."""
        age = now - self._endpoints.last_response_at
        if self.is_hub:
            self._record_own_contact(age, now)
            readers = self._view.other_readers(max_age=STORE_TIMEOUT_SECONDS, now=now)
            reads = hub_should_read(
                readers,
                host=self._context.host,
                reads=self._view.reads_for_zone,
                own_store_age=age,
            )
        else:
            reads = self.hub is not None and self._member_should_read(now)
        reason = "no other host is heard that reads" if reads else "another host reads"
        self._view.reads_for_zone = reads
        if self._late_by(now) >= LATE_SECONDS:
            self._reads_for_itself_until = now + OWN_READING_SECONDS
        if not reads and self._reads_for_itself_until > now:
            reads, reason = True, "other hosts do not deliver what they tell of"
        if reads != self._reading.on:
            log_decision(_log, "reader", reason, reads=reads, hub=self.hub)
        self._reading.set(reads)

    def _record_own_contact(self, age: float, now: float) -> None:
        """As the hub, prefer its own contact with the store while that is recent."""
        own = StoreContact(now - age, self._context.host)
        is_newest = age < STORE_TIMEOUT_SECONDS or own.at >= self._view.contact.at
        if self._reading.on and is_newest:
            self._view.contact = own

    def _member_should_read(self, now: float) -> bool:
        contact = self._view.contact
        return member_should_read(
            self._view.listed_members,
            host=self._context.host,
            zone=self._context.zone,
            reader=contact.reader,
            store_age=now - max(contact.at, self._hub_since),
        )


def zone_source(zone: str) -> str:
    """Return the name under which the load of a zone is received; no host has such a name."""
    return f"zone:{zone}"
