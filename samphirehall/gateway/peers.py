"""What hosts tell each other while serving: their work, what engines keep, their clocks.

Each host sends small datagrams to each other one. A lost datagram costs a
worse estimate, never a wrong answer; nothing that must be agreed is told here.
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
from samphirehall.gateway.usage_windows import HeardUsage, HostCounts, UsageCounter

TICK_S = 0.05  # a decision seen so late by peers costs less than the goal's tenth
QUIET_S = 0.5  # a host without news is heard so often, well within a load's lifetime
LIST_S = 10.0  # new hosts also make themselves heard; the list only helps after lost datagrams
RETRY_LIST_S = 1.0
LIVE_S = 6.0  # a host that is cut off for less has counts to give
MAX_NOTES = 12  # notes of cached prompts in one datagram, which must fit a packet
MAX_WAITING_NOTES = 200  # older ones are dropped while datagrams do not keep up
TELL_CHANGING_S = 1.0  # peers hear of an ordered change several times in this time
TELL_USAGE_S = 0.5  # counts that are lost if a host ends while the store is away
TELL_LEAVING_S = 3.0  # longer than a host may go on sending work to a leaving endpoint
HOST_PREFIX = "hosts/"

_log = logging.getLogger(__name__)


class _PeerNews(msgspec.Struct, array_like=True):
    """One datagram."""

    host: str
    address: str
    wall: float
    version: int
    loads: dict[str, list[int]]
    notes: list[tuple[str, list[tuple[str, int]]]]
    demand: dict[str, float]
    changing: list[str]
    leaving: list[str]
    crashes: list[tuple[int, str]]
    process: str
    usage: dict[int, tuple[bool, dict[str, int]]]


@dataclass(slots=True)
class _Peer:
    address: tuple[str, int]
    heard_at: float = float("-inf")
    version: int = 0
    lost: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_PeerNews)


class Peers:
    """The other hosts, as this one knows them.

    Parameters
    ----------
    context : GatewayContext
        Work and endpoints of this host.
    table : Table
        Where hosts find each other.
    address : str
        IP number and port of this host's datagrams.
    agreed : AgreedTime
        Learns the peers' clocks.
    version : callable
        Configuration version in force here.
    usage : UsageCounter
        What this host counts for usage reports.
    heard_usage : HeardUsage
        Takes what peers have counted.
    """

    def __init__(
        self,
        context: GatewayContext,
        table: Table,
        address: str,
        agreed: AgreedTime,
        version: Callable[[], int],
        usage: UsageCounter,
        heard_usage: HeardUsage,
    ) -> None:
        self._usage = usage
        self._heard_usage = heard_usage
        self._usage_told_at = float("-inf")
        self._context = context
        self._table = table
        self._address = address
        self._agreed = agreed
        self._version = version
        self._peers: dict[str, _Peer] = {}
        self._sent_changes = -1
        self._sent_at = float("-inf")

    def live(self, *, now: float) -> list[str]:
        """Return the hosts heard lately, this one among them."""
        heard = [name for name, peer in self._peers.items() if now - peer.heard_at < LIVE_S]
        return sorted([self._context.host, *heard])

    def known(self) -> int:
        """Return the number of hosts ever listed or heard: more than live ones, never fewer."""
        return len(self._peers) + 1

    @property
    def address(self) -> str:
        """IP number and port of this host, for datagrams and connections of peers."""
        return self._address

    def with_newer_configuration(self, *, now: float) -> tuple[str, int] | None:
        """Return the address of a live peer whose version in force is above this host's."""
        newer = [
            (peer.version, peer.address)
            for peer in self._peers.values()
            if now - peer.heard_at < LIVE_S and peer.version > self._version()
        ]
        return max(newer)[1] if newer else None

    async def run(self) -> None:
        """Exchange news until cancelled."""
        host, _, port = self._address.rpartition(":")
        async with (
            await anyio.create_udp_socket(local_host=host, local_port=int(port)) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._register)
            group.start_soon(self._receive, udp)
            while True:
                await anyio.sleep(TICK_S)
                now = boot_seconds()
                self._note_lost(now=now)
                await self._send_if_due(udp, now=now)

    async def _register(self) -> None:
        """Write this host's address, and read those of others, for as long as the host runs."""
        registered = False
        while True:
            try:
                if not registered:
                    own = Write(f"{HOST_PREFIX}{self._context.host}", self._address)
                    await self._table.transact([], [own])
                    registered = True
                for row in await self._table.scan(HOST_PREFIX):
                    self._learn(row.key.removeprefix(HOST_PREFIX), row.value)
                await anyio.sleep(LIST_S)
            except PlatformUnavailableError as error:
                _log.warning("peers-unlisted", extra={"reason": str(error)})
                await anyio.sleep(RETRY_LIST_S)

    def _learn(self, name: str, address: object) -> None:
        if name == self._context.host or not isinstance(address, str):
            return
        host, _, port = address.rpartition(":")
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer((host, int(port)))
            log_decision(_log, "peer", "listed or heard", peer=name, address=address)
        else:
            peer.address = (host, int(port))

    def _note_lost(self, *, now: float) -> None:
        """Write a line for each peer that counts as live no longer."""
        for name, peer in self._peers.items():
            silent = now - peer.heard_at
            if not peer.lost and LIVE_S <= silent < float("inf"):
                peer.lost = True
                _log.warning("peer-lost", extra={"peer": name, "silent": round(silent, 1)})

    async def _send_if_due(self, udp: UDPSocket, *, now: float) -> None:
        changes = self._context.loads.change_count
        if changes == self._sent_changes and now - self._sent_at < QUIET_S:
            return
        self._sent_changes, self._sent_at = changes, now
        datagram = _encoder.encode(self._news(now))
        for peer in list(self._peers.values()):
            try:
                await udp.sendto(datagram, *peer.address)
            except OSError as error:
                _log.warning("peer-unreachable", extra={"reason": os.strerror(error.errno or 0)})

    def _news(self, now: float) -> _PeerNews:
        context = self._context
        notes = context.cache_notes
        del notes[: max(0, len(notes) - MAX_WAITING_NOTES)]
        told, notes[:] = notes[:MAX_NOTES], notes[MAX_NOTES:]
        loads = {
            endpoint_id: [load.requests, *load.pending_prefill_tokens]
            for endpoint_id, load in context.loads.local_loads().items()
        }
        encoded = [
            (endpoint_id, [(part.part_id, part.tokens) for part in parts])
            for endpoint_id, parts in told
        ]
        changing = [
            state.listed.endpoint_id
            for state in context.fleet.states()
            if now - state.changing_since < TELL_CHANGING_S
        ]
        return _PeerNews(
            context.host,
            self._address,
            wall_seconds(),
            self._version(),
            loads,
            encoded,
            {name: round(meter.rate(now=now)) for name, meter in context.demands.items()},
            changing,
            self._leaving_to_tell(now),
            self._crashes_to_tell(),
            self._usage.process,
            self._usage_to_tell(now),
        )

    def tell_usage(self) -> None:
        """Have the next datagram, which is due at once, carry this host's counts."""
        self._sent_changes, self._usage_told_at = -1, float("-inf")

    def _usage_to_tell(self, now: float) -> dict[int, tuple[bool, dict[str, int]]]:
        if now - self._usage_told_at < TELL_USAGE_S:
            return {}
        self._usage_told_at = now
        told = self._usage.news().items()
        return {window: (counts.closed, dict(counts.counts)) for window, counts in told}

    def _leaving_to_tell(self, now: float) -> list[str]:
        """Return the endpoints that have begun to leave lately: a peer may not hear the store."""
        return [
            state.listed.endpoint_id
            for state in self._context.fleet.states()
            if not state.listed.ready and now - state.leaving_since < TELL_LEAVING_S
        ]

    def _crashes_to_tell(self) -> list[tuple[int, str]]:
        untold = self._context.crashes.unpublished
        count = min(len(untold), MAX_NOTES)
        crashes = [untold.popleft() for _ in range(count)]
        return [(crash.fingerprint, crash.endpoint) for crash in crashes]

    async def _receive(self, udp: UDPSocket) -> None:
        async for datagram, _ in udp:
            try:
                news = _decoder.decode(datagram)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                _log.warning("peer-unreadable", extra={"reason": str(error)})
                continue
            self._take(news, now=boot_seconds())

    def _take(self, news: _PeerNews, *, now: float) -> None:
        self._learn(news.host, news.address)
        peer = self._peers.get(news.host)
        if peer is None:
            return
        if peer.lost:
            silent = round(now - peer.heard_at, 1)
            _log.info("peer-regained", extra={"peer": news.host, "silent": silent})
            peer.lost = False
        peer.heard_at = now
        peer.version = news.version
        self._agreed.record_peer_clock(news.host, news.wall, wall=wall_seconds(), now=now)
        loads = {
            endpoint_id: EndpointLoad(numbers[0], list(numbers[1:]))
            for endpoint_id, numbers in news.loads.items()
        }
        self._context.loads.receive(news.host, loads, news.demand, now=now)
        for window, (closed, counts) in news.usage.items():
            self._heard_usage.hear(news.process, window, HostCounts(closed, counts))
        self._take_engine_news(news, now=now)

    def _take_engine_news(self, news: _PeerNews, *, now: float) -> None:
        fleet = self._context.fleet
        for endpoint_id, parts in news.notes:
            state = fleet.endpoint(endpoint_id)
            if state is not None and state.cache is not None:
                state.cache.record([PromptPart(part_id, tokens) for part_id, tokens in parts])
        for endpoint_id in news.changing:
            state = fleet.endpoint(endpoint_id)
            if state is not None and not state.is_changing(now=now):
                state.changing_since = now
        for endpoint_id in news.leaving:
            fleet.mark_leaving(endpoint_id, now=now)
        for crashed, endpoint in news.crashes:
            self._context.crashes.record(Crash(crashed, endpoint), now=now)
