"""Client of the platform's store: rows, transactions and the change feed."""

import base64
import logging
from collections.abc import Callable, Container, Iterable, Sequence
from typing import Any
from urllib.parse import urlencode

import anyio
import msgspec

from samphirehall.backing.table import Check, Row, TransactionResult, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import (
    TRANSPORT_ERRORS,
    ConnectionPool,
    header,
    read_body,
)
from samphirehall.core.decoding import DecodingError, Unsigned, decode, parse_unsigned
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog, log_decision
from samphirehall.gateway.rows import HistoryGoneError, RowChange, Rows, StoreVersion

CALL_TIMEOUT_SECONDS = 1.0  # answers take a few milliseconds, slow ones 0.25 s
FEED_TIMEOUT_MARGIN_SECONDS = 0.5  # added to the requested wait of a feed call
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # one page of rows, up to 1 MB before encoding
MAX_PAGE_ROWS = 500  # limit of the store
PRODUCT_TABLE = "samphirehall"  # rows that samphirehall itself writes
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
ERA_HEADER = b"store-era"  # rises each time the store comes back from an older copy
MAX_ERA = 2**31 - 1  # fencing numbers of 63 bits hold the era above 32 bits

_log = logging.getLogger(__name__)
_row_rejections = RejectionLog(_log, "row-unreadable")
_era_rejections = RejectionLog(_log, "store-era-unreadable")

ObserveCall = Callable[[str, float, bool], None]


def _ignore_restoration() -> None:
    """Do nothing; the default for `Store.on_restored`."""


def _ignore_call(kind: str, seconds: float, answered: bool) -> None:
    """Record nothing; the default observer."""


class _StoredRow(msgspec.Struct):
    key: str
    ver: Unsigned = 0
    value: str = ""
    tombstone: bool = False


class _RowsAnswer(msgspec.Struct):
    rows: list[msgspec.Raw] = []
    ver: Unsigned = 0
    has_more: bool = False
    era: Unsigned = 0  # of the header, not of the body


_rows_decoder = msgspec.json.Decoder(_RowsAnswer)
_row_decoder = msgspec.json.Decoder(_StoredRow)
_value_decoder = msgspec.json.Decoder()


