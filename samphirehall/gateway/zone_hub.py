"""Choice of the hub of an availability zone, and of the host that reads the store for it.

Made for hundreds of hosts that start, freeze and end at the same moment: if every
host read the store and told every other host what it does, calls and messages
would grow with the square of the hosts. In each zone, one host is the hub: it
reads the store, adds up what the other hosts of the zone send it, and sends the
result back and to the hubs of the other zones. Nothing is agreed upon. Hosts that
choose different hubs for a moment know less of each other's load, and a host that
hears no hub becomes one itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.rendezvous import ranked

HUB_TIMEOUT_SECONDS = 0.6  # four heartbeats of a hub
GREETING_TIMEOUT_SECONDS = 0.2  # a hub answers a host that starts at once
RESUME_TIMEOUT_SECONDS = 0.3  # two heartbeats of a hub, after a suspension of this host
HUB_TAKEOVER_STEP_SECONDS = 0.1  # between candidates, so that the first is heard by the second
MAX_HUB_TAKEOVER_DELAY_SECONDS = 1.2  # keeps a host without a hub within the drain time
PAUSE_SECONDS = 0.4  # a longer time between two decisions means that this host was suspended
SILENT_HUB_MEMORY_SECONDS = 15.0  # a hub that fell silent is no candidate for this long

STORE_TIMEOUT_SECONDS = 1.2  # a reader normally hears from the store once a second at least
DUTY_CANDIDATES = 2  # each reads the lease about once a second
READ_SLOT_SECONDS = 0.25  # between the attempts of two hosts to read a store that seems lost


@dataclass(slots=True, frozen=True)
class HubDecision:
    """The hub that a host follows, and why.

    Parameters
    ----------
    hub : str or None
        Name of the hub; None while no hub is heard.
    reason : str
        Why this one.
    """

    hub: str | None
    reason: str


class HubElection:
    """Chooses the hub of a zone from what one host hears.

    A hub stays hub until it falls silent, so that hosts that come and go change nothing.
    Of two hubs that hear each other, the one of lower rank stops being one.

    Parameters
    ----------
    host, zone : str
        Name and availability zone of this host.
    now : float
        Boot clock in seconds at the start.
    """

    def __init__(self, host: str, zone: str, *, now: float) -> None:
        self._host = host
        self._zone = zone
        self._heard_hubs: dict[str, float] = {}
        self._silent_hubs: dict[str, float] = {}
        self._without_hub_since = float("-inf")
        self._resumed_at = now
        self._decided_at = now
        self._hub: str | None = None

    @property
    def hub(self) -> str | None:
        """The hub last decided on."""
        return self._hub

    @property
    def is_hub(self) -> bool:
        """Whether this host is the hub."""
        return self._hub == self._host

    def start(self, *, now: float) -> None:
        """Begin to wait for a hub, once all known hosts of the zone have been greeted."""
        self._without_hub_since = now - HUB_TIMEOUT_SECONDS + GREETING_TIMEOUT_SECONDS
        self._decided_at = now

    def record_hub(self, name: str, *, now: float) -> None:
        """Record that a host of this zone acts as its hub."""
        self._heard_hubs[name] = now
        self._silent_hubs.pop(name, None)

    def decide(self, hosts: Iterable[str], *, now: float) -> HubDecision:
        """Choose the hub.

        Parameters
        ----------
        hosts : iterable of str
            Known hosts of the zone, alive or not.
        now : float
            Boot clock in seconds.
        """
        if now - self._decided_at > PAUSE_SECONDS:
            self._resumed_at = now
        self._decided_at = now
        live = self._live_hubs(now)
        ranking = ranked({self._host, *hosts}, self._zone)
        if self.is_hub:
            live.add(self._host)
        if live:
            # Hosts that hear the same hubs follow the same one, also while two claim to be it.
            highest = next((name for name in ranking if name in live), min(live))
            return self._follow(highest, "of highest rank of the hubs heard", now)
        if self._hub is not None:
            self._silent_hubs[self._hub] = now
            self._without_hub_since = self._heard_hubs.get(self._hub, now)
            self._hub = None
        return self._without_hub(ranking, now)

    def _follow(self, name: str | None, reason: str, now: float) -> HubDecision:
        self._hub = name
        self._without_hub_since = now
        return HubDecision(name, reason)

    def _without_hub(self, ranking: list[str], now: float) -> HubDecision:
        candidates = [
            name
            for name in ranking
            if now - self._silent_hubs.get(name, float("-inf")) >= SILENT_HUB_MEMORY_SECONDS
        ]
        position = candidates.index(self._host)
        delay = min(position * HUB_TAKEOVER_STEP_SECONDS, MAX_HUB_TAKEOVER_DELAY_SECONDS)
        heard_nobody_at = max(
            self._without_hub_since + HUB_TIMEOUT_SECONDS,
            self._resumed_at + RESUME_TIMEOUT_SECONDS,
        )
        if now < heard_nobody_at + delay:
            return HubDecision(None, "waiting for a hub")
        return self._follow(self._host, "no hub was heard", now)

    def _live_hubs(self, now: float) -> set[str]:
        return {
            name
            for name, heard_at in self._heard_hubs.items()
            if name != self._host and now - heard_at < HUB_TIMEOUT_SECONDS
        }


def hub_should_read(
    readers: Iterable[str], *, host: str, reads: bool, own_store_age: float
) -> bool:
    """Return whether a hub reads the store, or leaves it to the hub of another zone.

    Calls to the store are paid for, whoever makes them, so one hub reads for all zones that
    hear each other. A reader goes on until it hears one of higher rank.

    Parameters
    ----------
    readers : iterable of str
        Hubs of other zones that read the store and have heard from it lately.
    host : str
        This hub.
    reads : bool
        Whether it reads the store at present.
    own_store_age : float
        Seconds since it heard from the store itself.
    """
    others = set(readers)
    if not others:
        return True
    if not reads or own_store_age >= STORE_TIMEOUT_SECONDS:
        return False
    return ranked({host, *others}, "readers")[0] == host


def member_should_read(
    hosts: Iterable[str],
    *,
    host: str,
    zone: str,
    reader: str | None,
    store_age: float,
) -> bool:
    """Return whether a host that is no hub reads the store for its zone.

    Answers an outage in which the store turns the hubs away while it serves other hosts. The
    hosts of the zone try in turn, after the hub, so that a store that is down for all is not
    called by all.

    Parameters
    ----------
    hosts : iterable of str
        Live hosts of the zone.
    host, zone : str
        This host.
    reader : str or None
        Host that reads the store at present, as told by the hub.
    store_age : float
        Seconds since the zone last heard from the store.
    """
    first_slot = STORE_TIMEOUT_SECONDS + READ_SLOT_SECONDS
    if store_age < first_slot:
        return reader == host
    ranking = ranked({host, *hosts}, f"{zone}/readers")
    slot = int((store_age - first_slot) / READ_SLOT_SECONDS)
    return ranking[slot % len(ranking)] == host


def may_hold_duty(hubs: Iterable[str], *, host: str) -> bool:
    """Return whether a hub is one of the candidates for the duties.

    Parameters
    ----------
    hubs : iterable of str
        Hubs of other zones that are heard.
    host : str
        This hub.
    """
    return host in ranked({host, *hubs}, "duties")[:DUTY_CANDIDATES]


def update_interval(receivers: int, *, datagrams_per_second: float, shortest: float) -> float:
    """Return the seconds between two updates so that a sender keeps to a rate of datagrams."""
    return max(shortest, receivers / datagrams_per_second)


class SendBudget:
    """Decides when a sender may send its next large messages, so that it keeps to a rate of bytes.

    Small messages are sent at any time, and postpone the next large ones.

    Parameters
    ----------
    bytes_per_second : float
        Rate over all messages.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = float("-inf")
        self._sent_bytes = 0

    def allows_large(self, *, now: float) -> bool:
        """Return whether what was sent so far has used up no more than the rate."""
        return now >= self._free_at

    def spend(self, sent_bytes: int, *, now: float) -> None:
        """Record what was sent."""
        self._sent_bytes += sent_bytes
        self._free_at = max(self._free_at, now) + sent_bytes / self._bytes_per_second

    def take_sent_bytes(self) -> int:
        """Return the bytes sent since the last call."""
        sent, self._sent_bytes = self._sent_bytes, 0
        return sent

    def pause(self, *, shortest: float, longest: float, now: float) -> float:
        """Return the seconds until the next message of any size, within two limits."""
        return max(shortest, min(self._free_at - now, longest))
