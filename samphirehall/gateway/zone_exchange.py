"""Exchange of load, cache contents, endpoints, clocks and usage counts between hosts.

Each host sends small datagrams to the hub of its zone, which sends back the state of
the zone and of the other zones. A lost datagram makes an estimate less accurate but
no response wrong; nothing that needs agreement between hosts is sent here.
"""

import contextlib
import logging
from collections.abc import Callable, Container

import anyio

from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.decoding import Address, parse_address
from samphirehall.core.log import RejectionLog
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.catch_up import CatchUp
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import Crash, PartCrash
from samphirehall.gateway.datagrams import DatagramSocket
from samphirehall.gateway.host_directory import HostDirectory
from samphirehall.gateway.list_knowledge import ListKnowledge, StandstillMeter
from samphirehall.gateway.load import decode_loads, subtract_loads
from samphirehall.gateway.rows import Switch, TableFollower
from samphirehall.gateway.share_exchange import ShareExchange
from samphirehall.gateway.types import PromptPart
from samphirehall.gateway.usage_reports import ReportProgress
from samphirehall.gateway.usage_windows import HostCounts, PeerUsage, UsageCounter
from samphirehall.gateway.zone_hub import SendBudget, update_interval
from samphirehall.gateway.zone_members import NO_WINDOW, names_by_address
from samphirehall.gateway.zone_messages import (
    MAX_AGE_SECONDS,
    NOT_ACKNOWLEDGED,
    EncodedChanges,
    HubUpdate,
    MemberUpdate,
    News,
    ZoneSummary,
    datagram,
    decode_datagram,
    encode_message,
)
from samphirehall.gateway.zone_roles import ZoneRoles, zone_source
from samphirehall.gateway.zone_updates import ZoneUpdates, decode_changes
from samphirehall.gateway.zone_view import StoreContact, ZoneView

ROLE_INTERVAL_SECONDS = 0.1  # a sixth of the time after which a hub counts as silent
MEMBER_HEARTBEAT_SECONDS = 0.4  # well within the maximum age of a load
MIN_MEMBER_INTERVAL_SECONDS = 0.015  # changes of a request within a few milliseconds are sent once
HUB_HEARTBEAT_SECONDS = 0.15  # a quarter of the time after which a hub counts as silent
MIN_HUB_INTERVAL_SECONDS = 0.015
HUB_DATAGRAMS_PER_SECOND = 300.0  # of one hub to its members; at 39 members one each 130 ms
HUB_LINK_SHARE = 0.5  # of the link of a hub, for its updates; requests and streams need the rest
HUB_TRAFFIC_LOG_INTERVAL_SECONDS = 5.0
DIRECTORY_WAIT_SECONDS = 1.5  # for the store at the start, before a host does without the list
DIRECTORY_REFRESH_SECONDS = 10.0  # covers hubs and hosts whose datagrams were lost
DIRECTORY_RETRY_SECONDS = 1.0
DIRECTORY_INTERVAL_SECONDS = 1.0  # between hub updates to hosts that are no members
MEMBER_LIST_INTERVAL_SECONDS = 1.0

_log = logging.getLogger(__name__)


