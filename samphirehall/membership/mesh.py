"""Connected peers of a host, and the facts and versions that it exchanges with them."""

import logging
from dataclasses import dataclass

from samphirehall.configuration.version import Configuration
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.rendezvous import ranked
from samphirehall.core.results import MESH_OLD_INCARNATION
from samphirehall.core.types import HostState
from samphirehall.membership.budget import ByteBudget
from samphirehall.membership.directory import Directory
from samphirehall.membership.handshake import HandshakeResult, HostIdentity
from samphirehall.membership.outbox import is_urgent
from samphirehall.membership.pacing import heartbeat_interval
from samphirehall.membership.peer import Peer
from samphirehall.membership.transfer import RecentConfigurations
from samphirehall.membership.wire import OutgoingFact, encode_fact
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.gate import ConfigurationGate
from samphirehall.node.link_service import EntryLinks
from samphirehall.node.state import NodeState
from samphirehall.settings.tables import MeshTable

SENT_FRACTION = 0.5
NEW_CONNECTION_SECONDS = 2.0
ZONE_ONLY_KINDS = frozenset((FactKind.SERVED_TOKENS,))
RELAYED_KINDS_END = FactKind.CONFIGURATION

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class LostPeer:
    """A peer whose connection ended.

    Parameters
    ----------
    lost_at : float
        Boot clock in seconds.
    silent : bool
        Whether the connection was closed because the peer stopped answering.
    last_seen : float
        Boot clock, in seconds, of the last message from the peer.
    version : int
        Configuration version that the peer last had in force.
    unacknowledged : tuple of OutgoingFact
        Urgent facts that may not have arrived.
    """

    lost_at: float
    silent: bool
    last_seen: float
    version: int
    unacknowledged: tuple[OutgoingFact, ...]


