"""Connection pools of all endpoints, by address."""

from collections.abc import Iterable

from samphirehall.core.connections import ConnectionPool


class EndpointPools:
    """One connection pool an endpoint address.

    Parameters
    ----------
    connect_timeout : float
        Seconds to wait for a new connection.
    stall_timeout : float
        Seconds of silence after which an answer is given up.
    """

    def __init__(self, *, connect_timeout: float = 1.0, stall_timeout: float = 5.0) -> None:
        self._connect_timeout = connect_timeout
        self._stall_timeout = stall_timeout
        self._pools: dict[str, ConnectionPool] = {}

    def at(self, address: str) -> ConnectionPool:
        """Return the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(
                address,
                connect_timeout=self._connect_timeout,
                read_timeout=self._stall_timeout,
            )
        return pool

    async def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the idle connections of every other address."""
        kept = set(addresses)
        for address in self._pools.keys() - kept:
            await self._pools.pop(address).aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.keep_only(())
