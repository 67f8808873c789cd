"""Exchange of load, cache contents, clocks and usage counts between hosts by datagram.

Each host sends small UDP datagrams to every other host. A lost datagram makes
an estimate less accurate but no response wrong; nothing that needs agreement
between hosts is sent here.
"""

import logging
import os
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import UDPSocket

from samphirehall.backing.table import Table, Write
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import Crash
from samphirehall.gateway.load import EndpointLoad
from samphirehall.gateway.types import PromptPart
from samphirehall.gateway.usage_windows import HostCounts, PeerUsage, UsageCounter

SEND_CHECK_INTERVAL_SECONDS = 0.05  # under a tenth of the latency targets
HEARTBEAT_INTERVAL_SECONDS = 0.5  # well within `MAX_PEER_LOAD_AGE_SECONDS`
PEER_LIST_INTERVAL_SECONDS = 10.0  # new hosts send datagrams; the list covers lost ones
PEER_LIST_RETRY_INTERVAL_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 6.0  # usage counts of a host cut off for less are waited for
MAX_ENTRIES_PER_DATAGRAM = 12  # a datagram must fit one packet
MAX_PENDING_CACHE_UPDATES = 200  # older ones are dropped if datagrams fall behind
PUBLISH_STAGE_CHANGE_SECONDS = 1.0  # several datagrams, in case one is lost
PUBLISH_USAGE_INTERVAL_SECONDS = 0.5  # bounds the loss if a host ends without the store
PUBLISH_LEAVING_SECONDS = 3.0  # longer than a host sends work to a leaving endpoint
HOST_PREFIX = "hosts/"

_log = logging.getLogger(__name__)


class _PeerUpdate(msgspec.Struct, array_like=True):
    """Datagram from one host to another, encoded as an array in the order of the fields."""

    host: str
    address: str
    wall_time: float
    configuration_version: int
    loads: dict[str, list[int]]
    cache_updates: list[tuple[str, list[tuple[str, int]]]]
    demand: dict[str, float]
    changing_endpoints: list[str]
    leaving_endpoints: list[str]
    crashes: list[tuple[int, str]]
    process: str
    usage_windows: dict[int, tuple[bool, dict[str, int]]]


@dataclass(slots=True)
class _Peer:
    address: tuple[str, int]
    last_seen: float = float("-inf")
    configuration_version: int = 0
    lost: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_PeerUpdate)


