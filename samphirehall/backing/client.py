"""HTTP client of the backing service."""

import logging
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from samphirehall.backing.table import NO_ERA, Check, Row, TransactionResult, Write
from samphirehall.core.connections import (
    TRANSPORT_ERRORS,
    ConnectionPool,
    body_after_check,
    header,
    read_body,
)
from samphirehall.core.decoding import (
    DecodingError,
    decode,
    parse_address,
    parse_unsigned,
    shorten,
)
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog, log_decision
from samphirehall.core.types import EndpointInfo, EndpointKind, HostInfo, UsageFigures

MAX_ANSWER_BYTES = 64 * 1024 * 1024
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
ERA_HEADER = b"table-era"  # in lower case; rises each time the table is restored from a copy

MAX_ERA = 2**31 - 1  # fencing numbers of 63 bits hold the era above 32 bits

_log = logging.getLogger(__name__)
_host_rejections = RejectionLog(_log, "host-unreadable")
_endpoint_rejections = RejectionLog(_log, "endpoint-unreadable")
_host_decoder = msgspec.json.Decoder(HostInfo)
_endpoint_decoder = msgspec.json.Decoder(EndpointInfo)

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class EndpointOrder:
    """Order for a number of endpoints of one zone and kind.

    Parameters
    ----------
    order_id : str
        Idempotency key; an order may be resent under the same key.
    fencing : int
        Fencing number of the sender's lease.
    holder : str
        Incarnation of the sender.
    zone : str
        Availability zone.
    kind : EndpointKind
        Standard or cheap.
    count : int
        Total number of endpoints wanted, including those that exist.
    """

    order_id: str
    fencing: int
    holder: str
    zone: str
    kind: EndpointKind
    count: int


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """Whether an order or report was accepted, and the reason if it was not."""

    accepted: bool
    reason: str = ""


@dataclass(slots=True, frozen=True)
class UsageReport:
    """Billed figures of one customer in one usage window.

    Parameters
    ----------
    window : int
        Start of the window in whole seconds since the epoch.
    customer : str
        Name of the customer.
    figures : UsageFigures
        Figures to bill.
    fencing : int
        Fencing number of the sender's lease.
    holder : str
        Incarnation of the sender.
    """

    window: int
    customer: str
    figures: UsageFigures
    fencing: int
    holder: str


@dataclass(slots=True, frozen=True)
class _Transaction:
    checks: list[Check]
    writes: list[Write]


