"""Calls to the platform that one host at a time may make."""

import logging

import anyio
import msgspec

from samphirehall.authority.lease import LeaseGrant
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.gateway.endpoint_counts import CountOrder

CALL_SECONDS = 0.8  # within the part of a lease that the holder leaves unused
MAX_ANSWER_BYTES = 65_536
OK, NOT_AVAILABLE = 200, 409

_log = logging.getLogger(__name__)


class Duties:
    """Client of the platform's interface of duties.

    Parameters
    ----------
    address : str
        IP number and port.
    host : str
        This host.
    """

    def __init__(self, address: str, host: str) -> None:
        self._pool = ConnectionPool(address, connect_timeout=CALL_SECONDS)
        self._host = host
        self._lost = False

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def report_usage(self, right: LeaseGrant, window: int, counts: dict[str, int]) -> None:
        """Report one window.

        Raises
        ------
        PlatformUnavailableError
            The platform did not accept the report, or did not answer.
        """
        await self._call(right, "/usage", {"window": window, "counts": counts})

    async def order_endpoints(self, right: LeaseGrant, order: CountOrder) -> bool:
        """Order endpoints; return whether they are to be had.

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
        return await self._call(right, "/scale", body, also=NOT_AVAILABLE) == OK

    async def _call(
        self, right: LeaseGrant, path: str, document: dict[str, object], *, also: int = OK
    ) -> int:
        headers = {
            b"Content-Type": b"application/json",
            b"X-Duty-Holder": self._host.encode(),
            b"X-Fence-Token": str(right.fencing).encode(),
        }
        body = msgspec.json.encode(document)
        try:
            with anyio.fail_after(CALL_SECONDS):
                async with self._pool.request(
                    "POST", path, headers=headers, content=body, read_timeout=CALL_SECONDS
                ) as response:
                    content = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
        except (*TRANSPORT_ERRORS, TimeoutError, ValueError) as error:
            self._note_lost(repr(error))
            raise PlatformUnavailableError(f"{path}: {error!r}") from error
        self._note_regained()
        if response.status not in (OK, also):
            detail = content[:200].decode("utf-8", "replace")
            raise PlatformUnavailableError(f"{path}: status {response.status}: {detail}")
        return response.status

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            _log.warning("duties-interface-lost", extra={"reason": reason})
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            _log.info("duties-interface-regained")
        self._lost = False
