"""Addresses of hosts and hubs, registered in the store.

A host reads the entries of its own zone once when it starts; after that hosts learn
of each other from datagrams. Hubs read the entries periodically, and write those of
live hosts that the store lacks, since it may have been restored from an older copy.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping

import anyio

from samphirehall.backing.table import Table, Write
from samphirehall.core.decoding import Address, DecodingError, Name, convert, parse_address
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog, log_decision
from samphirehall.routing.other_hosts import OtherHost

HOST_PREFIX = "hosts/"
HUB_PREFIX = "hubs/"
RETRY_INTERVAL_SECONDS = 1.0
MAX_ROWS_PER_CALL = 100  # limit of the store

_log = logging.getLogger(__name__)

_rejections = RejectionLog(_log, "peer-unreadable")


class HostDirectory:
    """Known hosts of this zone, and hubs of the other zones.

    Parameters
    ----------
    table : Table
        Table of the store.
    host, zone, address : str
        Name and zone of this host, and the IP address and port on which it hears others.

    Attributes
    ----------
    hosts : dict
        Addresses of the other hosts of this zone by name.
    hubs : dict
        Names and addresses of the hubs of other zones by zone.
    """

    def __init__(self, table: Table, host: str, zone: str, address: str) -> None:
        self._table = table
        self._host = host
        self._zone = zone
        self._address = address
        self._loaded = anyio.Event()
        self.hosts: dict[str, Address] = {}
        self.hubs: dict[str, tuple[str, Address]] = {}

    def add_host(self, name: str, address: object) -> bool:
        """Add a host of this zone or update its address; return whether the address is valid."""
        parsed = parse_address(address)
        if parsed is None:
            return False
        if name != self._host and self.hosts.get(name) != parsed:
            self.hosts[name] = parsed
            log_decision(_log, "peer", "listed or heard", peer=name, address=address)
        return True

    def add_hub(self, zone: str, name: str, address: object) -> bool:
        """Set the hub of another zone; return whether its address is valid."""
        parsed = parse_address(address)
        if parsed is None:
            return False
        if zone != self._zone and self.hubs.get(zone) != (name, parsed):
            self.hubs[zone] = (name, parsed)
            log_decision(_log, "hub-of-zone", "listed or heard", zone_of_hub=zone, peer=name)
        return True

    async def wait_until_loaded(self) -> None:
        """Wait until the entries of the zone have been read."""
        await self._loaded.wait()

    async def load(self) -> None:
        """Register this host and read the entries of its zone, retrying until both succeeded."""
        entry = Write(f"{HOST_PREFIX}{self._zone}/{self._host}", self._address)
        while not await _try(lambda: self._register_and_load(entry)):
            await anyio.sleep(RETRY_INTERVAL_SECONDS)
        self._loaded.set()

    async def refresh_as_hub(self, live: Mapping[str, str]) -> bool:
        """Register this host as the hub and read all entries; return whether the store answered.

        Parameters
        ----------
        live : mapping of str to str
            Addresses of the live hosts of the zone by name.
        """
        entry = Write(f"{HUB_PREFIX}{self._zone}", [self._host, self._address])

        async def refresh() -> None:
            listed = await self._register_and_load(entry)
            await self._register_unlisted(live, listed)
            await self._load_hubs()

        return await _try(refresh)

    async def load_all(self) -> dict[str, OtherHost]:
        """Return the hosts of all zones by name; those known here if the store does not answer."""
        hosts = {
            name: OtherHost(name, self._zone, address[0]) for name, address in self.hosts.items()
        }
        hosts |= {
            name: OtherHost(name, zone, address[0]) for zone, (name, address) in self.hubs.items()
        }

        async def load() -> None:
            for row in await self._table.scan(HOST_PREFIX):
                zone, _, name = row.key.removeprefix(HOST_PREFIX).partition("/")
                address = parse_address(row.value)
                if address is not None:
                    hosts[name] = OtherHost(name, zone, address[0])

        await _try(load)
        return hosts

    async def _register_and_load(self, entry: Write) -> set[str]:
        """Write an entry and read those of the zone; return the names of the listed hosts."""
        await self._table.transact([], [entry])
        prefix = f"{HOST_PREFIX}{self._zone}/"
        rows = {row.key.removeprefix(prefix): row.value for row in await self._table.scan(prefix)}
        for name, address in rows.items():
            if not self.add_host(name, address):
                _rejections.record(name, "no IP address and port")
        return set(rows)

    async def _register_unlisted(self, live: Mapping[str, str], listed: set[str]) -> None:
        missing = {name: address for name, address in live.items() if name not in listed}
        writes = [
            Write(f"{HOST_PREFIX}{self._zone}/{name}", address) for name, address in missing.items()
        ]
        for start in range(0, len(writes), MAX_ROWS_PER_CALL):
            await self._table.transact([], writes[start : start + MAX_ROWS_PER_CALL])
        if missing:
            reason = "live, but not listed by the store"
            log_decision(_log, "hosts-registered", reason, peers=sorted(missing))

    async def _load_hubs(self) -> None:
        for row in await self._table.scan(HUB_PREFIX):
            try:
                name, address = convert(row.value, tuple[Name, str])
            except DecodingError as error:
                _rejections.record(row.key, error)
                continue
            if not self.add_hub(row.key.removeprefix(HUB_PREFIX), name, address):
                _rejections.record(row.key, "no IP address and port")


async def _try(call: Callable[[], Awaitable[object]]) -> bool:
    """Call the store; return whether it answered."""
    try:
        await call()
    except PlatformUnavailableError as error:
        _log.warning("peers-unlisted", extra={"reason": str(error)})
        return False
    return True