class Platform:
    """Client of the backing service at one address.

    Implements `Table`; keeps a pool of connections.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout : float
        Seconds to wait for a connection, and for each read of an answer.
    """

    def __init__(self, address: str, *, timeout: float = 2.0) -> None:
        self._pool = ConnectionPool(address, connect_timeout=timeout, read_timeout=timeout)
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Highest era in an answer; see `Table.era`."""
        return self._era or NO_ERA

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        """Apply a transaction; see `Table.transact`."""
        body = _Transaction(list(checks), list(writes))
        return await self._call("POST", "/table/transact", body, TransactionResult)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`."""
        rows = await self._call("POST", "/table/read", {"keys": list(keys)}, list[Row])
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        """Return rows whose key starts with `prefix`, ordered by key."""
        body = {"prefix": prefix, "limit": limit}
        return await self._call("POST", "/table/scan", body, list[Row])

    async def put_object(self, digest: str, content: bytes) -> None:
        """Store an object under its digest; idempotent."""
        await self._send("PUT", f"/objects/{digest}", content)

    async def get_object(self, digest: str) -> bytes:
        """Return an object.

        Raises
        ------
        PlatformUnavailableError
            No answer, or the object is not stored yet.
        """
        status, content = await self._send("GET", f"/objects/{digest}", None)
        if status != HTTP_OK:
            raise PlatformUnavailableError(f"object {digest}: status {status}")
        return content

    async def hosts(self) -> list[HostInfo]:
        """Return the list of live and leaving hosts, which may be out of date.

        Entries that cannot be used are left out.
        """
        listed = await self._call("GET", "/hosts", None, list[msgspec.Raw])
        return _usable(listed, _host_decoder, lambda host: host.mesh_address, _host_rejections)

    async def endpoints(self) -> list[EndpointInfo]:
        """Return the list of endpoints in all zones, which may be out of date.

        Entries that cannot be used are left out.
        """
        listed = await self._call("GET", "/endpoints", None, list[msgspec.Raw])
        return _usable(
            listed, _endpoint_decoder, lambda endpoint: endpoint.address, _endpoint_rejections
        )

    async def order_endpoints(
        self, order: EndpointOrder, *, recheck: Callable[[], None] | None = None
    ) -> OrderAnswer:
        """Order endpoints; idempotent for the same `order_id`.

        Parameters
        ----------
        order : EndpointOrder
            Total number of endpoints wanted in one zone.
        recheck : callable, optional
            Called after the request head is sent and before the body; raises if the sender
            no longer holds its lease, so that the body is not sent.
        """
        return await self._call("POST", "/endpoint-orders", order, OrderAnswer, recheck=recheck)

    async def report_usage(
        self, report: UsageReport, *, recheck: Callable[[], None] | None = None
    ) -> OrderAnswer:
        """Report the figures of one customer and window; idempotent for the same figures.

        Parameters
        ----------
        report : UsageReport
            Figures to bill.
        recheck : callable, optional
            Called after the request head is sent and before the body; raises if the sender
            no longer holds its lease, so that the body is not sent.
        """
        return await self._call("POST", "/usage-reports", report, OrderAnswer, recheck=recheck)

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        answer_type: type[T],
        *,
        recheck: Callable[[], None] | None = None,
    ) -> T:
        content = None if body is None else msgspec.json.encode(body)
        status, answer = await self._send(method, path, content, recheck=recheck)
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise PlatformUnavailableError(f"{method} {path}: status {status}")
        try:
            return decode(answer, msgspec.json.Decoder(answer_type))
        except DecodingError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error

    async def _send(
        self,
        method: str,
        path: str,
        content: bytes | None,
        *,
        recheck: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        headers: dict[bytes, bytes] = {}
        body: bytes | AsyncIterator[bytes] | None = content
        if content is not None and recheck is not None:
            headers[b"Content-Length"] = str(len(content)).encode()
            body = body_after_check(content, recheck)
        try:
            async with self._pool.request(method, path, headers=headers, content=body) as response:
                self._record_era(header(response.headers, ERA_HEADER))
                answer = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
                return response.status, answer
        except (*TRANSPORT_ERRORS, ValueError) as error:
            raise PlatformUnavailableError(f"{method} {path}: {error!r}") from error

    def _record_era(self, value: str | None) -> None:
        """Record the era of an answer and log a new one.

        Raises
        ------
        ValueError
            The answer is of an earlier era, or its era is no number.
        """
        if value is None:
            return
        era = parse_unsigned(value, maximum=MAX_ERA)
        if era is None:
            raise ValueError(f"era {shorten(value)!r} is no number up to {MAX_ERA}")
        if era < self.era:
            raise ValueError(f"answer of era {era}, but the table is in era {self.era}")
        if self._era is not None and era > self._era:
            log_decision(_log, "table-restored", "an older copy", era=era, before=self._era)
        self._era = era


def _usable(
    listed: list[msgspec.Raw],
    decoder: msgspec.json.Decoder[T],
    address: Callable[[T], str],
    rejections: RejectionLog,
) -> list[T]:
    """Decode the entries of a list; log and leave out those without a usable address."""
    usable = []
    for raw in listed:
        try:
            entry = decode(raw, decoder)
            if parse_address(address(entry)) is None:
                raise DecodingError(f"{shorten(address(entry))!r} is no IP address and port")
        except DecodingError as error:
            rejections.record("list", error)
            continue
        usable.append(entry)
    return usable
