"""Calls to the platform that only the host holding the duty may make."""

import logging

import anyio
import msgspec

from samphirehall.authority.lease import LeaseGrant
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.gateway.endpoint_counts import CountOrder

CALL_TIMEOUT_SECONDS = 0.8  # shorter than the safety margin at the end of a lease
MAX_ANSWER_BYTES = 65_536
HTTP_OK, HTTP_CONFLICT = 200, 409

_log = logging.getLogger(__name__)


class DutiesClient:
    """Client of the platform's duties interface: usage reports and endpoint orders.

    Parameters
    ----------
    address : str
        IP number and port.
    host : str
        Name of this host, sent as the holder of the duty.
    """

    def __init__(self, address: str, host: str) -> None:
        self._pool = ConnectionPool(address, connect_timeout=CALL_TIMEOUT_SECONDS)
        self._host = host
        self._lost = False

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def report_usage(self, grant: LeaseGrant, window: int, counts: dict[str, int]) -> None:
        """Report the counts of one usage window.

        Raises
        ------
        PlatformUnavailableError
            The platform did not accept the report, or did not answer.
        """
        await self._call(grant, "/usage", {"window": window, "counts": counts})

    async def order_endpoints(self, grant: LeaseGrant, order: CountOrder) -> bool:
        """Order a number of endpoints; return False if the platform has none available.

        Raises
        ------
        PlatformUnavailableError
            The platform did not answer.
        """
        body: dict[str, object] = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.count,
        }
        if order.cheap:
            body["spot"] = True
        return await self._call(grant, "/scale", body, also_accepted=HTTP_CONFLICT) == HTTP_OK

    async def _call(
        self,
        grant: LeaseGrant,
        path: str,
        fields: dict[str, object],
        *,
        also_accepted: int = HTTP_OK,
    ) -> int:
        headers = {
            b"Content-Type": b"application/json",
            b"X-Duty-Holder": self._host.encode(),
            b"X-Fence-Token": str(grant.fencing).encode(),
        }
        body = msgspec.json.encode(fields)
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                async with self._pool.request(
                    "POST", path, headers=headers, content=body, read_timeout=CALL_TIMEOUT_SECONDS
                ) as response:
                    content = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
        except (*TRANSPORT_ERRORS, TimeoutError, ValueError) as error:
            self._record_lost(repr(error))
            raise PlatformUnavailableError(f"{path}: {error!r}") from error
        self._record_regained()
        if response.status not in (HTTP_OK, also_accepted):
            detail = content[:200].decode("utf-8", "replace")
            raise PlatformUnavailableError(f"{path}: status {response.status}: {detail}")
        return response.status

    def _record_lost(self, reason: str) -> None:
        if not self._lost:
            _log.warning("duties-interface-lost", extra={"reason": reason})
        self._lost = True

    def _record_regained(self) -> None:
        if self._lost:
            _log.info("duties-interface-regained")
        self._lost = False