class Mesh:
    """Connected peers of one host.

    Parameters
    ----------
    settings : MeshTable
        Mesh key, byte budget and intervals.
    state : NodeState
        Configuration, endpoints and facts of this host.
    directory : Directory
        Known hosts.
    gate : ConfigurationGate
        Decides whether configurations from peers are put in force.
    entries : EntryLinks
        Entries of this host.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        settings: MeshTable,
        state: NodeState,
        directory: Directory,
        gate: ConfigurationGate,
        entries: EntryLinks,
        *,
        now: float,
    ) -> None:
        self.settings = settings
        self.state = state
        self.directory = directory
        self.gate = gate
        self.identity = HostIdentity(state.host, state.zone, state.incarnation)
        self.budget = ByteBudget(settings.byte_budget_per_second * SENT_FRACTION, now=now)
        self.recent_configurations = RecentConfigurations()
        self.peers: dict[str, Peer] = {}
        self.lost_peers: dict[str, LostPeer] = {}
        self.configuration_source: str | None = None
        self.configuration_request_expires_at = 0.0
        self.last_comparison_at = 0.0
        self.reads_endpoint_list = True
        self.endpoint_list_sender = ""
        self.usage_mirror = ""
        self._closed_bytes_sent = 0
        self._closed_bytes_received = 0
        self._entries = entries
        self.stop_listening = state.fact_store.subscribe(self._on_fact, source=self)
        state.add_configuration_listener(self._on_configuration)

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to peers since the start, without network headers."""
        return self._closed_bytes_sent + sum(peer.frames.bytes_sent for peer in self.peers.values())

    @property
    def bytes_received(self) -> int:
        """Bytes received from peers since the start, without network headers."""
        return self._closed_bytes_received + sum(
            peer.frames.bytes_received for peer in self.peers.values()
        )

    @property
    def version_in_force(self) -> int:
        """Configuration version in force in all processes of this host."""
        return self._entries.version_in_force(self.state.configuration.version)

    @property
    def heartbeat_interval(self) -> float:
        """Seconds between heartbeats to each peer."""
        return heartbeat_interval(self.settings, peers=len(self.peers))

    @property
    def silence_timeout(self) -> float:
        """Seconds without a message after which peers close the connection to this host."""
        return self.heartbeat_interval * self.settings.suspect_heartbeats

    @property
    def verifying_zones(self) -> frozenset[str]:
        """Zones from which a newer configuration could come; see `Verification.verified_at`."""
        other_zones = self.directory.other_zones
        if other_zones:
            return other_zones
        return frozenset((self.state.zone,)) if self.directory.hosts else frozenset()

    def zone_peers(self) -> list[Peer]:
        """Return connected peers of this host's zone."""
        return [peer for peer in self.peers.values() if peer.zone == self.state.zone]

    def live_in_zone(self, *, now: float) -> set[str]:
        """Return the live hosts of the zone, this host included.

        A host counts as live while it is connected and for `heartbeat_seconds`
        after its connection ended, unless it is leaving.
        """
        live = {peer.host for peer in self.zone_peers()}
        live.add(self.state.host)
        for info in self.directory.in_zone(self.state.zone):
            lost = self.lost_peers.get(info.host_id)
            if lost is not None and now - lost.lost_at <= self.settings.heartbeat_seconds:
                live.add(info.host_id)
        return live - self._leaving_hosts()

    def reaches_all(self) -> bool:
        """Return whether this host is connected to all its zone and to each other zone."""
        zones = {peer.zone for peer in self.peers.values()}
        if not self.directory.other_zones <= zones:
            return False
        zone_hosts = {info.host_id for info in self.directory.in_zone(self.state.zone)}
        return zone_hosts <= self.peers.keys()

    def add_connection(self, peer: Peer, handshake: HandshakeResult, *, now: float) -> None:
        """Register an opened connection; replace an older one to the same host if it may.

        Raises
        ------
        SamphireError
            The peer has the id of this host, or the existing connection to it is kept.
        """
        current = self.peers.get(peer.host)
        if peer.host == self.state.host:
            raise SamphireError(
                MESH_OLD_INCARNATION, f"host id {peer.host!r} is the id of this host"
            )
        if current is not None:
            self._replace_connection(current, handshake, now=now)
        lost = self.lost_peers.pop(peer.host, None)
        self.peers[peer.host] = peer
        self._send_initial_facts(peer, lost, now=now)
        if self.usage_mirror == peer.host:
            self.usage_mirror = ""
        self._choose_usage_mirror(now=now)

    def remove_connection(self, peer: Peer, *, silent: bool, now: float) -> None:
        """Remove a connection that ended."""
        self._closed_bytes_sent += peer.frames.bytes_sent
        self._closed_bytes_received += peer.frames.bytes_received
        if self.peers.get(peer.host) is not peer:
            return
        del self.peers[peer.host]
        unacknowledged = tuple(peer.unacknowledged())
        self.lost_peers[peer.host] = LostPeer(
            now, silent, peer.last_seen, peer.version, unacknowledged
        )
        if self.configuration_source == peer.host:
            self.configuration_source = None
        self._choose_usage_mirror(now=now)

    def receive_fact(self, peer: Peer, fact: Fact, *, relay: bool, now: float) -> None:
        """Store a fact from a peer and relay it to the peers that its owner may not reach."""
        if not self.state.fact_store.merge(fact, now=now, source=self):
            return
        from_other_zone = peer.zone != self.state.zone
        if fact.kind.is_host_local or (not from_other_zone and not relay):
            return
        item = encode_fact(fact, expires_at=now + fact.lifetime, from_other_zone=from_other_zone)
        for other in list(self.peers.values()):
            same_zone = other.zone == self.state.zone
            if other is peer or other.host == _owner_host(fact.owner):
                continue
            if (from_other_zone and same_zone) or (relay and fact.kind < RELAYED_KINDS_END):
                other.push(item)

    def schedule_heartbeats(self) -> None:
        """Schedule a heartbeat to every peer at once, to announce the version in force."""
        now = boot_seconds()
        for peer in self.peers.values():
            peer.heartbeat_due_at = now
            peer.wake()

    def _replace_connection(self, current: Peer, handshake: HandshakeResult, *, now: float) -> None:
        is_newer = handshake.peer.incarnation > current.identity.incarnation
        is_same_incarnation = handshake.peer.incarnation == current.identity.incarnation
        preferred_dialler = min(self.state.host, current.host)
        replaces_current = (
            handshake.fresh
            or handshake.dialler == current.dialler
            or handshake.dialler == preferred_dialler
        )
        if not is_newer and not (is_same_incarnation and replaces_current):
            raise SamphireError(
                MESH_OLD_INCARNATION, f"another connection to {current.host!r} is kept"
            )
        log_decision(
            _log, "peer-replaced", "newer connection", peer=current.host, fresh=handshake.fresh
        )
        current.cancel_scope.cancel()

    def _send_initial_facts(self, peer: Peer, lost: LostPeer | None, *, now: float) -> None:
        """Queue the facts that a newly connected peer may lack.

        A peer that was connected before gets the facts that it did not
        acknowledge and the local facts that are not compared by digest; any other
        peer gets all local facts. Facts that stay on this host are left out.
        """
        for item in lost.unacknowledged if lost else ():
            peer.push(item)
        for stored in self.state.fact_store.unexpired(now=now):
            kind = stored.fact.kind
            is_compared = kind.is_reconciled and lost is not None
            if self._is_local(stored.fact) and not is_compared and not kind.is_host_local:
                peer.push(encode_fact(stored.fact, expires_at=stored.expires_at))

    def _choose_usage_mirror(self, *, now: float) -> None:
        """Choose the peer that mirrors this host's usage; send all usage facts to a new one."""
        in_other_zones = [peer.host for peer in self.peers.values() if peer.zone != self.state.zone]
        candidates = ranked(in_other_zones or self.peers, self.state.host)
        chosen = candidates[0] if candidates else ""
        if chosen == self.usage_mirror:
            return
        self.usage_mirror = chosen
        log_decision(_log, "usage-mirror", "peers changed", peer=chosen)
        for stored in self.state.fact_store.unexpired(now=now) if chosen else ():
            if stored.fact.kind is FactKind.USAGE and self._is_local(stored.fact):
                self.peers[chosen].push(encode_fact(stored.fact, expires_at=stored.expires_at))

    def _on_fact(self, fact: Fact) -> None:
        if not self._is_local(fact):
            return
        item = encode_fact(fact, expires_at=boot_seconds() + fact.lifetime)
        if fact.kind.is_host_local:
            if fact.kind is FactKind.USAGE and self.usage_mirror in self.peers:
                self.peers[self.usage_mirror].push(item)
            return
        bulk_targets = self._bulk_targets()
        for peer in self.peers.values():
            in_zone = peer.zone == self.state.zone
            sent_to_other_zone = is_urgent(fact.kind) or peer.host in bulk_targets
            if in_zone or (sent_to_other_zone and fact.kind not in ZONE_ONLY_KINDS):
                peer.push(item)

    def _bulk_targets(self) -> set[str]:
        """Return one connected peer of each other zone."""
        targets: dict[str, str] = {}
        for peer in self.peers.values():
            if peer.zone != self.state.zone:
                current = targets.get(peer.zone)
                dialled = peer.dialler == self.state.host
                if current is None or (dialled and self.peers[current].dialler != self.state.host):
                    targets[peer.zone] = peer.host
        return set(targets.values())

    def _on_configuration(self, configuration: Configuration) -> None:
        self.recent_configurations.add(configuration)
        self.schedule_heartbeats()

    def _is_local(self, fact: Fact) -> bool:
        return _owner_host(fact.owner) == self.state.host

    def _leaving_hosts(self) -> set[str]:
        hosts = self.directory.hosts.values()
        return {info.host_id for info in hosts if info.state is HostState.LEAVING}


def _owner_host(owner: str) -> str:
    """Return the host part of an owner such as ``host-a`` or ``host-a/entry``."""
    return owner.partition("/")[0]


def compared_fingerprints(state: NodeState, *, now: float) -> bytes:
    """Return the fingerprints of all facts that peers compare, 8 bytes each."""
    return b"".join(
        stored.fact.fingerprint.to_bytes(8, "big")
        for stored in state.fact_store.unexpired(now=now)
        if stored.fact.kind.is_reconciled
    )