class ZoneExchange:
    """Exchanges updates with the hub of the zone, or acts as the hub.

    Parameters
    ----------
    context : GatewayContext
        Loads and endpoints of this host.
    directory : HostDirectory
        Addresses of hosts and hubs.
    address : str
        IP address and port on which this host receives datagrams.
    endpoints : TableFollower
        The endpoint list; read from the store while `reading` is on.
    reading : Switch
        Switched on while this host reads the store for its zone.
    catch_up : CatchUp
        Fetches what this host has missed.
    agreed_time : AgreedTime
        Receives the clocks of other hosts.
    configuration_version : callable
        Returns the configuration version in force on this host.
    usage : UsageCounter
        Usage counts of this host.
    peer_usage : PeerUsage
        Receives the usage counts of other hosts.
    progress : ReportProgress
        Receives the usage windows that are settled.
    link_bytes_per_second : float
        Bandwidth of the link of this host.
    """

    def __init__(
        self,
        context: GatewayContext,
        directory: HostDirectory,
        address: str,
        endpoints: TableFollower,
        reading: Switch,
        catch_up: CatchUp,
        agreed_time: AgreedTime,
        configuration_version: Callable[[], int],
        usage: UsageCounter,
        peer_usage: PeerUsage,
        progress: ReportProgress,
        *,
        link_bytes_per_second: float = float("inf"),
    ) -> None:
        self._context = context
        self._directory = directory
        self._address = address
        self._endpoints = endpoints
        self._catch_up = catch_up
        self._agreed_time = agreed_time
        self._configuration_version = configuration_version
        self._usage = usage
        self._peer_usage = peer_usage
        self._progress = progress
        self._budget = SendBudget(HUB_LINK_SHARE * link_bytes_per_second)
        self._view = ZoneView(context.host, context.zone)
        self._updates = ZoneUpdates(
            context,
            address,
            self._view,
            endpoints,
            agreed_time,
            configuration_version,
            usage,
            peer_usage,
            progress,
        )
        self._roles = ZoneRoles(
            context,
            directory,
            endpoints,
            reading,
            self._view,
            lambda now: catch_up.late_by(now=now),
            now=boot_seconds(),
        )
        self._shares = ShareExchange(context.fair_shares)
        self._rejections = RejectionLog(_log, "peer-unreadable")
        self._zone_processes: set[str] = set()
        self._usage_is_stored = True
        self._list = ListKnowledge()
        self._standstill = StandstillMeter(now=boot_seconds())
        self._changed = anyio.Event()
        self._zone_changed = anyio.Event()
        self._cross_zone_changed = anyio.Event()
        catch_up.other_hosts = self._other_hosts
        context.loads.on_change = self._record_change
        context.limits.on_change = self._record_change
        context.quotas.on_change = self._record_change
        context.quotas.zone = zone_source(context.zone)

    @property
    def is_hub(self) -> bool:
        """Whether this host is the hub of its zone."""
        return self._roles.is_hub

    @property
    def hub(self) -> str | None:
        """Name of the hub that this host follows."""
        return self._roles.hub

    def may_hold_duty(self) -> bool:
        """Return whether this host is a candidate for the duties."""
        return self._roles.may_hold_duty(now=boot_seconds())

    @property
    def view(self) -> ZoneView:
        """What this host knows of the zones."""
        return self._view

    @property
    def most_hosts(self) -> int:
        """Largest number of hosts known, which is never below the live ones.

        A host that has just started knows the listed hosts of its zone before it hears any.
        """
        return max(self._view.most_hosts, len(self._directory.hosts) + 1)

    def _listed_hosts(self) -> int:
        """Return about how many hosts are listed in all zones."""
        return (len(self._directory.hosts) + 1) * (len(self._directory.hubs) + 1)

    def store_age(self, *, now: float) -> float:
        """Return the seconds since the store last confirmed the endpoint list to any host heard."""
        return now - max(self._view.contact.at, self._endpoints.last_response_at)

    def list_complete_until(self, *, now: float) -> float:
        """Return until when the endpoint list of this host holds all that any host knows."""
        reading = self._endpoints.reading
        read_until = self._endpoints.complete_until if reading else float("-inf")
        return self._list.complete_until(
            read_until, self._list_sources(now) if self.is_hub else None
        )

    def _list_sources(self, now: float) -> frozenset[str] | None:
        """Return the zones and hosts that may know of endpoints; None if some are not heard."""
        others = {other.zone for other in self._view.other_zones(now=now)}
        zones = {state.listed.zone for state in self._context.fleet.states()}
        if not zones | set(self._directory.hubs) <= {self._context.zone, *others}:
            return None
        return frozenset(others) | frozenset(self._view.members.live(now=now))

    def _other_hosts(self) -> list[Address]:
        """Return the addresses of the live hosts of this zone and of the hubs of others."""
        listed = self._directory.hosts
        names = self.live_hosts(now=boot_seconds())
        hubs = [address for _, address in self._directory.hubs.values()]
        return [listed[name] for name in names if name in listed] + hubs

    def live_hosts(self, *, now: float) -> list[str]:
        """Return the names of the live hosts of this zone, including this one."""
        return self._view.live_hosts(is_hub=self.is_hub, now=now)

    def live_zones(self, *, now: float) -> list[str]:
        """Return this zone and the other zones that are heard."""
        return [self._context.zone, *(other.zone for other in self._view.other_zones(now=now))]

    def usage_to_store(self) -> dict[tuple[int, str], HostCounts] | None:
        """Return the usage counts that this host stores for others; None if its hub stores all."""
        if self.is_hub:
            counts = self._peer_usage.all_counts()
            return {name: host for name, host in counts.items() if name[1] in self._zone_processes}
        return {} if self.hub is None else None

    def record_usage_stored(self, stored: bool, closed_window: int) -> None:
        """Record whether all counts are stored.

        Parameters
        ----------
        stored : bool
            Whether the call to the store succeeded.
        closed_window : int
            Latest window that all live hosts of the zone had closed before the call.
        """
        self._usage_is_stored = stored
        if stored:
            self._updates.stored_window = max(self._updates.stored_window, closed_window)

    def closed_window(self, *, now: float) -> int:
        """Return the latest usage window that all live hosts of the zone have closed."""
        own = [window for window, counts in self._usage.latest_counts().items() if counts.closed]
        return self._view.members.closed_window(max(own, default=NO_WINDOW), now=now)

    def publish_usage(self) -> None:
        """Make the next update due at once and include this host's usage counts."""
        self._updates.publish_usage()
        self._record_change()

    async def run(self) -> None:
        """Send and receive updates until cancelled."""
        with contextlib.closing(DatagramSocket(self._address)) as udp:
            async with anyio.create_task_group() as group:
                group.start_soon(self._directory.load)
                group.start_soon(self._receive, udp)
                group.start_soon(self._send_member_updates, udp)
                group.start_soon(self._send_zone_updates, udp)
                group.start_soon(self._send_cross_zone_updates, udp)
                group.start_soon(self._refresh_directory)
                group.start_soon(self._choose_roles, udp)

    async def _refresh_directory(self) -> None:
        """As the hub, read the entries of hosts and hubs periodically."""
        while True:
            await self._roles.acts_as_hub.wait()
            live = dict(names_by_address(self._view.members.live(now=boot_seconds()).items()))
            live[self._context.host] = self._address
            done = await self._directory.refresh_as_hub(live)
            await anyio.sleep(DIRECTORY_REFRESH_SECONDS if done else DIRECTORY_RETRY_SECONDS)

    # Roles

    async def _choose_roles(self, udp: DatagramSocket) -> None:
        """Decide periodically which host is the hub and whether this one reads the store."""
        with anyio.move_on_after(DIRECTORY_WAIT_SECONDS):
            await self._directory.wait_until_loaded()
        if self.hub is None:
            # All listed hosts are told, so that the hub among them answers at once.
            greeting = self._member_update(now=boot_seconds())
            _send_to_all(udp, list(self._directory.hosts.values()), greeting)
            self._roles.start(now=boot_seconds())
        while True:
            now = boot_seconds()
            self._standstill.tick(now=now)
            self._choose_hub(now)
            self._roles.choose_reader(now=now)
            for name, silent in self._view.members.remove_silent(now=now):
                _log.warning("peer-lost", extra={"peer": name, "silent": round(silent, 1)})
            await anyio.sleep(ROLE_INTERVAL_SECONDS)

    def _choose_hub(self, now: float) -> None:
        if not self._roles.choose_hub(now=now):
            return
        self._updates.forget_sent()
        self._context.quotas.listed_hosts = self._listed_hosts()
        self._context.quotas.set_role(is_hub=self.is_hub, now=now)
        if self.is_hub:
            self._agreed_time.stop_following()
        self._record_change()

    # Sending

    def _member_update(self, *, now: float) -> MemberUpdate:
        update = self._updates.member_update(now=now)
        update.list_age = self._list_age(now) if self._view.reads_for_zone else None
        update.shares = self._shares.for_hub(now=now)
        return update

    def _list_age(self, now: float) -> float | None:
        """Return the seconds since the endpoint list surely held all; None if that is unknown."""
        age = now - self.list_complete_until(now=now)
        return age if age <= MAX_AGE_SECONDS else None

    def _record_change(self) -> None:
        self._changed.set()

    def _record_zone_change(self) -> None:
        self._zone_changed.set()
        self._cross_zone_changed.set()

    async def _send_member_updates(self, udp: DatagramSocket) -> None:
        """Send this host's state to the hub when it changes, and periodically."""
        while True:
            with anyio.move_on_after(MEMBER_HEARTBEAT_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            if self.is_hub:
                self._updates.queue_own_news(is_hub=True)
                self._record_zone_change()
            elif self.hub in self._directory.hosts:
                update = self._member_update(now=boot_seconds())
                _send_to_all(udp, [self._directory.hosts[self.hub]], update)
                if self._updates.has_unsent_usage:
                    self._record_change()
            await anyio.sleep(MIN_MEMBER_INTERVAL_SECONDS)

    async def _send_zone_updates(self, udp: DatagramSocket) -> None:
        """As the hub, send the state of all zones to the members when it changes."""
        listed_at = others_at = directory_at = logged_at = float("-inf")
        budget = self._budget
        while True:
            await self._roles.acts_as_hub.wait()
            with anyio.move_on_after(HUB_HEARTBEAT_SECONDS):
                await self._zone_changed.wait()
            self._zone_changed = anyio.Event()
            now = boot_seconds()
            members = self._view.members.live(now=now)
            update = self._updates.zone_update(now=now)
            update.list_age = self._list_age(now)
            has_loads = budget.allows_large(now=now)
            if has_loads:
                update.shares = self._shares.for_members(now=now)
            update.quotas = self._context.quotas.state_for_members(has_load=has_loads, now=now)
            if not has_loads:
                update.summary.clear_load()
            elif now - others_at >= _interval(self._view.count_hosts(now=now)):
                others_at = now
                update.others = list(self._view.other_zones(now=now))
            if now - listed_at >= MEMBER_LIST_INTERVAL_SECONDS:
                listed_at = now
                own_entry = (self._context.host, self._address)
                update.members = [own_entry, *names_by_address(members.items())]
            encoded = encode_message(update)
            for member in members.values():
                # A member takes the load of an update only if it knows its own part of it.
                # Quotas need the acknowledgement always, and say whether the load is left out.
                is_told = has_loads or update.quotas is not None
                acknowledged = member.sequence if is_told else NOT_ACKNOWLEDGED
                udp.send(datagram(acknowledged, encoded), member.address)
            budget.spend(len(encoded) * len(members), now=now)
            if now - directory_at >= DIRECTORY_INTERVAL_SECONDS:
                directory_at = now
                budget.spend(self._send_to_listed(udp, update, members), now=now)
            if now - logged_at >= HUB_TRAFFIC_LOG_INTERVAL_SECONDS:
                logged_at = now
                received, longest_batch = udp.take_received()
                traffic = {
                    "members": len(members),
                    "sent_bytes": budget.take_sent_bytes(),
                    "received": received,
                    "longest_batch": longest_batch,
                    "longest_gap": round(self._standstill.take_longest_gap(), 3),
                }
                _log.info("hub-updates", extra=traffic)
            shortest = _interval(len(members))
            await anyio.sleep(
                budget.pause(shortest=shortest, longest=HUB_HEARTBEAT_SECONDS, now=now)
            )

    def _send_to_listed(
        self, udp: DatagramSocket, update: HubUpdate, members: Container[str]
    ) -> int:
        """Send an update to the hosts of the zone that are no members; return the bytes sent."""
        update.summary.clear_load()
        update.others, update.shares, update.quotas = [], {}, None
        encoded = encode_message(update)
        unheard = [
            address for name, address in self._directory.hosts.items() if name not in members
        ]
        for address in unheard:
            udp.send(datagram(NOT_ACKNOWLEDGED, encoded), address)
        return len(encoded) * len(unheard)

    async def _send_cross_zone_updates(self, udp: DatagramSocket) -> None:
        """As the hub, send the state of the zone to the other hubs."""
        while True:
            await self._roles.acts_as_hub.wait()
            with anyio.move_on_after(HUB_HEARTBEAT_SECONDS):
                await self._cross_zone_changed.wait()
            self._cross_zone_changed = anyio.Event()
            now = boot_seconds()
            update = self._updates.cross_zone_update(now=now)
            update.list_age = self._list_age(now)
            update.shares = self._shares.for_zones(now=now)
            update.quotas = self._context.quotas.state_for_hubs(now=now)
            if not self._usage_is_stored:
                update.usage = self._updates.unstored_usage()
            _send_to_all(udp, [address for _, address in self._directory.hubs.values()], update)
            await anyio.sleep(_interval(self._view.count_hosts(now=now)))

    # Receiving

    async def _receive(self, udp: DatagramSocket) -> None:
        async for data in udp.receive():
            try:
                acknowledged, message = decode_datagram(data)
            except ValueError as error:
                self._rejections.record("datagram", error)
                continue
            sender = message if isinstance(message, MemberUpdate) else message.summary
            address = parse_address(sender.address)
            if address is None:
                reason = f"address {sender.address!r} is no IP address and port"
                self._rejections.record("datagram", reason)
            elif isinstance(message, MemberUpdate):
                self._apply_member_update(message, address, now=boot_seconds())
            else:
                self._apply_hub_update(message, acknowledged, address, now=boot_seconds())

    def _apply_member_update(self, update: MemberUpdate, address: Address, *, now: float) -> None:
        if update.zone != self._context.zone:
            return
        self._progress.merge(update.settled_window, update.settled_era)
        self._directory.add_host(update.host, update.address)
        members = self._view.members
        if not self.is_hub or not members.record(update, address, now=now):
            return
        silent = members.regained(update.host, now=now)
        if silent is not None:
            _log.info("peer-regained", extra={"peer": update.host, "silent": round(silent, 1)})
        self._agreed_time.record_peer_clock(
            update.host, update.wall_time, wall=wall_seconds(), now=now
        )
        loads = decode_loads(update.loads)
        self._context.loads.receive(update.host, loads, update.demand, now=now)
        self._shares.receive_member(update.host, update.shares, now=now)
        self._context.quotas.receive_member(update.host, update.process, update.quotas, now=now)
        if update.process not in self._zone_processes:
            self._updates.speeds.add_member()
        self._zone_processes.add(update.process)
        self._updates.speeds.receive_from_member(update.speed_samples, now=now)
        for window, counts in update.usage.items():
            self._peer_usage.receive(update.process, window, HostCounts(*counts))
        self._apply_news(update.news, now)
        self._updates.pass_on(update.news)
        self._context.limits.receive(update.limits, now=now)
        is_known = self._take_endpoints(update.changes, update.store_age, update.host, address, now)
        self._record_list(update.host, update.list_age, is_known, now)
        if update.configuration_version > self._configuration_version():
            self._catch_up.request(address, version=update.configuration_version, now=now)
        self._record_zone_change()

    def _apply_hub_update(
        self, update: HubUpdate, acknowledged: int, address: Address, *, now: float
    ) -> None:
        if update.summary.hub == self._context.host:
            return
        if update.configuration_version > self._configuration_version():
            self._catch_up.request(address, version=update.configuration_version, now=now)
        self._progress.merge(update.settled_window, update.settled_era)
        for parts, age in update.blocked_parts:
            self._context.crashes.parts.receive_block(parts, age, now=now)
        self._context.limits.receive(update.limits, now=now)
        if update.summary.zone == self._context.zone:
            self._apply_own_hub(update, acknowledged, address, now)
        else:
            self._apply_other_hub(update, address, now)

    def _apply_own_hub(
        self, update: HubUpdate, acknowledged: int, address: Address, now: float
    ) -> None:
        summary, view = update.summary, self._view
        self._directory.add_host(summary.hub, summary.address)
        self._roles.record_hub(summary.hub, now=now)
        if self.hub is None:
            self._choose_hub(now)
        if self.hub != summary.hub:
            return
        view.contact = StoreContact(now - update.store_age, update.reader)
        self._agreed_time.follow(update.agreed_time, wall=wall_seconds(), now=now)
        for name, member_address in update.members:
            self._directory.add_host(name, member_address)
        if update.members:
            view.listed_members = [name for name, _ in update.members]
        self._shares.receive_hub(update.shares, now=now)
        delay = self._standstill.delay(now=now)
        self._context.quotas.receive_hub(update.quotas, acknowledged, delay=delay, now=now)
        if update.quotas is None or update.quotas.has_load:
            self._receive_zone_load(summary, acknowledged, now)
        for other in update.others:
            self._record_zone(other, now)
        view.count_hosts(now=now)
        self._updates.speeds.receive_from_own_hub(update.speed_reports, now=now)
        self._apply_news(update.news, now)
        is_known = self._take_endpoints(update.changes, None, summary.hub, address, now)
        self._record_list(None, update.list_age, is_known, now)

    def _apply_other_hub(self, update: HubUpdate, address: Address, now: float) -> None:
        summary = update.summary
        self._directory.add_hub(summary.zone, summary.hub, summary.address)
        if not self.is_hub:
            return
        self._record_zone(summary, now)
        self._shares.receive_zone(summary.zone, update.shares, now=now)
        self._context.quotas.receive_zone(zone_source(summary.zone), update.quotas, now=now)
        contact_at = now - update.store_age if update.reads else None
        self._view.record_reader(summary.zone, summary.hub, contact_at)
        self._view.count_hosts(now=now)
        self._agreed_time.record_peer_clock(
            summary.hub, update.agreed_time, wall=wall_seconds(), now=now
        )
        for process, windows in update.usage.items():
            for window, counts in windows.items():
                self._peer_usage.receive(process, window, HostCounts(*counts))
        self._updates.speeds.receive_from_other_hub(
            update.speed_reports, update.speed_samples, now=now
        )
        self._apply_news(update.news, now)
        self._updates.zone_news.add(update.news)
        # The age that a zone without a reader states is an echo of another zone's.
        store_age = update.store_age if update.reads else None
        is_known = self._take_endpoints(update.changes, store_age, summary.hub, address, now)
        self._record_list(summary.zone, update.list_age, is_known, now)
        self._zone_changed.set()

    def _receive_zone_load(self, summary: ZoneSummary, acknowledged: int, now: float) -> None:
        """Receive the load of the own zone without this host's part of it."""
        sent = self._updates.sent_loads(acknowledged)
        if sent is None:
            return
        own_demand = self._updates.local_demand(now=now)
        demand = {
            service: max(0.0, rate - own_demand.get(service, 0.0))
            for service, rate in summary.demand.items()
        }
        others = subtract_loads(decode_loads(summary.loads), sent)
        self._context.loads.receive(zone_source(summary.zone), others, demand, now=now)

    def _record_zone(self, summary: ZoneSummary, now: float) -> None:
        """Record the state of another zone."""
        self._view.record_zone(summary, now=now)
        self._directory.add_hub(summary.zone, summary.hub, summary.address)
        loads = decode_loads(summary.loads)
        source = zone_source(summary.zone)
        self._context.loads.receive(source, loads, summary.demand, now=now)

    def _take_endpoints(
        self,
        changes: EncodedChanges | None,
        store_age: float | None,
        sender: str,
        address: Address,
        now: float,
    ) -> bool:
        """Apply changes of the endpoint list; fetch the list if some are missing.

        `store_age` is that of a sender from which this hub may learn what the store says.

        Returns
        -------
        bool
            Whether this host now knows all that the sender does.
        """
        if store_age is not None and now - store_age > self._view.contact.at:
            self._view.contact = StoreContact(now - store_age, sender)
        if changes is None:
            return True
        replica = self._endpoints.replica
        is_behind = not replica.has_snapshot or changes.position > replica.position
        if not replica.apply_change_set(decode_changes(changes), now=now) and is_behind:
            self._catch_up.request(address, position=changes.position, now=now)
        return replica.has_snapshot and changes.position <= replica.position

    def _record_list(
        self, source: str | None, list_age: float | None, is_known: bool, now: float
    ) -> None:
        """Record until when another host knew that its list is whole, if this host has it all."""
        if not is_known:
            return
        sent_at = now - self._standstill.delay(now=now)
        if list_age is not None:
            self._list.record_told(sent_at - list_age)
        if source is not None:
            self._list.record_agreement(source, sent_at)

    def _apply_news(self, news: News, now: float) -> None:
        fleet = self._context.fleet
        for endpoint_id, parts in news.cached_prompts:
            state = fleet.endpoint(endpoint_id)
            if state is not None and state.cache is not None:
                state.cache.record([PromptPart(part_id, tokens) for part_id, tokens in parts])
        for endpoint_id in news.changing_engines:
            state = fleet.endpoint(endpoint_id)
            if state is not None and not state.is_changing(now=now):
                state.changing_since = now
        for fingerprint, endpoint in news.crashes:
            crash = Crash(fingerprint, endpoint)
            self._context.crashes.record(crash, source="seen by a peer", now=now)
        for part_crash in news.part_crashes:
            self._context.crashes.record_parts(PartCrash(*part_crash), now=now)
        self._context.crashes.record_cleared_parts(news.cleared_parts, now=now)


def _interval(receivers: int) -> float:
    return update_interval(
        receivers,
        datagrams_per_second=HUB_DATAGRAMS_PER_SECOND,
        shortest=MIN_HUB_INTERVAL_SECONDS,
    )


def _send_to_all(
    udp: DatagramSocket, addresses: list[Address], message: MemberUpdate | HubUpdate
) -> None:
    encoded = encode_message(message)
    for address in addresses:
        udp.send(datagram(NOT_ACKNOWLEDGED, encoded), address)
