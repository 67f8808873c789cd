"""Contents of the datagrams that a host sends to its hub, and a hub to others."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import TypeVar

from samphirehall.core.clock import wall_seconds
from samphirehall.gateway.agreed_time import AgreedTime
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.endpoint_limits import LimitReport
from samphirehall.gateway.news import NewsQueue
from samphirehall.gateway.rows import ChangeSet, RowChange, TableFollower
from samphirehall.gateway.speed_exchange import SpeedExchange
from samphirehall.gateway.usage_reports import ReportProgress
from samphirehall.gateway.usage_windows import (
    MAX_PUBLISHED_WINDOWS,
    HostCounts,
    PeerUsage,
    UsageCounter,
    split_counts,
)
from samphirehall.gateway.zone_members import NO_WINDOW
from samphirehall.gateway.zone_messages import (
    EncodedChange,
    EncodedChanges,
    EncodedCounts,
    HubUpdate,
    MemberUpdate,
    News,
    ZoneSummary,
)
from samphirehall.gateway.zone_view import ZoneView

USAGE_INTERVAL_SECONDS = 0.5  # bounds the loss if a host ends without the store
MAX_CUSTOMERS_PER_DATAGRAM = 60  # a datagram must fit one packet
MAX_UNSTORED_PROCESSES = 10  # per datagram to another hub
MAX_BLOCKED_GROUPS = 8  # per datagram, which must fit one packet
MAX_PARTS_PER_PROMPT = 32  # of the first parts, which the later ones need
MAX_UNACKNOWLEDGED = 64  # updates of this host whose loads are remembered
MAX_CHANGES_BYTES = 32_768  # of rows in a datagram, which holds at most 65,507 bytes
MAX_AGE_SECONDS = 1e9  # stands for an infinite age in a message


Entry = TypeVar("Entry")


class ZoneUpdates:
    """Makes the updates of one host.

    Parameters
    ----------
    context : GatewayContext
        Loads and endpoints of this host.
    address : str
        IP address and port on which this host receives datagrams.
    view : ZoneView
        What this host knows of the zones.
    endpoints : TableFollower
        The endpoint list.
    agreed_time : AgreedTime
        Clock of all hosts.
    configuration_version : callable
        Returns the configuration version in force on this host.
    usage : UsageCounter
        Usage counts of this host.
    peer_usage : PeerUsage
        Usage counts of other hosts.
    progress : ReportProgress
        Usage windows that are settled.

    Attributes
    ----------
    zone_news, cross_zone_news : NewsQueue
        News that this host, as the hub, has yet to send to its members and to other hubs.
    stored_window : int
        Latest usage window that all live hosts of the zone have closed and this hub has stored.
    speeds : SpeedExchange
        Engine speeds in the updates.
    """

    def __init__(
        self,
        context: GatewayContext,
        address: str,
        view: ZoneView,
        endpoints: TableFollower,
        agreed_time: AgreedTime,
        configuration_version: Callable[[], int],
        usage: UsageCounter,
        peer_usage: PeerUsage,
        progress: ReportProgress,
    ) -> None:
        self._context = context
        self._address = address
        self._view = view
        self._endpoints = endpoints
        self._agreed_time = agreed_time
        self._configuration_version = configuration_version
        self._usage = usage
        self._peer_usage = peer_usage
        self._progress = progress
        self._sequence = 0
        self._unacknowledged: OrderedDict[int, dict[str, list[int]]] = OrderedDict()
        self._usage_sent_at = float("-inf")
        self._unsent_usage: list[dict[int, HostCounts]] = []
        self._unstored_offset = 0
        self._outgoing = NewsQueue()
        self.zone_news = NewsQueue()
        self.cross_zone_news = NewsQueue()
        self.stored_window = NO_WINDOW
        self.speeds = SpeedExchange(context)
        self._own_limits = context.limits.open_channel()
        self._zone_limits = context.limits.open_channel()
        self._cross_zone_limits = context.limits.open_channel()

    @property
    def has_unsent_usage(self) -> bool:
        """Whether the next update should follow soon, as it carries more usage counts."""
        return bool(self._unsent_usage)

    def forget_sent(self) -> None:
        """Forget what was sent to an earlier hub."""
        self._unacknowledged.clear()

    def publish_usage(self) -> None:
        """Include this host's usage counts in the next update."""
        self._usage_sent_at = float("-inf")

    def sent_loads(self, acknowledged: int) -> Mapping[str, list[int]] | None:
        """Return the loads in an update of this host that its hub has received, if remembered."""
        sent = self._unacknowledged.get(acknowledged)
        while sent is not None and next(iter(self._unacknowledged)) != acknowledged:
            self._unacknowledged.popitem(last=False)
        return sent

    def local_demand(self, *, now: float) -> dict[str, float]:
        """Return the prefill demand of this host's callers, in tokens per second by service."""
        meters = self._context.prefill_demands.items()
        return {name: round(meter.rate(now=now)) for name, meter in meters}

    def queue_own_news(self, *, is_hub: bool) -> None:
        """Queue what has happened on this host since the last call."""
        context, crashes = self._context, self._context.crashes
        prompts, context.pending_cache_updates[:] = list(context.pending_cache_updates), []
        changing = list(context.unpublished_stage_changes)
        context.unpublished_stage_changes.clear()
        news = News(
            [
                (engine, [(part.part_id, part.tokens) for part in parts[:MAX_PARTS_PER_PROMPT]])
                for engine, parts in prompts
            ],
            changing,
            [(crash.fingerprint, crash.endpoint) for crash in _drain(crashes.unpublished)],
            [
                (crash.endpoint, crash.age, crash.parts)
                for crash in _drain(crashes.unpublished_parts)
            ],
            list(_drain(crashes.unpublished_cleared)),
        )
        if is_hub:
            self.pass_on(news)
        else:
            self._outgoing.add(news)

    def pass_on(self, news: News) -> None:
        """Queue news of this zone for its members and for other hubs."""
        self.zone_news.add(news)
        self.cross_zone_news.add(news)

    def member_update(self, *, now: float) -> MemberUpdate:
        """Return the state of this host for its hub."""
        self.queue_own_news(is_hub=False)
        self._sequence += 1
        loads = {
            name: load.to_numbers() for name, load in self._context.loads.local_loads().items()
        }
        self._unacknowledged[self._sequence] = loads
        while len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            self._unacknowledged.popitem(last=False)
        reads = self._view.reads_for_zone
        age = now - self._endpoints.last_response_at
        return MemberUpdate(
            self._context.host,
            self._context.zone,
            self._address,
            self._usage.process,
            self._sequence,
            wall_seconds(),
            self._configuration_version(),
            age if reads and age < MAX_AGE_SECONDS else None,
            loads,
            self.local_demand(now=now),
            self._usage_to_send(now),
            self._outgoing.take(),
            encode_changes(self._endpoints.replica.recent_changes(now=now)) if reads else None,
            self._context.limits.reports(self._own_limits, now=now),
            self._progress.settled_window,
            quotas=self._context.quotas.member_counts(self._sequence, now=now),
            speed_samples=self.speeds.samples_for_hub(now=now),
            settled_era=self._progress.settled_era,
        )

    def zone_update(self, *, now: float) -> HubUpdate:
        """Return the state of the zone for its members; the caller adds what they need seldom."""
        limits = self._context.limits.reports(self._zone_limits, now=now)
        update = self._hub_update(self.zone_news.take(), limits, now)
        update.speed_reports = self.speeds.reports_for_members(now=now)
        return update

    def cross_zone_update(self, *, now: float) -> HubUpdate:
        """Return the state of the zone for other hubs."""
        limits = self._context.limits.reports(self._cross_zone_limits, now=now)
        update = self._hub_update(self.cross_zone_news.take(), limits, now)
        update.speed_samples = self.speeds.samples_for_hubs(now=now)
        update.speed_reports = self.speeds.reports_for_hubs(now=now)
        return update

    def _hub_update(self, news: News, limits: list[LimitReport], now: float) -> HubUpdate:
        contact = self._view.contact
        return HubUpdate(
            self._own_summary(now),
            self._agreed_time.estimate(wall=wall_seconds(), now=now),
            self._configuration_version(),
            min(now - contact.at, MAX_AGE_SECONDS),
            contact.reader,
            self._view.reads_for_zone or contact.reader in self._view.members.live(now=now),
            encode_changes(self._endpoints.replica.recent_changes(now=now)),
            news,
            blocked_parts=[
                (list(parts), age) for parts, age in self._context.crashes.parts.blocks(now=now)
            ][:MAX_BLOCKED_GROUPS],
            limits=limits,
            settled_window=self._progress.settled_window,
            settled_era=self._progress.settled_era,
        )

    def unstored_usage(self) -> dict[str, dict[int, EncodedCounts]]:
        """Return counts for other hubs while they cannot be stored; a part of them at a time."""
        counts = self._peer_usage.all_counts()
        counts |= {(w, self._usage.process): c for w, c in self._usage.latest_counts().items()}
        newest = max((window for window, _ in counts), default=0)
        by_process: dict[str, dict[int, EncodedCounts]] = {}
        for (window, process), host in counts.items():
            if window > newest - MAX_PUBLISHED_WINDOWS:
                by_process.setdefault(process, {})[window] = encode_counts(host)
        chosen = _rotated(sorted(by_process), self._unstored_offset)[:MAX_UNSTORED_PROCESSES]
        self._unstored_offset += MAX_UNSTORED_PROCESSES
        return {name: by_process[name] for name in chosen}

    def _own_summary(self, now: float) -> ZoneSummary:
        members = self._view.members.live(now=now)
        loads = self._context.loads
        return ZoneSummary(
            self._context.zone,
            self._context.host,
            self._address,
            len(members) + 1,
            self.stored_window,
            loads.sum_loads(members, now=now),
            loads.sum_demand(self.local_demand(now=now), members, now=now),
        )

    def _usage_to_send(self, now: float) -> dict[int, EncodedCounts]:
        if not self._unsent_usage:
            if now - self._usage_sent_at < USAGE_INTERVAL_SECONDS:
                return {}
            self._usage_sent_at = now
            self._unsent_usage = split_counts(
                self._usage.latest_counts(), max_customers=MAX_CUSTOMERS_PER_DATAGRAM
            )
        part = self._unsent_usage.pop(0) if self._unsent_usage else {}
        return {window: encode_counts(counts) for window, counts in part.items()}


def encode_changes(changes: ChangeSet) -> EncodedChanges:
    """Encode changes of the endpoint list for a datagram.

    If they are too long for one, they are left out, and receivers that lack them fetch the list.
    """
    length = sum(len(row.key) + len(row.value or b"") for row in changes.changes)
    if length > MAX_CHANGES_BYTES:
        return EncodedChanges(changes.position, changes.position, [])
    rows = [EncodedChange(row.key, row.version, row.value) for row in changes.changes]
    return EncodedChanges(changes.after, changes.position, rows)


def decode_changes(changes: EncodedChanges) -> ChangeSet:
    """Decode changes of the endpoint list from a datagram."""
    rows = [RowChange(row.key, row.version, row.value) for row in changes.changes]
    return ChangeSet(changes.after, changes.position, rows)


def encode_counts(counts: HostCounts) -> EncodedCounts:
    """Encode usage counts for a datagram."""
    return counts.closed, dict(counts.counts)


def _rotated(names: Sequence[str], offset: int) -> list[str]:
    start = offset % max(1, len(names))
    return [*names[start:], *names[:start]]


def _drain(queue: deque[Entry]) -> Iterator[Entry]:
    """Remove and yield the entries of a queue."""
    while queue:
        yield queue.popleft()
