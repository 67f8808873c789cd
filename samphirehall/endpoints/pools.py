"""Connection pools of endpoints."""

from collections.abc import Iterable

from samphirehall.core.connections import ConnectionPool


class EndpointPools:
    """Holds one connection pool per endpoint address.

    Parameters
    ----------
    connect_timeout : float
        Seconds within which a new connection must open.
    stall_timeout : float
        Seconds without received bytes after which a response is abandoned.
    """

    def __init__(self, *, connect_timeout: float = 1.0, stall_timeout: float = 5.0) -> None:
        self._connect_timeout = connect_timeout
        self._stall_timeout = stall_timeout
        self._pools: dict[str, ConnectionPool] = {}

    def pool_for(self, address: str) -> ConnectionPool:
        """Return the pool of an address; create it on first use."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(
                address,
                connect_timeout=self._connect_timeout,
                read_timeout=self._stall_timeout,
            )
        return pool

    async def keep_only(self, addresses: Iterable[str]) -> None:
        """Remove the pools of all other addresses and close their idle connections."""
        retained = set(addresses)
        for address in self._pools.keys() - retained:
            await self._pools.pop(address).aclose()

    async def aclose(self) -> None:
        """Remove all pools and close their idle connections."""
        await self.keep_only(())