class Peers:
    """Exchanges updates with the other hosts and keeps what was last received from each.

    Parameters
    ----------
    context : GatewayContext
        Loads and endpoints of this host.
    table : Table
        Store table in which hosts register their addresses.
    address : str
        IP address and port on which this host receives datagrams.
    agreed_time : AgreedTime
        Receives the wall clocks of peers.
    configuration_version : callable
        Returns the configuration version in force on this host.
    usage : UsageCounter
        Usage counts of this host.
    peer_usage : PeerUsage
        Receives the usage counts of peers.
    """

    def __init__(
        self,
        context: GatewayContext,
        table: Table,
        address: str,
        agreed_time: AgreedTime,
        configuration_version: Callable[[], int],
        usage: UsageCounter,
        peer_usage: PeerUsage,
    ) -> None:
        self._usage = usage
        self._peer_usage = peer_usage
        self._usage_published_at = float("-inf")
        self._context = context
        self._table = table
        self._address = address
        self._agreed_time = agreed_time
        self._configuration_version = configuration_version
        self._peers: dict[str, _Peer] = {}
        self._sent_changes = -1
        self._sent_at = float("-inf")

    def live_hosts(self, *, now: float) -> list[str]:
        """Return the names of hosts seen within `PEER_TIMEOUT_SECONDS`, including this one."""
        live_peers = [
            name
            for name, peer in self._peers.items()
            if now - peer.last_seen < PEER_TIMEOUT_SECONDS
        ]
        return sorted([self._context.host, *live_peers])

    def known_host_count(self) -> int:
        """Return the number of hosts ever listed or seen, which is never below the live ones."""
        return len(self._peers) + 1

    @property
    def address(self) -> str:
        """IP address and port of this host, for datagrams and connections of peers."""
        return self._address

    def newer_configuration_address(self, *, now: float) -> tuple[str, int] | None:
        """Return the address of the live peer with the highest version above this host's."""
        newer = [
            (peer.configuration_version, peer.address)
            for peer in self._peers.values()
            if now - peer.last_seen < PEER_TIMEOUT_SECONDS
            and peer.configuration_version > self._configuration_version()
        ]
        return max(newer)[1] if newer else None

    async def run(self) -> None:
        """Send and receive updates until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with (
            await anyio.create_udp_socket(local_host=host, local_port=int(port)) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._register)
            group.start_soon(self._receive, udp)
            while True:
                await anyio.sleep(SEND_CHECK_INTERVAL_SECONDS)
                now = boot_seconds()
                self._log_lost_peers(now=now)
                await self._send_if_due(udp, now=now)

    async def _register(self) -> None:
        """Register this host's address once, and read those of other hosts until cancelled."""
        registered = False
        while True:
            try:
                if not registered:
                    local_row = Write(f"{HOST_PREFIX}{self._context.host}", self._address)
                    await self._table.transact([], [local_row])
                    registered = True
                for row in await self._table.scan(HOST_PREFIX):
                    self._add_peer(row.key.removeprefix(HOST_PREFIX), row.value)
                await anyio.sleep(PEER_LIST_INTERVAL_SECONDS)
            except PlatformUnavailableError as error:
                _log.warning("peers-unlisted", extra={"reason": str(error)})
                await anyio.sleep(PEER_LIST_RETRY_INTERVAL_SECONDS)

    def _add_peer(self, name: str, address: object) -> None:
        if name == self._context.host or not isinstance(address, str):
            return
        host, _, port = address.rpartition(":")
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer((host, int(port)))
            log_decision(_log, "peer", "listed or heard", peer=name, address=address)
        else:
            peer.address = (host, int(port))

    def _log_lost_peers(self, *, now: float) -> None:
        """Log each peer that is no longer live."""
        for name, peer in self._peers.items():
            silent = now - peer.last_seen
            if not peer.lost and PEER_TIMEOUT_SECONDS <= silent < float("inf"):
                peer.lost = True
                _log.warning("peer-lost", extra={"peer": name, "silent": round(silent, 1)})

    async def _send_if_due(self, udp: UDPSocket, *, now: float) -> None:
        changes = self._context.loads.change_count
        if changes == self._sent_changes and now - self._sent_at < HEARTBEAT_INTERVAL_SECONDS:
            return
        self._sent_changes, self._sent_at = changes, now
        datagram = _encoder.encode(self._make_update(now))
        for peer in list(self._peers.values()):
            try:
                await udp.sendto(datagram, *peer.address)
            except OSError as error:
                _log.warning("peer-unreachable", extra={"reason": os.strerror(error.errno or 0)})

    def _make_update(self, now: float) -> _PeerUpdate:
        context = self._context
        pending = context.pending_cache_updates
        del pending[: max(0, len(pending) - MAX_PENDING_CACHE_UPDATES)]
        published, pending[:] = (
            pending[:MAX_ENTRIES_PER_DATAGRAM],
            pending[MAX_ENTRIES_PER_DATAGRAM:],
        )
        loads = {
            endpoint_id: [load.requests, *load.pending_prefill_tokens]
            for endpoint_id, load in context.loads.local_loads().items()
        }
        cache_updates = [
            (endpoint_id, [(part.part_id, part.tokens) for part in parts])
            for endpoint_id, parts in published
        ]
        changing = [
            state.listed.endpoint_id
            for state in context.fleet.states()
            if now - state.changing_since < PUBLISH_STAGE_CHANGE_SECONDS
        ]
        return _PeerUpdate(
            context.host,
            self._address,
            wall_seconds(),
            self._configuration_version(),
            loads,
            cache_updates,
            {name: round(meter.rate(now=now)) for name, meter in context.prefill_demands.items()},
            changing,
            self._leaving_to_publish(now),
            self._crashes_to_publish(),
            self._usage.process,
            self._usage_to_publish(now),
        )

    def publish_usage(self) -> None:
        """Make the next datagram due at once and include this host's usage counts."""
        self._sent_changes, self._usage_published_at = -1, float("-inf")

    def _usage_to_publish(self, now: float) -> dict[int, tuple[bool, dict[str, int]]]:
        if now - self._usage_published_at < PUBLISH_USAGE_INTERVAL_SECONDS:
            return {}
        self._usage_published_at = now
        published = self._usage.latest_counts().items()
        return {window: (counts.closed, dict(counts.counts)) for window, counts in published}

    def _leaving_to_publish(self, now: float) -> list[str]:
        """Return endpoints that began to leave recently, for peers that cannot reach the store."""
        return [
            state.listed.endpoint_id
            for state in self._context.fleet.states()
            if not state.listed.ready and now - state.leaving_since < PUBLISH_LEAVING_SECONDS
        ]

    def _crashes_to_publish(self) -> list[tuple[int, str]]:
        unpublished = self._context.crashes.unpublished
        count = min(len(unpublished), MAX_ENTRIES_PER_DATAGRAM)
        crashes = [unpublished.popleft() for _ in range(count)]
        return [(crash.fingerprint, crash.endpoint) for crash in crashes]

    async def _receive(self, udp: UDPSocket) -> None:
        async for datagram, _ in udp:
            try:
                update = _decoder.decode(datagram)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                _log.warning("peer-unreadable", extra={"reason": str(error)})
                continue
            self._apply_update(update, now=boot_seconds())

    def _apply_update(self, update: _PeerUpdate, *, now: float) -> None:
        self._add_peer(update.host, update.address)
        peer = self._peers.get(update.host)
        if peer is None:
            return
        if peer.lost:
            silent = round(now - peer.last_seen, 1)
            _log.info("peer-regained", extra={"peer": update.host, "silent": silent})
            peer.lost = False
        peer.last_seen = now
        peer.configuration_version = update.configuration_version
        self._agreed_time.record_peer_clock(
            update.host, update.wall_time, wall=wall_seconds(), now=now
        )
        loads = {
            endpoint_id: EndpointLoad(numbers[0], list(numbers[1:]))
            for endpoint_id, numbers in update.loads.items()
        }
        self._context.loads.receive(update.host, loads, update.demand, now=now)
        for window, (closed, counts) in update.usage_windows.items():
            self._peer_usage.receive(update.process, window, HostCounts(closed, counts))
        self._apply_engine_updates(update, now=now)

    def _apply_engine_updates(self, update: _PeerUpdate, *, now: float) -> None:
        fleet = self._context.fleet
        for endpoint_id, parts in update.cache_updates:
            state = fleet.endpoint(endpoint_id)
            if state is not None and state.cache is not None:
                state.cache.record([PromptPart(part_id, tokens) for part_id, tokens in parts])
        for endpoint_id in update.changing_endpoints:
            state = fleet.endpoint(endpoint_id)
            if state is not None and not state.is_changing(now=now):
                state.changing_since = now
        for endpoint_id in update.leaving_endpoints:
            fleet.mark_leaving(endpoint_id, now=now)
        for fingerprint, endpoint in update.crashes:
            self._context.crashes.record(Crash(fingerprint, endpoint), now=now)