class Store:
    """Client of the platform's store.

    Implements `Table` on the rows of `PRODUCT_TABLE`, and `RowSource` for following
    any table.

    Parameters
    ----------
    address : str
        IP number and port.
    observe : callable
        Called with the kind of each call, its duration in seconds, and whether it was answered.

    Attributes
    ----------
    on_restored : callable
        Called when an answer is the first one of a later era than the answers before.
    """

    def __init__(self, address: str, observe: ObserveCall = _ignore_call) -> None:
        self._pool = ConnectionPool(address, connect_timeout=CALL_TIMEOUT_SECONDS)
        self._observe = observe
        self._era: int | None = None
        self.on_restored: Callable[[], None] = _ignore_restoration

    @property
    def era(self) -> int:
        """Highest era in an answer of the store; 0 before the first, or if it states none."""
        return self._era or 0

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        """Apply a transaction to `PRODUCT_TABLE`; see `Table.transact`."""
        puts = [
            {**_row_name(write.key), "value": _encode_value(write.value)}
            for write in writes
            if write.value is not None
        ]
        document = {
            "expected": [{**_row_name(check.key), "ver": check.version} for check in checks],
            "puts": puts,
            "remove": [_row_name(write.key) for write in writes if write.value is None],
        }
        body = msgspec.json.encode(document)
        status, answer = await self._call(
            "transaction", "POST", "/rows-tx", body=body, accepted=(200, 412)
        )
        if status == 412:
            rows = [_to_product_row(row) for row in _decode_rows(answer)]
            return TransactionResult(False, tuple(rows))
        return TransactionResult(True, versions={write.key: answer.ver for write in writes})

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows of `PRODUCT_TABLE` that exist among `keys`; see `Table.read`."""
        requested = set(keys)
        rows = await self._range(PRODUCT_TABLE, min(keys), max(keys) + "\0")
        return {row.key: _to_product_row(row) for row in rows.rows if row.key in requested}

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        """Return rows of `PRODUCT_TABLE` whose key starts with `prefix`; see `Table.scan`."""
        rows = await self._range(PRODUCT_TABLE, prefix, prefix + "\U0010ffff")
        return [_to_product_row(row) for row in rows.rows[:limit]]

    async def snapshot(self, table: str) -> Rows:
        """Return all rows of a table; see `RowSource.snapshot`."""
        return await self._range(table, "", None)

    async def changes(self, table: str, *, after: StoreVersion, wait: float) -> Rows:
        """Return the rows changed after a version; see `RowSource.changes`."""
        query = {"table": table, "after": after.number, "wait_ms": int(wait * 1000)}
        status, answer = await self._call(
            "changes",
            "GET",
            f"/rows-feed?{urlencode(query)}",
            timeout=wait + FEED_TIMEOUT_MARGIN_SECONDS,
            accepted=(200, 410),
        )
        if status == 410:
            raise HistoryGoneError
        return Rows(_decode_rows(answer), StoreVersion(answer.era, answer.ver))

    async def _range(self, table: str, start: str, end: str | None) -> Rows:
        """Read all pages of a key range.

        The version is that of the first page: changes made while later pages are
        read are then delivered by the feed again and none is missed.

        Raises
        ------
        PlatformUnavailableError
            The store did not respond, or was restored while its rows were read.
        """
        rows: list[RowChange] = []
        version: StoreVersion | None = None
        while True:
            query: dict[str, Any] = {
                "table": table,
                "part": "",
                "limit": MAX_PAGE_ROWS,
                "from": start,
            }
            if end is not None:
                query["to"] = end
            _, answer = await self._call("range", "GET", f"/rows-get?{urlencode(query)}")
            page = _decode_rows(answer)
            rows.extend(page)
            version = version or StoreVersion(answer.era, answer.ver)
            if answer.era != version.era:
                raise PlatformUnavailableError("the store was restored while it was read")
            if not answer.has_more:
                return Rows(rows, version)
            if not page:
                raise PlatformUnavailableError(f"no row after {start!r} could be decoded")
            start = page[-1].key + "\0"

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        accepted: Container[int] = (200,),
    ) -> tuple[int, _RowsAnswer]:
        started, answered = boot_seconds(), False
        try:
            result = await self._exchange(method, path, body, timeout, accepted)
            answered = True
            return result
        finally:
            self._observe(kind, boot_seconds() - started, answered)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: float,
        accepted: Container[int],
    ) -> tuple[int, _RowsAnswer]:
        headers = {b"Content-Type": b"application/json"} if body is not None else None
        try:
            with anyio.fail_after(timeout):
                async with self._pool.request(
                    method, path, headers=headers, content=body, read_timeout=timeout
                ) as response:
                    era = self._record_era(response.headers)
                    content = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
                    status = response.status
        except (*TRANSPORT_ERRORS, TimeoutError, ValueError) as error:
            raise PlatformUnavailableError(f"{method} {path[:20]}: {error!r}") from error
        if status not in accepted:
            raise PlatformUnavailableError(f"{method} {path[:20]}: status {status}")
        try:
            answer = decode(content, _rows_decoder) if content else _RowsAnswer()
        except DecodingError as error:
            raise PlatformUnavailableError(f"{method} {path[:20]}: {error}") from error
        if era < self.era:
            raise PlatformUnavailableError(f"{method} {path[:20]}: answer of an earlier era")
        answer.era = era
        return status, answer

    def _record_era(self, headers: Iterable[tuple[bytes, bytes]]) -> int:
        """Return the era of an answer; record and log a new one."""
        era = _decode_era(headers)
        if era is None:
            return self.era
        if era <= self.era:
            return era
        before, self._era = self._era, era
        if before is not None:
            reason = "the store came back from an older copy"
            log_decision(_log, "store-restored", reason, era=era, before=before)
            self.on_restored()
        return era


def _decode_era(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the era that an answer states, or None; log one that is no number."""
    value = header(headers, ERA_HEADER)
    if value is None:
        return None
    era = parse_unsigned(value, maximum=MAX_ERA)
    if era is None:
        _era_rejections.record("store", f"{value[:40]!r} is no number up to {MAX_ERA}")
    return era


def _row_name(key: str) -> dict[str, str]:
    return {"table": PRODUCT_TABLE, "part": "", "key": key}


def _encode_value(value: object) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode()


def _decode_rows(answer: _RowsAnswer) -> list[RowChange]:
    """Decode the rows of an answer; skip and log rows that cannot be decoded."""
    rows = []
    for raw in answer.rows:
        try:
            row = decode(raw, _row_decoder)
            value = None if row.tombstone else base64.b64decode(row.value, validate=True)
        except ValueError as error:
            _row_rejections.record("answer", error)
            continue
        rows.append(RowChange(row.key, StoreVersion(answer.era, row.ver), value))
    return rows


def _to_product_row(row: RowChange) -> Row:
    """Decode the value of a row of `PRODUCT_TABLE`; one that is no JSON value becomes None."""
    value = None
    if row.value:
        try:
            value = decode(row.value, _value_decoder)
        except DecodingError as error:
            _row_rejections.record(row.key, error)
    return Row(row.key, row.version.number, value)
